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

//! TCP proxy in front of one address that injects network faults into the
//! connections through it.
class ChaosProxy
{
public:
  ChaosProxy(eventloop::EventLoop& aLoop,
             const base::Address& aListen,
             const base::Address& aTarget);
  ~ChaosProxy();

  //! Closes all current connections with a TCP reset.
  void ResetAll();
  //! Resets all connections and stops listening, as after a crash of the
  //! target.
  void Close();
  //! While on, no bytes are forwarded on any connection, existing or new.
  void SetSilent(bool aOn) { m_silent = aOn; }
  //! While on, bytes sent by the target are dropped.
  void SetOneWay(bool aOn) { m_oneWay = aOn; }
  //! Whether bytes sent by the target are forwarded.
  bool ForwardsAnswers() const { return !m_silent && !m_oneWay; }
  //! Delays bytes that are read from now on, in both directions.
  void SetDelay(base::Duration aDelay) { m_delay = aDelay; }
  //! Forwards the bytes whose delay has passed.
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
