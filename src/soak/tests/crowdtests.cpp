#include "soak/tests/crowdfixture.h"
#include "standins/platformtext.h"

//! Crowds of callers, and upstreams, that stay within the size limits but cost
//! a router more than usual ones. No process may end or hang, or use more
//! memory or descriptors than its host has.
using namespace hemlockgauge;
using namespace hemlockgauge::soak;
using standins::OddRequest;
using standins::OddRequestText;
using standins::UpstreamFault;

namespace {

//! Faults of the responses to the crowd; ordinary requests get none.
standins::UpstreamStandin::FaultSelector
ForCrowd(UpstreamFault aFault)
{
  return [aFault](const standins::UpstreamRun& aRun) {
    return aRun.requestId.starts_with(standins::kOddRequestId)
             ? aFault
             : UpstreamFault::None;
  };
}

//! A crowd whose requests are answered, if they are whole.
void
ExpectBearsCrowd(std::uint16_t aPort,
                 OddRequest aKind,
                 const std::string& aPath = "/safe/x",
                 UpstreamFault aFault = UpstreamFault::None,
                 Reading aReading = Reading::On)
{
  CrowdFixture fixture(aPort);
  fixture.AddRoomyUpstream("i-1", 20).SetFaultSelector(ForCrowd(aFault));
  fixture.AddRoomyUpstream("i-2", 21).SetFaultSelector(ForCrowd(aFault));
  fixture.AddRoomyUpstream("i-3", 22, true).SetFaultSelector(ForCrowd(aFault));
  fixture.StartProcess();
  fixture.SendCrowd(aKind, fixture.Odd(aPath), aReading);
  fixture.ExpectSound();
}

}

TestSuite(crowd, .fini = EndRouterProcess);

Test(crowd, UnfinishedHeadsOfShortFieldsFillNoMemory)
{
  ExpectBearsCrowd(26200, OddRequest::UnfinishedHead);
}

Test(crowd, HeadsOfShortFieldsBeforeABodyFillNoMemory)
{
  ExpectBearsCrowd(26240, OddRequest::UnfinishedBody);
}

Test(crowd, RequestsOfShortFieldsAtSlowUpstreamsFillNoMemory)
{
  ExpectBearsCrowd(
    26280, OddRequest::ShortFieldsByLf, "/safe/x", UpstreamFault::Mute);
}

Test(crowd, RequestsOfShortFieldsFillNoMemory)
{
  ExpectBearsCrowd(26320, OddRequest::ShortFields);
}

Test(crowd, RequestsOfMediumFieldsAtSlowUpstreamsFillNoMemory)
{
  ExpectBearsCrowd(
    26360, OddRequest::MediumFields, "/safe/x", UpstreamFault::Mute);
}

Test(crowd, FoldedFieldsFillNoMemory)
{
  ExpectBearsCrowd(26400, OddRequest::FoldedFields);
}

Test(crowd, LongIdsAtSlowUpstreamsFillNoMemory)
{
  ExpectBearsCrowd(26440, OddRequest::LongId, "/safe/x", UpstreamFault::Mute);
}

Test(crowd, LongTargetsAtSlowUpstreamsFillNoMemory)
{
  ExpectBearsCrowd(
    26480, OddRequest::LongTarget, "/safe/x", UpstreamFault::Mute);
}

//! What is learned of prompt parts is kept after their requests have ended.
Test(crowd, PromptPartsFillNoMemory)
{
  constexpr int kCrowds = 4;
  CrowdFixture fixture(26520);
  fixture.AddRoomyUpstream("i-1", 20);
  fixture.AddRoomyUpstream("i-2", 21, true);
  fixture.StartProcess();
  for (int i = 0; i < kCrowds; ++i) {
    fixture.SendCrowd(OddRequest::PromptParts, fixture.Odd("/stream/x"));
    fixture.crowd.clear();
  }
  fixture.ExpectSound();
}

//! The names in Connection must not be sought once for each field.
Test(crowd, NamesInConnectionHoldUpNobody)
{
  ExpectBearsCrowd(26560, OddRequest::ConnectionList);
}

Test(crowd, ChunksOfOneByteFillNoMemory)
{
  ExpectBearsCrowd(26600, OddRequest::UnfinishedChunks);
}

Test(crowd, PipelinedRequestsHoldUpNobody)
{
  ExpectBearsCrowd(26640, OddRequest::PipelinedRefusals);
}

Test(crowd, PipelinedRequestsBehindASlowOneFillNoMemory)
{
  ExpectBearsCrowd(
    26680, OddRequest::PipelinedReadAhead, "/safe/x", UpstreamFault::Mute);
}

Test(crowd, SilentConnectionsKeepNobodyOut)
{
  ExpectBearsCrowd(26720, OddRequest::Silent);
}

Test(crowd, UnfinishedHeadsOfUpstreamsFillNoMemory)
{
  ExpectBearsCrowd(
    26760, OddRequest::LongTarget, "/safe/x", UpstreamFault::StalledHead);
}

Test(crowd, LargeHeadsOfUpstreamsToCallersThatDoNotReadFillNoMemory)
{
  ExpectBearsCrowd(26800,
                   OddRequest::MediumFields,
                   "/safe/x",
                   UpstreamFault::LargeHead,
                   Reading::Off);
}

Test(crowd, LargeBodiesToCallersThatDoNotReadFillNoMemory)
{
  ExpectBearsCrowd(26840,
                   OddRequest::MediumFields,
                   "/safe/x",
                   UpstreamFault::LargeBody,
                   Reading::Off);
}

Test(crowd, UnfinishedEventsFillNoMemory)
{
  CrowdFixture fixture(26880);
  fixture.AddRoomyUpstream("i-1", 20);
  fixture.AddRoomyUpstream("i-2", 21, true)
    .SetFaultSelector(ForCrowd(UpstreamFault::StalledEvent));
  fixture.StartProcess();
  for (std::size_t i = 0; i < kCrowdSize; ++i) {
    standins::CallText call;
    call.path = "/stream/x";
    call.id = fmt::format("{}{}", standins::kOddRequestId, i);
    call.key = "key-1";
    call.promptTokens = 3;
    call.outputTokens = 3;
    call.promptParts = "aa:3";
    fixture.AddCaller(standins::EncodeCall(call));
    fixture.loop.RunOnce();
  }
  fixture.RunFor(1000);
  fixture.ExpectSound();
}

//! Of the descriptors of a host, 200 are kept for files.
Test(crowd, ConnectionsOnBothSidesLeaveDescriptorsOfTheHost)
{
  CrowdFixture fixture(26960);
  fixture.gatewayLines = "max_descriptors = 600\n";
  fixture.maxDescriptors = 600 - 200;
  fixture.AddRoomyUpstream("i-1", 20).SetFaultSelector(
    ForCrowd(UpstreamFault::Mute));
  fixture.StartProcess();
  for (std::size_t i = 0; i < kCrowdSize; ++i) {
    fixture.AddCaller(
      OddRequestText(OddRequest::MediumFields, fixture.Odd(), i));
    fixture.loop.RunOnce();
  }
  fixture.RunFor(1000);
  fixture.ExpectSound();
}

//! An answer whose caller does not read it must not keep its connection open
//! for good.
Test(crowd, CallersThatNeverReadDoNotKeepConnections)
{
  CrowdFixture fixture(26920);
  fixture.PutCrowdConfig({ .idleTimeoutMs = 500 });
  fixture.AddRoomyUpstream("i-1", 20).SetFaultSelector(
    ForCrowd(UpstreamFault::LargeBody));
  fixture.StartProcess();
  fixture.SendCrowd(OddRequest::LongTarget, fixture.Odd(), Reading::Off);
  fixture.RunUntil(
    [&] { return process->OpenDescriptors() <= kOwnDescriptors; });
  fixture.ExpectSound();
}

//! Each slash of a target may end the prefix of its route. Looking all of them
//! up must not take time that grows with the square of their number.
Test(crowd, TargetsOfSlashesHoldUpNobody)
{
  CrowdFixture fixture(27000);
  fixture.PutCrowdConfig({ .furtherRoutes = 60 });
  fixture.AddRoomyUpstream("i-1", 20);
  fixture.StartProcess();
  fixture.SendCrowd(OddRequest::SlashTarget, fixture.Odd());
  fixture.ExpectSound();
}

//! Memory that one kind of request leaves behind must serve the next kind.
Test(crowd, CrowdsOfAllKindsInTurnFillNoMemory)
{
  CrowdFixture fixture(27040);
  fixture.AddRoomyUpstream("i-1", 20);
  fixture.AddRoomyUpstream("i-2", 21, true);
  fixture.StartProcess();
  for (std::size_t kind = 0; kind < standins::kOddRequestCount; ++kind) {
    fixture.SendCrowd(static_cast<OddRequest>(kind), fixture.Odd());
    fixture.crowd.clear();
  }
  fixture.ExpectSound();
}

//! Callers that leave must not keep connections, room and slots until their
//! requests' deadline, also if the router has stopped reading from them.
Test(crowd, CallersThatLeaveBehindPipelinedRequestsKeepNoConnections)
{
  constexpr int kLongMs = 600000;
  CrowdFixture fixture(27080);
  fixture.PutCrowdConfig({ .routeTimeoutMs = kLongMs });
  fixture.AddRoomyUpstream("i-1", 20).SetFaultSelector(
    ForCrowd(UpstreamFault::Mute));
  fixture.StartProcess();
  auto settings = fixture.Odd();
  settings.deadlineMs = kLongMs;
  fixture.SendCrowd(OddRequest::PipelinedReadAhead, settings);
  fixture.crowd.clear();
  fixture.RunUntil(
    [&] { return process->OpenDescriptors() <= kOwnDescriptors; });
  fixture.ExpectSound();
}

//! Callers that never finish their requests must not take all connections: an
//! ordinary request is served while they stay.
Test(crowd, UnfinishedRequestsKeepNobodyOut)
{
  constexpr int kLongMs = 600000;
  CrowdFixture fixture(27120);
  fixture.PutCrowdConfig(
    { .headTimeoutMs = kLongMs, .idleTimeoutMs = kLongMs });
  fixture.gatewayLines = "max_descriptors = 600\n";
  fixture.maxDescriptors = 600 - 200;
  fixture.AddRoomyUpstream("i-1", 20);
  fixture.StartProcess();
  fixture.SendCrowd(OddRequest::UnfinishedHead, fixture.Odd());
  fixture.SendCrowd(OddRequest::UnfinishedBody, fixture.Odd());
  fixture.ExpectServes();
  fixture.ExpectSound();
}

//! The requests of this crowd are small. What was read behind them must not
//! take the room of others.
Test(crowd, WhatIsReadBehindRequestsTakesNoRoomFromOthers)
{
  constexpr int kLongMs = 600000;
  CrowdFixture fixture(27480);
  fixture.PutCrowdConfig({ .routeTimeoutMs = kLongMs });
  fixture.AddRoomyUpstream("i-1", 20).SetFaultSelector(
    ForCrowd(UpstreamFault::Mute));
  fixture.AddRoomyUpstream("i-2", 21).SetFaultSelector(
    ForCrowd(UpstreamFault::Mute));
  fixture.StartProcess();
  auto settings = fixture.Odd();
  settings.deadlineMs = kLongMs;
  fixture.SendCrowd(OddRequest::PipelinedReadAhead, settings);
  for (const auto& caller : fixture.crowd) {
    const auto& answer = caller->FirstBytes();
    cr_assert(answer.empty(), "%s", answer.c_str());
  }
  fixture.ExpectServes();
  fixture.ExpectSound();
}
