#include "fleet/streamholders.h"
#include "fleet/tests/streammodel.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

//! Tests of who knows which version began a stream, with the directories of
//! many routers in virtual time. At least half of the resumed streams must go
//! on, none at another version.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

//! Part of the resumed streams whose version must be known.
constexpr double kMinKnownShare = 0.5;

bool
Any(std::size_t)
{
  return true;
}

void
Report(const std::string& aWhat, const StreamModelCounts& aCounts)
{
  if (std::getenv("STREAM_MODEL_REPORT") != nullptr) {
    std::cout << fmt::format("{}: resumed {} known {:.3f} wrong {} "
                             "longest_lookup_ms {}\n",
                             aWhat,
                             aCounts.resumed,
                             aCounts.KnownShare(),
                             aCounts.wrongVersion,
                             aCounts.longestLookup.count());
  }
}

void
ExpectGoOn(const std::string& aWhat, const StreamModelCounts& aCounts)
{
  Report(aWhat, aCounts);
  cr_assert(aCounts.resumed >= 12, "%zu", aCounts.resumed);
  cr_assert(aCounts.wrongVersion == 0);
  cr_assert(aCounts.KnownShare() >= kMinKnownShare,
            "%s: %f",
            aWhat.c_str(),
            aCounts.KnownShare());
}

StreamModelSettings
SmallFleet()
{
  StreamModelSettings settings;
  settings.routers = 6;
  settings.zones = 4;
  settings.streamsPerSecond = 16;
  return settings;
}

StreamModelSettings
LargeFleet()
{
  return {};
}

//! Streams of routers that were killed at once, resumed at the others.
StreamModelCounts
ResumeAfterKill(const StreamModelSettings& aSettings, double aRatio)
{
  StreamModel model(aSettings, 1);
  model.Run(5000ms);
  model.KillPart(aRatio, 2000ms);
  model.Run(100ms);
  return model.Resume(5000ms, [&](std::size_t aRouter) {
    return model.Lost().contains(aRouter);
  });
}

//! Each router is stopped, or killed, and starts again, one after the other.
//! Streams of the last ten seconds are resumed.
template<typename TakeDown>
StreamModelCounts
ResumeAfterRelease(const StreamModelSettings& aSettings,
                   Duration aPause,
                   TakeDown aTakeDown)
{
  StreamModel model(aSettings, 2);
  model.Run(3000ms);
  for (std::size_t i = 0; i < aSettings.routers; ++i) {
    aTakeDown(model, i);
    model.Run(aPause);
  }
  return model.Resume(10000ms, Any);
}

}

Test(streamdirectory, StreamsOfKilledRoutersGoOnElsewhere)
{
  for (const auto ratio : { 0.2, 0.5 }) {
    ExpectGoOn(fmt::format("6 routers, {} killed", ratio),
               ResumeAfterKill(SmallFleet(), ratio));
    ExpectGoOn(fmt::format("600 routers, {} killed", ratio),
               ResumeAfterKill(LargeFleet(), ratio));
  }
}

Test(streamdirectory, StreamsGoOnWhileDatagramsAreLost)
{
  for (auto settings : { SmallFleet(), LargeFleet() }) {
    settings.lossRatio = 0.1;
    ExpectGoOn(fmt::format("{} routers, a tenth lost", settings.routers),
               ResumeAfterKill(settings, 0.2));
  }
}

Test(streamdirectory, StreamsGoOnAfterAReleaseOfTheRouters)
{
  const auto stop = [](StreamModel& aModel, std::size_t aRouter) {
    aModel.Stop(aRouter, 1000ms);
  };
  const auto kill = [](StreamModel& aModel, std::size_t aRouter) {
    aModel.Kill(aRouter, 1000ms);
  };
  ExpectGoOn("6 routers, stopped in turn each 2 s",
             ResumeAfterRelease(SmallFleet(), 2000ms, stop));
  ExpectGoOn("6 routers, killed in turn each 2 s",
             ResumeAfterRelease(SmallFleet(), 2000ms, kill));
  auto settings = LargeFleet();
  settings.routers = 300;
  ExpectGoOn("300 routers, stopped in turn each 50 ms",
             ResumeAfterRelease(settings, 50ms, stop));
}

Test(streamdirectory, StreamsOfALostZoneGoOnInOthers)
{
  StreamModel model(LargeFleet(), 3);
  model.Run(5000ms);
  for (std::size_t i = 0; i < LargeFleet().routers; ++i) {
    if (model.ZoneOf(i) == 0) {
      model.Kill(i, 60000ms);
    }
  }
  model.Run(100ms);
  const auto isLost = [&](std::size_t aRouter) {
    return model.Lost().contains(aRouter);
  };
  ExpectGoOn("600 routers, a zone lost", model.Resume(5000ms, isLost));
  model.Run(4000ms);
  ExpectGoOn("the same, when the members have changed",
             model.Resume(9000ms, isLost));
}

//! Streams that began while a zone was cut off. Its routers are not in touch;
//! the streams of the others must go on.
Test(streamdirectory, StreamsBegunBesideACutOffZoneGoOn)
{
  StreamModel model(LargeFleet(), 4);
  model.Run(1000ms);
  model.SetCut(0, true);
  model.Run(4000ms);
  model.SetCut(0, false);
  model.Run(100ms);
  ExpectGoOn("600 routers, a zone was cut off",
             model.Resume(4000ms, [&](std::size_t aRouter) {
               return model.ZoneOf(aRouter) != 0;
             }));
}

//! Half of the fleet was away for longer than others wait for it, and takes
//! over holders' places when it returns.
Test(streamdirectory, StreamsGoOnWhenHalfOfTheFleetReturns)
{
  for (const auto& settings : { SmallFleet(), LargeFleet() }) {
    StreamModel model(settings, 5);
    model.Run(1000ms);
    model.KillPart(0.5, 6000ms);
    model.Run(7200ms);
    ExpectGoOn(fmt::format("{} routers, half has returned", settings.routers),
               model.Resume(3000ms, Any));
  }
}

//! Records and bytes of a router grow with its own streams, not with the fleet.
Test(streamdirectory, StateOfARouterDoesNotGrowWithTheFleet)
{
  std::vector<double> records;
  std::vector<double> bytes;
  for (const std::size_t routers : { 600, 1200 }) {
    auto settings = LargeFleet();
    settings.routers = routers;
    settings.lifetime = 6000ms;
    StreamModel model(settings, 6);
    model.Run(10000ms);
    records.push_back(static_cast<double>(model.MaxRecords()));
    bytes.push_back(model.BytesPerSecond());
    if (std::getenv("STREAM_MODEL_REPORT") != nullptr) {
      std::cout << fmt::format("{} routers: most records {} bytes a second "
                               "of a router {:.0f}\n",
                               routers,
                               model.MaxRecords(),
                               model.BytesPerSecond());
    }
  }
  cr_assert(records[1] <= 1.25 * records[0]);
  cr_assert(bytes[1] <= 1.05 * bytes[0]);
}

//! For comparison: how many copies are worth their bytes.
Test(streamdirectory, CopiesMatterWhenTheFirstRouterIsKilled)
{
  std::vector<double> shares;
  for (const std::size_t copies : { 0, 1, 2, 3 }) {
    auto settings = LargeFleet();
    settings.copies = copies;
    const auto counts = ResumeAfterKill(settings, 0.5);
    Report(fmt::format("600 routers, half killed, {} copies", copies), counts);
    cr_assert(counts.wrongVersion == 0);
    shares.push_back(counts.KnownShare());
  }
  cr_assert(shares[0] < kMinKnownShare && shares[2] > shares[1]);
}

Test(streamdirectory, AStreamOfTwoVersionsIsOfAnUnknownOne)
{
  StreamDirectory directory({ { "10.0.0.1", 7400 }, 1, 1 });
  const StreamId stream{ 7 };
  directory.RecordBegin(stream, VersionId(1), 5000ms, 1000ms);
  directory.RecordBegin(stream, VersionId(1), 5000ms, 2000ms);
  cr_assert(directory.Find(stream, 6900ms)->version == VersionId(1));
  directory.RecordBegin(stream, VersionId(2), 5000ms, 3000ms);
  cr_assert(directory.Find(stream, 3000ms)->version == VersionId::Unknown);
}

Test(streamdirectory, ARecordEndsWhenItsStreamCanNoLongerBeResumed)
{
  StreamDirectory directory({ { "10.0.0.1", 7400 }, 1, 1 });
  directory.RecordBegin(StreamId{ 7 }, VersionId(1), 5000ms, 1000ms);
  cr_assert(directory.Find(StreamId{ 7 }, 5999ms).has_value());
  cr_assert(!directory.Find(StreamId{ 7 }, 6000ms).has_value());
  directory.Tick(6000ms);
  cr_assert(directory.Records().Size() == 0);
}

Test(streamdirectory, RecordsAreBoundedAndEvictionsCounted)
{
  StreamRecords records(100);
  for (std::uint64_t i = 0; i < 150; ++i) {
    records.Put({ StreamId{ i }, VersionId(1), 0ms, Duration(1000 + i) },
                1000ms);
  }
  cr_assert(records.Size() == 100);
  cr_assert(records.Evicted() == 50);
  cr_assert(!records.Find(StreamId{ 49 }, 1000ms));
  cr_assert(records.Find(StreamId{ 50 }, 1000ms).has_value());
}

//! A lookup that asks a few routers more than hold copies finds one of them,
//! also if it knows of one member more, or of one less that held none.
Test(streamholders, LookupsFindACopyWhenMembersDifferByOne)
{
  const auto holds = rc::check("a holder is asked", [] {
    const auto count = *rc::gen::inRange<std::size_t>(4, 60);
    const auto zones = *rc::gen::inRange<std::uint32_t>(1, 6);
    const StreamId stream{ *rc::gen::arbitrary<std::uint64_t>() };
    std::vector<FleetMember> members;
    for (std::size_t i = 0; i < count; ++i) {
      const base::Address address{ "10.0.0." + std::to_string(i), 7400 };
      members.push_back({ address,
                          static_cast<std::uint32_t>(i) % zones,
                          base::HashName(address.Text()) });
    }
    const auto origin = members[0].address;
    const auto reader = members[1].address;
    const auto copies = StreamHolders(stream, members, origin, kStreamCopies);
    auto others = members;
    const auto changed = *rc::gen::inRange<std::size_t>(2, count);
    if (*rc::gen::arbitrary<bool>()) {
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(changed));
    } else {
      const base::Address address{ "10.0.1.1", 7400 };
      others.push_back({ address,
                         static_cast<std::uint32_t>(changed) % zones,
                         base::HashName(address.Text()) });
    }
    const auto asked =
      StreamHolders(stream, others, reader, kStreamRoutersAsked);
    return std::any_of(copies.begin(), copies.end(), [&](const auto& aCopy) {
      return aCopy.address == reader ||
             std::find(asked.begin(), asked.end(), aCopy) != asked.end();
    });
  });
  cr_assert(holds);
}

Test(streamholders, CopiesAreInTwoZones)
{
  std::vector<FleetMember> members;
  for (std::uint32_t i = 0; i < 40; ++i) {
    const base::Address address{ "10.0.0." + std::to_string(i), 7400 };
    members.push_back({ address, i % 4, base::HashName(address.Text()) });
  }
  for (std::uint64_t i = 0; i < 200; ++i) {
    const auto holders = StreamHolders(
      StreamId{ i }, members, { "10.0.9.9", 7400 }, kStreamCopies);
    cr_assert(holders.size() == 2 && holders[0].zone != holders[1].zone);
  }
}
