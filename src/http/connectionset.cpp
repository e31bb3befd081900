#include "http/connectionset.h"

#include "eventloop/eventloop.h"

#include <algorithm>

namespace hemlockgauge::http {

ConnectionSet::ConnectionSet(eventloop::EventLoop& aLoop,
                             const base::CallerLimits& aLimits,
                             IServerEvents& aEvents,
                             base::BufferBudget* aBudget)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_events(aEvents)
  , m_budget(aBudget)
{
}

ConnectionSet::~ConnectionSet() = default;

void
ConnectionSet::Add(const ACE_SOCK_Stream& aStream, bool aReadNow)
{
  auto connection = std::make_unique<ServerConnection>(
    m_loop, aStream, m_limits, m_events, m_budget);
  auto* key = connection.get();
  m_connections[key] = std::move(connection);
  if (aReadNow) {
    key->StartReading();
  } else {
    key->Start();
  }
}

void
ConnectionSet::Forget(ServerConnection& aConnection)
{
  const auto found = m_connections.find(&aConnection);
  if (found == m_connections.end()) {
    return;
  }
  m_loop.DeleteLater(std::move(found->second));
  m_connections.erase(found);
}

std::vector<ServerConnection*>
ConnectionSet::All() const
{
  std::vector<ServerConnection*> all;
  all.reserve(m_connections.size());
  for (const auto& [key, connection] : m_connections) {
    all.push_back(key);
  }
  return all;
}

void
ConnectionSet::EnforceTimeouts(base::TimePoint aNow)
{
  for (auto* connection : All()) {
    connection->EnforceTimeouts(aNow);
  }
}

std::size_t
ConnectionSet::MakeRoom(std::size_t aMaxCount, base::Duration aPatience)
{
  auto found = All();
  std::erase_if(found, [&](const auto* aConnection) {
    return !aConnection->IsDispensable(aPatience);
  });
  const auto count = std::min(aMaxCount, found.size());
  const auto end = found.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(found.begin(),
                    end,
                    found.end(),
                    [](const auto* aFirst, const auto* aSecond) {
                      return aFirst->LastActive() < aSecond->LastActive();
                    });
  return static_cast<std::size_t>(
    std::count_if(found.begin(), end, [&](auto* aConnection) {
      return aConnection->CloseIfDispensable(aPatience);
    }));
}

void
ConnectionSet::AbortAll()
{
  for (auto* connection : All()) {
    connection->Abort();
  }
}

void
ConnectionSet::CloseIdle()
{
  for (auto* connection : All()) {
    connection->CloseIfIdle();
  }
}

}
