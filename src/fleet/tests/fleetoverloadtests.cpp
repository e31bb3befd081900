#include "fleetfixture.h"

#include <criterion/criterion.h>

#include <set>

//! How a router uses stated loads and spreads the retries of refused requests.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

void
SwitchOn(FleetFixture& aFixture)
{
  auto settings = FixtureSettings();
  settings.usesStatedLoads = true;
  settings.spreadsRetries = true;
  aFixture.fleet.Reconfigure(settings);
}

//! Fills the only engine until requests are refused; returns how many distinct
//! Retry-After values 40 refused requests get.
std::size_t
DistinctRetryTimes(FleetFixture& aFixture)
{
  aFixture.ListUpstreams(1);
  std::set<Duration> times;
  for (int i = 0, refused = 0; i < 1000 && refused < 40; ++i) {
    const auto place =
      aFixture.Place(aFixture.MakeRequest(static_cast<std::uint64_t>(i)));
    if (place.outcome == PlaceOutcome::Refused) {
      times.insert(place.retryAfter);
      refused++;
    }
  }
  return times.size();
}

}

//! All callers that were refused at one moment came back together and were
//! refused again.
Test(fleetoverload, RequestsThatAreRefusedTogetherRetryApart)
{
  FleetFixture fixture;
  SwitchOn(fixture);
  const auto distinct = DistinctRetryTimes(fixture);
  cr_assert(distinct > 20, "%zu retry times of 40 requests", distinct);
}

Test(fleetoverload, WithoutTheSettingRetryTimesFollowThePredictedWait)
{
  FleetFixture fixture;
  cr_assert(DistinctRetryTimes(fixture) < 20);
}

//! Other routers' requests, which no report shows yet, fill an engine.
Test(fleetoverload, AStatedLoadIsUsedWhereTheSettingAsksForIt)
{
  for (const bool isOn : { false, true }) {
    FleetFixture fixture;
    if (isOn) {
      SwitchOn(fixture);
    }
    fixture.ListUpstreams(1);
    const auto first = fixture.Place(fixture.MakeRequest(7));
    cr_assert(
      fixture.fleet.RecordLoad(first.attempt, { 40, 0, 64, 1.0 }, fixture.now));
    const auto place = fixture.Place(fixture.MakeRequest(8));
    cr_assert(place.running == (isOn ? 40 : 1), "%u", place.running);
  }
}

Test(fleetoverload, ALoadThatCantBeTrueIsRejected)
{
  FleetFixture fixture;
  SwitchOn(fixture);
  fixture.ListUpstreams(1);
  const auto first = fixture.Place(fixture.MakeRequest(7));
  cr_assert(
    !fixture.fleet.RecordLoad(first.attempt, { 40, 0, 4000, 1 }, fixture.now));
  cr_assert(fixture.Place(fixture.MakeRequest(8)).running == 1);
}
