#include "gateway/gateway.h"

#include "base/logline.h"
#include "eventloop/eventloop.h"

#include <algorithm>

//! How a gateway checks whether upstreams crashed, and what it logs about it.
namespace hemlockgauge::gateway {

using base::LogLine;

namespace {

//! Maximum number of log lines about the requests that one upstream ran when it
//! crashed.
constexpr std::size_t kMaxCrashedRunLines = 32;

}

void
Gateway::CheckUpstreams(base::TimePoint aNow)
{
  for (const auto& due : m_fleet.UpstreamsToCheck(aNow)) {
    m_checks.Begin(due.upstream, due.address, aNow);
  }
  m_endChecks.Tick(aNow);
  m_checks.Tick(aNow);
  for (const auto& notice : m_fleet.TakeQuarantineNotices()) {
    LogLine("request-quarantine")
      .Add("trait", quarantine::TraitText(notice.trait))
      .Add("change", quarantine::kQuarantineChangeNames.NameOf(notice.change))
      .Add("crashes", static_cast<std::uint64_t>(notice.crashes))
      .Add("answers", static_cast<std::uint64_t>(notice.answers))
      .Add("last_crash_ms", notice.lastCrashAge.count())
      .Warn();
  }
}

void
Gateway::HandleCheckResult(base::UpstreamId aUpstream,
                           quarantine::CheckResult aResult)
{
  const auto notice = m_fleet.RecordCheck(aUpstream, aResult, m_loop.Now());
  const auto result =
    std::string(quarantine::kCheckResultNames.NameOf(aResult));
  m_metrics.Count("upstream_checks_total{result=\"" + result + "\"}");
  LogLine("upstream-checked")
    .Add("upstream", notice.upstream)
    .Add("result", result)
    .Add("runs_broken", static_cast<std::uint64_t>(notice.runs.size()))
    .Info();
  if (aResult == quarantine::CheckResult::Crashed) {
    LogCrashedRuns(notice);
  }
  m_endChecks.OnResult(aUpstream, aResult);
}

//! Logs what the requests that an upstream ran when it crashed have in common.
void
Gateway::LogCrashedRuns(const fleet::CheckNotice& aNotice)
{
  const auto count = std::min(aNotice.runs.size(), kMaxCrashedRunLines);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& run = aNotice.runs[i];
    LogLine("crashed-run")
      .Add("upstream", aNotice.upstream)
      .Add("fingerprint", quarantine::FingerprintText(run.request))
      .Add("parts", quarantine::PartsText(run.parts))
      .Add("begun", run.hasBegun ? "yes" : "no")
      .Add("wrote_ms", run.writingTime.count())
      .Info();
  }
}

}
