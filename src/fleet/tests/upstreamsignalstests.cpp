#include "fleet/tests/fleetfixture.h"

#include <criterion/criterion.h>

#include <array>
#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr AnswerSignals kLeaving{ true, {} };

AnswerSignals
RetryAfter(Duration aTime)
{
  return { false, aTime };
}

UpstreamEntry
Entry(const std::string& aId, std::optional<std::uint64_t> aStartedAt = {})
{
  UpstreamEntry entry;
  entry.id = aId;
  entry.startedAt = aStartedAt;
  return entry;
}

}

Test(upstreamsignals, LeavingHoldsUntilALaterStart)
{
  UpstreamSignals signals;
  cr_assert(signals.Record(Entry("u", 5), kLeaving, 0ms) ==
            SignalChange::Leaving);
  cr_assert(signals.Record(Entry("u", 5), kLeaving, 1ms) == SignalChange::None);
  cr_assert(signals.IsLeaving(Entry("u", 5)));
  cr_assert(signals.IsLeaving(Entry("u", 4)), "an earlier incarnation");
  cr_assert(signals.IsLeaving(Entry("u")), "no start time proves no restart");
  cr_assert(!signals.IsLeaving(Entry("u", 6)));
  cr_assert(!signals.IsLeaving(Entry("v", 5)));
}

//! An answer of an earlier incarnation that arrives late says nothing about the
//! later one.
Test(upstreamsignals, ALateAnswerDoesNotChangeALaterIncarnation)
{
  UpstreamSignals signals;
  signals.Record(Entry("u", 6), kLeaving, 0ms);
  cr_assert(signals.Record(Entry("u", 5), kLeaving, 0ms) == SignalChange::None);
  cr_assert(signals.IsLeaving(Entry("u", 6)));
  cr_assert(!signals.IsLeaving(Entry("u", 7)));
}

Test(upstreamsignals, AreForgottenSomeTimeAfterTheEntryWasLastListed)
{
  UpstreamSignals signals;
  signals.Record(Entry("u", 5), kLeaving, 0ms);
  const UpstreamEntries listed{
    { "u", std::make_shared<UpstreamEntry>(Entry("u", 5)) }
  };
  signals.Sweep(listed, 2 * kSignalRetention);
  signals.Sweep({}, 3 * kSignalRetention - 1ms);
  cr_assert(signals.IsLeaving(Entry("u", 5)));
  signals.Sweep({}, 3 * kSignalRetention);
  cr_assert(signals.Size() == 0);
}

//! The statement of a replaced incarnation does not stay as long as its
//! successor is listed.
Test(upstreamsignals, AreForgottenWhileALaterIncarnationIsListed)
{
  UpstreamSignals signals;
  signals.Record(Entry("u", 5), kLeaving, 0ms);
  const UpstreamEntries listed{
    { "u", std::make_shared<UpstreamEntry>(Entry("u", 6)) }
  };
  signals.Sweep(listed, kSignalRetention);
  cr_assert(signals.Size() == 0);
}

namespace {

//! Places requests with new prefixes and returns the upstreams that got one.
std::set<std::string>
PlaceMany(FleetFixture& aFixture, int aRequests = 60)
{
  std::set<std::string> used;
  for (int i = 0; i < aRequests; ++i) {
    const auto request = aFixture.MakeRequest(1000 + aFixture.lastUniquePart);
    const auto place = aFixture.Place(request);
    used.insert(place.upstreamId);
    aFixture.fleet.EndAttempt(
      place.attempt, AttemptOutcome::Answered, aFixture.now);
    aFixture.now += 50ms;
  }
  return used;
}

//! Lets the fixture's upstreams answer until aUpstream got a request; returns
//! the attempt, which goes on.
AttemptId
PlaceAt(FleetFixture& aFixture, const std::string& aUpstream)
{
  for (std::uint64_t prefix = 1; prefix < 1000; ++prefix) {
    const auto place = aFixture.Place(aFixture.MakeRequest(prefix));
    if (place.upstreamId == aUpstream) {
      return place.attempt;
    }
    aFixture.fleet.EndAttempt(
      place.attempt, AttemptOutcome::Answered, aFixture.now);
  }
  cr_assert(false, "no request was placed there");
  return 0;
}

}

Test(upstreamsignals, ALeavingUpstreamGetsNothingHoweverItIsListedLater)
{
  FleetFixture fixture;
  fixture.ListUpstreams(3);
  const auto attempt = PlaceAt(fixture, "u0");
  fixture.fleet.RecordSignals(attempt, kLeaving, fixture.now);
  cr_assert(!PlaceMany(fixture).contains("u0"));
  fixture.ListUpstreams(3);
  cr_assert(!PlaceMany(fixture).contains("u0"));
  fixture.ListUpstreams(0);
  fixture.ListUpstreams(3);
  cr_assert(!PlaceMany(fixture).contains("u0"));
  fixture.ListEngine(7);
  cr_assert(PlaceMany(fixture).contains("u0"));
}

//! The entry was gone when the answer arrived, and is listed again later.
Test(upstreamsignals, AnAnswerCountsAlthoughItsUpstreamIsNoLongerListed)
{
  FleetFixture fixture;
  fixture.ListUpstreams(3);
  const auto attempt = PlaceAt(fixture, "u0");
  fixture.ListUpstreams(0);
  fixture.fleet.RecordSignals(attempt, kLeaving, fixture.now);
  fixture.ListUpstreams(3);
  cr_assert(!PlaceMany(fixture).contains("u0"));
}

//! A leaving upstream closes its connections; the request on them did not
//! crash it.
Test(upstreamsignals, ALeavingUpstreamIsNotCheckedForACrash)
{
  FleetFixture fixture;
  fixture.ListUpstreams(1);
  const auto place = [&] {
    auto request = fixture.MakeRequest(1);
    request.fingerprint = RequestFingerprint{ 7 };
    return fixture.Place(request).attempt;
  };
  const auto broken = place();
  const auto leaving = place();
  fixture.fleet.EndAttempt(broken, AttemptOutcome::Broken, fixture.now);
  fixture.fleet.RecordSignals(leaving, kLeaving, fixture.now);
  fixture.fleet.EndAttempt(leaving, AttemptOutcome::Broken, fixture.now);
  fixture.now += 10000ms;
  cr_assert(fixture.fleet.UpstreamsToCheck(fixture.now).empty());
}

//! Other engines do not copy prefixes from an engine that is leaving.
Test(upstreamsignals, ALeavingUpstreamIsNoSourceOfCopies)
{
  FleetFixture fixture;
  auto config = std::make_shared<FleetConfig>(*MakeConfig(2));
  config->services["engines"].kvBytesPerToken = 1000;
  config->services["engines"].copyMbps = 100000;
  fixture.fleet.SetConfig(config);
  fixture.ListUpstreams(2);
  const auto first = fixture.Place(fixture.MakeRequest(1, "w", 20000));
  fixture.fleet.RecordSignals(first.attempt, kLeaving, fixture.now);
  fixture.fleet.EndAttempt(
    first.attempt, AttemptOutcome::Answered, fixture.now);
  fixture.now += 1000ms;
  const auto second = fixture.Place(fixture.MakeRequest(1, "w", 20000));
  cr_assert(second.upstreamId != first.upstreamId);
  cr_assert(second.copyFrom.port == 0);
  cr_assert(second.copiedTokens == 0);
}

//! The capacity that shares are computed from leaves out leaving upstreams.
Test(upstreamsignals, ALeavingUpstreamIsNoCapacity)
{
  UpstreamTable table;
  Evacuations none;
  auto entry = std::make_shared<UpstreamEntry>(Entry("u"));
  entry->service = "plain";
  entry->slots = 6;
  table.Put(entry, none, 0ms);
  cr_assert(table.FindService("plain")->capacity.slots == 6);
  table.SetLeaving(UpstreamIdOf(*entry), 0ms);
  cr_assert(table.FindService("plain")->capacity.slots == 0);
  table.Put(entry, none, 1ms);
  cr_assert(table.FindService("plain")->capacity.slots == 0);
}

// ---- pauses

Test(upstreamsignals, APauseEndsWithItsTimeOrALaterStart)
{
  UpstreamSignals signals;
  cr_assert(signals.Record(Entry("u", 5), RetryAfter(3000ms), 100ms) ==
            SignalChange::Paused);
  cr_assert(signals.PausedUntil(Entry("u", 5)) == 3100ms);
  cr_assert(signals.PausedUntil(Entry("u")) == 3100ms);
  cr_assert(signals.PausedUntil(Entry("u", 6)) < 0ms);
  cr_assert(signals.Record(Entry("u", 5), RetryAfter(1000ms), 200ms) ==
            SignalChange::None);
  cr_assert(signals.PausedUntil(Entry("u", 5)) == 3100ms, "not shortened");
  cr_assert(signals.Record(Entry("u", 5), RetryAfter(1000ms), 3100ms) ==
            SignalChange::Paused);
  signals.Sweep({}, 4099ms);
  cr_assert(signals.PausedCount(4099ms) == 1);
  signals.Sweep({}, 4100ms);
  cr_assert(signals.Size() == 0);
}

Test(upstreamsignals, APausedUpstreamGetsNothingUntilThePauseIsOver)
{
  FleetFixture fixture;
  fixture.ListUpstreams(3);
  const auto attempt = PlaceAt(fixture, "u0");
  const auto until = fixture.now + 5000ms;
  fixture.fleet.RecordSignals(attempt, RetryAfter(5000ms), fixture.now);
  cr_assert(!PlaceMany(fixture).contains("u0"));
  fixture.ListUpstreams(0);
  fixture.ListUpstreams(3);
  cr_assert(!PlaceMany(fixture, 30).contains("u0"));
  fixture.now = until;
  cr_assert(PlaceMany(fixture).contains("u0"));
}

//! An ejected upstream gets requests if there is no other; a paused one does
//! not.
Test(upstreamsignals, APausedUpstreamIsNotUsedAsALastResort)
{
  FleetFixture fixture;
  fixture.ListUpstreams(2);
  const auto other = PlaceAt(fixture, "u1");
  const auto attempt = PlaceAt(fixture, "u0");
  fixture.fleet.RecordSignals(attempt, RetryAfter(5000ms), fixture.now);
  fixture.fleet.RecordSignals(other, RetryAfter(2000ms), fixture.now);
  auto request = fixture.MakeRequest(1);
  request.admitted = true;
  request.triedUpstreams = { UpstreamIdOf("u0") };
  const auto place = fixture.Place(request);
  cr_assert(place.outcome == PlaceOutcome::NoUpstream);
  cr_assert(place.suitability == Suitability::Paused);
  cr_assert(place.retryAfter == 2000ms);
}

//! Other engines do not copy prefixes from a paused engine.
Test(upstreamsignals, OnlyCopiesOfUnpausedEnginesAreUsed)
{
  cr_assert(!CanProvideCopies(Suitability::Paused));
  cr_assert(CanProvideCopies(Suitability::Tried));
}

// ---- the concurrency limit that refusals set

Test(concurrencylimit, IsSetBelowTheRefusalAndGrowsWithThePauses)
{
  ConcurrencyLimit limit;
  cr_assert(limit.Allows(1000, 0ms));
  limit.Refused(20, 64, 1000ms, 5000ms);
  cr_assert(limit.Allows(15, 6000ms));
  cr_assert(!limit.Allows(16, 6000ms));
  cr_assert(!limit.Allows(19, 6000ms + 8 * 1000ms));
  cr_assert(limit.Allows(19, 6000ms + 9 * 1000ms));
}

//! A late report showed more requests than the limit had allowed.
Test(concurrencylimit, ARefusalNeverRaisesIt)
{
  ConcurrencyLimit limit;
  limit.Refused(10, 64, 1000ms, 0ms);
  limit.Refused(50, 64, 1000ms, 1000ms);
  cr_assert(!limit.Allows(7, 2000ms));
  for (int i = 0; i < 100; ++i) {
    limit.Refused(0, 64, 1000ms, 2000ms);
  }
  cr_assert(limit.Allows(0, 3000ms), "one request is always allowed");
}

//! Two upstreams: one is paused, the other one was.
Test(concurrencylimit, TheLastUpstreamIsNotFilledBeyondItsLimit)
{
  FleetFixture fixture;
  fixture.ListUpstreams(1);
  std::array<AttemptId, 10> running{};
  for (auto& attempt : running) {
    attempt = PlaceAt(fixture, "u0");
  }
  fixture.fleet.RecordSignals(running.back(), RetryAfter(1000ms), fixture.now);
  fixture.now += 1000ms;
  fixture.fleet.Tick(fixture.now);
  fixture.ListUpstreams(2);
  auto request = fixture.MakeRequest(1);
  request.admitted = true;
  request.triedUpstreams = { UpstreamIdOf("u1") };
  auto place = fixture.Place(request);
  cr_assert(place.outcome == PlaceOutcome::Placed,
            "the other one is not paused");
  fixture.fleet.EndAttempt(
    place.attempt, AttemptOutcome::Answered, fixture.now);
  const auto other = PlaceAt(fixture, "u1");
  fixture.fleet.RecordSignals(other, RetryAfter(5000ms), fixture.now);
  place = fixture.Place(request);
  cr_assert(place.outcome == PlaceOutcome::NoUpstream);
  cr_assert(place.suitability == Suitability::Full);
  cr_assert(place.retryAfter == kNoUpstreamRetryAfter);
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.fleet.EndAttempt(running[i], AttemptOutcome::Answered, fixture.now);
  }
  cr_assert(fixture.Place(request).outcome == PlaceOutcome::Placed);
}

//! The number of paused upstreams follows changes of the list.
Test(upstreamsignals, PausedUpstreamsAreCountedByService)
{
  UpstreamTable table;
  Evacuations none;
  auto entry = std::make_shared<UpstreamEntry>(Entry("u"));
  entry->service = "plain";
  const auto id = UpstreamIdOf(*entry);
  const auto paused = [&](const char* aService) {
    return table.FindService(aService)->paused;
  };
  table.Put(entry, none, 0ms);
  table.SetPause(id, 1000ms, 0ms);
  table.SetPause(id, 2000ms, 0ms);
  cr_assert(paused("plain") == 1);
  auto moved = std::make_shared<UpstreamEntry>(*entry);
  moved->service = "other";
  table.Put(moved, none, 1ms);
  cr_assert(paused("plain") == 0 && paused("other") == 1);
  table.Tick(1999ms);
  cr_assert(paused("other") == 1);
  table.Tick(2000ms);
  cr_assert(paused("other") == 0);
  table.SetPause(id, 9000ms, 3000ms);
  table.Remove(id);
  cr_assert(paused("other") == 0);
  table.Tick(9000ms);
}

//! A short queue behind slots that are all taken is no reason to leave slots
//! idle.
Test(concurrencylimit, AnUpstreamStillGetsAsManyRequestsAsItHasSlots)
{
  ConcurrencyLimit limit;
  for (int i = 0; i < 5; ++i) {
    limit.Refused(8, 6, 1000ms, 1000ms * i);
  }
  cr_assert(limit.Allows(5, 5000ms));
  cr_assert(!limit.Allows(6, 5000ms));
  limit.Refused(4, 6, 1000ms, 6000ms); // it takes less than it has slots
  cr_assert(!limit.Allows(4, 6000ms));
}
