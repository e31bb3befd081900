#include "fleet/sourceoptions.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! Maximum number of peers that a router lists as sources after the store.
constexpr std::size_t kMaxPeerSources = 2;

//! Returns options with an empty order. The default order holds the store.
SourceOptions
EmptyOptions()
{
  SourceOptions options;
  options.order.clear();
  return options;
}

//! Appends up to aMaxCount of aRouters to the order, starting at the index that
//! the router's hash selects. Skips this router and those already in the order.
void
AddRouters(SourceOptions& aOptions,
           const std::vector<base::Address>& aRouters,
           std::size_t aMaxCount,
           const SourceContext& aView)
{
  for (std::size_t i = 0; i < std::min(aMaxCount, aRouters.size()); ++i) {
    const auto& router = aRouters[(aView.hash + i) % aRouters.size()];
    const StoreSource source{ SourceKind::Router, router };
    const auto& order = aOptions.order;
    const bool isListed =
      std::find(order.begin(), order.end(), source) != order.end();
    if (!isListed && !(router == aView.self)) {
      aOptions.order.push_back(source);
    }
  }
}

std::optional<std::size_t>
IndexOf(const SourceOptions& aOptions, const base::Address& aRouter)
{
  const StoreSource source{ SourceKind::Router, aRouter };
  const auto& order = aOptions.order;
  const auto found = std::find(order.begin(), order.end(), source);
  if (found == order.end()) {
    return {};
  }
  return static_cast<std::size_t>(found - order.begin());
}

void
AddFreshestReader(SourceOptions& aOptions, const SourceContext& aView)
{
  if (aView.freshestReader) {
    AddRouters(aOptions, { *aView.freshestReader }, 1, aView);
    aOptions.fresherIndex = IndexOf(aOptions, *aView.freshestReader);
  }
}

//! The seeds may start a little later than this router, so all sources are
//! tried several times before the store. A router of a large fleet that is no
//! hub prefers the hubs of its group, which get the list from the seeds.
SourceOptions
OptionsAtStart(const SourceContext& aView, const ExchangePlan& aPlan)
{
  auto options = EmptyOptions();
  if (aPlan.IsLarge() && !aPlan.isHub) {
    AddRouters(options, aPlan.groupHubs, aPlan.groupHubs.size(), aView);
  }
  AddRouters(options, aView.seeds, aView.seeds.size(), aView);
  const auto routers = options.order;
  const auto waitForAll =
    aView.seedWait * static_cast<std::int64_t>(routers.size());
  const auto rounds =
    waitForAll > Duration{} ? 1 + kStartSpread / waitForAll : 1;
  for (std::int64_t round = 1; round < rounds; ++round) {
    options.order.insert(options.order.end(), routers.begin(), routers.end());
  }
  options.order.emplace_back();
  options.firstAnswerTimeout = aView.seedWait;
  return options;
}

//! Whether the router uses the sources of a start. Afterwards it follows the
//! plan.
bool
IsStarting(const SourceContext& aView, const ExchangePlan& aPlan)
{
  const bool hasProof = aView.proofAge < aView.sinceStart;
  if (aView.isSeed || !hasProof) {
    return aView.sinceStart < kMaxStartTime;
  }
  return !aPlan.IsLarge() && aView.sinceStart < kSourceSettleTime;
}

SourceOptions
OptionsWithStoreFirst(const SourceContext& aView, const ExchangePlan& aPlan)
{
  auto options = EmptyOptions();
  options.order.emplace_back();
  AddFreshestReader(options, aView);
  AddRouters(options, aPlan.reportTargets, kMaxPeerSources, aView);
  return options;
}

//! Returns the proof age beyond which a router of rank aRank, which is not one
//! of the store's readers, reads the store itself.
Duration
TakeoverProofAge(std::size_t aRank)
{
  const auto ranksAhead = aRank - std::min(aRank, kStoreReaders);
  return kTakeoverProofAge +
         static_cast<std::int64_t>(ranksAhead) * kTakeoverStagger;
}

}

void
FreshestReader::Update(const base::Address& aReader, TimePoint aProvenAt)
{
  if (aProvenAt > m_provenAt) {
    m_reader = aReader;
    m_provenAt = aProvenAt;
  }
}

std::optional<base::Address>
FreshestReader::Reader(TimePoint aNow) const
{
  if (ProofAge(aNow) > kMaxSourceProofAge) {
    return {};
  }
  return m_reader;
}

std::optional<base::Address>
FreshestReader::ReaderFresherThan(TimePoint aOwn, TimePoint aNow) const
{
  if (m_provenAt - kMinProofAdvantage < aOwn) {
    return {};
  }
  return Reader(aNow);
}

SourceOptions
MakeSourceOptions(const SourceContext& aView, const ExchangePlan& aPlan)
{
  const bool isStarting = IsStarting(aView, aPlan);
  if (isStarting && !aView.isSeed && !aView.seeds.empty()) {
    return OptionsAtStart(aView, aPlan);
  }
  if (isStarting || !aPlan.IsLarge()) {
    return OptionsWithStoreFirst(aView, aPlan);
  }
  auto options = EmptyOptions();
  const bool isReader = aPlan.storeReadRank < kStoreReaders;
  if (isReader) {
    options.order.emplace_back();
  } else {
    const auto& preferred = aPlan.isHub ? aPlan.storeReaders : aPlan.groupHubs;
    AddRouters(options, preferred, 1, aView);
  }
  AddFreshestReader(options, aView);
  AddRouters(options, aPlan.groupHubs, aPlan.groupHubs.size(), aView);
  AddRouters(options, aPlan.storeReaders, aPlan.storeReaders.size(), aView);
  options.shouldTakeOver =
    !isReader && !aView.freshestReader &&
    aView.proofAge > TakeoverProofAge(aPlan.storeReadRank);
  return options;
}

}
