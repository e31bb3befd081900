#include "fleet/admission.h"
#include "fleet/fleetconstants.h"
#include "fleet/forecasterror.h"
#include "fleet/passlevel.h"
#include "fleet/queuelimit.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

Test(admission, RequestsBeyondTheFairShareAreRefusedFirst)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 5000ms;
  input.foreseenMs = 500;
  cr_assert(Admit(input).taken);
  input.insideShare = false;
  const auto refused = Admit(input);
  cr_assert(!refused.taken);
  cr_assert(refused.retryAfter == 500ms);
}

Test(admission, ARequestThatWouldBeLateIsRefusedWithARetryAfter)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 2000ms;
  input.foreseenMs = 5000;
  const auto refused = Admit(input);
  cr_assert(!refused.taken);
  cr_assert(refused.retryAfter == 600ms);
}

//! A queue that takes longer than callers can wait makes all of them late.
Test(acceptqueuelimit, IsProportionalToTheProcessorShareWithinBounds)
{
  cr_assert(QueueLimit(0.12) == 120);
  cr_assert(QueueLimit(0.5) == 500);
  cr_assert(QueueLimit(0.01) == kQueueLeast);
  cr_assert(QueueLimit(64) == kQueueMost);
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
  input.insidePromise = true;
  input.passesLevel = false; // throttles only beyond the nominal share
  input.foreseenMs = kInsidePromiseLimit * 1000 - 1;
  cr_assert(Admit(input).taken);
  input.foreseenMs = kInsidePromiseLimit * 1000 + 1;
  cr_assert(!Admit(input).taken);
  input.insideShare = true;
  cr_assert(Admit(input).taken);
}

//! Engines are busy with other workspaces' prompts. A workspace that got a
//! quarter of its demand was refused because of its predicted wait.
Test(admission, AStarvedWorkspaceIsServedLateRatherThanRefused)
{
  AdmissionInput input;
  input.target = 600ms;
  input.timeLeft = 4000ms;
  input.foreseenMs = 850;
  cr_assert(!Admit(input).taken);
  input.starved = true;
  cr_assert(Admit(input).taken);
}

//! Guards against refusing large prompts because prefilling them takes long:
//! the largest tenth of the long prompts was served half as often as all long
//! prompts.
Test(admission, ALargePromptIsNotRefusedForItsSize)
{
  AdmissionInput input;
  input.target = 800ms;
  input.timeLeft = 6000ms;
  input.ownMs = 1200;
  input.foreseenMs = 1400;
  cr_assert(Admit(input).taken);
  input.foreseenMs = 1600;
  cr_assert(!Admit(input).taken);
  input.insideShare = false;
  input.foreseenMs = 1200 + kOutsideShareLimit * 800 - 1;
  cr_assert(Admit(input).taken);
  input.foreseenMs = 1200 + kOutsideShareLimit * 800 + 1;
  cr_assert(!Admit(input).taken);
}

Test(admission, ABusyRouterShedsOnlyBeyondTheFairShareAndAPartOfTheTarget)
{
  cr_assert(!ShedsWhileBusy(true, 10000ms, 500ms));
  const auto limit =
    Duration(static_cast<std::int64_t>(kOutsideShareLimit * 500));
  cr_assert(!ShedsWhileBusy(false, limit, 500ms));
  cr_assert(ShedsWhileBusy(false, limit + 1ms, 500ms));
}

Test(admission, AThrottledRequestBeyondItsShareIsRefusedHoweverShortTheWait)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 6000ms;
  input.passesLevel = false;
  input.foreseenMs = 100;
  cr_assert(Admit(input).taken,
            "the throttle does not apply inside the fair share");
  input.insideShare = false;
  const auto refused = Admit(input);
  cr_assert(!refused.taken);
  cr_assert(refused.retryAfter == 400ms);
  input.timeLeft = 1000ms;
  cr_assert(Admit(input).retryAfter == 300ms);
  input.idle = true;
  cr_assert(Admit(input).taken, "an idle upstream accepts any request");
  input.idle = false;
  input.passesLevel = true;
  cr_assert(Admit(input).taken);
}

Test(admission, AWorkspaceThatIsAheadIsRefusedOnlyWhileOthersWait)
{
  AdmissionInput input;
  input.target = 1000ms;
  input.timeLeft = 6000ms;
  input.insideShare = false;
  input.excess = 3;
  input.foreseenMs = 100;
  cr_assert(!Admit(input).taken);
  input.placesFree = true;
  cr_assert(!Admit(input).taken);
  input.othersWait = false;
  cr_assert(Admit(input).taken);
  input.placesFree = false;
  cr_assert(Admit(input).taken);
}

Test(admission, NothingIsRefusedWhileSlotsAreFree)
{
  AdmissionInput input;
  input.target = 100ms;
  input.foreseenMs = 500;
  input.insideShare = false;
  input.placesFree = true;
  cr_assert(Admit(input).taken);
}

Test(forecasterror, LargerForecastErrorsReduceTheOvercommitRatio)
{
  ForecastError error;
  cr_assert(error.ReadingUse() == kReadingUseMost);
  for (int i = 0; i < 200; ++i) {
    error.Learn(60, 900);
  }
  cr_assert(error.ReadingUse() == kReadingUseLeast);
  for (int i = 0; i < 200; ++i) {
    error.Learn(100, 190);
  }
  cr_assert(error.ReadingUse() < kReadingUseMost);
  cr_assert(error.ReadingUse() > kReadingUseLeast);
  for (int i = 0; i < 200; ++i) {
    error.Learn(100, 110);
  }
  cr_assert(error.ReadingUse() == kReadingUseMost);
}

Test(workspacethrottle, DemandAboveTheMaxMinSharePassesInProportion)
{
  PassLevel throttle;
  WorkspaceRates rates;
  rates[WorkspaceId(1)] = { 100, 100 };
  rates[WorkspaceId(2)] = { 400, 200 };
  rates[WorkspaceId(3)] = { 800, 200 };
  throttle.Update(rates, 500);
  cr_assert(throttle.Level() == 200);
  std::map<int, int> passed;
  for (int i = 0; i < 100; ++i) {
    for (int workspace = 1; workspace <= 3; ++workspace) {
      passed[workspace] += throttle.Pass(WorkspaceId(workspace)) ? 1 : 0;
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
  PassLevel throttle;
  WorkspaceRates rates;
  rates[WorkspaceId(1)] = { 800, 100 };
  rates[WorkspaceId(2)] = { 800, 400 };
  throttle.Update(rates, 400);
  cr_assert(throttle.Level() == 200);
  int behind = 0;
  int ahead = 0;
  for (int i = 0; i < 100; ++i) {
    behind += throttle.Pass(WorkspaceId(1)) ? 1 : 0;
    ahead += throttle.Pass(WorkspaceId(2)) ? 1 : 0;
  }
  cr_assert(behind == 50);
  cr_assert(ahead == 12);
}

Test(workspacethrottle, EverythingPassesWhileCapacityExceedsDemand)
{
  PassLevel throttle;
  WorkspaceRates rates;
  rates[WorkspaceId(1)].asked = 100;
  throttle.Update(rates, 500);
  cr_assert(throttle.Pass(WorkspaceId(1)));
  cr_assert(throttle.Pass(WorkspaceId(2)),
            "a workspace that is not in the rates passes");
}
