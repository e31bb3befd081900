#include "fleet/fleetconstants.h"
#include "fleet/placement.h"
#include "fleet/prefillrate.h"
#include "fleet/prefixmap.h"
#include "fleet/rankedupstreams.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

Candidate
Engine(std::uint32_t aId, double aUnread, double aMissing = 1000)
{
  Candidate candidate;
  candidate.upstream = UpstreamId(aId);
  candidate.isEngine = true;
  candidate.unreadTokens = aUnread;
  candidate.missingTokens = aMissing;
  candidate.prefillRate = 20;
  candidate.slots = 64;
  return candidate;
}

std::vector<UpstreamId>
Ids(std::uint32_t aCount)
{
  std::vector<UpstreamId> ids;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    ids.push_back(UpstreamIdOf("u" + std::to_string(i)));
  }
  return ids;
}

std::vector<UpstreamId>
FirstRanked(const std::vector<UpstreamId>& aUpstreams,
            std::uint64_t aKey,
            std::size_t aCount)
{
  RankedUpstreams ranked(aUpstreams, aKey);
  std::vector<UpstreamId> first;
  while (first.size() < aCount) {
    const auto id = ranked.Next();
    if (!id) {
      break;
    }
    first.push_back(*id);
  }
  return first;
}

}

Test(placement, ManyRoutersPlaceAPrefixAtTheSameUpstream)
{
  const std::vector<Candidate> all{ Engine(1, 0), Engine(2, 0), Engine(3, 0) };
  const std::vector<Candidate> other{ Engine(3, 0),
                                      Engine(1, 0),
                                      Engine(2, 0) };
  for (std::uint64_t key = 1; key < 50; ++key) {
    const auto here = Place(PrefixAffinity{}, all, key);
    const auto there = Place(PrefixAffinity{}, other, key);
    cr_assert(all[here->candidate].upstream ==
              other[there->candidate].upstream);
  }
}

Test(placement, PrefixesSpreadOverTheUpstreams)
{
  std::vector<Candidate> all;
  for (std::uint32_t i = 0; i < 18; ++i) {
    all.push_back(Engine(base::HashName("upstream" + std::to_string(i)), 0));
  }
  std::map<std::size_t, int> counts;
  for (std::uint64_t key = 0; key < 1800; ++key) {
    counts[Place(PrefixAffinity{}, all, key * 7919)->candidate]++;
  }
  cr_assert(counts.size() == 18);
  for (const auto& [candidate, count] : counts) {
    cr_assert(
      count > 60 && count < 150, "%d of 1800 prefixes on an upstream", count);
  }
}

Test(placement, AHotPrefixUsesMoreUpstreamsAsItsFirstOneFillsUp)
{
  std::vector<Candidate> all{ Engine(1, 0), Engine(2, 0), Engine(3, 0) };
  std::set<std::size_t> used;
  for (int i = 0; i < 12; ++i) {
    const auto placed = Place(PrefixAffinity{}, all, 42);
    used.insert(placed->candidate);
    all[placed->candidate].unreadTokens += 1000;
    all[placed->candidate].missingTokens = 300;
  }
  cr_assert(used.size() == 3);
}

Test(placement, ACachedPrefixOutweighsAShorterQueue)
{
  const std::vector<Candidate> all{ Engine(1, 0, 9000), Engine(2, 2000, 2900) };
  for (std::uint64_t key = 0; key < 20; ++key) {
    cr_assert(Place(PrefixAffinity{}, all, key)->candidate == 1);
  }
}

//! Prefilling a prefix again delays all requests behind it. A request therefore
//! stays with the upstream that holds the prefix even if another one would
//! answer a little sooner.
Test(placement, APrefixIsNotPrefilledAgainToSaveALittleTime)
{
  const std::vector<Candidate> all{ Engine(1, 3500, 1000), Engine(2, 0, 4000) };
  for (std::uint64_t key = 0; key < 20; ++key) {
    cr_assert(Place(PrefixAffinity{}, all, key)->candidate == 0);
  }
}

Test(placement, AFailingUpstreamComesLast)
{
  std::vector<Candidate> all{ Engine(1, 0), Engine(2, 3000) };
  all[0].failureRatio = 0.6;
  for (std::uint64_t key = 0; key < 20; ++key) {
    cr_assert(Place(PrefixAffinity{}, all, key)->candidate == 1);
  }
}

Test(placement, TheNearestStayTheSameWhenAnUpstreamLeaves)
{
  const auto prefix = Ids(40);
  const auto nearest = FirstRanked(prefix, 7, 5);
  cr_assert(nearest.size() == 5);
  auto without = prefix;
  std::erase(without, nearest.front());
  const auto next = FirstRanked(without, 7, 5);
  int kept = 0;
  for (const auto id : next) {
    kept += std::count(nearest.begin(), nearest.end(), id) > 0 ? 1 : 0;
  }
  cr_assert(kept == 4, "one that leaves is replaced, the others stay");
  cr_assert(FirstRanked(Ids(3), 7, 5).size() == 3);
}

Test(placement, RankedUpstreamsComeInTheOrderOfTheirHashes)
{
  for (const std::uint32_t size : { 0, 1, 12, 13, 300 }) {
    const auto ranked = FirstRanked(Ids(size), 7, size + 1);
    cr_assert(ranked.size() == size);
    cr_assert(std::is_sorted(
      ranked.begin(), ranked.end(), [](UpstreamId aFirst, UpstreamId aOther) {
        return RankHash(7, aFirst) < RankHash(7, aOther);
      }));
  }
}

Test(placement, WithoutCandidatesThereIsNoPlacement)
{
  cr_assert(!Place(PrefixAffinity{}, {}, 1).has_value());
}

Test(prefillrate, TheRateOfASlowUpstreamIsLearned)
{
  PrefillRate rate;
  for (int i = 0; i < 60; ++i) {
    rate.Learn(2900, 12 + 2900 / 7.0);
  }
  cr_assert_float_eq(rate.TokensPerMs(), 7, 0.2);
  rate.Learn(10, 500); // too few tokens to be a sample
  cr_assert_float_eq(rate.TokensPerMs(), 7, 0.2);
}

Test(prefixmap, OnlyLeadingPartsCount)
{
  PrefixMap map;
  Work work;
  work.prompt = { { 1, 100 }, { 2, 200 }, { 3, 300 } };
  map.RecordUse(2, UpstreamId(9));
  cr_assert(map.HeldTokens(work, UpstreamId(9)) == 0);
  map.RecordUse(1, UpstreamId(9));
  cr_assert(map.HeldTokens(work, UpstreamId(9)) == 300);
  cr_assert(map.HeldTokens(work, UpstreamId(8)) == 0);
}

//! While the store was unavailable for ten seconds, nothing had been prefilled.
//! All prefixes were assumed to be evicted, and the requests that came then
//! were refused for the time that prefilling them all again would take.
Test(prefixmap, PartsAgeByPrefilledTokensNotByTime)
{
  PrefixMap map;
  Work work;
  work.prompt = { { 1, 100 }, { 2, 200 } };
  map.RecordUse(1, UpstreamId(9));
  map.AddEnteredTokens(kDefaultPromptCacheTokens);
  cr_assert(map.HeldTokens(work, UpstreamId(9)) == 100);
  map.Forget();
  cr_assert(map.Size() == 1);
  map.AddEnteredTokens(1);
  cr_assert(map.HeldTokens(work, UpstreamId(9)) == 0);
  map.Forget();
  cr_assert(map.Size() == 0);
}

//! Callers name any parts, also of no tokens, so that none of them expires.
Test(prefixmap, EntriesAreLimitedAndTheLongestUnusedMakeRoom)
{
  constexpr std::size_t kMaxHolders = 1000;
  constexpr UpstreamId kUpstream{ 9 };
  PrefixMap map;
  map.SetMaxHolders(kMaxHolders);
  Work used;
  used.prompt = { { 1, 100 }, { 2, 200 } };
  for (std::uint64_t part = 10; part < 20000; ++part) {
    map.RecordOwnUse(1, kUpstream);
    map.RecordUse(part, kUpstream);
    cr_assert(map.Size() <= kMaxHolders);
    cr_assert(map.HeldTokens(used, kUpstream) == 100);
  }
  Work last;
  last.prompt = { { 19999, 7 }, { 2, 200 } };
  cr_assert(map.HeldTokens(last, kUpstream) == 7);
}

//! In a large fleet thousands of requests a second use a few prefixes. All
//! routers were told of each use.
Test(prefixmap, AUseIsReportedAgainOnlyAfterAFractionOfTheLifetime)
{
  PrefixMap map;
  Work work;
  work.prompt = { { 1, 100 }, { 2, 200 } };
  constexpr UpstreamId kUpstream{ 9 };
  int reports = 0;
  constexpr int kUses = 3200;
  for (int i = 0; i < kUses; ++i) {
    reports += map.RecordOwnUse(1, kUpstream) ? 1 : 0;
    map.AddEnteredTokens(2 * kDefaultPromptCacheTokens / kUses);
    cr_assert(map.HeldTokens(work, kUpstream) == 100);
  }
  cr_assert(reports >= 30 && reports <= 33, "%d of 3200 reported", reports);
}

//! A use that another router reported is known to all.
Test(prefixmap, AUseThatAnotherRouterReportedIsNotReportedAgain)
{
  PrefixMap map;
  map.RecordUse(1, UpstreamId(9));
  cr_assert(!map.RecordOwnUse(1, UpstreamId(9)));
  cr_assert(map.RecordOwnUse(1, UpstreamId(8)));
  cr_assert(map.RecordOwnUse(2, UpstreamId(9)));
}
