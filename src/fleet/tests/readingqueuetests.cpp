#include "fleet/readingqueue.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;
using namespace std::chrono_literals;

//! A prompt whose prefill is half done delays the next one by only the other
//! half.
Test(prefillqueue, TokensPrefilledSoFarAreNotCounted)
{
  ReadingQueue queue;
  queue.Sent(1, 40000, 0, 800, 1000ms);
  cr_assert(queue.Unread(1000ms) == 40000);
  cr_assert(queue.Unread(1400ms) == 20000);
  queue.Done(1);
  cr_assert(queue.Unread(1400ms) == 0);
}

Test(prefillqueue, AQueuedPromptCountsInFullUntilItsPrefillStarts)
{
  ReadingQueue queue;
  queue.Sent(1, 10000, 0, 200, 1000ms);
  queue.Sent(2, 10000, 200, 200, 1000ms);
  cr_assert(queue.Unread(1100ms) == 15000);
  cr_assert(
    queue.Unread(1200ms) == 11000, "%.0f unread tokens", queue.Unread(1200ms));
  queue.Done(1);
  cr_assert(queue.Unread(1300ms) == 5000);
}

//! An engine that has become slow must not look idle.
Test(prefillqueue, AnOverduePromptCountsInFullAgain)
{
  ReadingQueue queue;
  queue.Sent(1, 10000, 0, 200, 1000ms);
  cr_assert(queue.Unread(1300ms) <= 1001);
  cr_assert(queue.Unread(1400ms) == 10000);
}

Test(prefillqueue, APromptThatNeedsNoPrefillIsNotQueued)
{
  ReadingQueue queue;
  queue.Sent(1, 0, 50, 0, 1000ms);
  cr_assert(queue.Unread(1000ms) == 0);
  queue.Done(1);
}
