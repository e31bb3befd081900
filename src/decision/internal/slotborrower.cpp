#include "decision/internal/slotborrower.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockgauge::decision {

namespace {

constexpr double kMinBandSlots = 0.6;
constexpr double kMaxUrgency = 999;
//! A router that lacks more than this ratio of its entitlement, and more than
//! kUrgentSlots, requests slots at the shorter kUrgentAskPeriod.
constexpr double kUrgentPart = 0.25;
constexpr double kUrgentSlots = 3;
constexpr std::uint32_t kSlotsPerAsk = 2;
constexpr std::size_t kFewestAsked = 4;

double
Band(const SlotNeeds& aNeeds)
{
  return std::max(kMinBandSlots, aNeeds.bandPart * aNeeds.entitled);
}

std::uint16_t
UrgencyOf(const SlotNeeds& aNeeds, std::uint32_t aHeld)
{
  if (aNeeds.sparseWaiting) {
    return 0;
  }
  if (aNeeds.entitled <= 0) {
    return static_cast<std::uint16_t>(kMaxUrgency);
  }
  return static_cast<std::uint16_t>(
    std::min(kMaxUrgency, 100.0 * aHeld / aNeeds.entitled));
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
      lease.acked = 0;
      lease.dirty = aTable.At(lent.upstream).limit > 0 || lease.extra > 0;
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
SlotBorrower::TakeGrant(RouterId aOwner,
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
    lease.acked = 0;
  }
  if (aGrant.sequence < lease.acked) {
    return;
  }
  lease.renewed = aNow;
  lease.wantedBack =
    std::max<std::uint32_t>(lease.wantedBack, aGrant.wantedBack);
  if (aGrant.sequence == lease.acked) {
    return;
  }
  auto& slot = aTable.At(aGrant.upstream);
  const auto raised =
    aGrant.granted > slot.limit ? aGrant.granted - slot.limit : 0;
  lease.extra -= std::min(lease.extra, raised);
  lease.acked = aGrant.sequence;
  //! NOTE only a lowered grant is acknowledged at once, because the owner waits
  //! for it; other grants are acknowledged with the next report.
  lease.dirty = lease.dirty || aGrant.granted < slot.limit;
  slot.limit = aGrant.granted;
}

std::uint32_t
SlotBorrower::DropLapsed(SlotTable& aTable, TimePoint aNow, Duration aExpiry)
{
  std::uint32_t lapsed = 0;
  for (auto& [upstream, lease] : m_leases) {
    auto& slot = aTable.At(upstream);
    if (slot.limit > 0 && aNow - lease.renewed > aExpiry) {
      lapsed += slot.limit;
      slot.limit = 0;
      lease.acked = 0;
      lease.dirty = true;
    }
  }
  return lapsed;
}

void
SlotBorrower::Review(const SlotNeeds& aNeeds,
                     const std::vector<FreeHint>& aHints,
                     SlotTable& aTable,
                     TimePoint aNow)
{
  ReturnIdle(aNeeds, aTable);
  const auto held = aTable.TotalLimit();
  m_urgency = UrgencyOf(aNeeds, held);
  const double missing = aNeeds.entitled - held;
  std::uint32_t ask = 0;
  if (aNeeds.queued > 0 && missing >= Band(aNeeds)) {
    ask =
      std::min(aNeeds.queued, static_cast<std::uint32_t>(std::ceil(missing)));
  }
  const bool onlyHinted = ask == 0;
  if (onlyHinted && aNeeds.queued > 0 && !aHints.empty()) {
    ask = aNeeds.queued;
  }
  if (ask == 0) {
    return;
  }
  if (aNow - m_askedAt >= AskPeriod(aNeeds, missing)) {
    ForgetAsks();
    Ask(ask, aHints, onlyHinted, aTable, aNow);
  }
}

Duration
SlotBorrower::AskPeriod(const SlotNeeds& aNeeds, double aMissing)
{
  if (!aNeeds.contended) {
    return kFreeAskPeriod;
  }
  const bool many =
    aMissing > std::max(kUrgentSlots, kUrgentPart * aNeeds.entitled);
  return many ? kUrgentAskPeriod : kAskPeriod;
}

void
SlotBorrower::ReturnIdle(const SlotNeeds& aNeeds, SlotTable& aTable)
{
  if (aNeeds.queued > 0) {
    return;
  }
  const auto keep =
    static_cast<std::uint32_t>(std::ceil(aNeeds.entitled + Band(aNeeds)));
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
SlotBorrower::SlotFreed(UpstreamId aUpstream,
                        const SlotNeeds& aNeeds,
                        SlotTable& aTable)
{
  const auto found = m_leases.find(aUpstream);
  if (found == m_leases.end() || found->second.wantedBack == 0) {
    return;
  }
  const double held = aTable.TotalLimit();
  const bool surplus = held >= aNeeds.entitled + Band(aNeeds);
  if (aNeeds.queued == 0 || surplus) {
    ReturnUpTo(aUpstream, std::min(1U, aTable.At(aUpstream).Free()), aTable);
  }
}

void
SlotBorrower::ReturnAll(SlotTable& aTable)
{
  ForgetAsks();
  for (auto& [upstream, lease] : m_leases) {
    ReturnUpTo(upstream, aTable.At(upstream).Free(), aTable);
  }
}

//! NOTE owners drop a request for slots that is not repeated; withdrawing it
//! would cost as many messages as sending it.
void
SlotBorrower::ForgetAsks()
{
  for (auto& [upstream, lease] : m_leases) {
    lease.extra = 0;
  }
}

//! Requests slots of a few upstreams at a time: first those with a hint of free
//! slots, then the others in rotation, so that repeated requests reach more
//! upstreams.
void
SlotBorrower::Ask(std::uint32_t aCount,
                  const std::vector<FreeHint>& aHints,
                  bool aOnlyHinted,
                  const SlotTable& aTable,
                  TimePoint aNow)
{
  m_askedAt = aNow;
  const auto width =
    std::clamp<std::size_t>(aCount / kSlotsPerAsk, kFewestAsked, kMaxAskWidth);
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
    if (owners.contains(owner) || owners.size() < kAskOwners) {
      owners.insert(owner);
      chosen.push_back(aUpstream);
    }
  };
  for (const auto& hint : aHints) {
    choose(hint.upstream);
  }
  for (std::size_t i = 0; !aOnlyHinted && i < m_rotation.size(); ++i) {
    if (chosen.size() == width) {
      break;
    }
    choose(m_rotation[m_next++ % m_rotation.size()]);
  }
  if (chosen.empty()) {
    return;
  }
  const auto each =
    static_cast<std::uint32_t>((aCount + chosen.size() - 1) / chosen.size());
  for (const auto upstream : chosen) {
    Lease& lease = m_leases[upstream];
    lease.extra = std::min(each, lease.capacity);
    lease.dirty = true;
  }
}

SlotReport
SlotBorrower::ReportOf(UpstreamId aUpstream,
                       const Lease& aLease,
                       const SlotTable& aTable) const
{
  const auto found = aTable.All().find(aUpstream);
  const auto slot =
    found == aTable.All().end() ? SlotTable::Slot{} : found->second;
  return { aUpstream,
           aLease.ownerBoot,
           aLease.acked,
           static_cast<std::uint16_t>(slot.limit),
           static_cast<std::uint16_t>(slot.inUse),
           static_cast<std::uint16_t>(slot.limit + aLease.extra),
           m_urgency };
}

std::vector<SlotBorrower::Addressed>
SlotBorrower::TakeReports(const SlotTable& aTable)
{
  std::vector<Addressed> reports;
  for (auto& [upstream, lease] : m_leases) {
    if (lease.dirty) {
      lease.dirty = false;
      reports.emplace_back(lease.owner, ReportOf(upstream, lease, aTable));
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
    if (lease.owner == aOwner && (holds || lease.extra > 0)) {
      reports.push_back(ReportOf(upstream, lease, aTable));
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
