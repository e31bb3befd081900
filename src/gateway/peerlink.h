#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "eventloop/iiohandler.h"
#include "gateway/tellingcodec.h"

#include <ace/SOCK_Dgram.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}
namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::gateway {

//! Exchanges tellings with the other routers, one datagram each. Members
//! are found through the seeds and through what members tell of others.
class PeerLink : public eventloop::IIoHandler
{
public:
  using OnTelling = std::function<void(const fleet::Telling& aTelling)>;

  //! Throws Error(Unreachable) if the address can't be bound.
  PeerLink(eventloop::EventLoop& aLoop,
           const base::Address& aListen,
           const std::vector<base::Address>& aSeeds,
           metrics::Metrics& aMetrics,
           OnTelling aOnTelling);
  ~PeerLink() override;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  void Tell(fleet::Telling aTelling);
  std::size_t Members() const { return m_members.size(); }

  void OnIo(std::uint32_t aEvents) override;

private:
  void Take(const std::uint8_t* aBytes,
            std::size_t aSize,
            const base::Address& aFrom);
  void Learn(const base::Address& aMember);

  eventloop::EventLoop& m_loop;
  base::Address m_self;
  std::vector<base::Address> m_seeds;
  metrics::Metrics& m_metrics;
  OnTelling m_onTelling;
  ACE_SOCK_Dgram m_socket;
  struct Member
  {
    base::Address address;
    base::TimePoint knownAt{}; //!< heard, or first heard of from another
    base::TimePoint heardAt{}; //!< heard itself; 0: never
  };

  std::map<std::string, Member> m_members;
  std::vector<std::uint8_t> m_buffer;
};

}
