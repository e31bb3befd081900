#include "decision/internal/slotflow.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

//! Exchanges of reports and grants within one step, for slots that this router
//! both owns and borrows.
constexpr int kLocalRounds = 3;

}

void
SlotFlow::Take(const LoadReported& aEvent)
{
  m_state.owner.TakeLoad(aEvent.upstream, aEvent.running, SidePart());
  for (auto& [id, pool] : m_state.pools) {
    const auto* lent = pool.FindUpstream(aEvent.upstream);
    if (lent != nullptr &&
        std::holds_alternative<LeastLoadedPolicy>(pool.Policy())) {
      SetReportedLimit(*lent, aEvent.running, pool.Slots());
    }
  }
}

//! Ratio of the known routers that are alive, as seen from here: the size of
//! this side of a partition.
double
SlotFlow::SidePart() const
{
  const auto alive = static_cast<double>(m_state.membership.AliveCount());
  return alive / static_cast<double>(m_state.membership.KnownCount());
}

void
SlotFlow::TakeReports(RouterId aFrom, const std::vector<SlotReport>& aReports)
{
  for (const auto& report : aReports) {
    m_state.owner.TakeReport(aFrom, report, m_state.now);
  }
}

void
SlotFlow::TakeGrants(RouterId aFrom,
                     std::uint32_t aBoot,
                     const std::vector<SlotGrant>& aGrants)
{
  for (auto& [id, pool] : m_state.pools) {
    if (auto* lease = std::get_if<LeasePolicy>(&pool.Policy())) {
      for (const auto& grant : aGrants) {
        lease->borrower.TakeGrant(
          aFrom, aBoot, grant, pool.Slots(), m_state.now);
      }
    }
  }
}

void
SlotFlow::TakeHints(RouterId aFrom, const std::vector<FreeHint>& aHints)
{
  m_hints[aFrom] = aHints;
}

std::vector<FreeHint>
SlotFlow::HintsFor(RouterId aNeighbour) const
{
  auto hints = m_state.owner.FreeSlots();
  const auto isNeighbour = [&](RouterId aRouter) {
    const auto& place = m_state.membership.Place();
    return place.parent == aRouter ||
           std::find(place.children.begin(), place.children.end(), aRouter) !=
             place.children.end();
  };
  for (const auto& [router, told] : m_hints) {
    if (router != aNeighbour && isNeighbour(router)) {
      hints.insert(hints.end(), told.begin(), told.end());
    }
  }
  std::sort(
    hints.begin(), hints.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.free > aRight.free;
    });
  hints.resize(std::min(hints.size(), kMaxHints));
  return hints;
}

void
SlotFlow::RefreshShares()
{
  for (auto& [id, pool] : m_state.pools) {
    pool.RefreshShares(m_state.view, m_state.now);
  }
}

void
SlotFlow::RebuildIfStale()
{
  if (!m_startedAt) {
    m_startedAt = m_state.now;
  }
  const auto version = m_state.membership.Version();
  const bool joined = HasJoined();
  if (!m_state.poolsStale && version == m_membershipSeen &&
      joined == m_joined) {
    return;
  }
  m_joined = joined;
  m_state.poolsStale = false;
  m_membershipSeen = version;
  m_state.view.SetPlace(m_state.membership.Place());
  RebuildPools();
  RebuildOwned();
}

void
SlotFlow::RebuildPools()
{
  std::map<PoolId,
           std::vector<std::shared_ptr<const document::ServiceDocument>>>
    services;
  for (const auto& [name, inForce] : m_state.configuration.InForce()) {
    services[inForce.document->pool].push_back(inForce.document);
  }
  for (const auto& [id, pool] : m_state.pools) {
    services.try_emplace(id);
  }
  for (const auto& [id, documents] : services) {
    auto& pool = m_state.PoolOf(id);
    pool.Configure(documents);
    std::vector<LentUpstream> lent;
    for (const auto& [upstream, host] : m_state.hosts.Upstreams()) {
      const bool usable = host.state == HostState::Live &&
                          PoolId(base::HashName(host.pool)) == id;
      if (usable) {
        lent.push_back({ upstream,
                         m_state.membership.OwnerOf(upstream, host.zone),
                         pool.ConcurrencyPerUpstream() });
      }
    }
    pool.SetUpstreams(
      std::move(lent), RankHere(), m_state.membership.AliveCount());
  }
}

//! Whether this router may own upstreams.
//! NOTE a router that starts knows no other alive router until one answers, and
//! would grant all slots of the pool to itself.
bool
SlotFlow::HasJoined() const
{
  if (m_joined || m_state.membership.AliveCount() > 1) {
    return true;
  }
  const auto& routers = m_state.hosts.Routers();
  const bool others =
    std::any_of(routers.begin(), routers.end(), [&](const auto& aOne) {
      return aOne.first != m_state.self && aOne.second.state == HostState::Live;
    });
  const bool listed = !m_state.hosts.Upstreams().empty();
  return (listed && !others) ||
         m_state.now - m_startedAt.value_or(m_state.now) >= kJoinWait;
}

std::size_t
SlotFlow::RankHere() const
{
  std::size_t rank = 0;
  for (const auto& [router, member] : m_state.membership.Others()) {
    rank += member.state == MemberState::Alive && router < m_state.self;
  }
  return rank;
}

void
SlotFlow::RebuildOwned()
{
  std::map<UpstreamId, std::uint32_t> owned;
  for (const auto& [id, pool] : m_state.pools) {
    for (const auto& lent : pool.Upstreams()) {
      if (m_joined && lent.owner == m_state.self) {
        owned[lent.upstream] = lent.capacity;
      }
    }
  }
  m_state.owner.SetOwned(owned, m_state.now);
  for (const auto& [router, member] : m_state.membership.Others()) {
    if (member.state != MemberState::Alive) {
      m_state.owner.ForgetRouter(router);
      m_hints.erase(router);
    }
  }
}

void
SlotFlow::Review()
{
  for (auto& [id, pool] : m_state.pools) {
    if (auto* lease = std::get_if<LeasePolicy>(&pool.Policy())) {
      ReviewBorrower(pool, lease->borrower);
    }
  }
  for (int i = 0; i < kLocalRounds; ++i) {
    DeliverReports();
    m_state.owner.Review(m_state.now, m_state.LeaseExpiry());
    DeliverGrants();
  }
  DeliverReports();
  m_state.Expect(m_state.owner.GrantsRaisedBeyondCapacity() == 0,
                 "slots granted beyond the capacity of an upstream");
}

void
SlotFlow::ReviewBorrower(Pool& aPool, SlotBorrower& aBorrower)
{
  const auto lapsed =
    aBorrower.DropLapsed(aPool.Slots(), m_state.now, m_state.LeaseExpiry());
  if (lapsed > 0) {
    m_state.Note(DecisionKind::SlotsLapsed, "slots=" + std::to_string(lapsed));
  }
  if (m_state.draining) {
    aBorrower.ReturnAll(aPool.Slots());
    return;
  }
  const auto hints = HintsFor(m_state.self);
  aBorrower.Review(aPool.Needs(), hints, aPool.Slots(), m_state.now);
}

void
SlotFlow::DeliverReports()
{
  for (auto& [id, pool] : m_state.pools) {
    auto* lease = std::get_if<LeasePolicy>(&pool.Policy());
    if (lease == nullptr) {
      continue;
    }
    for (const auto& [owner, report] :
         lease->borrower.TakeReports(pool.Slots())) {
      if (owner == m_state.self) {
        m_state.owner.TakeReport(m_state.self, report, m_state.now);
        continue;
      }
      PutReport(owner, report);
    }
  }
}

void
SlotFlow::DeliverGrants()
{
  for (const auto& [borrower, grant] : m_state.owner.TakeGrants()) {
    if (borrower == m_state.self) {
      TakeGrants(m_state.self, m_state.settings.incarnation, { grant });
      continue;
    }
    PutGrant(borrower, grant);
  }
}

//! Queues a report; it replaces a pending one for the same upstream.
void
SlotFlow::PutReport(RouterId aOwner, const SlotReport& aReport)
{
  auto& reports = m_state.outbox.For(aOwner).reports;
  std::erase_if(reports, [&](const SlotReport& aOne) {
    return aOne.upstream == aReport.upstream;
  });
  reports.push_back(aReport);
}

//! Queues a grant; it replaces a pending one for the same upstream, except that
//! the higher number of slots to return is kept.
void
SlotFlow::PutGrant(RouterId aBorrower, const SlotGrant& aGrant)
{
  auto& grants = m_state.outbox.For(aBorrower).grants;
  auto wantedBack = aGrant.wantedBack;
  std::erase_if(grants, [&](const SlotGrant& aOne) {
    const bool same = aOne.upstream == aGrant.upstream;
    wantedBack = same ? std::max(wantedBack, aOne.wantedBack) : wantedBack;
    return same;
  });
  grants.push_back(aGrant);
  grants.back().wantedBack = wantedBack;
}

void
SlotFlow::Renew()
{
  for (auto& [id, pool] : m_state.pools) {
    auto* lease = std::get_if<LeasePolicy>(&pool.Policy());
    if (lease == nullptr) {
      continue;
    }
    for (const auto owner : lease->borrower.Owners()) {
      const auto reports = lease->borrower.Renewals(owner, pool.Slots());
      if (reports.empty()) {
        continue;
      }
      if (owner == m_state.self) {
        TakeReports(m_state.self, reports);
        continue;
      }
      for (const auto& report : reports) {
        PutReport(owner, report);
      }
    }
  }
  for (const auto borrower : m_state.owner.Borrowers()) {
    const auto grants = m_state.owner.Renewals(borrower);
    if (grants.empty()) {
      continue;
    }
    if (borrower == m_state.self) {
      TakeGrants(m_state.self, m_state.settings.incarnation, grants);
      continue;
    }
    for (const auto& grant : grants) {
      PutGrant(borrower, grant);
    }
  }
}

void
SlotFlow::PollLoads()
{
  for (const auto& [id, pool] : m_state.pools) {
    const bool all = std::holds_alternative<LeastLoadedPolicy>(pool.Policy());
    for (const auto& lent : pool.Upstreams()) {
      const auto* host = m_state.hosts.FindUpstream(lent.upstream);
      if (all || lent.owner == m_state.self) {
        m_state.Act(PollLoad{ lent.upstream, host->address });
      }
    }
  }
}

}
