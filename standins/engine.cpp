// A test double of a model engine: accepts every request at once, runs all of
// them concurrently, streams tokens as server-sent events, and lets a caller
// resume or cancel a stream.

#include "standins/expectedanswer.h"
#include "standins/faults.h"
#include "standins/httpserver.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

DEFINE_string(listen, "127.0.0.1:9000", "IP:PORT to serve on");
DEFINE_int32(slots,
             8,
             "number of requests that run concurrently at full speed");
DEFINE_int32(token_ms, 10, "milliseconds between tokens at full speed");
DEFINE_int32(prefill_ms,
             20,
             "milliseconds to the first token if the prefix is not cached");
DEFINE_int32(cache, 64, "capacity of the prefix cache, in prompt prefixes");
DEFINE_int32(load_lag_ms,
             500,
             "minimum interval in ms between updates of the reported load");
DEFINE_int32(retry_after_ms, 0, "Retry-After of refusals in ms; 0: none");
DEFINE_int32(late_ms, 3000, "delay in ms of an answer with the fault \"late\"");
DEFINE_bool(refuse_old_fencing,
            true,
            "refuse orders with an outdated fencing number");

using namespace hemlockgauge;
using namespace hemlockgauge::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kPrefixKeyBytes = 64;
constexpr auto kFinishedRunTtl = 30s;

struct Run
{
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t seed = 0;
  std::uint64_t tokens = 0;
  std::uint64_t produced = 0;
  bool cancelled = false;
};

class Engine
{
public:
  HttpResponse Handle(const HttpRequest& aRequest);

private:
  HttpResponse Generate(const HttpRequest& aRequest);
  HttpResponse Resume(const HttpRequest& aRequest, const std::string& aId);
  HttpResponse Cancel(const std::string& aId);
  HttpResponse Load();
  HttpResponse Order(const HttpRequest& aRequest);
  HttpResponse Runs();
  HttpResponse StreamFrom(std::shared_ptr<Run> aRun,
                          const std::string& aId,
                          std::uint64_t aStartToken);
  void ProduceTokens(const std::shared_ptr<Run>& aRun,
                     const std::string& aId,
                     bool aIsPrefixCached);
  bool TouchPrefix(const std::string& aPrompt);

  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<Run>> m_runs;
  std::map<std::string, int> m_runsByKey;
  std::deque<std::string> m_prefixes;
  std::atomic<int> m_running{ 0 };
  std::atomic<int> m_maxRunning{ 0 };
  int m_reportedRunning = 0;
  std::chrono::steady_clock::time_point m_loadReportedAt{};
  std::atomic<bool> m_leaving{ false };
  std::uint64_t m_maxFencing = 0;
  Faults m_faults;
};

HttpResponse
MakeResponse(int aStatus, const std::string& aBody = "")
{
  HttpResponse response;
  response.status = aStatus;
  response.body = aBody;
  return response;
}

HttpResponse
Engine::Handle(const HttpRequest& aRequest)
{
  const std::string kStreams = "/v1/streams/";
  if (aRequest.path == "/v1/load") {
    return Load();
  }
  if (aRequest.path == "/v1/orders") {
    return Order(aRequest);
  }
  if (aRequest.path == "/-/runs") {
    return Runs();
  }
  if (aRequest.path == "/-/leaving") {
    m_leaving = true;
    return MakeResponse(200);
  }
  if (aRequest.path == "/-/fault") {
    return MakeResponse(InjectFault(m_faults, aRequest.query) ? 200 : 400);
  }
  if (aRequest.path.starts_with(kStreams)) {
    const auto id = aRequest.path.substr(kStreams.size());
    return aRequest.method == "DELETE" ? Cancel(id) : Resume(aRequest, id);
  }
  return Generate(aRequest);
}

HttpResponse
Engine::Load()
{
  const std::lock_guard lock(m_mutex);
  const auto now = std::chrono::steady_clock::now();
  if (now - m_loadReportedAt >= std::chrono::milliseconds(FLAGS_load_lag_ms)) {
    m_loadReportedAt = now;
    m_reportedRunning = m_running;
  }
  return MakeResponse(200,
                      nlohmann::json{ { "running", m_reportedRunning },
                                      { "leaving", m_leaving.load() } }
                        .dump());
}

HttpResponse
Engine::Order(const HttpRequest& aRequest)
{
  const auto order = nlohmann::json::parse(aRequest.body, nullptr, false);
  if (!order.is_object() || !order.contains("fencing")) {
    return MakeResponse(400);
  }
  const auto fencing = order["fencing"].get<std::uint64_t>();
  const std::lock_guard lock(m_mutex);
  if (FLAGS_refuse_old_fencing && fencing < m_maxFencing) {
    return MakeResponse(409);
  }
  m_maxFencing = std::max(m_maxFencing, fencing);
  return MakeResponse(200);
}

HttpResponse
Engine::Runs()
{
  const std::lock_guard lock(m_mutex);
  nlohmann::json doubled = nlohmann::json::array();
  for (const auto& [key, count] : m_runsByKey) {
    if (count > 1) {
      doubled.push_back(key);
    }
  }
  return MakeResponse(200,
                      nlohmann::json{ { "keys", m_runsByKey.size() },
                                      { "doubled", doubled },
                                      { "running", m_running.load() },
                                      { "most_running", m_maxRunning.load() } }
                        .dump());
}

bool
Engine::TouchPrefix(const std::string& aPrompt)
{
  const auto prefix = aPrompt.substr(0, kPrefixKeyBytes);
  const std::lock_guard lock(m_mutex);
  const auto at = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
  const bool cached = at != m_prefixes.end();
  if (cached) {
    m_prefixes.erase(at);
  }
  m_prefixes.push_back(prefix);
  if (m_prefixes.size() > static_cast<std::size_t>(FLAGS_cache)) {
    m_prefixes.pop_front();
  }
  return cached;
}

HttpResponse
Engine::Generate(const HttpRequest& aRequest)
{
  const auto idHeader = aRequest.headers.find("x-request-id");
  const auto body = nlohmann::json::parse(aRequest.body, nullptr, false);
  if (idHeader == aRequest.headers.end() || !body.is_object()) {
    return MakeResponse(400, "expected X-Request-Id and a JSON object\n");
  }
  const auto id = idHeader->second;
  if (m_leaving || m_faults.Take(FaultKind::Refuse)) {
    auto refusal = MakeResponse(503);
    refusal.headers["X-Not-Run"] = "true";
    refusal.headers["X-Request-Id"] = id;
    AddRetryAfter(refusal, FLAGS_retry_after_ms);
    if (m_leaving) {
      refusal.headers["X-Leaving"] = "true";
    }
    return refusal;
  }
  auto run = std::make_shared<Run>();
  run->seed = body.value("seed", std::uint64_t{ 0 });
  run->tokens = body.value("tokens", std::uint64_t{ 16 });
  const bool cached = TouchPrefix(body.value("prompt", std::string()));
  {
    const std::lock_guard lock(m_mutex);
    m_runs[id] = run;
    const auto key = aRequest.headers.find("idempotency-key");
    m_runsByKey[key == aRequest.headers.end() ? id : key->second]++;
  }
  m_running++;
  m_maxRunning = std::max(m_maxRunning.load(), m_running.load());
  std::thread([this, run, id, cached] {
    ProduceTokens(run, id, cached);
  }).detach();
  if (m_faults.Take(FaultKind::Drop)) {
    HttpResponse dropped;
    dropped.drop = true;
    return dropped;
  }
  if (m_faults.Take(FaultKind::Fail)) {
    auto failed = MakeResponse(500, "failed\n");
    failed.headers["X-Request-Id"] = id;
    return failed;
  }
  return StreamFrom(run, id, 0);
}

//! Produces the tokens of one run until it is complete or cancelled. While more
//! requests run than there are slots, all runs slow down by the same factor.
void
Engine::ProduceTokens(const std::shared_ptr<Run>& aRun,
                      const std::string& aId,
                      bool aIsPrefixCached)
{
  const auto scaledDelay = [&](int aMs) {
    const double factor =
      std::max(1.0, static_cast<double>(m_running) / FLAGS_slots);
    return std::chrono::microseconds(
      static_cast<std::int64_t>(aMs * 1000 * factor));
  };
  auto next =
    std::chrono::steady_clock::now() +
    scaledDelay(aIsPrefixCached ? FLAGS_prefill_ms / 4 : FLAGS_prefill_ms);
  while (true) {
    std::this_thread::sleep_until(next);
    const std::lock_guard lock(aRun->mutex);
    if (aRun->cancelled || aRun->produced == aRun->tokens) {
      break;
    }
    aRun->produced++;
    aRun->changed.notify_all();
    next += scaledDelay(FLAGS_token_ms);
  }
  m_running--;
  std::this_thread::sleep_for(kFinishedRunTtl);
  const std::lock_guard lock(m_mutex);
  m_runs.erase(aId);
}

HttpResponse
Engine::Resume(const HttpRequest& aRequest, const std::string& aId)
{
  const auto from = aRequest.query.find("from");
  const std::lock_guard lock(m_mutex);
  const auto found = m_runs.find(aId);
  if (found == m_runs.end()) {
    auto unknown = MakeResponse(404);
    unknown.headers["X-Request-Id"] = aId;
    return unknown;
  }
  const auto offset = from == aRequest.query.end()
                        ? 0
                        : std::strtoull(from->second.c_str(), nullptr, 10);
  return StreamFrom(found->second, aId, offset);
}

HttpResponse
Engine::Cancel(const std::string& aId)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_runs.find(aId);
  if (found == m_runs.end()) {
    return MakeResponse(404);
  }
  const std::lock_guard runLock(found->second->mutex);
  found->second->cancelled = true;
  found->second->changed.notify_all();
  return MakeResponse(200);
}

HttpResponse
Engine::StreamFrom(std::shared_ptr<Run> aRun,
                   const std::string& aId,
                   std::uint64_t aStartToken)
{
  struct Cursor
  {
    std::uint64_t offset = 0;
    bool done = false;
    bool silent = false;
    bool truncated = false;
    bool late = false;
    bool crossEvent = false;
  };
  auto cursor = std::make_shared<Cursor>();
  cursor->offset = aStartToken;
  cursor->silent = m_faults.Take(FaultKind::Silence);
  cursor->truncated = m_faults.Take(FaultKind::Truncate);
  cursor->late = m_faults.Take(FaultKind::Late);
  cursor->crossEvent = m_faults.Take(FaultKind::CrossEvent);
  HttpResponse response;
  response.headers["Content-Type"] = "text/event-stream";
  response.headers["X-Request-Id"] =
    m_faults.Take(FaultKind::Cross) ? "other-1" : aId;
  if (m_leaving) {
    response.headers["X-Leaving"] = "true";
  }
  response.stream = [aRun, aId, cursor, aStartToken]() -> Chunk {
    const auto middle = aStartToken + (aRun->tokens - aStartToken) / 2;
    if (cursor->done) {
      return {};
    }
    if (cursor->late) {
      cursor->late = false;
      std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_late_ms));
    }
    if (cursor->truncated && cursor->offset >= middle) {
      return { "", true };
    }
    if (cursor->silent && cursor->offset >= middle) {
      std::this_thread::sleep_for(1h);
    }
    std::unique_lock lock(aRun->mutex);
    aRun->changed.wait_for(lock, 200ms, [&] {
      return aRun->cancelled || aRun->produced > cursor->offset ||
             cursor->offset >= aRun->tokens;
    });
    if (aRun->cancelled) {
      return { "", true };
    }
    const auto id = [&] {
      const bool cross = cursor->crossEvent && cursor->offset >= middle;
      return fmt::format(
        "id: {}/{}\n", cross ? "other-1" : aId, cursor->offset);
    };
    if (cursor->offset >= aRun->tokens) {
      cursor->done = true;
      return { id() + "event: done\ndata: \n\n", false };
    }
    std::string events;
    while (cursor->offset < aRun->produced) {
      events +=
        id() + "data: " + ExpectedToken(aRun->seed, cursor->offset) + "\n\n";
      cursor->offset++;
    }
    return { events.empty() ? ": still here\n\n" : events, false };
  };
  return response;
}

}

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Engine engine;
  ServeUntilStopped(
    base::ParseAddress(FLAGS_listen),
    [&](const HttpRequest& aRequest) { return engine.Handle(aRequest); });
}
