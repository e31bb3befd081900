#include "gateway/peerlink.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "fleet/fleetconstants.h"
#include "metrics/metrics.h"

#include <ace/INET_Addr.h>

#include <sys/epoll.h>

namespace hemlockgauge::gateway {

namespace {

constexpr std::size_t kMostDatagram = 65536;
constexpr int kDatagramsPerRound = 64;
constexpr base::Duration kHeardLately = 2 * fleet::kTellingKept;
//! More members than this are not taken from what others tell: a bound on
//! what rubbish can do.
constexpr std::size_t kMostMembers = 1024;

}

PeerLink::PeerLink(eventloop::EventLoop& aLoop,
                   const base::Address& aListen,
                   const std::vector<base::Address>& aSeeds,
                   metrics::Metrics& aMetrics,
                   OnTelling aOnTelling)
  : m_loop(aLoop)
  , m_self(aListen)
  , m_seeds(aSeeds)
  , m_metrics(aMetrics)
  , m_onTelling(std::move(aOnTelling))
  , m_buffer(kMostDatagram)
{
  const ACE_INET_Addr local(aListen.port, aListen.ip.c_str());
  if (m_socket.open(local, PF_INET) == -1) {
    throw base::Error(base::ErrorCode::Unreachable,
                      aListen.Text() + ": can't be bound");
  }
  m_socket.enable(ACE_NONBLOCK);
  m_loop.Add(m_socket.get_handle(), *this, EPOLLIN);
}

PeerLink::~PeerLink()
{
  m_loop.Remove(m_socket.get_handle());
  m_socket.close();
}

void
PeerLink::Tell(fleet::Telling aTelling)
{
  const auto now = m_loop.Now();
  std::erase_if(m_members, [&](const auto& aEntry) {
    const bool old = now - aEntry.second.knownAt > fleet::kMemberKept;
    if (old) {
      base::LogLine("router-lost").Add("address", aEntry.first).Info();
    }
    return old;
  });
  std::map<std::string, base::Address> receivers;
  TellingDatagram datagram{ std::move(aTelling), {} };
  for (const auto& [text, member] : m_members) {
    receivers[text] = member.address;
    //! NOTE only who was heard is told of: hearsay would keep a lost router
    //! alive for ever.
    if (member.heardAt + kHeardLately > now) {
      datagram.members.push_back(member.address);
    }
  }
  for (const auto& seed : m_seeds) {
    receivers[seed.Text()] = seed;
  }
  const auto bytes = EncodeTelling(datagram);
  for (const auto& [text, address] : receivers) {
    if (address == m_self) {
      continue;
    }
    const ACE_INET_Addr to(address.port, address.ip.c_str());
    const auto sent = m_socket.send(bytes.data(), bytes.size(), to);
    m_metrics.Count(sent == -1 ? "tellings_unsent_total"
                               : "tellings_sent_total");
  }
}

void
PeerLink::OnIo(std::uint32_t)
{
  for (int i = 0; i < kDatagramsPerRound; ++i) {
    ACE_INET_Addr from;
    const auto got = m_socket.recv(m_buffer.data(), m_buffer.size(), from);
    if (got <= 0) {
      return;
    }
    const char* ip = from.get_host_addr();
    Take(m_buffer.data(),
         static_cast<std::size_t>(got),
         { ip == nullptr ? "" : ip, from.get_port_number() });
  }
}

void
PeerLink::Take(const std::uint8_t* aBytes,
               std::size_t aSize,
               const base::Address& aFrom)
{
  try {
    const auto datagram = DecodeTelling(aBytes, aSize);
    Learn(aFrom);
    if (const auto found = m_members.find(aFrom.Text());
        found != m_members.end()) {
      found->second.knownAt = m_loop.Now();
      found->second.heardAt = m_loop.Now();
    }
    for (const auto& member : datagram.members) {
      Learn(member);
    }
    m_onTelling(datagram.telling);
  } catch (const base::Error& error) {
    m_metrics.Count("bad_datagrams_total");
    base::LogLine("bad-datagram")
      .Add("from", aFrom.Text())
      .Add("why", error.what())
      .Warn();
  }
}

void
PeerLink::Learn(const base::Address& aMember)
{
  const auto text = aMember.Text();
  if (aMember == m_self || m_members.contains(text) ||
      m_members.size() >= kMostMembers) {
    return;
  }
  m_members[text] = { aMember, m_loop.Now(), {} };
  base::LogLine("router-found").Add("address", text).Info();
}

}
