#include "soak/chaosproxy.h"

#include "eventloop/eventloop.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <vector>

namespace hemlockgauge::soak {

namespace {

constexpr std::size_t kReadBytes = 16384;

}

//! One proxied connection: the caller's socket and the target's.
class ProxyPair
{
public:
  //! One of the two sockets, and the bytes read from it.
  class End : public eventloop::IIoHandler
  {
  public:
    End(ProxyPair& aPair, bool aIsTarget)
      : pair(aPair)
      , isTarget(aIsTarget)
    {
    }
    void OnIo(std::uint32_t) override { pair.Read(*this); }

    ProxyPair& pair;
    bool isTarget;
    ACE_SOCK_Stream stream;
    bool atEnd = false;
    bool paused = false;
    //! Bytes read from this socket, with the time to write them to the other.
    std::deque<std::pair<base::TimePoint, std::string>> pending;
  };

  ProxyPair(ChaosProxy& aProxy, const ACE_SOCK_Stream& aCaller)
    : m_proxy(aProxy)
  {
    m_caller.stream = aCaller;
    const ACE_INET_Addr address(aProxy.m_target.port,
                                aProxy.m_target.ip.c_str());
    ACE_SOCK_Connector connector;
    const ACE_Time_Value connectTimeout(0, 200000);
    m_open = connector.connect(m_target.stream, address, &connectTimeout) == 0;
    if (!m_open) {
      m_caller.stream.close();
      return;
    }
    m_target.stream.enable(ACE_NONBLOCK);
    m_proxy.m_loop.Add(m_caller.stream.get_handle(), m_caller, EPOLLIN);
    m_proxy.m_loop.Add(m_target.stream.get_handle(), m_target, EPOLLIN);
  }

  ~ProxyPair() { Close(false); }

  bool IsOpen() const { return m_open; }

  void Close(bool aReset)
  {
    if (!m_open) {
      return;
    }
    m_open = false;
    for (auto* end : { &m_caller, &m_target }) {
      if (aReset) {
        const linger resetOnClose{ 1, 0 };
        setsockopt(end->stream.get_handle(),
                   SOL_SOCKET,
                   SO_LINGER,
                   &resetOnClose,
                   sizeof(resetOnClose));
      }
      if (!end->atEnd) {
        m_proxy.m_loop.Remove(end->stream.get_handle());
      }
      end->stream.close();
    }
  }

  void Read(End& aEnd)
  {
    if (m_proxy.m_silent) {
      aEnd.paused = true; // unread bytes stay in the kernel
      m_proxy.m_loop.Modify(aEnd.stream.get_handle(), 0);
      return;
    }
    std::array<char, kReadBytes> bytes;
    const auto received = aEnd.stream.recv(bytes.data(), bytes.size());
    if (received > 0) {
      const bool isDropped = m_proxy.m_oneWay && aEnd.isTarget;
      if (!isDropped) {
        aEnd.pending.emplace_back(
          m_proxy.m_loop.Now() + m_proxy.m_delay,
          std::string(bytes.data(), static_cast<std::size_t>(received)));
      }
      Forward(m_proxy.m_loop.Now());
      return;
    }
    if (received == -1 && (errno == EWOULDBLOCK || errno == EINTR)) {
      return;
    }
    if (received == -1) {
      Close(true);
      m_proxy.Forget(*this);
      return;
    }
    aEnd.atEnd = true;
    m_proxy.m_loop.Remove(aEnd.stream.get_handle());
    Forward(m_proxy.m_loop.Now());
  }

  void Forward(base::TimePoint aNow)
  {
    if (!m_open || m_proxy.m_silent) {
      return;
    }
    for (auto* end : { &m_caller, &m_target }) {
      if (end->paused && !end->atEnd) {
        end->paused = false;
        m_proxy.m_loop.Modify(end->stream.get_handle(), EPOLLIN);
      }
    }
    ForwardFrom(m_caller, m_target, aNow);
    ForwardFrom(m_target, m_caller, aNow);
    const bool drained = m_caller.pending.empty() && m_target.pending.empty();
    if (drained && (m_caller.atEnd || m_target.atEnd)) {
      Close(false);
      m_proxy.Forget(*this);
    }
  }

private:
  static void ForwardFrom(End& aFrom, End& aTo, base::TimePoint aNow)
  {
    while (!aFrom.pending.empty() && aFrom.pending.front().first <= aNow) {
      auto& bytes = aFrom.pending.front().second;
      const auto sent = aTo.stream.send(bytes.data(), bytes.size());
      if (sent <= 0) {
        return;
      }
      bytes.erase(0, static_cast<std::size_t>(sent));
      if (bytes.empty()) {
        aFrom.pending.pop_front();
      }
    }
  }

  ChaosProxy& m_proxy;
  End m_caller{ *this, false };
  End m_target{ *this, true };
  bool m_open = false;
};

ChaosProxy::ChaosProxy(eventloop::EventLoop& aLoop,
                       const base::Address& aListen,
                       const base::Address& aTarget)
  : m_loop(aLoop)
  , m_target(aTarget)
  , m_listener(aLoop, aListen, [this](const ACE_SOCK_Stream& aStream) {
    auto pair = std::make_unique<ProxyPair>(*this, aStream);
    if (pair->IsOpen()) {
      auto* key = pair.get();
      m_pairs[key] = std::move(pair);
    }
  })
{
}

ChaosProxy::~ChaosProxy() = default;

void
ChaosProxy::Forget(ProxyPair& aPair)
{
  const auto found = m_pairs.find(&aPair);
  if (found != m_pairs.end()) {
    m_loop.DeleteLater(std::move(found->second));
    m_pairs.erase(found);
  }
}

void
ChaosProxy::ResetAll()
{
  for (auto& [key, pair] : m_pairs) {
    pair->Close(true);
    m_loop.DeleteLater(std::move(pair));
  }
  m_pairs.clear();
}

void
ChaosProxy::Close()
{
  m_listener.Close();
  ResetAll();
}

void
ChaosProxy::Tick(base::TimePoint aNow)
{
  std::vector<ProxyPair*> all;
  for (const auto& [key, pair] : m_pairs) {
    all.push_back(key);
  }
  for (auto* pair : all) {
    pair->Forward(aNow);
  }
}

}
