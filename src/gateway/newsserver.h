#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "fleet/newslog.h"
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

//! Lets other routers follow what this one knows of the store. Each asks
//! for what is new, and has its answer as soon as there is something or a proof
//! that is newer by kProofStep, or after kNewsWait.
class NewsServer : public framing::IFrameEvents
{
public:
  using ProofAge = std::function<base::Duration()>;
  //! Whether this router reads the store with success, and so will know soon
  //! what it is asked for.
  using IsReading = std::function<bool()>;

  //! Throws Error(Unreachable) if the address can't be listened on.
  NewsServer(eventloop::EventLoop& aLoop,
             const base::Address& aListen,
             const fleet::NewsLog& aLog,
             ProofAge aProofAge,
             IsReading aIsReading,
             metrics::Metrics& aMetrics);
  ~NewsServer() override;

  //! Answers whoever waits and has news now, or has waited long enough.
  void Tick(base::TimePoint aNow);

  void OnFrame(framing::FrameConnection& aConnection,
               const std::vector<std::uint8_t>& aFrame) override;
  void OnLost(framing::FrameConnection& aConnection) override;

private:
  struct Follower
  {
    std::unique_ptr<framing::FrameConnection> connection;
    std::optional<fleet::NewsAsk> ask; //!< not answered yet
    base::TimePoint askedAt{};
    base::TimePoint provenAt{}; //!< as it was told last
    base::TimePoint pendingAt{ base::TimePoint::min() / 2 }; //!< told last
    bool getsAll = false; //!< the whole list was sent, and may be on its way
  };

  void Accept(const ACE_SOCK_Stream& aStream);
  bool IsDue(const Follower& aFollower, base::TimePoint aNow) const;
  void Answer(Follower& aFollower);
  void SendAll(Follower& aFollower);
  void Send(Follower& aFollower,
            const std::vector<std::uint8_t>& aFrame,
            const char* aCounter);
  void TellPending(Follower& aFollower, base::TimePoint aNow);
  bool HasRoomForAll() const;

  eventloop::EventLoop& m_loop;
  const fleet::NewsLog& m_log;
  ProofAge m_proofAge;
  IsReading m_isReading;
  metrics::Metrics& m_metrics;
  //! The whole list as it goes to any follower, and its place in the log.
  std::vector<std::uint8_t> m_all;
  std::uint64_t m_allSequence = 0;
  std::map<framing::FrameConnection*, Follower> m_followers;
  http::Listener m_listener;
};

}
