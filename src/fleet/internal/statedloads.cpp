#include "fleet/statedloads.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! Greatest plausible number of waiting requests per slot. Requests behind a
//! longer queue would miss their deadlines.
constexpr std::uint64_t kMaxWaitingPerSlot = 64;
//! Range of a plausible slowdown. A figure outside it is in another unit, or
//! the host is out of service.
constexpr double kMinSlowdown = 0.05;
constexpr double kMaxSlowdown = 50.0;

bool
IsPlausible(const StatedLoad& aLoad, std::uint32_t aListedSlots)
{
  const bool hasValidSlots = aLoad.slots > 0 && aLoad.slots <= aListedSlots;
  const auto maxWaiting = kMaxWaitingPerSlot * std::uint64_t{ aLoad.slots };
  // Not a number compares false with both bounds.
  const bool hasValidSlowdown =
    aLoad.slowdown >= kMinSlowdown && aLoad.slowdown <= kMaxSlowdown;
  return hasValidSlots && aLoad.running <= aLoad.slots &&
         aLoad.waiting <= maxWaiting && hasValidSlowdown;
}

//! Ratio of the reports in a mix with an older statement: 0 if both are of the
//! same time, 1 when the statement expires. It grows linearly with the
//! statement's age if the age of the reports is constant.
double
ReportsRatio(TimePoint aStatedAt, TimePoint aReportsAsOf, TimePoint aNow)
{
  const auto reportsAsOf = std::min(aReportsAsOf, aNow);
  if (reportsAsOf <= aStatedAt) {
    return 0;
  }
  const auto newerBy = static_cast<double>((reportsAsOf - aStatedAt).count());
  const auto validFor =
    static_cast<double>((aStatedAt + kStatedLoadLifetime - aNow).count());
  return newerBy / (newerBy + std::max(0.0, validFor));
}

double
Mix(double aStated, double aReported, double aReportsRatio)
{
  return aStated + (aReported - aStated) * aReportsRatio;
}

}

bool
StatedLoads::Record(UpstreamId aUpstream,
                    const StatedLoad& aLoad,
                    std::uint32_t aListedSlots,
                    std::uint32_t aOwnRunning,
                    TimePoint aNow)
{
  if (!IsPlausible(aLoad, aListedSlots)) {
    return false;
  }
  m_statements[aUpstream] = { aLoad, aOwnRunning, aNow };
  return true;
}

StatedRequests
StatedLoads::Statement::Corrected(std::uint32_t aOwnRunning) const
{
  const double change = static_cast<double>(aOwnRunning) - ownRunning;
  const double running = load.running;
  const double waiting = load.waiting;
  // Requests may wait although slots are free, for lack of KV cache: new ones
  // then wait behind them.
  const double waitingNow =
    load.waiting > 0 ? waiting + change : running + change - load.slots;
  return { std::max<double>(running + waiting + change, aOwnRunning),
           std::max(0.0, waitingNow),
           true };
}

StatedRequests
StatedLoads::Requests(UpstreamId aUpstream,
                      std::uint32_t aOwnRunning,
                      std::uint32_t aPeersRunning,
                      TimePoint aReportsAsOf,
                      TimePoint aNow) const
{
  const double reported = static_cast<double>(aOwnRunning) + aPeersRunning;
  const auto* statement = Find(aUpstream, kStatedLoadLifetime, aNow);
  if (statement == nullptr) {
    return { reported, 0, false };
  }
  auto result = statement->Corrected(aOwnRunning);
  const double ratio = ReportsRatio(statement->receivedAt, aReportsAsOf, aNow);
  const double reportedWaiting =
    std::max(0.0, reported - statement->load.slots);
  result.requests = Mix(result.requests, reported, ratio);
  result.waiting = Mix(result.waiting, reportedWaiting, ratio);
  return result;
}

double
StatedLoads::Slowdown(UpstreamId aUpstream, TimePoint aNow) const
{
  const auto* statement = Find(aUpstream, kStatedSlowdownLifetime, aNow);
  return statement != nullptr ? statement->load.slowdown : 1.0;
}

void
StatedLoads::Forget(TimePoint aNow)
{
  std::erase_if(m_statements, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt >= kStatedLoadLifetime;
  });
}

const StatedLoads::Statement*
StatedLoads::Find(UpstreamId aUpstream,
                  Duration aLifetime,
                  TimePoint aNow) const
{
  const auto found = m_statements.find(aUpstream);
  const bool isValid =
    found != m_statements.end() && aNow - found->second.receivedAt < aLifetime;
  return isValid ? &found->second : nullptr;
}

}
