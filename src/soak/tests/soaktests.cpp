#include "soak/promises.h"
#include "soak/soakplan.h"
#include "soak/zonewatch.h"

#include <criterion/criterion.h>

#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::soak;

Test(soakplan, TheSameSeedGivesTheSamePlan)
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
  cr_assert(kinds.size() ==
            static_cast<std::size_t>(FaultKind::WithdrawKey) + 1);
}

Test(soakplan, RestoresLeaveASeedsOtherFaultsAsTheyAre)
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

Test(soakplan, ZoneFaultsLeaveASeedsOtherFaultsAsTheyAre)
{
  SoakSettings settings;
  settings.seed = 5;
  const auto without = MakePlan(settings);
  settings.zoneFaults = 6;
  auto with = MakePlan(settings);
  const auto added = std::erase_if(with, [&](const Fault& aFault) {
    return aFault.kind >= FaultKind::EvacuateZone &&
           aFault.at + aFault.lasts <= settings.length;
  });
  cr_assert(added == 6);
  cr_assert(with.size() == without.size());
  for (std::size_t i = 0; i < with.size(); ++i) {
    cr_assert(with[i].at == without[i].at && with[i].kind == without[i].kind);
  }
}

//! Each breaks the promise once, just over its bound.
Test(promises, WorkInAnEvacuatedZoneAndTooMuchForAColdUpstreamAreCaught)
{
  using namespace std::chrono_literals;
  Promises promises;
  ZoneWatch zones(promises);
  zones.Evacuated("z0", 1000ms);
  zones.Ran("i-1", "z0", "r-1", 6900ms);
  zones.Ran("i-1", "z1", "r-2", 9000ms);
  cr_assert(promises.Broken().empty());
  zones.Ran("i-1", "z0", "r-3", 7000ms);
  cr_assert(promises.Broken().size() == 1);
  zones.Restored("z0");
  zones.Ran("i-1", "z0", "r-4", 9000ms);
  zones.TurnedCold("i-2", 20000ms);
  for (std::size_t i = 0; i < 2 * ZoneWatch::kColdLimit; ++i) {
    zones.Ran("i-2", "z1", "r", 10000ms + base::Duration(i < 11 ? 0 : 1000));
  }
  cr_assert(promises.Broken().size() == 1);
  zones.Ran("i-2", "z1", "r", 11999ms);
  cr_assert(promises.Broken().size() == 2);
  zones.Ran("i-2", "z1", "r", 20000ms);
  cr_assert(promises.Broken().size() == 2);
}

Test(promises, ASecondRunOfWhatMayRunOnceIsCaught)
{
  Promises promises;
  promises.Ran("once-1", false, false);
  cr_assert(promises.Broken().empty());
  promises.Ran("once-1", false, false);
  cr_assert(promises.Broken().size() == 1);
  promises.Ran("safe-1", true, false);
  promises.Ran("safe-1", true, false);
  cr_assert(promises.Broken().size() == 1);
}

Test(promises, AnUntrueNotRunIsCaughtAlsoWhenItRunsLater)
{
  Promises promises;
  promises.ToldNotRun("once-1");
  promises.ToldNotRun("once-2");
  promises.Ran("once-1", false, false);
  promises.Finish();
  cr_assert(promises.Broken().size() == 1);
  cr_assert(promises.Checked(Promise::NotRunIsTrue) == 2);
}
