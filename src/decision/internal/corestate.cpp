#include "decision/internal/corestate.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

CoreState::CoreState(const CoreSettings& aSettings)
  : settings(aSettings)
  , self(RouterId(base::HashName(aSettings.self.name)))
  , membership(self, aSettings.self.zone, aSettings.incarnation)
  , slotOwner(aSettings.incarnation)
  , outbox(self, aSettings.incarnation, counters)
  , random(aSettings.randomSeed)
{
  hosts.Merge(aSettings.self);
}

Pool&
CoreState::PoolOf(PoolId aPool)
{
  return pools.try_emplace(aPool, settings.policy).first->second;
}

//! Heartbeats are sent at longer intervals in a larger fleet, so that the bytes
//! per second do not grow with it.
Duration
CoreState::HeartbeatInterval() const
{
  const auto peers = static_cast<Duration::rep>(membership.AliveCount()) - 1;
  return std::clamp(kHeartbeatIntervalPerPeer * peers,
                    kMinHeartbeatInterval,
                    kMaxHeartbeatInterval);
}

Duration
CoreState::RenewalInterval() const
{
  const auto members = static_cast<Duration::rep>(membership.AliveCount());
  return std::clamp(kRenewalIntervalPerMember * members,
                    HeartbeatInterval() * kMinHeartbeatsPerRenewal,
                    kMaxRenewalInterval);
}

Duration
CoreState::LeaseExpiry() const
{
  return RenewalInterval() * kMaxMissedRenewals;
}

std::uint32_t
CoreState::Digest() const
{
  return configuration.Digest() ^ hosts.Digest();
}

void
CoreState::Record(DecisionKind aKind, std::string aWhy)
{
  AddAction(DecisionRecord{ aKind, RequestId{}, "", "", std::move(aWhy) });
}

void
CoreState::RecordRequest(DecisionKind aKind,
                         RequestId aRequest,
                         const std::string& aWorkspace,
                         const std::string& aUpstream,
                         std::string aWhy)
{
  AddAction(
    DecisionRecord{ aKind, aRequest, aWorkspace, aUpstream, std::move(aWhy) });
}

void
CoreState::CheckInvariant(bool aCondition, const std::string& aWhat)
{
  if (!aCondition) {
    counters.invariantsBroken++;
    Record(DecisionKind::InvariantBroken, aWhat);
  }
}

std::string
CoreState::NameOf(UpstreamId aUpstream) const
{
  const auto* entry = hosts.FindUpstream(aUpstream);
  return entry == nullptr ? std::to_string(base::Raw(aUpstream)) : entry->name;
}

std::string
CoreState::NameOf(RouterId aRouter) const
{
  const auto* entry = hosts.FindRouter(aRouter);
  return entry == nullptr ? std::to_string(base::Raw(aRouter)) : entry->name;
}

}
