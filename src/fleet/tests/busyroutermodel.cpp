#include "busyroutermodel.h"

#include "fleet/acceptqueuelimit.h"
#include "fleet/admission.h"
#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace hemlockgauge::fleet {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1000000;
constexpr std::int64_t kMicrosPerMilli = 1000;
//! Processor time of a whole core, in microseconds.
constexpr std::int64_t kAcceptCost = 9;
constexpr std::int64_t kRefuseCost = 27;
constexpr std::int64_t kServeCost = 106;
constexpr std::size_t kMaxPerRound = 64;
//! A caller whose request was never read gives up after this many attempts.
constexpr int kMaxUnreadAttempts = 4;
//! How long a caller waits for a connection and for its request to be read.
constexpr std::int64_t kCallerTimeout = kMicrosPerSecond;
constexpr Duration kTarget = 500ms;

}

BusyRouterModel::BusyRouterModel(const FloodLoad& aLoad, std::uint32_t aSeed)
  : m_load(aLoad)
{
  ScheduleArrivals(aSeed);
}

void
BusyRouterModel::ScheduleArrivals(std::uint32_t aSeed)
{
  std::mt19937 random(aSeed);
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  const auto floodStart = m_load.floodStartsAt.count() * kMicrosPerMilli;
  const auto end = m_load.length.count() * kMicrosPerMilli;
  Micros at = 0;
  while (at < end) {
    const double rate =
      m_load.requestsPerSecond * (at < floodStart ? 0.1 : 1.0);
    const double interval = -std::log(1.0 - uniform(random)) / rate;
    at += static_cast<Micros>(interval * kMicrosPerSecond) + 1;
    Caller caller;
    caller.firstSentAt = at;
    caller.isInsideShare = uniform(random) < m_load.insideShareRatio;
    m_arrivals.emplace(at, caller);
    m_outcome.requests++;
  }
}

void
BusyRouterModel::ConnectArrivals()
{
  while (!m_arrivals.empty() && m_arrivals.begin()->first <= m_now) {
    auto caller = m_arrivals.begin()->second;
    caller.sentAt = m_arrivals.begin()->first;
    m_arrivals.erase(m_arrivals.begin());
    Connect(caller);
  }
}

void
BusyRouterModel::Connect(Caller aCaller)
{
  if (m_acceptQueue.size() < AcceptQueueLimit(m_load.processorShare)) {
    m_acceptQueue.push_back(aCaller);
    return;
  }
  RetryLater(aCaller, kCallerTimeout);
}

//! Schedules the caller's next attempt after aWait, or counts it as failed. It
//! returns to the same router, since the load balancer chooses a router by the
//! caller.
void
BusyRouterModel::RetryLater(Caller aCaller, Micros aWait)
{
  aCaller.unreadAttempts++;
  if (aCaller.unreadAttempts >= kMaxUnreadAttempts) {
    m_outcome.failed++;
    return;
  }
  m_arrivals.emplace(m_now + aWait, aCaller);
}

void
BusyRouterModel::Spend(Micros aCoreTime)
{
  m_now +=
    static_cast<Micros>(static_cast<double>(aCoreTime) / m_load.processorShare);
}

Duration
BusyRouterModel::BusyFor() const
{
  return Duration((m_now - m_idleAt) / kMicrosPerMilli);
}

bool
BusyRouterModel::HasTimedOut(const Caller& aCaller) const
{
  return m_now - aCaller.sentAt > kCallerTimeout;
}

void
BusyRouterModel::Accept()
{
  for (std::size_t i = 0; i < kMaxPerRound && !m_acceptQueue.empty(); ++i) {
    const auto caller = m_acceptQueue.front();
    m_acceptQueue.pop_front();
    Spend(kAcceptCost);
    m_unread.push_back(caller);
  }
}

void
BusyRouterModel::Read()
{
  for (std::size_t i = 0; i < kMaxPerRound && !m_unread.empty(); ++i) {
    auto caller = m_unread.front();
    m_unread.pop_front();
    if (HasTimedOut(caller)) {
      Spend(kRefuseCost);
      RetryLater(caller, 0);
      continue;
    }
    if (!ShedsWhileBusy(caller.isInsideShare, BusyFor(), kTarget)) {
      Spend(kServeCost);
      m_outcome.served++;
      const bool inTime =
        m_now - caller.firstSentAt <= kTarget.count() * kMicrosPerMilli;
      m_outcome.servedInTime += inTime ? 1 : 0;
      continue;
    }
    Spend(kRefuseCost);
    if (caller.wasRefused) {
      m_outcome.refused++;
      continue;
    }
    caller.wasRefused = true;
    m_arrivals.emplace(m_now + kMinRetryAfter.count() * kMicrosPerMilli,
                       caller);
  }
}

//! Adds the connections that are due. Returns whether there is anything to
//! accept or read.
bool
BusyRouterModel::PollWork()
{
  ConnectArrivals();
  const bool hasWork = !m_acceptQueue.empty() || !m_unread.empty();
  if (!hasWork) {
    m_idleAt = m_now;
  }
  return hasWork;
}

FloodOutcome
BusyRouterModel::Run()
{
  while (PollWork() || !m_arrivals.empty()) {
    if (m_acceptQueue.empty() && m_unread.empty()) {
      m_now = m_arrivals.begin()->first;
      m_idleAt = m_now;
      continue;
    }
    Read();
    Accept();
  }
  return m_outcome;
}

}
