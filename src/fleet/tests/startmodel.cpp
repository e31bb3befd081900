#include "startmodel.h"

#include "base/hash.h"
#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 20ms;
constexpr int kZones = 6;
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kEntriesPerPage = 200;
//! Decoding a page of the store on an eighth of a core, and the call.
constexpr Duration kPageTime = 30ms;
constexpr Duration kRefusedBackoff = 100ms;
//! The time that the sender and the receiver of a list take for a thousand
//! upstreams.
constexpr Duration kSendTime = 3ms;
constexpr Duration kDecodeTime = 20ms;
constexpr int kMaxTransfers = 8;
//! Time after its start at which a router knows the other routers.
constexpr Duration kMembersKnownAfter = 600ms;
//! Time until a report of a reader's proof has reached all routers.
constexpr Duration kReportTime = 300ms;

}

StartSimulation::StartSimulation(const StartLoad& aLoad)
  : m_load(aLoad)
{
  for (std::size_t i = 0; i < aLoad.routers; ++i) {
    Router router;
    router.member.address = { "10." + std::to_string(i / 200) + ".0." +
                                std::to_string(1 + i % 200),
                              7400 };
    router.member.zone = 1 + static_cast<std::uint32_t>(i % kZones);
    router.member.hash = base::HashName(router.member.address.Text());
    router.isSeed = i < kSeeds;
    const bool runs = i >= aLoad.routers - aLoad.running;
    const auto offset =
      router.member.hash % static_cast<std::uint32_t>(aLoad.spread.count() + 1);
    router.startsAt = runs ? m_now - 60000ms : m_now + Duration(offset);
    router.hasList = runs;
    router.provenAt = m_now;
    if (router.isSeed) {
      m_seeds.push_back(router.member.address);
    }
    m_routers.push_back(router);
  }
  std::vector<FleetMember> all;
  all.reserve(m_routers.size());
  for (auto& router : m_routers) {
    all.push_back(router.member);
    m_byAddress[router.member.address.Text()] = &router;
  }
  for (auto& router : m_routers) {
    auto others = all;
    std::erase(others, router.member);
    router.plan = MakeExchangePlan(router.member, others);
  }
}

void
StartSimulation::UpdateOptions(Router& aRouter)
{
  SourceContext view;
  view.self = aRouter.member.address;
  view.hash = aRouter.member.hash;
  view.isSeed = aRouter.isSeed;
  for (const auto& seed : m_seeds) {
    if (!(seed == aRouter.member.address)) {
      view.seeds.push_back(seed);
    }
  }
  view.sinceStart = m_now - aRouter.startsAt;
  view.seedWait = m_load.seedWait;
  view.proofAge = aRouter.hasList ? m_now - aRouter.provenAt : view.sinceStart;
  view.freshestReader =
    m_freshestReader.ReaderFresherThan(aRouter.provenAt, m_now);
  const bool knowsMembers = view.sinceStart >= kMembersKnownAfter;
  aRouter.selector.SetOptions(
    MakeSourceOptions(view, knowsMembers ? aRouter.plan : ExchangePlan{}),
    m_now);
}

void
StartSimulation::DropWork(Router& aRouter)
{
  aRouter.pagesLeft = 0;
  aRouter.callPending = false;
  aRouter.isReceiving = false;
}

void
StartSimulation::FinishList(Router& aRouter)
{
  aRouter.hasList = true;
  aRouter.listsStore = false;
  aRouter.provenAt = m_now;
  aRouter.selector.Answered(Duration{}, m_now);
  DropWork(aRouter);
}

void
StartSimulation::ReadStore(Router& aRouter)
{
  if (!aRouter.listsStore) {
    aRouter.provenAt = m_now;
    aRouter.selector.Answered(Duration{}, m_now);
    return;
  }
  if (m_now < aRouter.pageDoneAt) {
    return;
  }
  if (aRouter.pagesLeft == 0) {
    aRouter.pagesLeft =
      (m_load.upstreams + kEntriesPerPage - 1) / kEntriesPerPage;
  } else if (aRouter.callPending && --aRouter.pagesLeft == 0) {
    FinishList(aRouter);
    return;
  }
  aRouter.selector.Pending(m_now);
  m_result.storeCalls++;
  aRouter.callPending = m_callTokens >= 1;
  m_callTokens -= aRouter.callPending ? 1 : 0;
  aRouter.pageDoneAt =
    m_now + (aRouter.callPending ? kPageTime : kRefusedBackoff);
}

void
StartSimulation::FollowRouter(Router& aRouter)
{
  const auto& address = aRouter.selector.Current().address;
  auto& source = *m_byAddress.at(address.Text());
  if (!HasStarted(source)) {
    return;
  }
  if (aRouter.isReceiving) {
    if (m_now >= aRouter.receivedAt) {
      FinishList(aRouter);
    }
    return;
  }
  if (source.hasList && aRouter.hasList) {
    aRouter.provenAt = source.provenAt;
    aRouter.selector.Answered(m_now - source.provenAt, m_now);
    return;
  }
  const bool expectsList =
    source.pagesLeft > 0 || source.selector.IsPending(m_now);
  if (!source.hasList && !expectsList) {
    return;
  }
  aRouter.selector.Pending(m_now);
  if (!source.hasList) {
    return;
  }
  const auto thousands = static_cast<std::int64_t>(m_load.upstreams) / 1000;
  const auto sendTime = kSendTime * thousands;
  if (source.sendsUntil < m_now + kMaxTransfers * sendTime + kStep) {
    source.sendsUntil = std::max(source.sendsUntil, m_now) + sendTime;
    aRouter.isReceiving = true;
    aRouter.receivedAt = source.sendsUntil + kDecodeTime * thousands;
  }
}

void
StartSimulation::Step(Router& aRouter)
{
  if (!HasStarted(aRouter)) {
    return;
  }
  const auto before = aRouter.selector.Current();
  if (!aRouter.isReceiving) {
    UpdateOptions(aRouter);
  }
  aRouter.selector.Tick(m_now);
  const auto& current = aRouter.selector.Current();
  if (!(before == current)) {
    DropWork(aRouter);
    aRouter.listsStore = current.kind == SourceKind::Store;
  }
  if (current.kind == SourceKind::Store) {
    ReadStore(aRouter);
  } else {
    FollowRouter(aRouter);
  }
}

void
StartSimulation::ShareFreshestReader()
{
  const Router* freshest = nullptr;
  for (const auto& router : m_routers) {
    const bool reads =
      router.hasList && router.selector.Current().kind == SourceKind::Store;
    if (reads &&
        (freshest == nullptr || router.provenAt > freshest->provenAt)) {
      freshest = &router;
    }
  }
  if (freshest != nullptr) {
    m_freshestReader.Update(freshest->member.address,
                            freshest->provenAt - kReportTime);
  }
}

StartResult
StartSimulation::Run(Duration aLength)
{
  for (; m_now < m_begin + aLength; m_now += kStep) {
    m_callTokens = std::min(m_load.storeCallsPerSecond,
                            m_callTokens + m_load.storeCallsPerSecond *
                                             kStep.count() / 1000.0);
    for (auto& router : m_routers) {
      const bool hadList = router.hasList;
      Step(router);
      if (router.hasList && !hadList) {
        m_result.lastHasList = m_now - m_begin;
      }
      if (router.hasList) {
        m_result.oldestProof =
          std::max(m_result.oldestProof, m_now - router.provenAt);
      }
    }
    ShareFreshestReader();
  }
  m_result.withoutList = static_cast<std::size_t>(
    std::count_if(m_routers.begin(), m_routers.end(), [](const auto& aRouter) {
      return !aRouter.hasList;
    }));
  return m_result;
}

}
