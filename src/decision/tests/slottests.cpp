#include "decision/internal/slotowner.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using decision::RouterId;
using decision::SlotOwner;
using decision::TimePoint;
using decision::UpstreamId;

namespace {

constexpr std::uint32_t kBoot = 5;
constexpr UpstreamId kUpstream{ 1 };
constexpr RouterId kFirst{ 10 };
constexpr RouterId kSecond{ 20 };
constexpr base::Duration kExpiry{ 100000 };
constexpr TimePoint kLater{ 10000 }; // after the claim window

std::uint32_t
GrantedTo(SlotOwner& aOwner, RouterId aRouter)
{
  for (const auto& grant : aOwner.Renewals(aRouter)) {
    return grant.granted;
  }
  return 0;
}

std::uint32_t
SequenceOf(SlotOwner& aOwner, RouterId aRouter)
{
  for (const auto& grant : aOwner.Renewals(aRouter)) {
    return grant.sequence;
  }
  return 0;
}

SlotOwner
OwnerOfTwoSlots()
{
  SlotOwner owner(kBoot);
  owner.SetOwned({ { kUpstream, 2 } }, TimePoint{});
  return owner;
}

}

Test(slots, SlotHeldUnderDuplicateGrantIsNotGrantedTwice)
{
  auto owner = OwnerOfTwoSlots();
  owner.HandleReport(kFirst, { kUpstream, kBoot, 0, 2, 0, 2, 50 }, kLater);
  const auto sequence = SequenceOf(owner, kFirst);
  owner.HandleReport(
    kFirst, { kUpstream, kBoot, sequence, 0, 0, 0, 50 }, kLater);
  // A duplicate of the grant reached the borrower after it had returned all
  // slots.
  owner.HandleReport(
    kFirst, { kUpstream, kBoot, sequence, 2, 2, 2, 50 }, kLater);
  owner.HandleReport(kSecond, { kUpstream, kBoot, 0, 0, 0, 2, 10 }, kLater);
  owner.Review(kLater, kExpiry);
  cr_assert(GrantedTo(owner, kSecond) == 0);
  // The grant is sent again under a new sequence.
  cr_assert(SequenceOf(owner, kFirst) > sequence);
  cr_assert(GrantedTo(owner, kFirst) == 0);
}

Test(slots, DroppedBorrowerCanBorrowAgain)
{
  auto owner = OwnerOfTwoSlots();
  owner.HandleReport(kFirst, { kUpstream, kBoot, 0, 0, 0, 2, 50 }, kLater);
  owner.Review(kLater, kExpiry);
  const auto before = SequenceOf(owner, kFirst);
  const auto muchLater = kLater + 2 * kExpiry;
  owner.Review(muchLater, kExpiry);
  owner.HandleReport(
    kFirst, { kUpstream, kBoot, before, 0, 0, 2, 50 }, muchLater);
  owner.Review(muchLater, kExpiry);
  cr_assert(GrantedTo(owner, kFirst) == 2);
  cr_assert(SequenceOf(owner, kFirst) > before);
}

Test(slots, AcknowledgementOfEarlierRunIsIgnored)
{
  auto owner = OwnerOfTwoSlots();
  owner.HandleReport(kFirst, { kUpstream, kBoot, 0, 1, 1, 1, 50 }, kLater);
  // Acknowledges sequence 1 of the owner's earlier run, with both slots held.
  owner.HandleReport(kFirst, { kUpstream, kBoot - 1, 1, 2, 2, 2, 50 }, kLater);
  owner.HandleReport(kSecond, { kUpstream, kBoot, 0, 0, 0, 2, 10 }, kLater);
  owner.Review(kLater, kExpiry);
  cr_assert(GrantedTo(owner, kSecond) == 0);
}

Test(slots, ForeignLoadReducesUsableSlotsDownToAliveRatio)
{
  SlotOwner owner(kBoot);
  owner.SetOwned({ { kUpstream, 8 } }, TimePoint{});
  owner.HandleReport(kFirst, { kUpstream, kBoot, 0, 0, 0, 8, 10 }, kLater);
  owner.HandleLoad(kUpstream, 8, 0.25);
  owner.HandleLoad(kUpstream, 8, 0.25);
  owner.Review(kLater, kExpiry);
  cr_assert(GrantedTo(owner, kFirst) == 2, "%u", GrantedTo(owner, kFirst));
}
