#include "decision/internal/slotborrower.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockgauge::decision {

namespace {

//! Minimum dead band: differences from the entitlement below it are ignored.
constexpr double kMinDeadBandSlots = 0.6;
//! Upper limit of the percentage of the entitlement that is reported as held.
constexpr double kMaxHeldPercent = 999;
//! A router that lacks more than this ratio of its entitlement, and more than
//! kUrgentMissingSlots, requests slots at the shorter
//! kUrgentSlotRequestInterval.
constexpr double kUrgentMissingRatio = 0.25;
constexpr double kUrgentMissingSlots = 3;
constexpr std::uint32_t kSlotsPerUpstreamRequest = 2;
constexpr std::size_t kMinUpstreamsPerSlotRequest = 4;

double
DeadBand(const SlotNeeds& aNeeds)
{
  return std::max(kMinDeadBandSlots, aNeeds.deadBandRatio * aNeeds.entitled);
}

std::uint16_t
HeldPercent(const SlotNeeds& aNeeds, std::uint32_t aHeld)
{
  if (aNeeds.lightWaiting) {
    return 0;
  }
  if (aNeeds.entitled <= 0) {
    return static_cast<std::uint16_t>(kMaxHeldPercent);
  }
  return static_cast<std::uint16_t>(
    std::min(kMaxHeldPercent, 100.0 * aHeld / aNeeds.entitled));
}

}

void
SlotBorrower::SetUpstreams(const std::vector<LentUpstream>& aUpstreams,
                           SlotTable& aTable)
{
  std::set<UpstreamId> present;
  m_rotation.clear();
  for (const auto& lent : aUpstreams) {
    present.insert(lent.upstream);
    m_rotation.push_back(lent.upstream);
    Lease& lease = m_leases[lent.upstream];
    lease.capacity = lent.capacity;
    if (lease.owner != lent.owner) {
      lease.owner = lent.owner;
      lease.ownerBoot = 0;
      lease.appliedSequence = 0;
      lease.dirty =
        aTable.At(lent.upstream).limit > 0 || lease.requestedExtra > 0;
    }
  }
  //! NOTE sorted by owner, so that one round of requests reaches few owners.
  std::stable_sort(m_rotation.begin(),
                   m_rotation.end(),
                   [&](UpstreamId aLeft, UpstreamId aRight) {
                     return m_leases[aLeft].owner < m_leases[aRight].owner;
                   });
  for (auto& [upstream, lease] : m_leases) {
    if (!present.contains(upstream)) {
      aTable.At(upstream).limit = 0;
    }
  }
  std::erase_if(
    m_leases, [&](const auto& aOne) { return !present.contains(aOne.first); });
}

void
SlotBorrower::HandleGrant(RouterId aOwner,
                          std::uint32_t aOwnerBoot,
                          const SlotGrant& aGrant,
                          SlotTable& aTable,
                          TimePoint aNow)
{
  const auto found = m_leases.find(aGrant.upstream);
  if (found == m_leases.end() || found->second.owner != aOwner) {
    return;
  }
  Lease& lease = found->second;
  if (lease.ownerBoot != aOwnerBoot) {
    lease.ownerBoot = aOwnerBoot;
    lease.appliedSequence = 0;
  }
  if (aGrant.sequence < lease.appliedSequence) {
    return;
  }
  lease.renewed = aNow;
  lease.wantedBack =
    std::max<std::uint32_t>(lease.wantedBack, aGrant.wantedBack);
  if (aGrant.sequence == lease.appliedSequence) {
    return;
  }
  auto& slot = aTable.At(aGrant.upstream);
  const auto raised =
    aGrant.granted > slot.limit ? aGrant.granted - slot.limit : 0;
  lease.requestedExtra -= std::min(lease.requestedExtra, raised);
  lease.appliedSequence = aGrant.sequence;
  //! NOTE only a lowered grant is acknowledged at once, because the owner waits
  //! for it; other grants are acknowledged with the next report.
  lease.dirty = lease.dirty || aGrant.granted < slot.limit;
  slot.limit = aGrant.granted;
}

std::uint32_t
SlotBorrower::DropExpired(SlotTable& aTable, TimePoint aNow, Duration aExpiry)
{
  std::uint32_t expired = 0;
  for (auto& [upstream, lease] : m_leases) {
    auto& slot = aTable.At(upstream);
    if (slot.limit > 0 && aNow - lease.renewed > aExpiry) {
      expired += slot.limit;
      slot.limit = 0;
      lease.appliedSequence = 0;
      lease.dirty = true;
    }
  }
  return expired;
}

void
SlotBorrower::Review(const SlotNeeds& aNeeds,
                     const std::vector<FreeHint>& aHints,
                     SlotTable& aTable,
                     TimePoint aNow)
{
  ReturnIdle(aNeeds, aTable);
  const auto held = aTable.TotalLimit();
  m_heldPercent = HeldPercent(aNeeds, held);
  const double missing = aNeeds.entitled - held;
  std::uint32_t requestCount = 0;
  if (aNeeds.queued > 0 && missing >= DeadBand(aNeeds)) {
    requestCount =
      std::min(aNeeds.queued, static_cast<std::uint32_t>(std::ceil(missing)));
  }
  const bool hintedOnly = requestCount == 0;
  if (hintedOnly && aNeeds.queued > 0 && !aHints.empty()) {
    requestCount = aNeeds.queued;
  }
  if (requestCount == 0) {
    return;
  }
  if (aNow - m_lastRequestAt >= RequestInterval(aNeeds, missing)) {
    ClearRequests();
    RequestSlots(requestCount, aHints, hintedOnly, aTable, aNow);
  }
}

Duration
SlotBorrower::RequestInterval(const SlotNeeds& aNeeds, double aMissing)
{
  if (!aNeeds.contended) {
    return kUncontendedSlotRequestInterval;
  }
  const bool manyMissing =
    aMissing >
    std::max(kUrgentMissingSlots, kUrgentMissingRatio * aNeeds.entitled);
  return manyMissing ? kUrgentSlotRequestInterval : kSlotRequestInterval;
}

void
SlotBorrower::ReturnIdle(const SlotNeeds& aNeeds, SlotTable& aTable)
{
  if (aNeeds.queued > 0) {
    return;
  }
  const auto keep =
    static_cast<std::uint32_t>(std::ceil(aNeeds.entitled + DeadBand(aNeeds)));
  for (auto& [upstream, lease] : m_leases) {
    const auto idle = aTable.At(upstream).Free();
    const auto held = aTable.TotalLimit();
    if (lease.wantedBack > 0) {
      ReturnUpTo(upstream, idle, aTable);
    } else if (aNeeds.contended && held > keep) {
      ReturnUpTo(upstream, std::min(idle, held - keep), aTable);
    }
  }
}

std::uint32_t
SlotBorrower::ReturnUpTo(UpstreamId aUpstream,
                         std::uint32_t aCount,
                         SlotTable& aTable)
{
  auto& slot = aTable.At(aUpstream);
  const auto count = std::min(aCount, slot.limit);
  if (count == 0) {
    return 0;
  }
  slot.limit -= count;
  m_leases[aUpstream].dirty = true;
  auto& wanted = m_leases[aUpstream].wantedBack;
  wanted -= std::min(wanted, count);
  return count;
}

void
SlotBorrower::OnSlotFreed(UpstreamId aUpstream,
                          const SlotNeeds& aNeeds,
                          SlotTable& aTable)
{
  const auto found = m_leases.find(aUpstream);
  if (found == m_leases.end() || found->second.wantedBack == 0) {
    return;
  }
  const double held = aTable.TotalLimit();
  const bool surplus = held >= aNeeds.entitled + DeadBand(aNeeds);
  if (aNeeds.queued == 0 || surplus) {
    ReturnUpTo(aUpstream, std::min(1U, aTable.At(aUpstream).Free()), aTable);
  }
}

void
SlotBorrower::ReturnAll(SlotTable& aTable)
{
  ClearRequests();
  for (auto& [upstream, lease] : m_leases) {
    ReturnUpTo(upstream, aTable.At(upstream).Free(), aTable);
  }
}

//! NOTE owners drop a request for slots that is not repeated; withdrawing it
//! would cost as manyMissing messages as sending it.
void
SlotBorrower::ClearRequests()
{
  for (auto& [upstream, lease] : m_leases) {
    lease.requestedExtra = 0;
  }
}

//! Requests slots of a few upstreams at a time: first those with a hint of free
//! slots, then the others in rotation, so that repeated requests reach more
//! upstreams.
void
SlotBorrower::RequestSlots(std::uint32_t aCount,
                           const std::vector<FreeHint>& aHints,
                           bool aHintedOnly,
                           const SlotTable& aTable,
                           TimePoint aNow)
{
  m_lastRequestAt = aNow;
  const auto width = std::clamp<std::size_t>(aCount / kSlotsPerUpstreamRequest,
                                             kMinUpstreamsPerSlotRequest,
                                             kMaxUpstreamsPerSlotRequest);
  std::set<RouterId> owners;
  std::vector<UpstreamId> chosen;
  const auto choose = [&](UpstreamId aUpstream) {
    const auto found = m_leases.find(aUpstream);
    const auto slot = aTable.All().find(aUpstream);
    const bool open = found != m_leases.end() &&
                      (slot == aTable.All().end() || !slot->second.closed);
    const bool isNew =
      std::find(chosen.begin(), chosen.end(), aUpstream) == chosen.end();
    if (!open || !isNew || chosen.size() == width) {
      return;
    }
    const auto owner = found->second.owner;
    if (owners.contains(owner) || owners.size() < kMaxOwnersPerSlotRequest) {
      owners.insert(owner);
      chosen.push_back(aUpstream);
    }
  };
  for (const auto& hint : aHints) {
    choose(hint.upstream);
  }
  for (std::size_t i = 0; !aHintedOnly && i < m_rotation.size(); ++i) {
    if (chosen.size() == width) {
      break;
    }
    choose(m_rotation[m_nextInRotation++ % m_rotation.size()]);
  }
  if (chosen.empty()) {
    return;
  }
  const auto each =
    static_cast<std::uint32_t>((aCount + chosen.size() - 1) / chosen.size());
  for (const auto upstream : chosen) {
    Lease& lease = m_leases[upstream];
    lease.requestedExtra = std::min(each, lease.capacity);
    lease.dirty = true;
  }
}

SlotReport
SlotBorrower::MakeReport(UpstreamId aUpstream,
                         const Lease& aLease,
                         const SlotTable& aTable) const
{
  const auto found = aTable.All().find(aUpstream);
  const auto slot =
    found == aTable.All().end() ? SlotTable::Slot{} : found->second;
  return { aUpstream,
           aLease.ownerBoot,
           aLease.appliedSequence,
           static_cast<std::uint16_t>(slot.limit),
           static_cast<std::uint16_t>(slot.inUse),
           static_cast<std::uint16_t>(slot.limit + aLease.requestedExtra),
           m_heldPercent };
}

std::vector<SlotBorrower::Addressed>
SlotBorrower::TakePendingReports(const SlotTable& aTable)
{
  std::vector<Addressed> reports;
  for (auto& [upstream, lease] : m_leases) {
    if (lease.dirty) {
      lease.dirty = false;
      reports.emplace_back(lease.owner, MakeReport(upstream, lease, aTable));
    }
  }
  return reports;
}

std::vector<SlotReport>
SlotBorrower::Renewals(RouterId aOwner, const SlotTable& aTable) const
{
  std::vector<SlotReport> reports;
  for (const auto& [upstream, lease] : m_leases) {
    const auto slot = aTable.All().find(upstream);
    const bool holds = slot != aTable.All().end() && slot->second.limit > 0;
    if (lease.owner == aOwner && (holds || lease.requestedExtra > 0)) {
      reports.push_back(MakeReport(upstream, lease, aTable));
    }
  }
  return reports;
}

std::vector<RouterId>
SlotBorrower::Owners() const
{
  std::set<RouterId> owners;
  for (const auto& [upstream, lease] : m_leases) {
    owners.insert(lease.owner);
  }
  return { owners.begin(), owners.end() };
}

TimePoint
SlotBorrower::ExpiryOf(UpstreamId aUpstream, Duration aExpiry) const
{
  const auto found = m_leases.find(aUpstream);
  return found == m_leases.end() ? TimePoint{}
                                 : found->second.renewed + aExpiry;
}

}
