#include "soak/oddcallers.h"

#include "soak/soakcaller.h"
#include "standins/oddrequest.h"

#include <array>

namespace hemlockgauge::soak {

namespace {

constexpr std::size_t kMaxCallers = 600;
//! Callers that are added at a time, and how often.
constexpr std::size_t kCallersPerRound = 60;
constexpr base::Duration kRoundInterval(100);
//! Time until a caller leaves, if the router does not close its connection.
constexpr std::uint64_t kMinStayMs = 200;
constexpr std::uint64_t kStaySpreadMs = 3000;
constexpr std::array<const char*, 4> kPaths{ "/safe/odd",
                                             "/once/odd",
                                             "/stream/odd",
                                             "/none/odd" };

}

OddCallers::OddCallers(CallerShared& aShared, std::uint64_t aSeed)
  : m_shared(aShared)
  , m_random(aSeed)
{
}

OddCallers::~OddCallers() = default;

bool
OddCallers::Sent(const std::string& aRequestId)
{
  return aRequestId.starts_with(standins::kOddRequestId);
}

void
OddCallers::Tick(base::TimePoint aNow)
{
  std::erase_if(m_callers, [&](const Caller& aCaller) {
    return !aCaller.connection->IsOpen() || aNow >= aCaller.leavesAt;
  });
  if (m_isStopped || aNow < m_nextAt) {
    return;
  }
  m_nextAt = aNow + kRoundInterval;
  for (std::size_t i = 0;
       i < kCallersPerRound && m_callers.size() < kMaxCallers;
       ++i) {
    Add(aNow);
  }
}

void
OddCallers::Stop()
{
  m_isStopped = true;
  m_callers.clear();
}

void
OddCallers::Add(base::TimePoint aNow)
{
  const auto kind =
    static_cast<standins::OddRequest>(m_random() % standins::kOddRequestCount);
  standins::OddRequestSettings settings;
  settings.path = kPaths.at(m_random() % kPaths.size());
  settings.key = m_shared.key;
  const auto& routers = m_shared.routers;
  const auto& router = routers[m_random() % routers.size()];
  const auto reading = m_random() % 3 == 0 ? Reading::Off : Reading::On;
  const auto stay =
    static_cast<std::int64_t>(kMinStayMs + m_random() % kStaySpreadMs);
  m_callers.push_back({ std::make_unique<RawCaller>(
                          m_shared.loop,
                          router,
                          standins::OddRequestText(kind, settings, m_count),
                          reading),
                        aNow + base::Duration(stay) });
  m_count++;
}

}
