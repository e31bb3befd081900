#include "decision/internal/slotowner.h"

#include "decision/decisionconstants.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockgauge::decision {

namespace {

//! A borrower that uses all its slots is asked to return some only if another
//! one holds a lower percentage of its entitlement, by more than this.
constexpr std::uint32_t kPressureBandPercent = 10;
constexpr std::uint32_t kFullPart = 100;

}

std::uint32_t
SlotOwner::Lease::Committed() const
{
  return std::max(granted, heldSeen);
}

//! Changes the grant under a new sequence if the current one was already sent:
//! a sequence always stands for the same grant.
void
SlotOwner::Lease::Change(std::uint32_t aGranted, std::uint32_t& aLastSequence)
{
  if (sequence == told) {
    sequence = ++aLastSequence;
  }
  granted = aGranted;
  dirty = true;
}

std::uint32_t
SlotOwner::Book::Committed() const
{
  std::uint32_t total = 0;
  for (const auto& [router, lease] : leases) {
    total += lease.Committed();
  }
  return total;
}

std::uint32_t
SlotOwner::Book::Usable() const
{
  const auto floor = static_cast<std::uint32_t>(
    std::ceil(static_cast<double>(capacity) * sidePart));
  const auto left = capacity > foreign ? capacity - foreign : 0;
  return std::min(capacity, std::max(left, floor));
}

void
SlotOwner::SetOwned(const std::map<UpstreamId, std::uint32_t>& aCapacities,
                    TimePoint aNow)
{
  std::erase_if(m_books, [&](const auto& aOne) {
    return !aCapacities.contains(aOne.first);
  });
  for (const auto& [upstream, capacity] : aCapacities) {
    const auto [at, isNew] = m_books.try_emplace(upstream);
    at->second.capacity = capacity;
    if (isNew) {
      at->second.claimsUntil = aNow + kClaimWindow;
    }
  }
}

void
SlotOwner::TakeReport(RouterId aBorrower,
                      const SlotReport& aReport,
                      TimePoint aNow)
{
  const auto found = m_books.find(aReport.upstream);
  if (found == m_books.end()) {
    return;
  }
  //! NOTE an acknowledgement of a grant from before a restart of this router
  //! does not count: sequences are reused after a restart.
  const bool seen = aReport.ownerBoot == m_boot;
  const auto acked = seen ? aReport.ackedGrant : 0;
  Book& book = found->second;
  Lease& lease = book.leases[aBorrower];
  const bool claim = lease.sequence == 0;
  if (claim) {
    const auto committed = book.Committed();
    const auto left = book.capacity > committed ? book.capacity - committed : 0;
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
  lease.heldSeen = aReport.held;
  lease.inUse = aReport.inUse;
  lease.want = aReport.want;
  lease.askedAt = aNow;
  lease.urgency = aReport.urgency;
  lease.heard = aNow;
}

void
SlotOwner::TakeLoad(UpstreamId aUpstream,
                    std::uint32_t aRunning,
                    double aSidePart)
{
  const auto found = m_books.find(aUpstream);
  if (found == m_books.end()) {
    return;
  }
  Book& book = found->second;
  //! NOTE load reports lag behind the grants, so the lower one of two
  //! consecutive reports counts.
  const auto lent = book.Committed();
  const auto overdraft = static_cast<std::uint32_t>(
    std::ceil(static_cast<double>(book.capacity) * kOverdraftPart));
  const auto known = lent + overdraft;
  book.foreignSeen[1] = book.foreignSeen[0];
  book.foreignSeen[0] = aRunning > known ? aRunning - known : 0;
  book.foreign = std::min(book.foreignSeen[0], book.foreignSeen[1]);
  book.sidePart = aSidePart;
  if (aRunning == 0) {
    book.claimsUntil = {};
  }
}

void
SlotOwner::ForgetRouter(RouterId aRouter)
{
  for (auto& [upstream, book] : m_books) {
    book.leases.erase(aRouter);
  }
}

void
SlotOwner::Review(TimePoint aNow, Duration aExpiry)
{
  for (auto& [upstream, book] : m_books) {
    std::erase_if(book.leases, [&](const auto& aOne) {
      return aNow - aOne.second.heard > aExpiry;
    });
    for (auto& [router, lease] : book.leases) {
      const bool old = aNow - lease.askedAt > kAskExpiry;
      lease.want = old ? std::min(lease.want, lease.heldSeen) : lease.want;
    }
    TakeBack(book);
    if (aNow >= book.claimsUntil) {
      HandOut(book);
    }
    MarkPressure(book, aNow);
  }
}

//! Grants free slots one by one, each to the borrower that wants more and holds
//! the lowest percentage of its entitlement.
void
SlotOwner::HandOut(Book& aBook)
{
  while (aBook.Committed() < aBook.Usable()) {
    Lease* neediest = nullptr;
    for (auto& [router, lease] : aBook.leases) {
      const bool wants = lease.want > lease.Committed();
      if (wants && (neediest == nullptr || lease.urgency < neediest->urgency)) {
        neediest = &lease;
      }
    }
    if (neediest == nullptr) {
      return;
    }
    neediest->Change(neediest->Committed() + 1, m_lastSequence);
    if (aBook.Committed() > aBook.capacity) {
      m_badRaises++;
    }
    neediest->urgency += 100 / std::max(1U, neediest->granted);
  }
}

//! Reduces grants beyond the usable slots one by one, each at the borrower that
//! holds the highest percentage of its entitlement.
void
SlotOwner::TakeBack(Book& aBook)
{
  std::uint32_t granted = 0;
  for (const auto& [router, lease] : aBook.leases) {
    granted += lease.granted;
  }
  const auto usable = aBook.Usable();
  while (granted > usable) {
    Lease* fullest = nullptr;
    for (auto& [router, lease] : aBook.leases) {
      const bool has = lease.granted > 0;
      if (has && (fullest == nullptr || lease.urgency > fullest->urgency)) {
        fullest = &lease;
      }
    }
    if (fullest == nullptr) {
      return;
    }
    fullest->Change(fullest->granted - 1, m_lastSequence);
    const auto step = 100 / std::max(1U, fullest->granted);
    fullest->urgency -= std::min(fullest->urgency, step);
    granted--;
  }
}

//! Asks borrowers to return as many slots as others wait for. Those that hold
//! the highest percentage of their entitlement are asked first, and none again
//! within kPressurePeriod, which leaves it time to answer.
void
SlotOwner::MarkPressure(Book& aBook, TimePoint aNow)
{
  std::uint32_t missing = 0;
  std::uint32_t neediest = kFullPart;
  for (const auto& [router, lease] : aBook.leases) {
    if (lease.want > lease.Committed()) {
      missing += lease.want - lease.Committed();
      neediest = std::min(neediest, lease.urgency);
    }
  }
  std::vector<Lease*> givers;
  for (auto& [router, lease] : aBook.leases) {
    const bool asks = lease.want > lease.Committed();
    const bool idle = lease.inUse < lease.granted;
    const bool richer = lease.urgency > neediest + kPressureBandPercent;
    if (lease.granted > 0 && !asks && (idle || richer)) {
      givers.push_back(&lease);
    }
  }
  std::sort(givers.begin(), givers.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->urgency > aRight->urgency;
  });
  for (auto* giver : givers) {
    if (missing == 0) {
      break;
    }
    const auto idle = giver->granted - std::min(giver->granted, giver->inUse);
    const auto surplus =
      giver->urgency > kFullPart
        ? giver->granted * (giver->urgency - kFullPart) / giver->urgency
        : 0;
    const auto back = std::min(missing, std::max({ idle, surplus, 1U }));
    missing -= back;
    if (aNow - giver->pressedAt >= kPressurePeriod) {
      giver->pressedAt = aNow;
      giver->wantedBack = back;
      giver->dirty = true;
    }
  }
}

std::vector<SlotOwner::Addressed>
SlotOwner::TakeGrants()
{
  std::vector<Addressed> grants;
  for (auto& [upstream, book] : m_books) {
    for (auto& [router, lease] : book.leases) {
      if (!lease.dirty) {
        continue;
      }
      lease.dirty = false;
      lease.told = lease.sequence;
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
  for (auto& [upstream, book] : m_books) {
    const auto found = book.leases.find(aBorrower);
    if (found != book.leases.end() && found->second.sequence != 0) {
      Lease& lease = found->second;
      lease.told = lease.sequence;
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
  for (const auto& [upstream, book] : m_books) {
    for (const auto& [router, lease] : book.leases) {
      borrowers.insert(router);
    }
  }
  return { borrowers.begin(), borrowers.end() };
}

std::vector<FreeHint>
SlotOwner::FreeSlots() const
{
  std::vector<FreeHint> hints;
  for (const auto& [upstream, book] : m_books) {
    const auto committed = book.Committed();
    const auto usable = book.Usable();
    if (usable > committed) {
      hints.push_back(
        { upstream, static_cast<std::uint16_t>(usable - committed) });
    }
  }
  return hints;
}

}
