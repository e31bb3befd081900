#include "fleet/acceptqueuelimit.h"
#include "fleet/admission.h"
#include "fleet/fleetconstants.h"
#include "fleet/forecasterror.h"
#include "fleet/workspacethrottle.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

Test(admission, RequestsBeyondTheFairShareAreRefusedFirst)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 5000ms;
  input.predictedMs = 500;
  cr_assert(Admit(input).admitted);
  input.insideShare = false;
  const auto refused = Admit(input);
  cr_assert(!refused.admitted);
  cr_assert(refused.retryAfter == 500ms);
}

Test(admission, ARequestThatWouldBeLateIsRefusedWithARetryAfter)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 2000ms;
  input.predictedMs = 5000;
  const auto refused = Admit(input);
  cr_assert(!refused.admitted);
  cr_assert(refused.retryAfter == 600ms);
}

//! A queue that takes longer than callers can wait makes all of them late.
Test(acceptqueuelimit, IsProportionalToTheProcessorShareWithinBounds)
{
  cr_assert(AcceptQueueLimit(0.12) == 120);
  cr_assert(AcceptQueueLimit(0.5) == 500);
  cr_assert(AcceptQueueLimit(0.01) == kMinAcceptQueue);
  cr_assert(AcceptQueueLimit(64) == kMaxAcceptQueue);
}

//! Engines are lost, or the nominal capacity exceeds what they can prefill.
//! Requests inside the nominal share alone give way to those inside the fair
//! share, but are not refused as early as requests beyond both.
Test(admission, RequestsInsideTheNominalShareAloneHaveAnIntermediateLimit)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 5000ms;
  input.insideShare = false;
  input.insideNominalShare = true;
  input.passesThrottle = false; // throttles only beyond the nominal share
  input.predictedMs = kInsideNominalShareTargetRatio * 1000 - 1;
  cr_assert(Admit(input).admitted);
  input.predictedMs = kInsideNominalShareTargetRatio * 1000 + 1;
  cr_assert(!Admit(input).admitted);
  input.insideShare = true;
  cr_assert(Admit(input).admitted);
}

//! Engines are busy with other workspaces' prompts. A workspace that got a
//! quarter of its demand was refused because of its predicted wait.
Test(admission, AStarvedWorkspaceIsServedLateRatherThanRefused)
{
  AdmissionInput input;
  input.target = 600ms;
  input.timeLeft = 4000ms;
  input.predictedMs = 850;
  cr_assert(!Admit(input).admitted);
  input.starved = true;
  cr_assert(Admit(input).admitted);
}

//! Guards against refusing large prompts because prefilling them takes long:
//! the largest tenth of the long prompts was served half as often as all long
//! prompts.
Test(admission, ALargePromptIsNotRefusedForItsSize)
{
  AdmissionInput input;
  input.target = 800ms;
  input.timeLeft = 6000ms;
  input.ownPrefillMs = 1200;
  input.predictedMs = 1400;
  cr_assert(Admit(input).admitted);
  input.predictedMs = 1600;
  cr_assert(!Admit(input).admitted);
  input.insideShare = false;
  input.predictedMs = 1200 + kOutsideShareTargetRatio * 800 - 1;
  cr_assert(Admit(input).admitted);
  input.predictedMs = 1200 + kOutsideShareTargetRatio * 800 + 1;
  cr_assert(!Admit(input).admitted);
}

Test(admission, ABusyRouterShedsOnlyBeyondTheFairShareAndAPartOfTheTarget)
{
  cr_assert(!ShedsWhileBusy(true, 10000ms, 500ms));
  const auto limit =
    Duration(static_cast<std::int64_t>(kOutsideShareTargetRatio * 500));
  cr_assert(!ShedsWhileBusy(false, limit, 500ms));
  cr_assert(ShedsWhileBusy(false, limit + 1ms, 500ms));
}

Test(admission, AThrottledRequestBeyondItsShareIsRefusedHoweverShortTheWait)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 6000ms;
  input.passesThrottle = false;
  input.predictedMs = 100;
  cr_assert(Admit(input).admitted,
            "the throttle does not apply inside the fair share");
  input.insideShare = false;
  const auto refused = Admit(input);
  cr_assert(!refused.admitted);
  cr_assert(refused.retryAfter == 400ms);
  input.timeLeft = 1000ms;
  cr_assert(Admit(input).retryAfter == 300ms);
  input.upstreamIdle = true;
  cr_assert(Admit(input).admitted, "an idle upstream accepts any request");
  input.upstreamIdle = false;
  input.passesThrottle = true;
  cr_assert(Admit(input).admitted);
}

Test(admission, AWorkspaceThatIsAheadIsRefusedOnlyWhileOthersWait)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 6000ms;
  input.insideShare = false;
  input.excess = 3;
  input.predictedMs = 100;
  cr_assert(!Admit(input).admitted);
  input.hasFreeSlots = true;
  cr_assert(!Admit(input).admitted);
  input.othersWait = false;
  cr_assert(Admit(input).admitted);
  input.hasFreeSlots = false;
  cr_assert(Admit(input).admitted);
}

Test(admission, NothingIsRefusedWhileSlotsAreFree)
{
  AdmissionInput input;
  input.target = 100ms;
  input.predictedMs = 500;
  input.insideShare = false;
  input.hasFreeSlots = true;
  cr_assert(Admit(input).admitted);
}

Test(forecasterror, LargerForecastErrorsReduceTheOvercommitRatio)
{
  ForecastError error;
  cr_assert(error.OvercommitRatio() == kMaxOvercommitRatio);
  for (int i = 0; i < 200; ++i) {
    error.Learn(60, 900);
  }
  cr_assert(error.OvercommitRatio() == kMinOvercommitRatio);
  for (int i = 0; i < 200; ++i) {
    error.Learn(100, 190);
  }
  cr_assert(error.OvercommitRatio() < kMaxOvercommitRatio);
  cr_assert(error.OvercommitRatio() > kMinOvercommitRatio);
  for (int i = 0; i < 200; ++i) {
    error.Learn(100, 110);
  }
  cr_assert(error.OvercommitRatio() == kMaxOvercommitRatio);
}

Test(workspacethrottle, DemandAboveTheMaxMinSharePassesInProportion)
{
  WorkspaceThrottle throttle;
  WorkspaceRates rates;
  rates[WorkspaceId(1)] = { 100, 100 };
  rates[WorkspaceId(2)] = { 400, 200 };
  rates[WorkspaceId(3)] = { 800, 200 };
  throttle.Update(rates, 500);
  cr_assert(throttle.Limit() == 200);
  std::map<int, int> passed;
  for (int i = 0; i < 100; ++i) {
    for (int workspace = 1; workspace <= 3; ++workspace) {
      passed[workspace] += throttle.TryAdmit(WorkspaceId(workspace)) ? 1 : 0;
    }
  }
  cr_assert(passed[1] == 100);
  cr_assert(passed[2] == 50);
  cr_assert(passed[3] == 25);
}

//! Of two flooding workspaces, the one whose requests were mostly refused for
//! their predicted wait got less than half of what the other one got.
Test(workspacethrottle, AWorkspaceFarBelowItsMaxMinSharePassesMoreOften)
{
  WorkspaceThrottle throttle;
  WorkspaceRates rates;
  rates[WorkspaceId(1)] = { 800, 100 };
  rates[WorkspaceId(2)] = { 800, 400 };
  throttle.Update(rates, 400);
  cr_assert(throttle.Limit() == 200);
  int behind = 0;
  int ahead = 0;
  for (int i = 0; i < 100; ++i) {
    behind += throttle.TryAdmit(WorkspaceId(1)) ? 1 : 0;
    ahead += throttle.TryAdmit(WorkspaceId(2)) ? 1 : 0;
  }
  cr_assert(behind == 50);
  cr_assert(ahead == 12);
}

Test(workspacethrottle, EverythingPassesWhileCapacityExceedsDemand)
{
  WorkspaceThrottle throttle;
  WorkspaceRates rates;
  rates[WorkspaceId(1)].demand = 100;
  throttle.Update(rates, 500);
  cr_assert(throttle.TryAdmit(WorkspaceId(1)));
  cr_assert(throttle.TryAdmit(WorkspaceId(2)),
            "a workspace that is not in the rates passes");
}
