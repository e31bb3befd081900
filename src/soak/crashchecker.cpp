#include "soak/crashchecker.h"

#include <fmt/format.h>

#include <algorithm>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

//! Limits for a request, or a part of prompts, that crashes upstreams. So many
//! crashes are allowed until routers quarantine it; after the time that routers
//! need to learn of them, at most kMaxLateRuns more runs are allowed.
constexpr std::size_t kMaxCrashesOfRequest = 3;
constexpr std::size_t kMaxCrashesOfPart = 5;
constexpr std::size_t kMaxLateRuns = 3;
constexpr base::Duration kCrashPropagationTime = 3000ms;
//! Allows for delays of a busy test machine.
constexpr base::Duration kMachineSlack = 1500ms;

}

void
CrashChecker::RecordRun(CrashCause aCause, base::TimePoint aNow)
{
  const bool isPart = aCause == CrashCause::PromptPart;
  const auto maxCrashes = isPart ? kMaxCrashesOfPart : kMaxCrashesOfRequest;
  auto& runs = m_runs[aCause];
  runs.push_back(aNow);
  if (runs.size() <= maxCrashes) {
    return;
  }
  const auto limit =
    runs[maxCrashes - 1] + kCrashPropagationTime + kMachineSlack;
  const auto late = static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [&](base::TimePoint aAt) {
      return aAt > limit;
    }));
  m_guarantees.Check(
    isPart ? Guarantee::CrashingPartStops : Guarantee::CrashingRequestStops,
    late <= kMaxLateRuns,
    fmt::format("{} runs too long after crash {}, {} runs in total",
                late,
                maxCrashes,
                runs.size()));
}

std::size_t
CrashChecker::RunCount(CrashCause aCause) const
{
  const auto runs = m_runs.find(aCause);
  return runs == m_runs.end() ? 0 : runs->second.size();
}

}
