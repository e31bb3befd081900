#include "fleet/waitingqueue.h"

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow = 1000ms;
constexpr WorkspaceId kFlooding{ 99 };

WaitingId
Id(std::uint64_t aNumber)
{
  return WaitingId(aNumber);
}

//! A request of 10 bytes of a workspace of its own.
WaitingRequest
Request(std::uint64_t aNumber,
        EntitlementClass aEntitlement = EntitlementClass::Entitled)
{
  return { Id(aNumber),  WorkspaceId(static_cast<std::uint32_t>(aNumber)),
           aEntitlement, kDefaultPriority,
           kNow + 100ms, 10 };
}

WaitingQueue
MakeQueue(std::size_t aRequests, std::size_t aBytes = 1000)
{
  WaitingQueue queue;
  queue.Configure({ aRequests, aBytes });
  return queue;
}

bool
IsQueued(WaitingQueue& aQueue, const WaitingRequest& aRequest)
{
  return aQueue.Add(aRequest, kNow).outcome == AddOutcome::Queued;
}

}

//! Guards against a priority that overrides fair shares, and against an order
//! that depends on the time of arrival.
Test(waitingqueue, EntitlementPrecedesPriorityAndPriorityTheTimeLeft)
{
  auto queue = MakeQueue(100);
  auto beyond = Request(1, EntitlementClass::Beyond);
  beyond.priority = 0;
  auto late = Request(3);
  late.giveUpAt = kNow + 200ms;
  auto urgent = Request(5);
  urgent.priority = 0;
  urgent.giveUpAt = kNow + 300ms;
  for (const auto& request : { beyond,
                               Request(2, EntitlementClass::Nominal),
                               late,
                               Request(4),
                               urgent }) {
    cr_assert(IsQueued(queue, request));
  }
  const auto taken = queue.TakeDue(kNow + kWaitingInterval, 3);
  cr_assert((taken == std::vector{ Id(5), Id(4), Id(3) }));
  cr_assert((queue.Clear() == std::vector{ Id(2), Id(1) }));
  cr_assert(queue.Size() == 0 && queue.Bytes() == 0);
}

//! Guards against a queue that is active without settings.
Test(waitingqueue, NothingWaitsByDefault)
{
  WaitingQueue queue;
  cr_assert(!IsQueued(queue, Request(1)));
  cr_assert(!queue.NextAt());
}

//! Guards against a full queue that holds requests beyond their share while
//! entitled requests are refused.
Test(waitingqueue, AFullQueueKeepsTheRequestsThatAreAhead)
{
  auto queue = MakeQueue(4);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    cr_assert(IsQueued(queue, Request(i)));
  }
  cr_assert(IsQueued(queue, Request(4, EntitlementClass::Nominal)));
  const auto behind = queue.Add(Request(5, EntitlementClass::Beyond), kNow);
  cr_assert(behind.outcome == AddOutcome::Rejected && !behind.replaced);
  const auto ahead = queue.Add(Request(6), kNow);
  cr_assert(ahead.outcome == AddOutcome::Queued);
  cr_assert(ahead.replaced == Id(4));
  cr_assert(queue.Size() == 4);
}

//! Guards against a removal that makes too little room for the new request.
Test(waitingqueue, ARequestThatDoesNotFitInPlaceOfTheLastOneReplacesNone)
{
  auto queue = MakeQueue(100, 100);
  for (std::uint64_t i = 1; i <= 9; ++i) {
    cr_assert(IsQueued(queue, Request(i, EntitlementClass::Beyond)));
  }
  auto large = Request(10);
  large.bytes = 25;
  const auto result = queue.Add(large, kNow);
  cr_assert(result.outcome == AddOutcome::Rejected && !result.replaced);
  large.bytes = 20;
  cr_assert(queue.Add(large, kNow).replaced.has_value());
  cr_assert(queue.Bytes() == 100);
}

//! Guards against a flooding workspace that takes the place of others.
Test(waitingqueue, AWorkspaceThatFloodsUsesAtMostAQuarterOfEachLimit)
{
  for (const auto& limits :
       { WaitingLimits{ 40, 100000 }, WaitingLimits{ 1000, 400 } }) {
    WaitingQueue queue;
    queue.Configure(limits);
    std::size_t queued = 0;
    for (std::uint64_t i = 1; i <= 500; ++i) {
      auto request = Request(i);
      request.workspace = kFlooding;
      queued += IsQueued(queue, request) ? 1 : 0;
    }
    cr_assert(queued == 10, "%zu", queued);
    cr_assert(IsQueued(queue, Request(501, EntitlementClass::Beyond)));
    queue.Remove(Id(1));
    auto next = Request(502);
    next.workspace = kFlooding;
    cr_assert(IsQueued(queue, next));
  }
}

//! Guards against byte counts that wrap around for huge requests.
Test(waitingqueue, AHugeRequestIsRejected)
{
  auto queue = MakeQueue(100);
  cr_assert(IsQueued(queue, Request(1)));
  auto huge = Request(2);
  huge.bytes = std::numeric_limits<std::size_t>::max();
  cr_assert(!IsQueued(queue, huge));
}

//! Guards against requests that wait for longer than they may, also if more
//! than aMost end at once.
Test(waitingqueue, AllRequestsWhoseTimeIsOverAreTaken)
{
  auto queue = MakeQueue(100);
  auto isOver = Request(1);
  isOver.giveUpAt = kNow;
  cr_assert(!IsQueued(queue, isOver));
  for (std::uint64_t i = 2; i <= 6; ++i) {
    cr_assert(IsQueued(queue, Request(i)));
  }
  cr_assert(queue.TakeDue(kNow + 100ms, 1).size() == 5);
  cr_assert(!queue.NextAt());
}

//! Guards against attempts in quick succession and against a timer that runs
//! while nothing waits.
Test(waitingqueue, AttemptsAreAnIntervalApart)
{
  auto queue = MakeQueue(100);
  auto soon = Request(1);
  soon.giveUpAt = kNow + 4ms;
  cr_assert(IsQueued(queue, soon));
  cr_assert(queue.NextAt() == kNow + 4ms);
  cr_assert(IsQueued(queue, Request(2)));
  cr_assert(!IsQueued(queue, Request(2)));
  cr_assert((queue.TakeDue(kNow + 4ms, 9) == std::vector{ Id(1) }));
  cr_assert(queue.NextAt() == kNow + kWaitingInterval);
  cr_assert(
    (queue.TakeDue(kNow + kWaitingInterval, 9) == std::vector{ Id(2) }));
  cr_assert(!queue.NextAt());
}

//! Guards against waits that leave no time for a retry, and waits in vain.
Test(waitingqueue, ARequestGivesUpBeforeItsPredictionMissesTheTarget)
{
  cr_assert(GiveUpAt(770, 10ms, 800ms, kNow) == kNow + 20ms);
  cr_assert(GiveUpAt(100, 10ms, 800ms, kNow) == kNow + 90ms);
  cr_assert(!GiveUpAt(100, 100ms, 800ms, kNow));
  cr_assert(!GiveUpAt(801, 0ms, 800ms, kNow));
  cr_assert(!GiveUpAt(std::nan(""), 0ms, 800ms, kNow));
}
