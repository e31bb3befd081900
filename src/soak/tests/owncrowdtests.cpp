#include "soak/tests/owncrowdfixture.h"

//! The crowds of odd callers of crowdtests.cpp before a router of the own
//! interface.
using namespace hemlockgauge;
using namespace hemlockgauge::soak;
using standins::OddRequest;

namespace {

void
ExpectBearsCrowd(std::uint16_t aPort,
                 OddRequest aKind,
                 const std::string& aPath = "/s/slow",
                 Reading aReading = Reading::On)
{
  OwnCrowdFixture fixture(aPort);
  fixture.StartRouter();
  fixture.SendCrowd(aKind, aPath, aReading);
  fixture.ExpectSound();
}

}

TestSuite(owncrowd, .fini = EndOwnProcesses);

Test(owncrowd, UnfinishedHeadsOfShortFieldsFillNoMemory)
{
  ExpectBearsCrowd(27160, OddRequest::UnfinishedHead);
}

Test(owncrowd, RequestsOfShortFieldsThatWaitFillNoMemory)
{
  ExpectBearsCrowd(27200, OddRequest::ShortFields);
}

Test(owncrowd, TargetsThatAreEscapedFillNoMemory)
{
  ExpectBearsCrowd(27240, OddRequest::RawTarget);
}

Test(owncrowd, ChunksOfOneByteFillNoMemory)
{
  ExpectBearsCrowd(27280, OddRequest::UnfinishedChunks);
}

Test(owncrowd, PipelinedRequestsFillNoMemory)
{
  ExpectBearsCrowd(27320, OddRequest::PipelinedReadAhead);
}

Test(owncrowd, TargetsOfSlashesHoldUpNobody)
{
  ExpectBearsCrowd(27360, OddRequest::SlashTarget);
}

Test(owncrowd, LargeAnswersToCallersThatDoNotReadFillNoMemory)
{
  OwnCrowdFixture fixture(27400, kOwnSmallCrowdSize);
  fixture.StartRouter();
  fixture.SendCrowd(
    OddRequest::LongTarget, "/s/large", Reading::Off, kOwnSmallCrowdSize);
  fixture.ExpectSound();
}

//! An answer whose caller does not read it must not keep its connection open
//! for good.
Test(owncrowd, CallersThatNeverReadDoNotKeepConnections)
{
  OwnCrowdFixture fixture(27440, kOwnSmallCrowdSize);
  fixture.StartRouter(1000);
  fixture.SendCrowd(
    OddRequest::LongTarget, "/s/large", Reading::Off, kOwnSmallCrowdSize);
  fixture.RunUntil(
    [&] { return fixture.OpenDescriptors() <= kOwnRouterDescriptors; });
  fixture.ExpectSound();
}
