#include "decision/internal/slotowner.h"

#include "decision/decisionconstants.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockgauge::decision {

namespace {

//! A borrower gives way only to one that has this much less of its part.
constexpr std::uint32_t kPressureBandPercent = 10;

}

std::uint32_t
SlotOwner::Lease::Committed() const
{
  return acked == sequence ? granted : std::max(granted, heldSeen);
}

//! A sequence that may have gone out never changes its meaning.
void
SlotOwner::Lease::Change(std::uint32_t aGranted)
{
  if (sequence == told) {
    sequence++;
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
  Book& book = found->second;
  Lease& lease = book.leases[aBorrower];
  const bool claim = aReport.ackedGrant == 0 && lease.sequence == 0;
  if (claim) {
    const auto committed = book.Committed();
    const auto left = book.capacity > committed ? book.capacity - committed : 0;
    lease.Change(std::min<std::uint32_t>(aReport.held, left));
  } else if (aReport.ackedGrant == lease.sequence) {
    lease.granted = std::min<std::uint32_t>(lease.granted, aReport.held);
  } else {
    lease.dirty = true;
  }
  lease.acked = aReport.ackedGrant;
  lease.heldSeen = aReport.held;
  lease.inUse = aReport.inUse;
  lease.want = aReport.want;
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
  //! NOTE a report lags, so only what two in a row show counts.
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
    TakeBack(book);
    if (aNow >= book.claimsUntil) {
      HandOut(book);
    }
    MarkPressure(book);
  }
}

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
    neediest->Change(neediest->Committed() + 1);
    if (aBook.Committed() > aBook.capacity) {
      m_badRaises++;
    }
    neediest->urgency += 100 / std::max(1U, neediest->granted);
  }
}

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
    fullest->Change(fullest->granted - 1);
    const auto step = 100 / std::max(1U, fullest->granted);
    fullest->urgency -= std::min(fullest->urgency, step);
    granted--;
  }
}

void
SlotOwner::MarkPressure(Book& aBook)
{
  constexpr auto kNoOne = UINT32_MAX;
  std::uint32_t neediest = kNoOne;
  for (const auto& [router, lease] : aBook.leases) {
    if (lease.want > lease.Committed()) {
      neediest = std::min(neediest, lease.urgency);
    }
  }
  for (auto& [router, lease] : aBook.leases) {
    const bool idle = lease.inUse < lease.granted;
    const bool richer = neediest != kNoOne && neediest < 100 &&
                        lease.urgency > neediest + kPressureBandPercent;
    const bool asks = lease.want > lease.Committed();
    const bool pressure =
      neediest != kNoOne && lease.granted > 0 && !asks && (idle || richer);
    if (pressure != lease.pressure) {
      lease.pressure = pressure;
      lease.dirty = true;
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
                           lease.pressure } });
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
                         lease.pressure });
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

std::uint32_t
SlotOwner::Overcommitted() const
{
  std::uint32_t over = 0;
  for (const auto& [upstream, book] : m_books) {
    const auto committed = book.Committed();
    over += committed > book.capacity ? committed - book.capacity : 0;
  }
  return over;
}

}
