#include "decision/internal/slotflow.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

//! Exchanges of reports and grants within one step, for slots that this router
//! both owns and borrows.
constexpr int kLocalExchanges = 3;

}

void
SlotFlow::Handle(const LoadReported& aEvent)
{
  m_state.slotOwner.HandleLoad(aEvent.upstream, aEvent.running, AliveRatio());
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
SlotFlow::AliveRatio() const
{
  const auto alive = static_cast<double>(m_state.membership.AliveCount());
  return alive / static_cast<double>(m_state.membership.KnownCount());
}

void
SlotFlow::HandleReports(RouterId aFrom, const std::vector<SlotReport>& aReports)
{
  for (const auto& report : aReports) {
    m_state.slotOwner.HandleReport(aFrom, report, m_state.now);
  }
}

void
SlotFlow::HandleGrants(RouterId aFrom,
                       std::uint32_t aBoot,
                       const std::vector<SlotGrant>& aGrants)
{
  for (auto& [id, pool] : m_state.pools) {
    if (auto* lease = std::get_if<LeasePolicy>(&pool.Policy())) {
      for (const auto& grant : aGrants) {
        lease->borrower.HandleGrant(
          aFrom, aBoot, grant, pool.Slots(), m_state.now);
      }
    }
  }
}

void
SlotFlow::HandleHints(RouterId aFrom, const std::vector<FreeHint>& aHints)
{
  m_hints[aFrom] = aHints;
}

std::vector<FreeHint>
SlotFlow::HintsFor(RouterId aNeighbour) const
{
  auto hints = m_state.slotOwner.FreeSlots();
  const auto isNeighbour = [&](RouterId aRouter) {
    const auto& position = m_state.membership.Position();
    return position.parent == aRouter ||
           std::find(position.children.begin(),
                     position.children.end(),
                     aRouter) != position.children.end();
  };
  for (const auto& [router, announced] : m_hints) {
    if (router != aNeighbour && isNeighbour(router)) {
      hints.insert(hints.end(), announced.begin(), announced.end());
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
    pool.RefreshShares(m_state.fleetView, m_state.now);
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
  if (!m_state.poolsStale && version == m_membershipVersion &&
      joined == m_joined) {
    return;
  }
  m_joined = joined;
  m_state.poolsStale = false;
  m_membershipVersion = version;
  m_state.fleetView.SetPosition(m_state.membership.Position());
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
      std::move(lent), OwnRank(), m_state.membership.AliveCount());
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
         m_state.now - m_startedAt.value_or(m_state.now) >= kJoinTimeout;
}

std::size_t
SlotFlow::OwnRank() const
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
  m_state.slotOwner.SetOwned(owned, m_state.now);
  for (const auto& [router, member] : m_state.membership.Others()) {
    if (member.state != MemberState::Alive) {
      m_state.slotOwner.ForgetRouter(router);
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
  for (int i = 0; i < kLocalExchanges; ++i) {
    DeliverReports();
    m_state.slotOwner.Review(m_state.now, m_state.LeaseExpiry());
    DeliverGrants();
  }
  DeliverReports();
  m_state.CheckInvariant(m_state.slotOwner.GrantsBeyondCapacity() == 0,
                         "slots granted beyond the capacity of an upstream");
}

void
SlotFlow::ReviewBorrower(Pool& aPool, SlotBorrower& aBorrower)
{
  const auto expired =
    aBorrower.DropExpired(aPool.Slots(), m_state.now, m_state.LeaseExpiry());
  if (expired > 0) {
    m_state.Record(DecisionKind::SlotsExpired,
                   "slots=" + std::to_string(expired));
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
         lease->borrower.TakePendingReports(pool.Slots())) {
      if (owner == m_state.self) {
        m_state.slotOwner.HandleReport(m_state.self, report, m_state.now);
        continue;
      }
      QueueReport(owner, report);
    }
  }
}

void
SlotFlow::DeliverGrants()
{
  for (const auto& [borrower, grant] : m_state.slotOwner.TakePendingGrants()) {
    if (borrower == m_state.self) {
      HandleGrants(m_state.self, m_state.settings.incarnation, { grant });
      continue;
    }
    QueueGrant(borrower, grant);
  }
}

//! Queues a report; it replaces a pending one for the same upstream.
void
SlotFlow::QueueReport(RouterId aOwner, const SlotReport& aReport)
{
  auto& reports = m_state.outbox.FrameFor(aOwner).reports;
  std::erase_if(reports, [&](const SlotReport& aOne) {
    return aOne.upstream == aReport.upstream;
  });
  reports.push_back(aReport);
}

//! Queues a grant; it replaces a pending one for the same upstream, except that
//! the higher number of slots to return is kept.
void
SlotFlow::QueueGrant(RouterId aBorrower, const SlotGrant& aGrant)
{
  auto& grants = m_state.outbox.FrameFor(aBorrower).grants;
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
SlotFlow::RenewLeases()
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
        HandleReports(m_state.self, reports);
        continue;
      }
      for (const auto& report : reports) {
        QueueReport(owner, report);
      }
    }
  }
  for (const auto borrower : m_state.slotOwner.Borrowers()) {
    const auto grants = m_state.slotOwner.Renewals(borrower);
    if (grants.empty()) {
      continue;
    }
    if (borrower == m_state.self) {
      HandleGrants(m_state.self, m_state.settings.incarnation, grants);
      continue;
    }
    for (const auto& grant : grants) {
      QueueGrant(borrower, grant);
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
        m_state.AddAction(PollLoad{ lent.upstream, host->address });
      }
    }
  }
}

}
