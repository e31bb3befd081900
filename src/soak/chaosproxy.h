#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "eventloop/iiohandler.h"
#include "http/listener.h"

#include <ace/SOCK_Stream.h>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::soak {

class ProxyPair;

//! Passes bytes between those who connect to it and one address, and does
//! harm to the connections that pass it.
class ChaosProxy
{
public:
  ChaosProxy(eventloop::EventLoop& aLoop,
             const base::Address& aListen,
             const base::Address& aTarget);
  ~ChaosProxy();

  //! All connections of now end with a reset.
  void ResetAll();
  //! Nothing listens here any more, as after a crash of the target.
  void Close();
  //! While on, nothing passes on any connection, old or new.
  void SetSilent(bool aOn) { m_silent = aOn; }
  //! While on, what the target sends is lost.
  void SetOneWay(bool aOn) { m_oneWay = aOn; }
  void SetDelay(base::Duration aDelay) { m_delay = aDelay; }
  //! Passes on what is due.
  void Tick(base::TimePoint aNow);

private:
  friend class ProxyPair;

  void Forget(ProxyPair& aPair);

  eventloop::EventLoop& m_loop;
  base::Address m_target;
  bool m_silent = false;
  bool m_oneWay = false;
  base::Duration m_delay{};
  std::map<ProxyPair*, std::unique_ptr<ProxyPair>> m_pairs;
  http::Listener m_listener;
};

}
