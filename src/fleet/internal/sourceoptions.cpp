#include "fleet/sourceoptions.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! Routers beyond its own hubs that a router turns to.
constexpr std::size_t kOtherSources = 2;

//! To be filled: the default names the store.
SourceOptions
WithoutSources()
{
  SourceOptions options;
  options.order.clear();
  return options;
}

//! Adds up to aMost of aRouters, beginning at the one that aHash draws.
void
AddRouters(SourceOptions& aOptions,
           const std::vector<base::Address>& aRouters,
           std::size_t aMost,
           const SourceView& aView)
{
  for (std::size_t i = 0; i < std::min(aMost, aRouters.size()); ++i) {
    const auto& router = aRouters[(aView.hash + i) % aRouters.size()];
    const NewsSource source{ SourceKind::Router, router };
    const auto& order = aOptions.order;
    const bool known =
      std::find(order.begin(), order.end(), source) != order.end();
    if (!known && !(router == aView.self)) {
      aOptions.order.push_back(source);
    }
  }
}

std::optional<std::size_t>
PlaceOf(const SourceOptions& aOptions, const base::Address& aRouter)
{
  const NewsSource source{ SourceKind::Router, aRouter };
  const auto& order = aOptions.order;
  const auto found = std::find(order.begin(), order.end(), source);
  if (found == order.end()) {
    return {};
  }
  return static_cast<std::size_t>(found - order.begin());
}

void
AddKnownReader(SourceOptions& aOptions, const SourceView& aView)
{
  if (aView.knownReader) {
    AddRouters(aOptions, { *aView.knownReader }, 1, aView);
    aOptions.known = PlaceOf(aOptions, *aView.knownReader);
  }
}

SourceOptions
StartOptions(const SourceView& aView)
{
  auto options = WithoutSources();
  AddRouters(options, aView.seeds, 1, aView);
  options.order.emplace_back();
  options.patience = aView.seedWait;
  return options;
}

SourceOptions
StoreFirst(const SourceView& aView, const ExchangePlan& aPlan)
{
  auto options = WithoutSources();
  options.order.emplace_back();
  AddKnownReader(options, aView);
  AddRouters(options, aPlan.tell, kOtherSources, aView);
  return options;
}

//! How old the proof must be before a router of this rank reads the store.
Duration
TurnsToStoreAfter(std::size_t aRank)
{
  const auto before = aRank - std::min(aRank, kStoreReaders);
  return kTakeoverAfter + static_cast<std::int64_t>(before) * kTakeoverStep;
}

}

void
KnownReader::Learn(const base::Address& aReader, TimePoint aProvenAt)
{
  if (aProvenAt > m_provenAt) {
    m_reader = aReader;
    m_provenAt = aProvenAt;
  }
}

std::optional<base::Address>
KnownReader::Best(TimePoint aNow) const
{
  if (ProofAge(aNow) > kSourceStale) {
    return {};
  }
  return m_reader;
}

std::optional<base::Address>
KnownReader::Better(TimePoint aOwn, TimePoint aNow) const
{
  if (m_provenAt - kProofBetter < aOwn) {
    return {};
  }
  return Best(aNow);
}

SourceOptions
MakeSourceOptions(const SourceView& aView, const ExchangePlan& aPlan)
{
  const bool knowsAll = aPlan.IsLarge() && aView.proofAge < aView.sinceStart;
  const bool starts = aView.sinceStart < kSourceSettle && !knowsAll;
  if (starts && !aView.isSeed && !aView.seeds.empty()) {
    return StartOptions(aView);
  }
  if (starts || !aPlan.IsLarge()) {
    return StoreFirst(aView, aPlan);
  }
  auto options = WithoutSources();
  const bool reads = aPlan.readRank < kStoreReaders;
  if (reads) {
    options.order.emplace_back();
  } else {
    const auto& first = aPlan.isHub ? aPlan.readers : aPlan.groupHubs;
    AddRouters(options, first, 1, aView);
  }
  AddKnownReader(options, aView);
  AddRouters(options, aPlan.groupHubs, aPlan.groupHubs.size(), aView);
  AddRouters(options, aPlan.readers, aPlan.readers.size(), aView);
  options.takesOver = !reads && !aView.knownReader &&
                      aView.proofAge > TurnsToStoreAfter(aPlan.readRank);
  return options;
}

}
