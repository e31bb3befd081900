#include "platform/internal/httpget.h"

#include "base/error.h"

#include <curl/curl.h>

#include <cerrno>
#include <cstdlib>
#include <memory>
#include <strings.h>

namespace hemlockgauge::platform {

namespace {

constexpr std::size_t kMaxBodyBytes = 8 << 20;
constexpr std::string_view kRevisionHeader = "X-Revision:";

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
{
  auto& answer = *static_cast<HttpAnswer*>(aUser);
  if (answer.body.size() + aSize * aCount > kMaxBodyBytes) {
    return 0;
  }
  answer.body.append(aData, aSize * aCount);
  return aSize * aCount;
}

std::size_t
ParseHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
{
  const std::string line(aData, aSize * aCount);
  if (strncasecmp(
        line.c_str(), kRevisionHeader.data(), kRevisionHeader.size()) == 0) {
    static_cast<HttpAnswer*>(aUser)->revision =
      std::strtoull(line.c_str() + kRevisionHeader.size(), nullptr, 10);
  }
  return aSize * aCount;
}

int
AbortIfStopped(void* aUser, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  return static_cast<const std::atomic<bool>*>(aUser)->load() ? 1 : 0;
}

}

HttpAnswer
HttpGet(const base::Address& aAddress,
        const std::string& aPath,
        base::Duration aTimeout,
        const std::atomic<bool>& aStop)
{
  const std::unique_ptr<CURL, void (*)(CURL*)> handle(curl_easy_init(),
                                                      curl_easy_cleanup);
  HttpAnswer answer;
  const auto url = "http://" + aAddress.Text() + aPath;
  auto* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(
    curl, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, ParseHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer);
  curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, AbortIfStopped);
  curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &aStop);
  const auto result = curl_easy_perform(curl);
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  if (result != CURLE_OK || status != 200) {
    long systemError = 0;
    curl_easy_getinfo(curl, CURLINFO_OS_ERRNO, &systemError);
    const bool refused =
      result == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
    throw base::Error(
      refused ? base::ErrorCode::Refused : base::ErrorCode::Unreachable,
      url + ": " +
        (result != CURLE_OK
           ? std::string(curl_easy_strerror(result))
           : "status " + std::to_string(status) + ", expected 200"));
  }
  return answer;
}

}
