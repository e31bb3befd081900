#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/slottable.h"

#include <map>
#include <utility>
#include <vector>

namespace hemlockgauge::decision {

//! An upstream of the pool and the router that lends its slots.
struct LentUpstream
{
  UpstreamId upstream{};
  RouterId owner{};
  std::uint32_t capacity = 0;
};

struct SlotNeeds
{
  double entitled = 0; //!< slots of the pool that are this router's part
  std::uint32_t queued = 0;
  bool sparseWaiting = false; //!< a workspace under its share waits
  bool contended = false;     //!< the fleet wants more than there is
  double bandPart = 0.05;     //!< dead band as a part of what is entitled
};

//! Asks owners for slots while this router has less than its part, and
//! gives them back when it has more, or has no use for them.
class SlotBorrower
{
public:
  using Addressed = std::pair<RouterId, SlotReport>;

  void SetUpstreams(const std::vector<LentUpstream>& aUpstreams,
                    SlotTable& aTable);
  void TakeGrant(RouterId aOwner,
                 std::uint32_t aOwnerBoot,
                 const SlotGrant& aGrant,
                 SlotTable& aTable,
                 TimePoint aNow);
  //! Returns how many slots lapsed because their owner was silent.
  std::uint32_t DropLapsed(SlotTable& aTable, TimePoint aNow, Duration aExpiry);
  void Review(const SlotNeeds& aNeeds,
              const std::vector<FreeHint>& aHints,
              SlotTable& aTable,
              TimePoint aNow);
  //! After a request ended: whether its slot goes back.
  void SlotFreed(UpstreamId aUpstream,
                 const SlotNeeds& aNeeds,
                 SlotTable& aTable);
  void ReturnAll(SlotTable& aTable);

  std::vector<Addressed> TakeReports(const SlotTable& aTable);
  //! All reports for one owner, to renew its leases.
  std::vector<SlotReport> Renewals(RouterId aOwner,
                                   const SlotTable& aTable) const;
  std::vector<RouterId> Owners() const;
  TimePoint ExpiryOf(UpstreamId aUpstream, Duration aExpiry) const;

private:
  struct Lease
  {
    RouterId owner{};
    std::uint32_t ownerBoot = 0;
    std::uint32_t capacity = 0;
    std::uint32_t acked = 0;
    std::uint32_t extra = 0; //!< asked beyond what is held
    std::uint32_t wantedBack = 0;
    bool dirty = false;
    TimePoint renewed{};
  };

  SlotReport ReportOf(UpstreamId aUpstream,
                      const Lease& aLease,
                      const SlotTable& aTable) const;
  static Duration AskPeriod(const SlotNeeds& aNeeds, double aMissing);
  void ReturnIdle(const SlotNeeds& aNeeds, SlotTable& aTable);
  void Ask(std::uint32_t aCount,
           const std::vector<FreeHint>& aHints,
           bool aOnlyHinted,
           const SlotTable& aTable,
           TimePoint aNow);
  void ForgetAsks();
  std::uint32_t ReturnUpTo(UpstreamId aUpstream,
                           std::uint32_t aCount,
                           SlotTable& aTable);

  std::map<UpstreamId, Lease> m_leases;
  std::vector<UpstreamId> m_rotation;
  std::size_t m_next = 0;
  TimePoint m_askedAt{ -kNever };
  std::uint16_t m_urgency = 100;

  static constexpr Duration kNever{ 1000000 };
};

}
