#include "decision/internal/slotowner.h"

#include "decision/decisionconstants.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockgauge::decision {

namespace {

//! A borrower that uses all its slots is asked to return some only if another
//! one holds a lower percentage of its entitlement, by more than this.
constexpr std::uint32_t kReturnBandPercent = 10;
constexpr std::uint32_t kFullPercent = 100;

}

std::uint32_t
SlotOwner::Lease::Committed() const
{
  return std::max(granted, reportedHeld);
}

//! Changes the grant under a new sequence if the current one was already sent:
//! a sequence always stands for the same grant.
void
SlotOwner::Lease::Change(std::uint32_t aGranted, std::uint32_t& aLastSequence)
{
  if (sequence == sentSequence) {
    sequence = ++aLastSequence;
  }
  granted = aGranted;
  dirty = true;
}

std::uint32_t
SlotOwner::OwnedUpstream::Committed() const
{
  std::uint32_t total = 0;
  for (const auto& [router, lease] : leases) {
    total += lease.Committed();
  }
  return total;
}

std::uint32_t
SlotOwner::OwnedUpstream::Usable() const
{
  const auto floor = static_cast<std::uint32_t>(
    std::ceil(static_cast<double>(capacity) * aliveRatio));
  const auto left = capacity > foreignRunning ? capacity - foreignRunning : 0;
  return std::min(capacity, std::max(left, floor));
}

void
SlotOwner::SetOwned(const std::map<UpstreamId, std::uint32_t>& aCapacities,
                    TimePoint aNow)
{
  std::erase_if(m_upstreams, [&](const auto& aOne) {
    return !aCapacities.contains(aOne.first);
  });
  for (const auto& [upstream, capacity] : aCapacities) {
    const auto [at, isNew] = m_upstreams.try_emplace(upstream);
    at->second.capacity = capacity;
    if (isNew) {
      at->second.claimWindowEnd = aNow + kClaimWindow;
    }
  }
}

void
SlotOwner::HandleReport(RouterId aBorrower,
                        const SlotReport& aReport,
                        TimePoint aNow)
{
  const auto found = m_upstreams.find(aReport.upstream);
  if (found == m_upstreams.end()) {
    return;
  }
  //! NOTE an acknowledgement of a grant from before a restart of this router
  //! does not count: sequences are reused after a restart.
  const bool isCurrentRun = aReport.ownerBoot == m_boot;
  const auto acked = isCurrentRun ? aReport.ackedSequence : 0;
  OwnedUpstream& owned = found->second;
  Lease& lease = owned.leases[aBorrower];
  const bool claim = lease.sequence == 0;
  if (claim) {
    const auto committed = owned.Committed();
    const auto left =
      owned.capacity > committed ? owned.capacity - committed : 0;
    lease.Change(std::min<std::uint32_t>(aReport.held, left), m_lastSequence);
  } else if (acked == lease.sequence) {
    //! NOTE if the borrower holds more than granted, it has applied a duplicate
    //! of this grant after it had returned slots.
    if (aReport.held > lease.granted) {
      lease.Change(lease.granted, m_lastSequence);
    }
    lease.granted = std::min<std::uint32_t>(lease.granted, aReport.held);
  } else {
    lease.dirty = true;
  }
  lease.reportedHeld = aReport.held;
  lease.inUse = aReport.inUse;
  lease.want = aReport.want;
  lease.wantReportedAt = aNow;
  lease.heldPercent = aReport.heldPercent;
  lease.lastReportAt = aNow;
}

void
SlotOwner::HandleLoad(UpstreamId aUpstream,
                      std::uint32_t aRunning,
                      double aAliveRatio)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return;
  }
  OwnedUpstream& owned = found->second;
  //! NOTE load reports lag behind the grants, so the lower one of two
  //! consecutive reports counts.
  const auto lent = owned.Committed();
  const auto overdraft = static_cast<std::uint32_t>(
    std::ceil(static_cast<double>(owned.capacity) * kOverdraftRatio));
  const auto expected = lent + overdraft;
  owned.foreignReports[1] = owned.foreignReports[0];
  owned.foreignReports[0] = aRunning > expected ? aRunning - expected : 0;
  owned.foreignRunning =
    std::min(owned.foreignReports[0], owned.foreignReports[1]);
  owned.aliveRatio = aAliveRatio;
  if (aRunning == 0) {
    owned.claimWindowEnd = {};
  }
}

void
SlotOwner::ForgetRouter(RouterId aRouter)
{
  for (auto& [upstream, owned] : m_upstreams) {
    owned.leases.erase(aRouter);
  }
}

void
SlotOwner::Review(TimePoint aNow, Duration aExpiry)
{
  for (auto& [upstream, owned] : m_upstreams) {
    std::erase_if(owned.leases, [&](const auto& aOne) {
      return aNow - aOne.second.lastReportAt > aExpiry;
    });
    for (auto& [router, lease] : owned.leases) {
      const bool old = aNow - lease.wantReportedAt > kSlotRequestExpiry;
      lease.want = old ? std::min(lease.want, lease.reportedHeld) : lease.want;
    }
    ReduceGrants(owned);
    if (aNow >= owned.claimWindowEnd) {
      GrantFreeSlots(owned);
    }
    RequestReturns(owned, aNow);
  }
}

//! Grants free slots one by one, each to the borrower that wants more and holds
//! the lowest percentage of its entitlement.
void
SlotOwner::GrantFreeSlots(OwnedUpstream& aOwned)
{
  while (aOwned.Committed() < aOwned.Usable()) {
    Lease* neediest = nullptr;
    for (auto& [router, lease] : aOwned.leases) {
      const bool wants = lease.want > lease.Committed();
      if (wants &&
          (neediest == nullptr || lease.heldPercent < neediest->heldPercent)) {
        neediest = &lease;
      }
    }
    if (neediest == nullptr) {
      return;
    }
    neediest->Change(neediest->Committed() + 1, m_lastSequence);
    if (aOwned.Committed() > aOwned.capacity) {
      m_grantsBeyondCapacity++;
    }
    neediest->heldPercent += 100 / std::max(1U, neediest->granted);
  }
}

//! Reduces grants beyond the usable slots one by one, each at the borrower that
//! holds the highest percentage of its entitlement.
void
SlotOwner::ReduceGrants(OwnedUpstream& aOwned)
{
  std::uint32_t granted = 0;
  for (const auto& [router, lease] : aOwned.leases) {
    granted += lease.granted;
  }
  const auto usable = aOwned.Usable();
  while (granted > usable) {
    Lease* fullest = nullptr;
    for (auto& [router, lease] : aOwned.leases) {
      const bool has = lease.granted > 0;
      if (has &&
          (fullest == nullptr || lease.heldPercent > fullest->heldPercent)) {
        fullest = &lease;
      }
    }
    if (fullest == nullptr) {
      return;
    }
    fullest->Change(fullest->granted - 1, m_lastSequence);
    const auto step = 100 / std::max(1U, fullest->granted);
    fullest->heldPercent -= std::min(fullest->heldPercent, step);
    granted--;
  }
}

//! Asks borrowers to return as many slots as others wait for. Those that hold
//! the highest percentage of their entitlement are asked first, and none again
//! within kReturnRequestInterval, which leaves it time to answer.
void
SlotOwner::RequestReturns(OwnedUpstream& aOwned, TimePoint aNow)
{
  std::uint32_t missing = 0;
  std::uint32_t neediest = kFullPercent;
  for (const auto& [router, lease] : aOwned.leases) {
    if (lease.want > lease.Committed()) {
      missing += lease.want - lease.Committed();
      neediest = std::min(neediest, lease.heldPercent);
    }
  }
  std::vector<Lease*> candidates;
  for (auto& [router, lease] : aOwned.leases) {
    const bool wantsMore = lease.want > lease.Committed();
    const bool idle = lease.inUse < lease.granted;
    const bool holdsMore = lease.heldPercent > neediest + kReturnBandPercent;
    if (lease.granted > 0 && !wantsMore && (idle || holdsMore)) {
      candidates.push_back(&lease);
    }
  }
  std::sort(
    candidates.begin(), candidates.end(), [](auto* aLeft, auto* aRight) {
      return aLeft->heldPercent > aRight->heldPercent;
    });
  for (auto* candidate : candidates) {
    if (missing == 0) {
      break;
    }
    const auto idle =
      candidate->granted - std::min(candidate->granted, candidate->inUse);
    const auto surplus = candidate->heldPercent > kFullPercent
                           ? candidate->granted *
                               (candidate->heldPercent - kFullPercent) /
                               candidate->heldPercent
                           : 0;
    const auto returnCount = std::min(missing, std::max({ idle, surplus, 1U }));
    missing -= returnCount;
    if (aNow - candidate->returnRequestedAt >= kReturnRequestInterval) {
      candidate->returnRequestedAt = aNow;
      candidate->wantedBack = returnCount;
      candidate->dirty = true;
    }
  }
}

std::vector<SlotOwner::Addressed>
SlotOwner::TakePendingGrants()
{
  std::vector<Addressed> grants;
  for (auto& [upstream, owned] : m_upstreams) {
    for (auto& [router, lease] : owned.leases) {
      if (!lease.dirty) {
        continue;
      }
      lease.dirty = false;
      lease.sentSequence = lease.sequence;
      grants.push_back({ router,
                         { upstream,
                           lease.sequence,
                           static_cast<std::uint16_t>(lease.granted),
                           static_cast<std::uint16_t>(lease.wantedBack) } });
      lease.wantedBack = 0;
    }
  }
  return grants;
}

std::vector<SlotGrant>
SlotOwner::Renewals(RouterId aBorrower)
{
  std::vector<SlotGrant> grants;
  for (auto& [upstream, owned] : m_upstreams) {
    const auto found = owned.leases.find(aBorrower);
    if (found != owned.leases.end() && found->second.sequence != 0) {
      Lease& lease = found->second;
      lease.sentSequence = lease.sequence;
      grants.push_back({ upstream,
                         lease.sequence,
                         static_cast<std::uint16_t>(lease.granted),
                         0 });
    }
  }
  return grants;
}

std::vector<RouterId>
SlotOwner::Borrowers() const
{
  std::set<RouterId> borrowers;
  for (const auto& [upstream, owned] : m_upstreams) {
    for (const auto& [router, lease] : owned.leases) {
      borrowers.insert(router);
    }
  }
  return { borrowers.begin(), borrowers.end() };
}

std::vector<FreeHint>
SlotOwner::FreeSlots() const
{
  std::vector<FreeHint> hints;
  for (const auto& [upstream, owned] : m_upstreams) {
    const auto committed = owned.Committed();
    const auto usable = owned.Usable();
    if (usable > committed) {
      hints.push_back(
        { upstream, static_cast<std::uint16_t>(usable - committed) });
    }
  }
  return hints;
}

}
