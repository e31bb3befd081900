#include "soak/guarantees.h"
#include "soak/signalchecker.h"
#include "soak/soakplan.h"
#include "soak/spoilchecker.h"
#include "soak/upstreamfaultchooser.h"
#include "soak/zonechecker.h"

#include <criterion/criterion.h>

#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::soak;

Test(soakplan, SameSeedGivesSamePlan)
{
  SoakSettings settings;
  settings.seed = 5;
  const auto first = MakePlan(settings);
  const auto second = MakePlan(settings);
  cr_assert(first.size() == second.size() && !first.empty());
  for (std::size_t i = 0; i < first.size(); ++i) {
    cr_assert(first[i].at == second[i].at && first[i].kind == second[i].kind);
  }
}

Test(soakplan, SeedsCoverEveryKindOfFault)
{
  std::set<FaultKind> kinds;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SoakSettings settings;
    settings.seed = seed;
    for (const auto& fault : MakePlan(settings)) {
      kinds.insert(fault.kind);
      cr_assert(fault.target < settings.upstreams);
    }
  }
  cr_assert(kinds.size() == static_cast<std::size_t>(FaultKind::RevokeKey) + 1);
}

Test(soakplan, RestoresDoNotChangeOtherFaults)
{
  SoakSettings settings;
  settings.seed = 5;
  const auto without = MakePlan(settings);
  settings.restores = 2;
  auto with = MakePlan(settings);
  const auto restores = std::erase_if(with, [](const Fault& aFault) {
    return aFault.kind == FaultKind::RestoreStore;
  });
  cr_assert(restores == 2);
  cr_assert(with.size() == without.size());
  for (std::size_t i = 0; i < with.size(); ++i) {
    cr_assert(with[i].at == without[i].at && with[i].kind == without[i].kind);
  }
}

Test(soakplan, ZoneFaultsDoNotChangeOtherFaults)
{
  SoakSettings settings;
  settings.seed = 5;
  const auto without = MakePlan(settings);
  settings.zoneFaults = 6;
  auto with = MakePlan(settings);
  const auto added = std::erase_if(with, [&](const Fault& aFault) {
    return aFault.kind >= FaultKind::EvacuateZone &&
           aFault.at + aFault.duration <= settings.length;
  });
  cr_assert(added == 6);
  cr_assert(with.size() == without.size());
  for (std::size_t i = 0; i < with.size(); ++i) {
    cr_assert(with[i].at == without[i].at && with[i].kind == without[i].kind);
  }
}

//! Violates each of the two guarantees once, just beyond its bound.
Test(guarantees, DetectsWorkInEvacuatedZoneAndOverloadOfColdUpstream)
{
  using namespace std::chrono_literals;
  GuaranteeChecker guarantees;
  ZoneChecker zones(guarantees);
  zones.Evacuated("z0", 1000ms);
  zones.RecordRun("i-1", "z0", "r-1", 6900ms);
  zones.RecordRun("i-1", "z1", "r-2", 9000ms);
  cr_assert(guarantees.Violations().empty());
  zones.RecordRun("i-1", "z0", "r-3", 7000ms);
  cr_assert(guarantees.Violations().size() == 1);
  zones.Restored("z0");
  zones.RecordRun("i-1", "z0", "r-4", 9000ms);
  zones.TurnedCold("i-2", 20000ms);
  for (std::size_t i = 0; i < 2 * ZoneChecker::kMaxColdRequestsPerSecond; ++i) {
    zones.RecordRun(
      "i-2", "z1", "r", 10000ms + base::Duration(i < 11 ? 0 : 1000));
  }
  cr_assert(guarantees.Violations().size() == 1);
  zones.RecordRun("i-2", "z1", "r", 11999ms);
  cr_assert(guarantees.Violations().size() == 2);
  zones.RecordRun("i-2", "z1", "r", 20000ms);
  cr_assert(guarantees.Violations().size() == 2);
}

Test(soakplan, SignalFaultsDoNotChangeOtherFaults)
{
  SoakSettings settings;
  settings.seed = 5;
  const auto without = MakePlan(settings);
  settings.signalFaults = 4;
  auto with = MakePlan(settings);
  const auto added = std::erase_if(with, [&](const Fault& aFault) {
    return aFault.kind >= FaultKind::LeaveInAnswers &&
           aFault.at + aFault.duration <= settings.length;
  });
  cr_assert(added == 4);
  cr_assert(with.size() == without.size());
  for (std::size_t i = 0; i < with.size(); ++i) {
    cr_assert(with[i].at == without[i].at && with[i].kind == without[i].kind);
  }
}

Test(soakplan, VersionFaultsDoNotChangeOtherFaults)
{
  SoakSettings settings;
  settings.seed = 5;
  const auto without = MakePlan(settings);
  settings.versionFaults = 4;
  auto with = MakePlan(settings);
  const auto added = std::erase_if(with, [&](const Fault& aFault) {
    return aFault.kind >= FaultKind::ReleaseVersion && aFault.target % 2 == 0 &&
           aFault.target < settings.upstreams;
  });
  cr_assert(added == 4);
  cr_assert(with.size() == without.size());
  for (std::size_t i = 0; i < with.size(); ++i) {
    cr_assert(with[i].at == without[i].at && with[i].kind == without[i].kind);
  }
}

//! A request sent just within the bound may arrive later; one sent just beyond
//! it may not, and other routers are not bound.
Test(guarantees, DetectsWorkAfterALeavingAnswer)
{
  using namespace std::chrono_literals;
  GuaranteeChecker guarantees;
  SignalChecker signals(guarantees);
  signals.GotAnswerOfLeaving(0, "i-1", 1000ms);
  signals.Sent("r-1", 0, 4499ms);
  signals.Sent("r-2", 1, 9000ms);
  signals.Sent("r-3", 0, 4500ms);
  signals.Arrived("i-1", "r-1", 9000ms);
  signals.Arrived("i-1", "r-2", 9000ms);
  signals.Arrived("i-2", "r-3", 9000ms);
  cr_assert(guarantees.Violations().empty());
  signals.Arrived("i-1", "r-3", 9000ms);
  cr_assert(guarantees.Violations().size() == 1);
  signals.RouterDisturbed(0);
  signals.Arrived("i-1", "r-3", 9000ms);
  cr_assert(guarantees.Violations().size() == 1);
}

Test(guarantees, DetectsMoreThanTwoRequestsWithinAPause)
{
  using namespace std::chrono_literals;
  GuaranteeChecker guarantees;
  SignalChecker signals(guarantees);
  signals.Sent("r", 0, 1000ms);
  signals.Refused("i-1", "r", 3000ms, 1000ms);
  signals.Refused("i-1", "r", 1000ms, 1100ms); // the longer pause counts
  for (const auto at : { 1499ms, 1500ms, 3999ms, 4000ms }) {
    signals.Arrived("i-1", "r", at);
  }
  cr_assert(guarantees.Violations().empty());
  signals.Arrived("i-1", "r", 3999ms);
  cr_assert(guarantees.Violations().size() == 1);
}

Test(guarantees, DetectsSecondRunOfNonIdempotentRequest)
{
  GuaranteeChecker guarantees;
  guarantees.RecordRun("once-1", false, false);
  cr_assert(guarantees.Violations().empty());
  guarantees.RecordRun("once-1", false, false);
  cr_assert(guarantees.Violations().size() == 1);
  guarantees.RecordRun("safe-1", true, false);
  guarantees.RecordRun("safe-1", true, false);
  cr_assert(guarantees.Violations().size() == 1);
}

Test(guarantees, DetectsFalseNotRunAlsoIfRequestRunsLater)
{
  GuaranteeChecker guarantees;
  guarantees.RecordNotRun("once-1");
  guarantees.RecordNotRun("once-2");
  guarantees.RecordRun("once-1", false, false);
  guarantees.Finish();
  cr_assert(guarantees.Violations().size() == 1);
  cr_assert(guarantees.CheckCount(Guarantee::NotRunIsAccurate) == 2);
}

Test(soakplan, OtherFaultsEndBeforeSpoilsAreJudged)
{
  SoakSettings settings;
  settings.hasSpoiledResponses = true;
  std::size_t spoils = 0;
  for (const auto& fault : MakePlan(settings)) {
    const bool isSpoil = fault.kind >= FaultKind::SpoilAnswers;
    spoils += isSpoil ? 1 : 0;
    const auto limit = isSpoil ? settings.length : EndOfOtherFaults(settings);
    cr_expect(fault.at + fault.duration <= limit);
  }
  cr_assert(spoils > 0);
}

Test(upstreamfaultchooser, SpoilsEndWithTheTimeOfFaults)
{
  using standins::UpstreamFault;
  SoakSettings settings;
  settings.hasSpoiledResponses = true;
  const UpstreamFaultChooser chooser(settings);
  FaultTarget engine{ "i-0", true, false, true, true };
  std::set<UpstreamFault> faults;
  std::set<standins::SpoiledEvent> kinds;
  for (int i = 0; i < 1000; ++i) {
    standins::UpstreamRun run;
    run.requestId = std::to_string(i);
    const auto during = chooser.Choose(engine, run, {});
    cr_assert(during.fault >= UpstreamFault::Spoiled);
    faults.insert(during.fault);
    kinds.insert(during.spoil.kind);
    const auto after = chooser.Choose(engine, run, settings.length);
    cr_assert(after.fault <= UpstreamFault::Rubbish);
  }
  cr_assert(faults.size() == 5);
  cr_assert(kinds.size() == standins::kSpoiledEventCount);
}

//! Violates each of the two guarantees just beyond its bound.
Test(guarantees, DetectsASpoiledEngineAndLostSoundRequests)
{
  using namespace std::chrono_literals;
  const auto check = [](int aAtSpoiled, int aServed) {
    GuaranteeChecker guarantees;
    SpoilChecker spoils(guarantees);
    spoils.SetPeriod(1000ms, 9000ms);
    spoils.EngineBeginsToSpoil(4, 2000ms);
    for (int i = 0; i < 40; ++i) {
      spoils.EngineGotRequest(i < aAtSpoiled, 3000ms);
      spoils.EngineGotRequest(true, 2999ms); // not yet detected
      spoils.EngineGotRequest(true, 9000ms); // too late
      spoils.Ended(i < aServed, 2000ms, 3000ms);
      spoils.Ended(false, 999ms, 3000ms);
    }
    spoils.Finish(5);
    return guarantees.Violations().size();
  };
  cr_expect(check(10, 32) == 0);
  cr_expect(check(11, 32) == 1);
  cr_expect(check(10, 31) == 1);
}
