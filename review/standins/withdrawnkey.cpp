//! A key is taken away; some seconds later the platform's store comes back from
//! a copy that still holds the key, and one machine is restarted meanwhile.
#include "review/standins/stage.h"
#include "standins/upstreamstandin.h"

#include <fmt/format.h>

#include <cstdlib>
#include <map>
#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::review;

namespace {

using namespace std::chrono_literals;

constexpr int kGateways = 3;
constexpr int kWorkers = 2;
constexpr std::uint32_t kSlots = 6;
constexpr base::Duration kWorkTime = 10ms;
//! revokeMs of the installation.
constexpr base::Duration kRevokeBound = 5000ms;
//! Age of the copy when the key is taken away.
constexpr base::Duration kCopyLead = 300ms;
//! Times after the acknowledgement that takes the key away.
constexpr base::Duration kStoreAwayAt = 4600ms;
constexpr base::Duration kStoreBackAt = 5200ms;
constexpr base::Duration kKillAt = 5400ms;
constexpr base::Duration kRestartAt = 5600ms;
constexpr base::Duration kRewriteAt = 7000ms;
constexpr base::Duration kEndAt = 11000ms;
constexpr base::Duration kSendInterval = 20ms;
//! Interval of the reports between the machines.
constexpr base::Duration kReportInterval = 100ms;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;

//! Which of the two disruptions are played.
struct Trouble
{
  bool drill = false;
  bool restart = false;
};

//! A request that a consumer has sent.
struct Sent
{
  std::string key;
  int gateway = 0;
  base::TimePoint at{};
  std::unique_ptr<Call> call;
};

std::string
Config(int aVersion, bool aHasFirstKey)
{
  const auto* firstKeys = aHasFirstKey ? R"("key-a1","key-a2")" : R"("key-a2")";
  return fmt::format(
    R"({{"version":{},"routes":[{{"name":"status-check","host":"a.example",)"
    R"("prefix":"/status/","type":"safe","timeoutMs":1500,)"
    R"("targetLatencyMs":150,"priority":2,"service":"portal-app",)"
    R"("maxAttempts":2,"public":false,"sticky":false}}],)"
    R"("services":[{{"name":"portal-app","healthPath":"/healthz",)"
    R"("maxConns":96}}],"limits":{{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":8000,)"
    R"("tokensPerS":260000}},"tenants":[{{"name":"tenant-a",)"
    R"("apiKeys":[{}]}},{{"name":"tenant-b","apiKeys":["key-b1"]}}]}})",
    aVersion,
    firstKeys);
}

std::string
Request(const std::string& aId, const std::string& aKey)
{
  return fmt::format("GET /status/7 HTTP/1.1\r\nHost: a.example\r\n"
                     "Hemlockgauge-Attempt-Id: {}\r\n"
                     "Hemlockgauge-Deadline-Ms: 1500\r\n"
                     "Authorization: Bearer {}\r\n\r\n",
                     aId,
                     aKey);
}

class WithdrawnKey
{
public:
  WithdrawnKey(std::uint16_t aPort,
               const std::string& aRecordFile,
               const Trouble& aTrouble)
    : m_stage(aPort, aRecordFile)
    , m_trouble(aTrouble)
  {
  }

  int Run()
  {
    AddWorkers();
    m_stage.Store().PutConfig(Config(1, true));
    m_stage.Ask("start 1 2 3");
    if (!m_stage.WaitUntilReady(kGateways)) {
      return kNotRun;
    }
    m_stage.RunFor(1500ms);
    if (CountStatus("key-a1", kOk) != kGateways) {
      return kNotRun;
    }
    m_stage.Store().SaveBackup();
    m_stage.Record("the store is copied");
    m_stage.RunFor(kCopyLead);
    m_stage.Store().PutConfig(Config(2, false));
    m_acknowledgedAt = base::MonotonicNow();
    m_stage.Record("version 2 without key-a1 is acknowledged");
    m_stage.RunFor(1000ms);
    if (CountStatus("key-a1", kUnauthorized) != kGateways) {
      return kNotRun;
    }
    m_stage.Record("all machines answer 401 to key-a1");
    PlayTraffic();
    return Judge();
  }

private:
  void AddWorkers()
  {
    for (int i = 0; i < kWorkers; ++i) {
      standins::UpstreamStandinSettings settings;
      settings.id = fmt::format("i-{}", i + 1);
      settings.listen = m_stage.Worker(i);
      settings.slots = kSlots;
      settings.workTime = kWorkTime;
      m_workers.push_back(
        std::make_unique<standins::UpstreamStandin>(m_stage.Loop(), settings));
      m_workers.back()->SetObserver(
        [this, id = settings.id](const standins::UpstreamRun& aRun) {
          if (!aRun.ended) {
            m_ran.emplace(aRun.requestId, id);
          }
        });
    }
    WriteEntries();
  }

  void WriteEntries()
  {
    for (int i = 0; i < kWorkers; ++i) {
      m_stage.Store().PutUpstream(
        fmt::format("i-{}", i + 1),
        { "portal-app", m_stage.Worker(i), "torino-a", kSlots });
    }
  }

  int CountStatus(const std::string& aKey, int aStatus)
  {
    int count = 0;
    for (int number = 1; number <= kGateways; ++number) {
      const auto id = fmt::format("check-{}", ++m_lastId);
      const int status =
        m_stage.StatusOf(m_stage.Gateway(number), Request(id, aKey));
      m_stage.Record(fmt::format(
        "request {} with {} to gateway {}: {}", id, aKey, number, status));
      count += status == aStatus ? 1 : 0;
    }
    return count;
  }

  void Send(const std::string& aKey)
  {
    for (int number = 1; number <= kGateways; ++number) {
      const auto id = fmt::format("a-{}", ++m_lastId);
      auto& sent = m_sent[id];
      sent.key = aKey;
      sent.gateway = number;
      sent.at = base::MonotonicNow();
      sent.call = std::make_unique<Call>(
        m_stage.Loop(), m_stage.Gateway(number), Request(id, aKey));
    }
  }

  void PlayTraffic()
  {
    struct Step
    {
      base::Duration at;
      bool isPlayed;
      std::function<void()> act;
    };
    auto& store = m_stage.Store();
    std::vector<Step> steps{
      { kStoreAwayAt,
        m_trouble.drill,
        [&] {
          store.faults.mute = true;
          m_stage.Record("the store is away");
        } },
      { kStoreBackAt,
        m_trouble.drill,
        [&] {
          store.Restore();
          store.faults.mute = false;
          m_stage.Record("the store is back from the copy, in its next era");
        } },
      { kKillAt, m_trouble.restart, [&] { m_stage.Ask("kill 1"); } },
      { kRestartAt, m_trouble.restart, [&] { Restart(); } },
      { kRewriteAt,
        m_trouble.drill,
        [&] {
          store.PutConfig(Config(2, false));
          WriteEntries();
          m_stage.Record("the operator and the workers have written again");
        } }
    };
    std::size_t next = 0;
    while (base::MonotonicNow() < m_acknowledgedAt + kEndAt) {
      const auto now = base::MonotonicNow();
      while (next < steps.size() && now >= m_acknowledgedAt + steps[next].at) {
        if (steps[next].isPlayed) {
          steps[next].act();
        }
        next++;
      }
      Send("key-a1");
      Send("key-b1");
      m_stage.RunFor(kSendInterval);
    }
    m_stage.RunFor(1500ms);
  }

  //! Starts the machine again just after the others have sent their reports,
  //! which they do ten times a second at the same time of day.
  void Restart()
  {
    m_stage.WaitFor(
      [] {
        const auto now = std::chrono::duration_cast<base::Duration>(
          std::chrono::system_clock::now().time_since_epoch());
        return now % kReportInterval < kReportInterval / 20;
      },
      kReportInterval * 2);
    m_stage.Ask("start 1");
  }

  int Judge()
  {
    int broken = 0;
    int runsOfOthers = 0;
    std::set<int> gateways;
    for (const auto& [id, sent] : m_sent) {
      const auto ran = m_ran.find(id);
      const auto later = sent.at - m_acknowledgedAt;
      m_stage.Record(
        fmt::format("request {} with {} to gateway {}, sent {} ms after the "
                    "acknowledgement: status {}, {}",
                    id,
                    sent.key,
                    sent.gateway,
                    later.count(),
                    sent.call->Status(),
                    ran == m_ran.end() ? "not run" : "run by " + ran->second));
      if (ran == m_ran.end()) {
        continue;
      }
      if (sent.key != "key-a1") {
        runsOfOthers++;
      } else if (later > kRevokeBound) {
        broken++;
        gateways.insert(sent.gateway);
      }
    }
    m_stage.Record(fmt::format(
      "{} of {} requests ran although their key was taken away over {} ms "
      "before they were sent, at {} machines; {} with other keys ran",
      broken,
      m_sent.size(),
      kRevokeBound.count(),
      gateways.size(),
      runsOfOthers));
    if (runsOfOthers == 0) {
      return kNotRun;
    }
    return broken > 0 ? kBroken : kHeld;
  }

  Stage m_stage;
  Trouble m_trouble;
  std::vector<std::unique_ptr<standins::UpstreamStandin>> m_workers;
  std::map<std::string, std::string> m_ran; //!< worker by attempt id
  std::map<std::string, Sent> m_sent;
  base::TimePoint m_acknowledgedAt{};
  int m_lastId = 0;
};

}

int
main(int argc, char** argv)
{
  if (argc != 4) {
    return kNotRun;
  }
  const std::string trouble = argv[3];
  const Trouble played{ trouble == "1" || trouble == "drill",
                        trouble == "1" || trouble == "restart" };
  WithdrawnKey played_case(
    static_cast<std::uint16_t>(std::atoi(argv[1])), argv[2], played);
  return played_case.Run();
}
