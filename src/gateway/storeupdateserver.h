#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "fleet/storechangelog.h"
#include "framing/frameconnection.h"
#include "http/listener.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::gateway {

//! Serves the store's content that this router knows to other routers, the
//! followers. A follower's request is answered as soon as there is a change or
//! a confirmation by the store that is newer by kProofPushInterval, or after
//! kNewsPollTimeout.
class StoreUpdateServer : public framing::IFrameEvents
{
public:
  //! Time since the store was last known to hold the content of the log.
  using ProofAge = std::function<base::Duration()>;
  //! Whether this router reads the store successfully or waits for the list of
  //! its own source, and will therefore soon know what followers ask for.
  using ExpectsList = std::function<bool()>;

  //! Throws Error(Unreachable) if it can't listen on the address.
  StoreUpdateServer(eventloop::EventLoop& aLoop,
                    const base::Address& aListen,
                    const fleet::StoreChangeLog& aLog,
                    ProofAge aProofAge,
                    ExpectsList aExpectsList,
                    metrics::Metrics& aMetrics);
  ~StoreUpdateServer() override;

  //! Answers the waiting requests that have become due.
  void Tick(base::TimePoint aNow);
  bool HasFollowers() const { return !m_followers.empty(); }

  void OnFrame(framing::FrameConnection& aConnection,
               const std::vector<std::uint8_t>& aFrame) override;
  void OnLost(framing::FrameConnection& aConnection) override;

private:
  struct Follower
  {
    std::unique_ptr<framing::FrameConnection> connection;
    std::optional<fleet::StoreUpdateRequest>
      request; //!< unanswered request, if any
    base::TimePoint requestedAt{};
    base::TimePoint sentProvenAt{}; //!< confirmation time that was sent last
    base::TimePoint pendingSentAt{ base::TimePoint::min() / 2 }; //!< last sent
    bool receivesFullList =
      false; //!< the full list was sent and may still be in transit
  };

  void Accept(const ACE_SOCK_Stream& aStream);
  bool IsDue(const Follower& aFollower, base::TimePoint aNow) const;
  void SendUpdate(Follower& aFollower);
  void SendFullList(Follower& aFollower);
  void Send(Follower& aFollower,
            const std::vector<std::uint8_t>& aFrame,
            const char* aCounter);
  void SendPending(Follower& aFollower, base::TimePoint aNow);
  bool MaySendFullList() const;

  eventloop::EventLoop& m_loop;
  const fleet::StoreChangeLog& m_log;
  ProofAge m_proofAge;
  ExpectsList m_expectsList;
  metrics::Metrics& m_metrics;
  //! The encoded full list, the same for all followers, and the sequence number
  //! of the log at which it was encoded.
  std::vector<std::uint8_t> m_fullList;
  std::uint64_t m_fullListSequence = 0;
  std::map<framing::FrameConnection*, Follower> m_followers;
  http::Listener m_listener;
};

}
