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

//! Owns the connections of a server. A connection that has closed lives
//! until the end of the loop's round, for it may be in one of its calls.
class ConnectionSet
{
public:
  ConnectionSet(eventloop::EventLoop& aLoop,
                const base::CallerLimits& aLimits,
                IServerEvents& aEvents);
  ~ConnectionSet();
  ConnectionSet(const ConnectionSet&) = delete;
  ConnectionSet& operator=(const ConnectionSet&) = delete;

  //! aReadNow: see ServerConnection::StartReading.
  void Add(const ACE_SOCK_Stream& aStream, bool aReadNow = false);
  //! To be called from IServerEvents::OnClosed.
  void Forget(ServerConnection& aConnection);
  void Sweep(base::TimePoint aNow);
  void CloseIdle();
  //! Breaks off whatever is in progress.
  void AbortAll();
  //! Closes up to aMost idle connections, the longest idle first; returns
  //! how many.
  std::size_t CloseLongestIdle(std::size_t aMost);
  std::size_t Size() const { return m_connections.size(); }

private:
  std::vector<ServerConnection*> All() const;

  eventloop::EventLoop& m_loop;
  const base::CallerLimits& m_limits;
  IServerEvents& m_events;
  std::map<ServerConnection*, std::unique_ptr<ServerConnection>> m_connections;
};

}
