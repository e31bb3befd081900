#include "platform/internal/platformclient.h"

#include "base/error.h"
#include "base/logline.h"
#include "platform/internal/httpget.h"
#include "platform/internal/platformjson.h"

namespace hemlockgauge::platform {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kReadTimeout = 3000ms;
constexpr base::Duration kMaxWatchWait = 10000ms;
constexpr base::Duration kWatchTimeoutMargin = 2000ms;
constexpr base::Duration kHostPollInterval = 1000ms;
constexpr base::Duration kRetryDelay = 500ms;
//! Poll interval of routers that do not watch; they receive changes from the
//! routers that do.
constexpr base::Duration kUnwatchedPollInterval = 60000ms;
constexpr base::Duration kLoadTimeout = 800ms;
constexpr std::size_t kMaxQueuedPolls = 1024;

std::int64_t
NowMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

}

PlatformClient::PlatformClient(base::Address aPlatform)
  : m_platform(std::move(aPlatform))
{
}

PlatformClient::~PlatformClient()
{
  PlatformClient::Stop();
}

void
PlatformClient::Start(Post aPost)
{
  m_post = std::move(aPost);
  m_documents = std::thread([this] { RunDocuments(); });
  m_hosts = std::thread([this] { RunHosts(); });
  m_loads = std::thread([this] { RunLoads(); });
  m_checker = std::thread([this] { RunChecks(); });
}

void
PlatformClient::Stop()
{
  m_stop = true;
  m_wake.notify_all();
  for (auto* thread : { &m_documents, &m_hosts, &m_loads, &m_checker }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

void
PlatformClient::SetWatching(bool aOn)
{
  m_watching = aOn;
  m_wake.notify_all();
}

void
PlatformClient::PollLoad(const decision::PollLoad& aPoll)
{
  const std::lock_guard lock(m_mutex);
  if (m_polls.size() < kMaxQueuedPolls) {
    m_polls.push_back(aPoll);
    m_wake.notify_all();
  }
}

void
PlatformClient::CheckUpstream(const decision::CheckUpstream& aCheck)
{
  const std::lock_guard lock(m_mutex);
  if (m_checks.size() < kMaxQueuedPolls) {
    m_checks.push_back(aCheck);
    m_wake.notify_all();
  }
}

base::Duration
PlatformClient::AnswerAge() const
{
  return base::Duration(NowMillis() - m_lastAnswer.load());
}

void
PlatformClient::RecordAnswer()
{
  m_lastAnswer = NowMillis();
}

void
PlatformClient::LogFailure(const char* aWhat, const std::string& aWhy)
{
  base::LogLine("platform-unreachable")
    .Add("what", aWhat)
    .Add("why", aWhy)
    .Warn();
}

void
PlatformClient::Pause(base::Duration aTime)
{
  std::unique_lock lock(m_mutex);
  const bool watching = m_watching;
  m_wake.wait_for(
    lock, aTime, [&] { return m_stop || m_watching != watching; });
}

void
PlatformClient::RunDocuments()
{
  while (!m_stop) {
    try {
      const bool watch = m_watching && m_version != 0;
      ReadDocuments(watch ? m_version : 0, watch ? kMaxWatchWait : 0ms);
      if (!m_watching) {
        Pause(kUnwatchedPollInterval);
      }
    } catch (const base::Error& error) {
      if (!m_stop) {
        LogFailure("documents", error.what());
        Pause(kRetryDelay);
      }
    }
  }
}

void
PlatformClient::ReadDocuments(std::uint64_t aAfter, base::Duration aWait)
{
  const auto path = aAfter == 0 ? std::string("/v1/config")
                                : "/v1/watch?after=" + std::to_string(aAfter) +
                                    "&wait_ms=" + std::to_string(aWait.count());
  const auto timeout = aAfter == 0 ? kReadTimeout : aWait + kWatchTimeoutMargin;
  const auto list =
    ParseDocumentList(HttpGet(m_platform, path, timeout, m_stop).body);
  RecordAnswer();
  m_rejectedDocuments.Update(list.rejected);
  for (const auto& document : list.documents) {
    if (m_readRevisions[document.name] >= document.revision) {
      continue;
    }
    auto answer =
      HttpGet(m_platform, "/v1/config/" + document.name, kReadTimeout, m_stop);
    const auto revision = answer.revision.value_or(document.revision);
    m_readRevisions[document.name] = revision;
    m_post(decision::DocumentRead{ document.name, revision, answer.body });
  }
  m_version = list.version;
}

void
PlatformClient::RunHosts()
{
  while (!m_stop) {
    try {
      const auto list = ParseHostList(
        HttpGet(m_platform, "/v1/hosts", kReadTimeout, m_stop).body);
      m_post(list.read);
      m_rejectedHosts.Update(list.rejected);
      RecordAnswer();
      Pause(m_watching ? kHostPollInterval : kUnwatchedPollInterval);
    } catch (const base::Error& error) {
      if (!m_stop) {
        LogFailure("hosts", error.what());
        Pause(kRetryDelay);
      }
    }
  }
}

void
PlatformClient::RunLoads()
{
  while (!m_stop) {
    decision::PollLoad poll;
    {
      std::unique_lock lock(m_mutex);
      m_wake.wait(lock, [&] { return m_stop || !m_polls.empty(); });
      if (m_stop) {
        return;
      }
      poll = m_polls.front();
      m_polls.pop_front();
    }
    try {
      m_post(ParseLoad(
        poll.upstream,
        HttpGet(poll.address, "/v1/load", kLoadTimeout, m_stop).body));
    } catch (const base::Error&) {
      // Without a load report the slot owner keeps its current leases.
    }
  }
}

void
PlatformClient::RunChecks()
{
  using quarantine::CheckResult;
  while (!m_stop) {
    decision::CheckUpstream check;
    {
      std::unique_lock lock(m_mutex);
      m_wake.wait(lock, [&] { return m_stop || !m_checks.empty(); });
      if (m_stop) {
        return;
      }
      check = m_checks.front();
      m_checks.pop_front();
    }
    auto result = CheckResult::Alive;
    try {
      HttpGet(check.address, "/v1/load", kLoadTimeout, m_stop);
    } catch (const base::Error& error) {
      const bool refused = error.Code() == base::ErrorCode::Refused;
      result = refused ? CheckResult::Crashed : CheckResult::Unknown;
    }
    base::LogLine("upstream-checked")
      .Add("address", check.address.Text())
      .Add("result", quarantine::kCheckResultNames.NameOf(result))
      .Info();
    m_post(decision::UpstreamChecked{ check.upstream, result });
  }
}

}
