#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/slottable.h"

#include <map>
#include <utility>
#include <vector>

namespace hemlockgauge::decision {

//! An upstream of the pool, the router that lends its slots, and their number.
struct LentUpstream
{
  UpstreamId upstream{};
  RouterId owner{};
  std::uint32_t capacity = 0;
};

//! The slots that this router needs of a pool.
struct SlotNeeds
{
  double entitled = 0; //!< slots of the pool that this router is entitled to
  std::uint32_t queued = 0;    //!< requests
  bool lightWaiting = false;   //!< requests of a workspace under its share wait
  bool contended = false;      //!< the fleet's demand exceeds the capacity
  double deadBandRatio = 0.05; //!< dead band as a ratio of entitled
};

//! Requests slots from owners while this router holds less than its
//! entitlement, and returns slots that exceed it or are not needed.
class SlotBorrower
{
public:
  using Addressed = std::pair<RouterId, SlotReport>;

  void SetUpstreams(const std::vector<LentUpstream>& aUpstreams,
                    SlotTable& aTable);
  //! Applies a grant of the current owner; ignores outdated ones.
  void HandleGrant(RouterId aOwner,
                   std::uint32_t aOwnerBoot,
                   const SlotGrant& aGrant,
                   SlotTable& aTable,
                   TimePoint aNow);
  //! Drops leases that were not renewed for longer than aExpiry; returns the
  //! number of slots dropped.
  std::uint32_t DropExpired(SlotTable& aTable,
                            TimePoint aNow,
                            Duration aExpiry);
  //! Returns idle slots and requests missing ones, those with a hint first.
  void Review(const SlotNeeds& aNeeds,
              const std::vector<FreeHint>& aHints,
              SlotTable& aTable,
              TimePoint aNow);
  //! Called when a request ended: returns its slot to the owner if that was
  //! requested and the slot is not needed.
  void OnSlotFreed(UpstreamId aUpstream,
                   const SlotNeeds& aNeeds,
                   SlotTable& aTable);
  //! Returns all free slots and withdraws all requests for slots.
  void ReturnAll(SlotTable& aTable);

  //! Returns the reports to be sent and clears them.
  std::vector<Addressed> TakePendingReports(const SlotTable& aTable);
  //! Returns all reports for one owner, to renew its leases.
  std::vector<SlotReport> Renewals(RouterId aOwner,
                                   const SlotTable& aTable) const;
  std::vector<RouterId> Owners() const;
  //! Returns when the lease of an upstream expires unless it is renewed.
  TimePoint ExpiryOf(UpstreamId aUpstream, Duration aExpiry) const;

private:
  struct Lease
  {
    RouterId owner{};
    std::uint32_t ownerBoot = 0;
    std::uint32_t capacity = 0;
    std::uint32_t appliedSequence = 0; //!< of the last grant applied
    std::uint32_t requestedExtra = 0;  //!< slots requested beyond those held
    std::uint32_t wantedBack = 0;      //!< slots that the owner requested back
    bool dirty = false;                //!< a report is to be sent
    TimePoint renewed{};
  };

  SlotReport MakeReport(UpstreamId aUpstream,
                        const Lease& aLease,
                        const SlotTable& aTable) const;
  static Duration RequestInterval(const SlotNeeds& aNeeds, double aMissing);
  void ReturnIdle(const SlotNeeds& aNeeds, SlotTable& aTable);
  void RequestSlots(std::uint32_t aCount,
                    const std::vector<FreeHint>& aHints,
                    bool aHintedOnly,
                    const SlotTable& aTable,
                    TimePoint aNow);
  void ClearRequests();
  std::uint32_t ReturnUpTo(UpstreamId aUpstream,
                           std::uint32_t aCount,
                           SlotTable& aTable);

  std::map<UpstreamId, Lease> m_leases;
  std::vector<UpstreamId> m_rotation; //!< order in which upstreams are asked
  std::size_t m_nextInRotation = 0;
  TimePoint m_lastRequestAt{ -kLongAgo };
  std::uint16_t m_heldPercent = 100;

  static constexpr Duration kLongAgo{ 1000000 };
};

}
