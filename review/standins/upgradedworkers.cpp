//! The last two workers of an old software version are upgraded in place, one
//! after the other: each ends and starts again under its id, with the version
//! that the other workers have. The platform's store is down meanwhile.
#include "review/standins/stage.h"
#include "standins/upstreamstandin.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <map>
#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::review;

namespace {

using namespace std::chrono_literals;

constexpr int kGateways = 3;
constexpr int kWorkers = 8;
constexpr std::uint32_t kSlots = 64;
constexpr base::Duration kEventTime = 50ms;
constexpr int kEvents = 60;
constexpr int kTokensPerEvent = 3;
constexpr base::Duration kHeartbeat = 1200ms;
constexpr base::Duration kStreamInterval = 10ms;
constexpr base::Duration kDeadline = 15000ms;
//! Times after the begin of the traffic.
constexpr base::Duration kStoreDownAt = 4000ms;
constexpr base::Duration kFirstUpgradeAt = 4200ms;
constexpr base::Duration kUpgradeInterval = 1500ms;
constexpr base::Duration kRestartTime = 700ms;
//! The workers that still have the old version when the traffic begins.
constexpr int kUpgradedWorkers = 2;
constexpr base::Duration kStoreUpAt = 8000ms;
constexpr base::Duration kLastStreamAt = 9000ms;
constexpr base::Duration kEndAt = 16000ms;
//! Streams of two versions that the rule allows.
constexpr int kAllowedMixed = 2;
constexpr int kMaxTries = 2;
//! Prompt parts that several streams share.
constexpr int kSharedParts = 40;

//! A stream as its consumer sees it, over all its tries.
struct Stream
{
  std::string origin; //!< attempt id of the try that brought the first event
  std::string body;
  int tries = 0;
  int events = 0; //!< complete ones
  bool isComplete = false;
  std::set<std::string> versions;
  std::string lines; //!< what the record says of it
  std::vector<std::unique_ptr<Call>> calls;
};

std::string
Config()
{
  return fmt::format(
    R"({{"version":1,"routes":[{{"name":"student-chat","host":"a.example",)"
    R"("prefix":"/chat/","type":"streaming","timeoutMs":15000,)"
    R"("targetLatencyMs":400,"targetGapMs":300,"priority":1,)"
    R"("service":"lm-pool","maxAttempts":3,"public":false,"sticky":true,)"
    R"("resumable":true}}],"services":[{{"name":"lm-pool",)"
    R"("healthPath":"/healthz","maxConns":360,"engine":{{"slots":{},)"
    R"("kvCapacity":232000}}}}],"limits":{{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":8000,)"
    R"("tokensPerS":260000}},"tenants":[{{"name":"tenant-a",)"
    R"("apiKeys":["key-a1"]}}]}})",
    kSlots);
}

class UpgradedWorkers
{
public:
  UpgradedWorkers(std::uint16_t aPort,
                  const std::string& aRecordFile,
                  bool aIsStoreDown)
    : m_stage(aPort, aRecordFile)
    , m_isStoreDown(aIsStoreDown)
  {
  }

  int Run()
  {
    m_stage.Store().PutConfig(Config());
    m_versions.assign(kWorkers, "v1");
    m_born.assign(kWorkers, 0);
    m_isUp.assign(kWorkers, false);
    for (int i = 0; i < kWorkers; ++i) {
      StartWorker(i, i < kUpgradedWorkers ? "v1" : "v2");
    }
    m_stage.Ask("start 1 2 3");
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

  //! Starts a worker under its id. It registers itself before it serves.
  void StartWorker(int aWorker, const std::string& aVersion)
  {
    const auto index = static_cast<std::size_t>(aWorker);
    m_versions[index] = aVersion;
    m_born[index] = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count());
    m_isUp[index] = true;
    WriteEntry(aWorker);
    standins::UpstreamStandinSettings settings;
    settings.id = WorkerId(aWorker);
    settings.listen = m_stage.Worker(aWorker);
    settings.slots = kSlots;
    settings.isEngine = true;
    settings.workTime = kEventTime;
    settings.softwareVersion = aVersion;
    m_workers.push_back(
      std::make_unique<standins::UpstreamStandin>(m_stage.Loop(), settings));
    m_current[aWorker] = m_workers.back().get();
    m_workers.back()->SetObserver(
      [this, id = settings.id, aVersion](const standins::UpstreamRun& aRun) {
        if (!aRun.ended) {
          m_stage.Record(fmt::format("worker {} ({}) runs {} after event {}",
                                     id,
                                     aVersion,
                                     aRun.requestId,
                                     aRun.lastEventId));
        }
      });
    m_stage.Record(fmt::format("worker {} starts with version {}, born {}",
                               WorkerId(aWorker),
                               aVersion,
                               m_born[index]));
  }

  //! The worker ends at once and sends nothing, as one that crashes.
  void EndWorker(int aWorker)
  {
    m_stage.Record(fmt::format("worker {} ends", WorkerId(aWorker)));
    m_isUp[static_cast<std::size_t>(aWorker)] = false;
    m_current[aWorker]->Crash();
  }

  //! Writes the worker's entry, unless the store is down.
  void WriteEntry(int aWorker)
  {
    const auto index = static_cast<std::size_t>(aWorker);
    if (m_stage.Store().faults.mute || !m_isUp[index]) {
      return;
    }
    const nlohmann::json entry{
      { "service", "lm-pool" }, { "address", m_stage.Worker(aWorker).Text() },
      { "zone", "torino-a" },   { "version", m_versions[index] },
      { "slots", kSlots },      { "state", "ready" },
      { "coldRemainingMs", 0 }, { "sequence", ++m_sequence },
      { "born", m_born[index] }
    };
    m_stage.Store().Put("servers/" + WorkerId(aWorker), entry.dump());
  }

  void BeginStream()
  {
    const auto number = static_cast<int>(m_streams.size());
    m_streams.push_back(std::make_unique<Stream>());
    Try(*m_streams.back(), number);
  }

  void Try(Stream& aStream, int aNumber)
  {
    const int gateway = (aNumber + aStream.tries) % kGateways + 1;
    const auto id = fmt::format("s{}-{}", aNumber, aStream.tries++);
    std::string resume;
    if (aStream.events > 0) {
      resume = fmt::format(
        "Last-Event-Id: {}\r\nResumes: {}\r\n", aStream.events, aStream.origin);
    }
    const auto body = fmt::format("question {}", aNumber);
    const auto request =
      fmt::format("POST /chat/x HTTP/1.1\r\nHost: a.example\r\n"
                  "Hemlockgauge-Attempt-Id: {}\r\n"
                  "Hemlockgauge-Model: m\r\n"
                  "Hemlockgauge-Token-Count: 200,{}\r\n"
                  "Hemlockgauge-Prefix-Hash: {:x}:100,{:x}:100\r\n"
                  "Hemlockgauge-Deadline-Ms: {}\r\n"
                  "Authorization: Bearer key-a1\r\n{}"
                  "Content-Length: {}\r\n\r\n{}",
                  id,
                  kEvents * kTokensPerEvent,
                  0x100 + aNumber % kSharedParts,
                  0x1000 + aNumber,
                  kDeadline.count(),
                  resume,
                  body.size(),
                  body);
    aStream.lines += fmt::format(
      " [{} to gateway {} after event {}]", id, gateway, aStream.events);
    aStream.calls.push_back(std::make_unique<Call>(
      m_stage.Loop(),
      m_stage.Gateway(gateway),
      request,
      [this, &aStream, aNumber, id, seen = std::size_t{ 0 }](
        Call& aCall) mutable {
        if (aCall.Status() == 200) {
          seen = TakeEvents(aStream, id, aCall.Body(), seen);
        }
        if (aCall.IsOver()) {
          EndTry(aStream, aNumber, aCall);
        }
      }));
  }

  //! Takes the complete events behind aSeen; returns where the rest begins.
  std::size_t TakeEvents(Stream& aStream,
                         const std::string& aId,
                         const std::string& aBody,
                         std::size_t aSeen)
  {
    const std::string_view field = "event: ";
    for (auto end = aBody.find("\n\n", aSeen); end != std::string::npos;
         end = aBody.find("\n\n", aSeen)) {
      const auto event = aBody.substr(aSeen, end - aSeen);
      aSeen = end + 2;
      const auto at = event.find(field);
      const auto from = at + field.size();
      const auto version = event.substr(from, event.find('\n', from) - from);
      if (aStream.events == 0) {
        aStream.origin = aId;
      }
      aStream.events++;
      if (aStream.versions.insert(version).second) {
        aStream.lines +=
          fmt::format(" {} from event {}", version, aStream.events);
      }
    }
    return aSeen;
  }

  void EndTry(Stream& aStream, int aNumber, const Call& aCall)
  {
    aStream.isComplete = aCall.IsComplete() && aCall.Status() == 200;
    aStream.lines += fmt::format(
      " status {}{}", aCall.Status(), aCall.IsComplete() ? "" : ", cut off");
    if (!aStream.isComplete && aStream.tries < kMaxTries) {
      Try(aStream, aNumber);
    }
  }

  void PlayTraffic()
  {
    struct Step
    {
      base::Duration at;
      std::function<void()> act;
    };
    auto& store = m_stage.Store();
    std::vector<Step> steps;
    if (m_isStoreDown) {
      steps.push_back({ kStoreDownAt, [&] {
                         store.faults.mute = true;
                         m_stage.Record("the store is down");
                       } });
    }
    for (int i = 0; i < kUpgradedWorkers; ++i) {
      const auto at = kFirstUpgradeAt + i * kUpgradeInterval;
      steps.push_back({ at, [this, i] { EndWorker(i); } });
      steps.push_back(
        { at + kRestartTime, [this, i] { StartWorker(i, "v2"); } });
    }
    if (m_isStoreDown) {
      steps.push_back({ kStoreUpAt, [&] {
                         store.faults.mute = false;
                         m_stage.Record("the store is back");
                       } });
    }
    const auto begin = base::MonotonicNow();
    auto nextBeat = begin + kHeartbeat;
    std::size_t next = 0;
    while (base::MonotonicNow() < begin + kEndAt) {
      const auto elapsed = base::MonotonicNow() - begin;
      while (next < steps.size() && elapsed >= steps[next].at) {
        steps[next++].act();
      }
      if (base::MonotonicNow() >= nextBeat) {
        nextBeat += kHeartbeat;
        for (int i = 0; i < kWorkers; ++i) {
          WriteEntry(i);
        }
      }
      if (elapsed < kLastStreamAt) {
        BeginStream();
      }
      m_stage.RunFor(kStreamInterval);
    }
  }

  int Judge()
  {
    int mixed = 0;
    int complete = 0;
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
      const auto& stream = *m_streams[i];
      const bool isMixed = stream.versions.size() > 1;
      mixed += isMixed ? 1 : 0;
      complete += stream.isComplete ? 1 : 0;
      m_stage.Record(
        fmt::format("stream {}:{}; {} events, {}{}",
                    i,
                    stream.lines,
                    stream.events,
                    stream.isComplete ? "complete" : "not complete",
                    isMixed ? ", of TWO VERSIONS" : ""));
    }
    m_stage.Record(fmt::format(
      "{} of {} streams hold events of two versions (the rule allows {}); {} "
      "streams are complete",
      mixed,
      m_streams.size(),
      kAllowedMixed,
      complete));
    if (complete == 0) {
      return kNotRun;
    }
    return mixed > kAllowedMixed ? kBroken : kHeld;
  }

  Stage m_stage;
  bool m_isStoreDown;
  std::vector<std::unique_ptr<standins::UpstreamStandin>> m_workers;
  std::map<int, standins::UpstreamStandin*> m_current;
  std::vector<std::string> m_versions;
  std::vector<std::uint64_t> m_born;
  std::vector<bool> m_isUp;
  std::uint64_t m_sequence = 0;
  std::vector<std::unique_ptr<Stream>> m_streams;
};

}

int
main(int argc, char** argv)
{
  if (argc != 4) {
    return kNotRun;
  }
  UpgradedWorkers played(static_cast<std::uint16_t>(std::atoi(argv[1])),
                         argv[2],
                         std::string(argv[3]) != "0");
  return played.Run();
}
