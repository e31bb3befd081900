#include "soak/soakrun.h"

#include <fmt/format.h>

#include <algorithm>

//! What a soak run checks at its end over all requests, and its report.
namespace hemlockgauge::soak {

namespace {

//! Resumed streams must go on at least at this ratio of the share of new ones
//! that begin. Fewer requests than kMinResumes are not judged.
constexpr double kMinGoOnRatio = 0.5;
constexpr std::uint64_t kMinResumes = 12;
//! Streams that share a part with requests that crash engines must begin at
//! least at this ratio of the share of others. Fewer than kMinSharers are not
//! compared.
constexpr double kMinBegunRatio = 0.5;
constexpr std::uint64_t kMinSharers = 20;

}

void
SoakRun::CheckStreamsGoOn()
{
  const auto& resumed = m_shared.resumedStreams;
  if (resumed.requests < kMinResumes) {
    return;
  }
  m_guarantees.Check(
    Guarantee::StreamsGoOn,
    resumed.StartedShare() >=
      kMinGoOnRatio * m_shared.newStreams.StartedShare(),
    fmt::format("{} of {} streams went on", resumed.started, resumed.requests));
}

void
SoakRun::CheckSharersBegin()
{
  const auto& sharing = m_shared.sharingStreams;
  const auto& others = m_shared.otherStreams;
  const bool isComparable = m_settings.hasCrashingPart &&
                            sharing.requests >= kMinSharers &&
                            others.requests >= kMinSharers;
  if (isComparable) {
    m_guarantees.Check(
      Guarantee::PartSharersBegin,
      sharing.StartedShare() >= kMinBegunRatio * others.StartedShare(),
      fmt::format("{} of {} streams began", sharing.started, sharing.requests));
  }
}

std::string
SoakRun::Report() const
{
  auto text = fmt::format("soak seed={} routers={} upstreams={} callers={} "
                          "served={} refused={} failed={}\n",
                          m_settings.seed,
                          m_settings.routers,
                          m_settings.upstreams,
                          m_settings.callers,
                          m_shared.outcomes[0],
                          m_shared.outcomes[1],
                          m_shared.outcomes[2]);
  text += fmt::format("first byte ms p50={:.1f} p95={:.1f} p99={:.1f}\n",
                      m_shared.firstByteMs.Quantile(0.5),
                      m_shared.firstByteMs.Quantile(0.95),
                      m_shared.firstByteMs.Quantile(0.99));
  if (m_shared.resumesStreams) {
    text += fmt::format("streams begun {} of {}, gone on {} of {}\n",
                        m_shared.newStreams.started,
                        m_shared.newStreams.requests,
                        m_shared.resumedStreams.started,
                        m_shared.resumedStreams.requests);
  }
  if (m_settings.hasCrashingPart) {
    text += fmt::format("streams begun with the shared part {} of {}, without "
                        "{} of {}, runs with a crashing part {}\n",
                        m_shared.sharingStreams.started,
                        m_shared.sharingStreams.requests,
                        m_shared.otherStreams.started,
                        m_shared.otherStreams.requests,
                        m_crashChecks.RunCount(CrashCause::PromptPart));
  }
  if (m_settings.hasOddCallers) {
    text += fmt::format("odd callers {}\n", m_oddCallers.Count());
  }
  if (m_settings.hasSpoiledResponses) {
    text += m_spoilChecks.Summary();
  }
  for (std::size_t i = 0; i < kGuaranteeCount; ++i) {
    const auto guarantee = static_cast<Guarantee>(i);
    text += fmt::format("guarantee {:<28} checked {}\n",
                        kGuaranteeNames.NameOf(guarantee),
                        m_guarantees.CheckCount(guarantee));
  }
  for (const auto& violation : m_guarantees.Violations()) {
    text += "BROKEN " + violation + "\n";
  }
  text += "second served refused failed faults\n";
  for (std::size_t s = 0; s < m_shared.bySecond.size(); ++s) {
    const auto& outcomes = m_shared.bySecond[s];
    text += fmt::format(
      "{:>6} {:>6} {:>7} {:>6} {:<20}",
      s,
      outcomes[0],
      outcomes[1],
      outcomes[2],
      std::string(std::min<std::size_t>(outcomes[0] / 10, 20), '#'));
    for (const auto& fault : m_plan) {
      if (static_cast<std::size_t>(fault.at.count() / 1000) == s) {
        text += fmt::format(" {}({},{} ms)",
                            kFaultKindNames.NameOf(fault.kind),
                            fault.target,
                            fault.duration.count());
      }
    }
    text += "\n";
  }
  return text;
}

}
