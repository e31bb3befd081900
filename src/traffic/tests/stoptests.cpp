#include "trafficfixture.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::traffic::tests;
using standins::HttpRequest;
using standins::HttpResponse;

//! Tests that a graceful stop aborts no request.

namespace {

std::size_t
Count(char*, std::size_t aSize, std::size_t aCount, void* aOut)
{
  *static_cast<std::size_t*>(aOut) += aSize * aCount;
  return aSize * aCount;
}

//! Sends requests on one keep-alive connection until a request fails. Returns
//! whether part of the failed request's answer was received.
bool
RequestUntilFailure(std::uint16_t aPort, std::atomic<int>& aAnswered)
{
  auto* curl = curl_easy_init();
  std::size_t got = 0;
  const auto url = "http://127.0.0.1:" + std::to_string(aPort) + "/s/x";
  auto* headers = curl_slist_append(nullptr, "Authorization: Bearer key");
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 20000L);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "{}");
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Count);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &got);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, Count);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &got);
  while (curl_easy_perform(curl) == CURLE_OK) {
    aAnswered++;
    got = 0;
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(curl);
  return got > 0;
}

}

// Guards against a graceful stop that aborts a request (requests_cut=1). It
// happened when the router ended as soon as no request was in progress: callers
// kept their connections open, and a request that arrived between that check
// and the end of the process was aborted.
Test(stop, KeepAliveRequestsAreNotAborted)
{
  TrafficFixture fixture(21400, "plain", [](const HttpRequest& aRequest) {
    HttpResponse response;
    response.headers["X-Request-Id"] = aRequest.headers.at("x-request-id");
    response.body = "booked\n";
    return response;
  });
  std::atomic<int> answered{ 0 };
  std::atomic<int> aborted{ 0 };
  constexpr std::size_t kCallers = 6;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      aborted += RequestUntilFailure(fixture.Port(), answered) ? 1 : 0;
    });
  }
  cr_assert(WaitUntil([&] { return answered > 30; }));
  fixture.traffic->CloseListener();
  cr_assert(WaitUntil([&] { return fixture.traffic->IsDrained(); }));
  const auto stopped = fixture.traffic->Stop();
  for (auto& caller : callers) {
    caller.join();
  }
  cr_assert(stopped == 0, "%zu requests aborted by the stop", stopped);
  cr_assert(aborted == 0, "%d answers were incomplete", aborted.load());
}
