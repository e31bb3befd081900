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

namespace hemlockgauge::gateway {

//! Lets other routers follow what this one knows of the store. Each asks
//! for what is new, and has its answer as soon as there is something or a proof
//! that is newer by kProofStep, or after kNewsWait.
class NewsServer : public framing::IFrameEvents
{
public:
  using ProofAge = std::function<base::Duration()>;

  //! Throws Error(Unreachable) if the address can't be listened on.
  NewsServer(eventloop::EventLoop& aLoop,
             const base::Address& aListen,
             const fleet::NewsLog& aLog,
             ProofAge aProofAge);
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
  };

  void Accept(const ACE_SOCK_Stream& aStream);
  bool IsDue(const Follower& aFollower, base::TimePoint aNow) const;
  void Answer(Follower& aFollower);

  eventloop::EventLoop& m_loop;
  const fleet::NewsLog& m_log;
  ProofAge m_proofAge;
  std::map<framing::FrameConnection*, Follower> m_followers;
  http::Listener m_listener;
};

}
