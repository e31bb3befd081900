#include "eventloop/eventloop.h"
#include "gateway/exchangequeue.h"

#include <criterion/criterion.h>

#include <array>
#include <functional>
#include <optional>

using namespace hemlockgauge;
using namespace hemlockgauge::gateway;
using namespace std::chrono_literals;

namespace {

class TestExchange : public IWaitingExchange
{
public:
  void OnTurn() override
  {
    turns++;
    if (onTurn) {
      onTurn();
    }
  }
  void OnWaitEnded(WaitEnd aEnd) override { end = aEnd; }

  int turns = 0;
  std::optional<WaitEnd> end;
  std::function<void()> onTurn;
};

struct QueueFixture
{
  bool Wait(TestExchange& aExchange,
            std::uint32_t aWorkspace,
            fleet::EntitlementClass aEntitlement)
  {
    fleet::WaitingRequest request;
    request.workspace = fleet::WorkspaceId(aWorkspace);
    request.entitlement = aEntitlement;
    request.giveUpAt = loop.Now() + 5000ms;
    request.bytes = 1;
    return queue.Wait(request, aExchange);
  }

  void RunFor(base::Duration aTime)
  {
    const auto until = loop.Now() + aTime;
    loop.SchedulePeriodic(2ms, [] {});
    while (loop.Now() < until) {
      loop.RunOnce();
    }
  }

  eventloop::EventLoop loop;
  ExchangeQueue queue{ loop, { 4, 100 } };
};

constexpr auto kEntitled = fleet::EntitlementClass::Entitled;
constexpr auto kBeyond = fleet::EntitlementClass::Beyond;

}

//! Guards against a replaced request whose caller gets no answer.
Test(exchangequeue, AReplacedRequestIsRefused)
{
  QueueFixture fixture;
  std::array<TestExchange, 5> exchanges;
  for (std::uint32_t i = 0; i < 4; ++i) {
    cr_assert(fixture.Wait(exchanges.at(i), i, kBeyond));
  }
  cr_assert(fixture.Wait(exchanges.at(4), 4, kEntitled));
  cr_assert(exchanges.at(3).end == WaitEnd::Replaced);
  cr_assert(fixture.queue.Size() == 4);
}

//! Guards against a call of an exchange that ended while others had their turn.
Test(exchangequeue, AnExchangeThatEndsBeforeItsTurnIsNotCalled)
{
  QueueFixture fixture;
  TestExchange first;
  TestExchange second;
  cr_assert(fixture.Wait(first, 1, kEntitled));
  cr_assert(fixture.Wait(second, 2, kBeyond));
  first.onTurn = [&] { fixture.queue.Remove(second); };
  fixture.RunFor(40ms);
  cr_assert(first.turns == 1 && second.turns == 0);
}

//! Guards against a request that is tried only once, and one that waits on
//! after a stop.
Test(exchangequeue, ARequestIsTriedUntilTheRouterStops)
{
  QueueFixture fixture;
  TestExchange exchange;
  exchange.onTurn = [&] { cr_assert(fixture.Wait(exchange, 1, kEntitled)); };
  cr_assert(fixture.Wait(exchange, 1, kEntitled));
  fixture.RunFor(60ms);
  cr_assert(exchange.turns >= 2 && exchange.turns <= 6);
  fixture.queue.Stop();
  cr_assert(exchange.end == WaitEnd::Stopped);
  cr_assert(!fixture.Wait(exchange, 1, kEntitled));
}
