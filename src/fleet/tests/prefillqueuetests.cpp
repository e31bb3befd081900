#include "fleet/prefillqueue.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;
using namespace std::chrono_literals;

//! A prompt whose prefill is half done delays the next one by only the other
//! half.
Test(prefillqueue, TokensPrefilledSoFarAreNotCounted)
{
  PrefillQueue queue;
  queue.Add(1, 40000, 0, 800, 1000ms);
  cr_assert(queue.UnreadTokens(1000ms) == 40000);
  cr_assert(queue.UnreadTokens(1400ms) == 20000);
  queue.Remove(1);
  cr_assert(queue.UnreadTokens(1400ms) == 0);
}

Test(prefillqueue, AQueuedPromptCountsInFullUntilItsPrefillStarts)
{
  PrefillQueue queue;
  queue.Add(1, 10000, 0, 200, 1000ms);
  queue.Add(2, 10000, 200, 200, 1000ms);
  cr_assert(queue.UnreadTokens(1100ms) == 15000);
  cr_assert(queue.UnreadTokens(1200ms) == 11000,
            "%.0f unread tokens",
            queue.UnreadTokens(1200ms));
  queue.Remove(1);
  cr_assert(queue.UnreadTokens(1300ms) == 5000);
}

//! An engine that has become slow must not look idle.
Test(prefillqueue, AnOverduePromptCountsInFullAgain)
{
  PrefillQueue queue;
  queue.Add(1, 10000, 0, 200, 1000ms);
  cr_assert(queue.UnreadTokens(1300ms) <= 1001);
  cr_assert(queue.UnreadTokens(1400ms) == 10000);
}

Test(prefillqueue, APromptThatNeedsNoPrefillIsNotQueued)
{
  PrefillQueue queue;
  queue.Add(1, 0, 50, 0, 1000ms);
  cr_assert(queue.UnreadTokens(1000ms) == 0);
  queue.Remove(1);
}
