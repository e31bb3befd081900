//! A worker starts while the clock of its machine is ahead. The clock is set
//! back, the worker crashes and starts again under its id. Some seconds later
//! it reports that it is draining, goes on serving for a while, and exits.
#include "review/standins/stage.h"
#include "standins/upstreamstandin.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <map>
#include <random>

using namespace hemlockgauge;
using namespace hemlockgauge::review;

namespace {

using namespace std::chrono_literals;

constexpr int kGateways = 6;
constexpr int kWorkers = 4;
//! The worker whose clock is set back.
constexpr int kLast = kWorkers - 1;
constexpr std::uint32_t kSlots = 64;
//! A stream takes 3.4 s.
constexpr base::Duration kEventTime = 200ms;
constexpr int kEvents = 17;
constexpr int kTokensPerEvent = 3;
constexpr int kDeadlineMs = 6000;
constexpr base::Duration kHeartbeat = 1200ms;
//! How far the clock is ahead at first.
constexpr base::Duration kAhead = 2400ms;
//! drainMs of the installation.
constexpr base::Duration kDrainBound = 2000ms;
//! Times after the begin of the traffic.
constexpr base::Duration kStartAt = 1000ms;
constexpr base::Duration kCrashAt = 1800ms;
constexpr base::Duration kRestartAt = 2500ms;
constexpr base::Duration kDrainingAt = 12000ms;
constexpr base::Duration kExitAt = 22000ms;
constexpr base::Duration kLastRequestAt = 23000ms;
constexpr base::Duration kEndAt = 27000ms;
//! Mean pause between two requests to one machine: a quiet hour.
constexpr double kMeanPauseMs = 1200;
constexpr unsigned kSeed = 47;

struct Sent
{
  int gateway = 0;
  base::TimePoint at{};
  std::unique_ptr<Call> call;
};

struct Arrival
{
  int worker = 0;
  base::TimePoint at{};
};

std::string
Config()
{
  return R"({"version":1,"routes":[{"name":"cv-match",)"
         R"("host":"a.example","prefix":"/match/","type":"streaming",)"
         R"("timeoutMs":6000,"targetLatencyMs":800,"targetGapMs":300,)"
         R"("priority":1,"service":"lm-pool","maxAttempts":1,)"
         R"("public":false,"sticky":true,"resumable":false}],)"
         R"("services":[{"name":"lm-pool","healthPath":"/healthz",)"
         R"("maxConns":360,"engine":{"slots":64,"kvCapacity":232000}}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":8000,)"
         R"("tokensPerS":260000},"tenants":[{"name":"tenant-a",)"
         R"("apiKeys":["key-a1"]}]})";
}

class SetBackClock
{
public:
  SetBackClock(std::uint16_t aPort,
               const std::string& aRecordFile,
               bool aIsSetBack)
    : m_stage(aPort, aRecordFile)
    , m_ahead(aIsSetBack ? kAhead : base::Duration{})
  {
  }

  int Run()
  {
    m_stage.Store().PutConfig(Config());
    m_born.assign(kWorkers, 0);
    for (int i = 0; i < kLast; ++i) {
      StartWorker(i, base::Duration{});
    }
    m_stage.Ask("start 1 2 3 4 5 6");
    if (!m_stage.WaitUntilReady(kGateways)) {
      return kNotRun;
    }
    m_stage.RunFor(1500ms);
    PlayTraffic();
    return Judge();
  }

private:
  static std::string WorkerId(int aWorker)
  {
    return fmt::format("i-{}", aWorker + 1);
  }

  //! aAhead: how far the clock of the worker's machine is ahead.
  void StartWorker(int aWorker, base::Duration aAhead)
  {
    const auto index = static_cast<std::size_t>(aWorker);
    const auto clock = std::chrono::system_clock::now() + aAhead;
    m_born[index] = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        clock.time_since_epoch())
        .count());
    m_states[aWorker] = "ready";
    WriteEntry(aWorker);
    standins::UpstreamStandinSettings settings;
    settings.id = WorkerId(aWorker);
    settings.listen = m_stage.Worker(aWorker);
    settings.slots = kSlots;
    settings.isEngine = true;
    settings.workTime = kEventTime;
    m_workers.push_back(
      std::make_unique<standins::UpstreamStandin>(m_stage.Loop(), settings));
    m_current[aWorker] = m_workers.back().get();
    m_workers.back()->SetObserver(
      [this, aWorker](const standins::UpstreamRun& aRun) {
        if (!aRun.ended) {
          m_arrivals[aRun.requestId] = { aWorker, base::MonotonicNow() };
        }
      });
    m_stage.Record(fmt::format("worker {} starts, born {} by its clock",
                               WorkerId(aWorker),
                               m_born[index]));
  }

  void WriteEntry(int aWorker)
  {
    const auto state = m_states.find(aWorker);
    if (state == m_states.end()) {
      return;
    }
    const nlohmann::json entry{ { "service", "lm-pool" },
                                { "address", m_stage.Worker(aWorker).Text() },
                                { "zone", "torino-a" },
                                { "version", "v1" },
                                { "slots", kSlots },
                                { "state", state->second },
                                { "coldRemainingMs", 0 },
                                { "sequence", ++m_sequence },
                                { "born",
                                  m_born[static_cast<std::size_t>(aWorker)] } };
    m_stage.Store().Put("servers/" + WorkerId(aWorker), entry.dump());
  }

  void Crash(int aWorker)
  {
    m_stage.Record(fmt::format("worker {} crashes", WorkerId(aWorker)));
    m_states.erase(aWorker);
    m_current[aWorker]->Crash();
  }

  void Drain(int aWorker)
  {
    m_states[aWorker] = "draining";
    WriteEntry(aWorker);
    m_drainingAt = base::MonotonicNow();
    m_current[aWorker]->Leave();
    m_stage.Record(fmt::format("worker {} reports draining, acknowledged; all "
                               "its answers say Server-Leaving from now on",
                               WorkerId(aWorker)));
  }

  void Exit(int aWorker)
  {
    m_stage.Record(fmt::format("worker {} exits", WorkerId(aWorker)));
    m_states.erase(aWorker);
    m_stage.Store().RemoveUpstream(WorkerId(aWorker));
    m_current[aWorker]->Crash();
  }

  void Send(int aGateway)
  {
    const auto id = fmt::format("a-{}", ++m_lastId);
    const auto body = fmt::format("posting {}", m_lastId);
    const auto request =
      fmt::format("POST /match/7 HTTP/1.1\r\nHost: a.example\r\n"
                  "Hemlockgauge-Attempt-Id: {}\r\n"
                  "Hemlockgauge-Model: m\r\n"
                  "Hemlockgauge-Token-Count: 200,{}\r\n"
                  "Hemlockgauge-Prefix-Hash: {:x}:100,{:x}:100\r\n"
                  "Hemlockgauge-Deadline-Ms: {}\r\n"
                  "Authorization: Bearer key-a1\r\n"
                  "Content-Length: {}\r\n\r\n{}",
                  id,
                  kEvents * kTokensPerEvent,
                  0x100 + m_lastId,
                  0x10000 + m_lastId,
                  kDeadlineMs,
                  body.size(),
                  body);
    auto& sent = m_sent[id];
    sent.gateway = aGateway;
    sent.at = base::MonotonicNow();
    sent.call = std::make_unique<Call>(
      m_stage.Loop(), m_stage.Gateway(aGateway), request);
  }

  void PlayTraffic()
  {
    struct Step
    {
      base::Duration at;
      std::function<void()> act;
    };
    const std::vector<Step> steps{
      { kStartAt, [&] { StartWorker(kLast, m_ahead); } },
      { kCrashAt, [&] { Crash(kLast); } },
      { kRestartAt, [&] { StartWorker(kLast, base::Duration{}); } },
      { kDrainingAt, [&] { Drain(kLast); } },
      { kExitAt, [&] { Exit(kLast); } },
    };
    std::mt19937 random(kSeed);
    std::exponential_distribution<double> pause(1 / kMeanPauseMs);
    const auto begin = base::MonotonicNow();
    std::map<int, base::TimePoint> nextSend;
    for (int number = 1; number <= kGateways; ++number) {
      nextSend[number] = begin;
    }
    auto nextBeat = begin + kHeartbeat;
    std::size_t next = 0;
    while (base::MonotonicNow() < begin + kEndAt) {
      const auto now = base::MonotonicNow();
      while (next < steps.size() && now >= begin + steps[next].at) {
        steps[next++].act();
      }
      if (now >= nextBeat) {
        nextBeat += kHeartbeat;
        for (int i = 0; i < kWorkers; ++i) {
          WriteEntry(i);
        }
      }
      for (auto& [number, at] : nextSend) {
        if (now >= at && now < begin + kLastRequestAt) {
          Send(number);
          at += base::Duration(static_cast<std::int64_t>(pause(random)) + 1);
        }
      }
      m_stage.RunFor(5ms);
    }
  }

  int Judge()
  {
    int late = 0;
    int lost = 0;
    int runs = 0;
    for (const auto& [id, sent] : m_sent) {
      const auto arrival = m_arrivals.find(id);
      const bool hasArrived = arrival != m_arrivals.end();
      runs += hasArrived ? 1 : 0;
      const bool isLate = hasArrived && arrival->second.worker == kLast &&
                          arrival->second.at > m_drainingAt + kDrainBound;
      late += isLate ? 1 : 0;
      lost += isLate && !sent.call->IsComplete() ? 1 : 0;
      m_stage.Record(fmt::format(
        "request {} to gateway {}: status {}{}, {}",
        id,
        sent.gateway,
        sent.call->Status(),
        sent.call->IsComplete() ? "" : ", not complete",
        hasArrived ? fmt::format("run by {}, which it reached {} ms after the "
                                 "acknowledgement{}",
                                 WorkerId(arrival->second.worker),
                                 (arrival->second.at - m_drainingAt).count(),
                                 isLate ? ": TOO LATE" : "")
                   : "not run"));
    }
    m_stage.Record(fmt::format(
      "{} of {} requests reached the draining worker later than {} ms after "
      "the "
      "acknowledgement; the streams of {} of them were lost when it exited",
      late,
      m_sent.size(),
      kDrainBound.count(),
      lost));
    if (runs == 0) {
      return kNotRun;
    }
    return late > 0 ? kBroken : kHeld;
  }

  Stage m_stage;
  base::Duration m_ahead;
  std::vector<std::unique_ptr<standins::UpstreamStandin>> m_workers;
  std::map<int, standins::UpstreamStandin*> m_current;
  std::map<int, std::string> m_states; //!< of the workers that run
  std::vector<std::uint64_t> m_born;
  std::map<std::string, Arrival> m_arrivals;
  std::map<std::string, Sent> m_sent;
  base::TimePoint m_drainingAt{};
  std::uint64_t m_sequence = 0;
  int m_lastId = 0;
};

}

int
main(int argc, char** argv)
{
  if (argc != 4) {
    return kNotRun;
  }
  SetBackClock played(static_cast<std::uint16_t>(std::atoi(argv[1])),
                      argv[2],
                      std::string(argv[3]) != "0");
  return played.Run();
}
