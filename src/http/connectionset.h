#pragma once

#include "base/basetypes.h"
#include "http/serverconnection.h"

#include <ace/SOCK_Stream.h>

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::http {

//! Owns the connections of a server. A closed connection is deleted only
//! after the current loop iteration, because one of its methods may still be
//! on the call stack.
class ConnectionSet
{
public:
  ConnectionSet(eventloop::EventLoop& aLoop,
                const base::CallerLimits& aLimits,
                IServerEvents& aEvents,
                base::BufferBudget* aBudget = nullptr);
  ~ConnectionSet();
  ConnectionSet(const ConnectionSet&) = delete;
  ConnectionSet& operator=(const ConnectionSet&) = delete;

  //! Takes over an accepted connection. aReadNow: calls
  //! ServerConnection::StartReading instead of Start.
  void Add(const ACE_SOCK_Stream& aStream, bool aReadNow = false);
  //! Removes a closed connection. Must be called from
  //! IServerEvents::OnClosed.
  void Forget(ServerConnection& aConnection);
  //! Enforces the timeouts of all connections.
  void EnforceTimeouts(base::TimePoint aNow);
  void CloseIdle();
  //! Closes all connections, aborting requests in progress.
  void AbortAll();
  //! Closes up to aMaxCount dispensable connections, those first whose peers
  //! have been silent for longest. Returns how many it closed. aPatience: see
  //! ServerConnection::IsDispensable.
  std::size_t MakeRoom(std::size_t aMaxCount, base::Duration aPatience);
  std::size_t Size() const { return m_connections.size(); }

private:
  std::vector<ServerConnection*> All() const;

  eventloop::EventLoop& m_loop;
  const base::CallerLimits& m_limits;
  IServerEvents& m_events;
  base::BufferBudget* m_budget;
  std::map<ServerConnection*, std::unique_ptr<ServerConnection>> m_connections;
};

}
