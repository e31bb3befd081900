#pragma once

#include "decision/decisiontypes.h"

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace hemlockgauge::decision {

//! Grants slots of the upstreams that this router owns to routers that borrow
//! them. Grants are absolute counts with a sequence number, so that lost,
//! duplicated or reordered messages do no harm. A new owner first waits for the
//! claims of routers that already hold slots.
class SlotOwner
{
public:
  using Addressed = std::pair<RouterId, SlotGrant>;

  explicit SlotOwner(std::uint32_t aBoot)
    : m_boot(aBoot)
  {
  }

  //! Sets the upstreams that this router owns, with their numbers of slots.
  void SetOwned(const std::map<UpstreamId, std::uint32_t>& aCapacities,
                TimePoint aNow);
  //! Updates the lease of a borrower. Its first report is a claim: slots that
  //! it holds are granted as far as the capacity allows.
  void HandleReport(RouterId aBorrower,
                    const SlotReport& aReport,
                    TimePoint aNow);
  //! Handles the number of requests that an upstream reports as running.
  //! Requests of routers that are not borrowers here (those on the other side
  //! of a partition) reduce the usable slots, but not below the ratio
  //! aAliveRatio of the capacity, so that neither side starves the other.
  void HandleLoad(UpstreamId aUpstream,
                  std::uint32_t aRunning,
                  double aAliveRatio);
  void ForgetRouter(RouterId aRouter);
  //! Drops leases without a report for longer than aExpiry, reduces grants
  //! beyond the usable slots, and grants free slots after the claim window.
  void Review(TimePoint aNow, Duration aExpiry);

  //! Returns the changed grants to be sent and clears them.
  std::vector<Addressed> TakePendingGrants();
  //! Returns all grants of one borrower, to renew its leases.
  std::vector<SlotGrant> Renewals(RouterId aBorrower);
  std::vector<RouterId> Borrowers() const;
  std::vector<FreeHint> FreeSlots() const;
  //! Counts violations of an invariant: stays 0.
  std::uint64_t GrantsBeyondCapacity() const { return m_grantsBeyondCapacity; }

private:
  struct Lease
  {
    std::uint32_t granted = 0;
    std::uint32_t reportedHeld = 0; //!< as last reported by the borrower
    std::uint32_t inUse = 0;
    std::uint32_t want = 0;
    std::uint32_t heldPercent = 100;
    std::uint32_t sequence = 0;
    std::uint32_t sentSequence = 0; //!< last sequence that was sent
    TimePoint lastReportAt{};       //!< time of the last report
    TimePoint returnRequestedAt{};  //!< when slots were last requested back
    TimePoint wantReportedAt{};     //!< when want was last reported
    std::uint32_t wantedBack = 0;
    bool dirty = false; //!< the grant is to be sent

    //! Slots that the borrower may hold: granted or still reported.
    std::uint32_t Committed() const;
    void Change(std::uint32_t aGranted, std::uint32_t& aLastSequence);
  };
  //! The lending state of one owned upstream.
  struct OwnedUpstream
  {
    std::uint32_t capacity = 0;
    std::uint32_t foreignRunning =
      0; //!< slots used by routers without a lease here
    std::array<std::uint32_t, 2>
      foreignReports{}; //!< the last two load reports
    double aliveRatio = 1;
    TimePoint claimWindowEnd{};
    std::map<RouterId, Lease> leases;

    std::uint32_t Committed() const;
    //! Slots that may be granted.
    std::uint32_t Usable() const;
  };

  void GrantFreeSlots(OwnedUpstream& aOwned);
  void ReduceGrants(OwnedUpstream& aOwned);
  static void RequestReturns(OwnedUpstream& aOwned, TimePoint aNow);

  std::uint32_t m_boot;
  std::map<UpstreamId, OwnedUpstream> m_upstreams;
  //! NOTE shared by all leases: a lease that was dropped and is created again
  //! must not start below the sequence that its borrower has acknowledged.
  std::uint32_t m_lastSequence = 0;
  std::uint64_t m_grantsBeyondCapacity = 0;
};

}
