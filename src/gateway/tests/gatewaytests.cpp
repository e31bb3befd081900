#include "base/error.h"
#include "gateway/eventstreamfilter.h"
#include "gateway/gatewaysettings.h"
#include "gateway/reportcodec.h"
#include "gateway/storeupdatecodec.h"

#include <criterion/criterion.h>

#include <cmath>
#include <rapidcheck.h>

using namespace hemlockgauge;
using namespace hemlockgauge::gateway;

namespace {

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t" + std::to_string(aId) +
         "\n\n";
}

std::string
Events(int aFrom, int aTo)
{
  std::string out;
  for (int i = aFrom; i <= aTo; ++i) {
    out += Event(i);
  }
  return out;
}

}

// ---- event streams

Test(eventstream, EventsPassUnchangedForAnyReadSizes)
{
  const bool held = rc::check([] {
    const auto all = Events(1, *rc::gen::inRange(1, 12));
    EventStreamFilter filter;
    std::string out;
    std::string_view rest = all;
    while (!rest.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 20);
      RC_ASSERT(filter.Consume(rest.substr(0, size), out));
      rest.remove_prefix(std::min(size, rest.size()));
    }
    RC_ASSERT(out == all);
    RC_ASSERT(!filter.HasPartialEvent());
  });
  cr_assert(held);
}

Test(eventstream, PartialEventIsHeldBack)
{
  EventStreamFilter filter;
  std::string out;
  cr_assert(filter.Consume(Event(1) + "id: 2\ndata: t", out));
  cr_assert(out == Event(1));
  cr_assert(filter.HasPartialEvent());
}

//! A stream that breaks off at any byte and is resumed by another upstream
//! yields each event once and in order.
Test(eventstream, ResumedStreamHasNoGapsOrDuplicates)
{
  const bool held = rc::check([] {
    const int last = *rc::gen::inRange(2, 12);
    const auto all = Events(1, last);
    const auto cut = *rc::gen::inRange<std::size_t>(0, all.size());
    EventStreamFilter filter;
    std::string out;
    RC_ASSERT(filter.Consume(std::string_view(all).substr(0, cut), out));
    const int seen = static_cast<int>(filter.LastId());
    const int from = *rc::gen::inRange(1, seen + 2);
    filter.Resume();
    RC_ASSERT(filter.Consume(Events(from, last), out));
    RC_ASSERT(out == all);
  });
  cr_assert(held);
}

//! Upstreams choose how small the pieces are.
Test(eventstream, AnEventInPiecesOfOneByteIsSearchedOnce)
{
  const auto event = "id: 1\ndata: " + std::string(60000, 'd') + "\n\n";
  EventStreamFilter filter;
  std::string out;
  for (const char& byte : event) {
    cr_assert(filter.Consume({ &byte, 1 }, out));
  }
  cr_assert(out == event);
  cr_assert(filter.SearchedBytes() <= 4 * event.size(),
            "%llu bytes",
            static_cast<unsigned long long>(filter.SearchedBytes()));
}

Test(eventstream, GapAfterResumeIsRejected)
{
  EventStreamFilter filter;
  std::string out;
  cr_assert(filter.Consume(Events(1, 3), out));
  filter.Resume();
  cr_assert(!filter.Consume(Event(5), out));
}

Test(eventstream, DecreasingIdIsRejected)
{
  EventStreamFilter filter;
  std::string out;
  cr_assert(filter.Consume(Events(1, 3), out));
  cr_assert(!filter.Consume(Event(2), out));
  cr_assert(out == Events(1, 3));
}

Test(eventstream, CrLfLineEndingsAreAccepted)
{
  EventStreamFilter filter;
  filter.ResumeAfter(6);
  std::string out;
  const std::string event = "id: 7\r\ndata: x\r\n\r\n";
  cr_assert(filter.Consume(event, out));
  cr_assert(out == event);
  cr_assert(filter.LastId() == 7);
}

Test(eventstream, EventsBeforeAFaultInTheSameReadArePassedOn)
{
  EventStreamFilter filter;
  std::string out;
  cr_assert(!filter.Consume(Events(1, 2) + "data: x\n\n" + Event(3), out));
  cr_assert(out == Events(1, 2));
  cr_assert(filter.LastId() == 2);
}

Test(eventstream, ARunMayNotRepeatItsOwnEvents)
{
  EventStreamFilter filter;
  std::string out;
  cr_assert(filter.Consume(Events(1, 3), out));
  filter.Resume();
  cr_assert(!filter.Consume(Event(2) + Event(2), out));
  cr_assert(out == Events(1, 3));
}

//! Whatever an upstream sends, the caller gets events of one numbering.
Test(eventstream, AnyBytesYieldOnlyEventsInOrder)
{
  const bool held = rc::check([] {
    const std::vector<std::string> pieces{ "id: ",
                                           "id:",
                                           "ID: ",
                                           "1",
                                           "2",
                                           "3",
                                           "0",
                                           "\n",
                                           "\n\n",
                                           "\r",
                                           "\r\n",
                                           "data: x",
                                           ":",
                                           "x",
                                           "event: y",
                                           " ",
                                           "\n",
                                           "-",
                                           "99999999999999999999" };
    const auto picks = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, pieces.size()));
    std::string sent = Events(1, *rc::gen::inRange(0, 3));
    for (const auto pick : picks) {
      sent += pieces[pick];
    }
    EventStreamFilter filter;
    std::string out;
    filter.Consume(sent, out);
    RC_ASSERT(sent.starts_with(out));
    std::uint64_t next = 1;
    std::string_view rest = out;
    while (!rest.empty()) {
      const auto end = std::min(rest.find("\n\n"), rest.find("\n\r\n"));
      RC_ASSERT(end != std::string_view::npos);
      const auto size = end + (rest.substr(end).starts_with("\n\n") ? 2 : 3);
      const auto event = ParseStreamEvent(rest.substr(0, size));
      RC_ASSERT(event.fault == EventStreamFault::None);
      RC_ASSERT(event.id == next++);
      rest.remove_prefix(size);
    }
  });
  cr_assert(held);
}

// ---- reports

namespace {

fleet::PeerReport
FullReport()
{
  fleet::PeerReport report;
  report.router = "r1";
  report.incarnation = 1ULL << 40;
  report.sequence = 9;
  report.sentAt = base::TimePoint(123456789);
  report.scope = fleet::ReportScope::Group;
  report.zone = 77;
  report.group = 1ULL << 50;
  report.routerCount = 3;
  report.prefillDemand = 2000.0;
  report.configVersion = 12;
  report.configAge = base::Duration(34);
  report.wantsMembers = true;
  report.storeEra = 1ULL << 33;
  report.storeEraAge = base::Duration(2345);
  report.loads = { { base::UpstreamId(1), 2, 3 } };
  report.rates = { { base::WorkspaceId(4), { 5.0, 6.0 } } };
  report.prefixUses = { { 0xffffffffffffULL, base::UpstreamId(7) } };
  report.crashUpdates.crashes = { { quarantine::RequestFingerprint(
                                      0xfedcba9876543210ULL),
                                    base::UpstreamId(11),
                                    base::Duration(1234) } };
  report.crashUpdates.clearances = { { quarantine::RequestFingerprint(
                                         0x123456789abcdef0ULL),
                                       base::Duration(56) } };
  report.crashUpdates.partCrashes = { { quarantine::PromptPartId(
                                          0xfedcba9876543210ULL),
                                        base::UpstreamId(12),
                                        base::Duration(78) } };
  report.crashUpdates.partAnswers = { { quarantine::PromptPartId(
                                          0x123456789abcdef0ULL),
                                        quarantine::AnswerId(13),
                                        base::Duration(90) } };
  report.heard = { { base::RouterId(8), 5, base::TimePoint(9) } };
  report.members = { { { "10.1.0.33", 7400 }, 6, base::Duration(250) } };
  return report;
}

}

Test(reports, ReportRoundTrip)
{
  const auto report = FullReport();
  const auto bytes = EncodeReport(report);
  const auto read = DecodeReport(bytes.data(), bytes.size());
  cr_assert(read.router == "r1");
  cr_assert(read.incarnation == report.incarnation);
  cr_assert(read.sequence == 9);
  cr_assert(read.sentAt == report.sentAt);
  cr_assert(read.scope == fleet::ReportScope::Group);
  cr_assert(read.zone == 77 && read.group == report.group);
  cr_assert(read.routerCount == 3 && read.wantsMembers);
  cr_assert(read.prefillDemand == 2000.0);
  cr_assert(read.configVersion == 12);
  cr_assert(read.configAge == report.configAge);
  cr_assert(read.storeEra == report.storeEra);
  cr_assert(read.storeEraAge == report.storeEraAge);
  cr_assert(read.loads.at(0).running == 3);
  cr_assert(read.rates.at(0).rate.admitted == 6.0);
  cr_assert(read.prefixUses.at(0).part == 0xffffffffffffULL);
  cr_assert(read.crashUpdates.crashes.at(0).request ==
            report.crashUpdates.crashes[0].request);
  cr_assert(read.crashUpdates.crashes.at(0).upstream == base::UpstreamId(11));
  cr_assert(read.crashUpdates.crashes.at(0).age == base::Duration(1234));
  cr_assert(read.crashUpdates.clearances.at(0).request ==
            report.crashUpdates.clearances[0].request);
  cr_assert(read.crashUpdates.clearances.at(0).age == base::Duration(56));
  const auto& partCrash = read.crashUpdates.partCrashes.at(0);
  cr_assert(base::Raw(partCrash.part) == 0xfedcba9876543210ULL);
  cr_assert(partCrash.upstream == base::UpstreamId(12));
  cr_assert(partCrash.age == base::Duration(78));
  const auto& partAnswer = read.crashUpdates.partAnswers.at(0);
  cr_assert(base::Raw(partAnswer.part) == 0x123456789abcdef0ULL);
  cr_assert(base::Raw(partAnswer.answer) == 13);
  cr_assert(partAnswer.age == base::Duration(90));
  cr_assert(read.heard.at(0).sequence == 5);
  cr_assert(read.heard.at(0).sentAt == base::TimePoint(9));
  cr_assert(read.members.at(0).address == report.members[0].address);
  cr_assert(read.members.at(0).age == base::Duration(250));
}

Test(reports, NonFiniteOrNegativeRateIsRejected)
{
  for (const double rate : { std::nan(""), -1.0, HUGE_VAL }) {
    auto report = FullReport();
    report.prefillDemand = rate;
    auto bytes = EncodeReport(report);
    cr_assert_throw(DecodeReport(bytes.data(), bytes.size()), base::Error);
    report = FullReport();
    report.rates[0].rate.demand = rate;
    bytes = EncodeReport(report);
    cr_assert_throw(DecodeReport(bytes.data(), bytes.size()), base::Error);
  }
}

Test(reports, RandomBytesAreRejected)
{
  const bool held = rc::check([](const std::vector<std::uint8_t>& aBytes) {
    RC_ASSERT_THROWS_AS(DecodeReport(aBytes.data(), aBytes.size()),
                        base::Error);
  });
  cr_assert(held);
}

Test(reports, DamagedReportIsDecodedOrRejected)
{
  const auto bytes = EncodeReport(FullReport());
  const bool held = rc::check([&] {
    auto damaged = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
    damaged[at] = *rc::gen::arbitrary<std::uint8_t>();
    damaged.resize(*rc::gen::inRange<std::size_t>(1, damaged.size() + 1));
    try {
      DecodeReport(damaged.data(), damaged.size());
    } catch (const base::Error&) {
      // a rejected message is a valid outcome
    }
  });
  cr_assert(held);
}

// ---- news

Test(news, NewsRoundTrip)
{
  fleet::StoreUpdate news;
  news.incarnation = 1ULL << 40;
  news.sequence = 9;
  news.isFullList = true;
  news.proofAge = base::Duration(34);
  news.waited = base::Duration(700);
  news.config = std::string("{\0}", 3);
  fleet::UpstreamEntry entry;
  entry.id = "i-1";
  entry.service = "s";
  entry.address = { "10.1.1.1", 80 };
  entry.zone = "z";
  entry.softwareVersion = "v1.2";
  entry.slots = 64;
  entry.draining = true;
  entry.coldFor = base::Duration(7);
  entry.startedAt = 0;
  fleet::UpstreamEntry unusable;
  unusable.id = "i-3";
  unusable.address = { "", 0 };
  unusable.usable = false;
  news.upstreams = { entry, unusable };
  news.removed = { "i-2" };
  news.evacuations = { { "z", 1ULL << 33 }, { "y", 0 } };
  const auto read =
    std::get<fleet::StoreUpdate>(DecodeStoreUpdate(EncodeStoreUpdate(news)));
  cr_assert(read.incarnation == news.incarnation && read.sequence == 9 &&
            read.isFullList);
  cr_assert(read.proofAge == news.proofAge);
  cr_assert(read.waited == news.waited);
  cr_assert(read.config == news.config);
  cr_assert(read.upstreams.at(0) == entry);
  cr_assert(read.upstreams.at(1) == unusable);
  cr_assert(read.removed == news.removed);
  cr_assert(read.evacuations == news.evacuations);
  news.evacuations.emplace();
  cr_assert(
    std::get<fleet::StoreUpdate>(DecodeStoreUpdate(EncodeStoreUpdate(news)))
      .evacuations.value()
      .empty());
  news.evacuations.reset();
  cr_assert(
    !std::get<fleet::StoreUpdate>(DecodeStoreUpdate(EncodeStoreUpdate(news)))
       .evacuations);
  const auto ask = std::get<fleet::StoreUpdateRequest>(
    DecodeStoreUpdate(EncodeStoreUpdate(fleet::StoreUpdateRequest{ 1, 2, 3 })));
  cr_assert(ask.incarnation == 1 && ask.sequence == 2 &&
            ask.configVersion == 3);
}

Test(news, RandomAndDamagedBytesAreDecodedOrRejected)
{
  const bool held = rc::check([](const std::vector<std::uint8_t>& aBytes) {
    RC_ASSERT_THROWS_AS(DecodeStoreUpdate(aBytes), base::Error);
  });
  cr_assert(held);
  fleet::StoreUpdate news;
  news.removed = { "i-2" };
  const auto bytes = EncodeStoreUpdate(news);
  const bool damagedHeld = rc::check([&] {
    auto damaged = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
    damaged[at] = *rc::gen::arbitrary<std::uint8_t>();
    try {
      DecodeStoreUpdate(damaged);
    } catch (const base::Error&) {
      // a rejected message is a valid outcome
    }
  });
  cr_assert(damagedHeld);
}

// ---- settings

namespace {

const std::string kSettings = "[gateway]\nid = g1\navailability_zone = z\n"
                              "callers_listen = 127.0.0.1:1\n"
                              "probe_listen = 127.0.0.1:2\n"
                              "control_listen = 127.0.0.1:3\n"
                              "peer_listen = 127.0.0.1:4\n"
                              "[store]\naddress = 127.0.0.1:5\n";

std::string
ParseErrorText(const std::string& aText)
{
  try {
    ParseGatewaySettings("f.ini", aText);
  } catch (const base::Error& error) {
    return error.what();
  }
  return "";
}

}

Test(settings, GivenValuesAreRead)
{
  const auto settings = ParseGatewaySettings(
    "f.ini",
    kSettings + "revocation_bound_ms = 5000\n[retries]\nratio = 0.3\n"
                "slack = 7\nwindow_ms = 9000\n[peers]\n"
                "seeds = 127.0.0.1:6,127.0.0.1:7\nseed_wait_ms = 900\n");
  cr_assert(settings.id == "g1");
  cr_assert(settings.revocationBound == base::Duration(5000));
  cr_assert(settings.retryRatio == 0.3);
  cr_assert(settings.seeds.size() == 2);
  cr_assert(settings.seedWait == base::Duration(900));
}

Test(settings, ColdLimitAndRegionsAreRead)
{
  const auto settings =
    ParseGatewaySettings("f.ini",
                         kSettings + "[cold_upstreams]\noverrun = 1.5\n"
                                     "slack = 5\n[regions]\n"
                                     "zone = a:north\nzone = b:south\n");
  cr_assert(settings.coldLimit.overrun == 1.5);
  cr_assert(settings.coldLimit.slack == 5);
  cr_assert(settings.regionOfZone.at("a") == "north");
  cr_assert(settings.regionOfZone.at("b") == "south");
  for (const std::string bad : { "a\n", ":north\n", "a:\n" }) {
    auto text = kSettings;
    text += "[regions]\nzone = ";
    text += bad;
    cr_assert(ParseErrorText(text).starts_with("f.ini:"));
  }
  cr_assert(
    !ParseErrorText(kSettings + "[cold_upstreams]\nslack = -1\n").empty());
}

//! Guards against requests that wait without a setting that allows it.
Test(settings, WaitingLimitsAreReadAndAreZeroByDefault)
{
  const auto none = ParseGatewaySettings("f.ini", kSettings);
  cr_assert(none.waiting.requests == 0 && none.waiting.bytes == 0);
  const auto settings = ParseGatewaySettings(
    "f.ini", kSettings + "[waiting]\nmax_requests = 64\nmax_bytes = 500000\n");
  cr_assert(settings.waiting.requests == 64);
  cr_assert(settings.waiting.bytes == 500000);
  cr_assert(
    !ParseErrorText(kSettings + "[waiting]\nmax_requests = -1\n").empty());
  cr_assert(!ParseErrorText(kSettings + "[waiting]\nmax = 1\n").empty());
}

Test(settings, InvalidFileIsRejectedWithFileLineAndKey)
{
  cr_assert(ParseErrorText(kSettings).empty());
  cr_assert(ParseErrorText(kSettings + "[peers]\nseeds = x\n")
              .starts_with("f.ini:11: [peers] seeds:"));
  cr_assert(ParseErrorText(kSettings + "colour = red\n")
              .starts_with("f.ini:10: [store] colour:"));
  cr_assert(!ParseErrorText("[gateway]\nid = g1\n").empty());
  cr_assert(!ParseErrorText(kSettings + "[extra]\na = b\n").empty());
  cr_assert(!ParseErrorText("").empty());
}
