// A test double of a plain service with calls that are not idempotent: it
// counts the executions per idempotency key, so that duplicate executions are
// detected.

#include "standins/expectedanswer.h"
#include "standins/faults.h"
#include "standins/httpserver.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

DEFINE_string(listen, "127.0.0.1:9100", "IP:PORT to serve on");
DEFINE_int32(work_ms, 30, "processing time of a request in ms");
DEFINE_int32(retry_after_ms, 0, "Retry-After of refusals in ms; 0: none");
DEFINE_int32(late_ms, 3000, "delay in ms of an answer with the fault \"late\"");

using namespace hemlockgauge;
using namespace hemlockgauge::standins;

namespace {

class PlainService
{
public:
  HttpResponse Handle(const HttpRequest& aRequest);

private:
  HttpResponse RunRequest(const HttpRequest& aRequest);
  HttpResponse Runs();

  std::mutex m_mutex;
  std::map<std::string, int> m_runsByKey;
  std::atomic<int> m_running{ 0 };
  std::atomic<int> m_maxRunning{ 0 };
  std::atomic<bool> m_leaving{ false };
  Faults m_faults;
};

HttpResponse
PlainService::Handle(const HttpRequest& aRequest)
{
  HttpResponse response;
  if (aRequest.path == "/v1/load") {
    response.body = nlohmann::json{
      { "running", m_running.load() }, { "leaving", m_leaving.load() }
    }.dump();
    return response;
  }
  if (aRequest.path == "/-/runs") {
    return Runs();
  }
  if (aRequest.path == "/-/leaving") {
    m_leaving = true;
    return response;
  }
  if (aRequest.path == "/-/fault") {
    response.status = InjectFault(m_faults, aRequest.query) ? 200 : 400;
    return response;
  }
  return RunRequest(aRequest);
}

HttpResponse
PlainService::Runs()
{
  const std::lock_guard lock(m_mutex);
  nlohmann::json doubled = nlohmann::json::array();
  for (const auto& [key, count] : m_runsByKey) {
    if (count > 1) {
      doubled.push_back(key);
    }
  }
  HttpResponse response;
  response.body = nlohmann::json{
    { "keys", m_runsByKey.size() },
    { "doubled", doubled },
    { "running", m_running.load() },
    { "most_running", m_maxRunning.load() }
  }.dump();
  return response;
}

HttpResponse
PlainService::RunRequest(const HttpRequest& aRequest)
{
  HttpResponse response;
  const auto id = aRequest.headers.find("x-request-id");
  const auto key = aRequest.headers.find("idempotency-key");
  if (id == aRequest.headers.end()) {
    response.status = 400;
    return response;
  }
  response.headers["X-Request-Id"] = id->second;
  if (m_leaving) {
    response.headers["X-Leaving"] = "true";
  }
  if (m_leaving || m_faults.Take(FaultKind::Refuse)) {
    response.status = 503;
    response.headers["X-Not-Run"] = "true";
    AddRetryAfter(response, FLAGS_retry_after_ms);
    return response;
  }
  {
    const std::lock_guard lock(m_mutex);
    m_runsByKey[key == aRequest.headers.end() ? id->second : key->second]++;
  }
  m_running++;
  m_maxRunning = std::max(m_maxRunning.load(), m_running.load());
  const int lateMs = m_faults.Take(FaultKind::Late) ? FLAGS_late_ms : 0;
  std::this_thread::sleep_for(
    std::chrono::milliseconds(FLAGS_work_ms + lateMs));
  m_running--;
  if (m_faults.Take(FaultKind::Drop)) {
    response.drop = true;
    return response;
  }
  if (m_faults.Take(FaultKind::Silence)) {
    std::this_thread::sleep_for(std::chrono::hours(1));
  }
  if (m_faults.Take(FaultKind::Cross)) {
    response.headers["X-Request-Id"] = "other-1";
  }
  const auto body = nlohmann::json::parse(aRequest.body, nullptr, false);
  const auto seed =
    body.is_object() ? body.value("seed", std::uint64_t{ 0 }) : 0;
  response.headers["Content-Type"] = "text/plain";
  response.body = ExpectedPlainAnswer(seed);
  if (m_faults.Take(FaultKind::Truncate)) {
    const auto half = response.body.substr(0, response.body.size() / 2);
    response.body = half;
    response.stream = [] { return Chunk{ "", true }; };
  }
  return response;
}

}

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  PlainService service;
  ServeUntilStopped(
    base::ParseAddress(FLAGS_listen),
    [&](const HttpRequest& aRequest) { return service.Handle(aRequest); });
}
