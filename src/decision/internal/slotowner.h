#pragma once

#include "decision/decisiontypes.h"

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace hemlockgauge::decision {

//! Lends out the slots of the upstreams that this router answers for.
//! Grants are absolute counts with a sequence, so that lost, copied or
//! crossed messages do no harm; a new owner first hears claims.
class SlotOwner
{
public:
  using Addressed = std::pair<RouterId, SlotGrant>;

  explicit SlotOwner(std::uint32_t aBoot)
    : m_boot(aBoot)
  {
  }

  //! Which upstreams this router owns now, with their slots.
  void SetOwned(const std::map<UpstreamId, std::uint32_t>& aCapacities,
                TimePoint aNow);
  void TakeReport(RouterId aBorrower,
                  const SlotReport& aReport,
                  TimePoint aNow);
  //! What the upstream says runs on it. What others than our borrowers run
  //! (the far side of a partition) is taken off, but never below aSidePart
  //! of the slots, so that neither side starves the other.
  void TakeLoad(UpstreamId aUpstream, std::uint32_t aRunning, double aSidePart);
  void ForgetRouter(RouterId aRouter);
  //! Ends claim windows and silent leases, then hands out free slots.
  void Review(TimePoint aNow, Duration aExpiry);

  std::vector<Addressed> TakeGrants();
  //! All grants of one borrower, to renew its leases.
  std::vector<SlotGrant> Renewals(RouterId aBorrower);
  std::vector<RouterId> Borrowers() const;
  std::vector<FreeHint> FreeSlots() const;
  std::uint64_t GrantsRaisedBeyondCapacity() const { return m_badRaises; }

private:
  struct Lease
  {
    std::uint32_t granted = 0;
    std::uint32_t heldSeen = 0;
    std::uint32_t inUse = 0;
    std::uint32_t want = 0;
    std::uint32_t urgency = 100;
    std::uint32_t sequence = 0;
    std::uint32_t told = 0; //!< last sequence that went out
    TimePoint heard{};
    TimePoint pressedAt{};
    TimePoint askedAt{};
    std::uint32_t wantedBack = 0;
    bool dirty = false;

    std::uint32_t Committed() const;
    void Change(std::uint32_t aGranted, std::uint32_t& aLastSequence);
  };
  struct Book
  {
    std::uint32_t capacity = 0;
    std::uint32_t foreign = 0;
    std::array<std::uint32_t, 2> foreignSeen{};
    double sidePart = 1;
    TimePoint claimsUntil{};
    std::map<RouterId, Lease> leases;

    std::uint32_t Committed() const;
    std::uint32_t Usable() const;
  };

  void HandOut(Book& aBook);
  void TakeBack(Book& aBook);
  static void MarkPressure(Book& aBook, TimePoint aNow);

  std::uint32_t m_boot;
  std::map<UpstreamId, Book> m_books;
  //! NOTE one count for all leases: a lease that was forgotten and is made
  //! anew must not begin below what its borrower has confirmed.
  std::uint32_t m_lastSequence = 0;
  std::uint64_t m_badRaises = 0;
};

}
