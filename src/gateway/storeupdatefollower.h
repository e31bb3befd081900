#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "fleet/storeupdate.h"
#include "framing/frameconnection.h"
#include "gateway/istoreupdatesource.h"

#include <functional>
#include <memory>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::gateway {

//! Follows the store's content as another router serves it.
class StoreUpdateFollower
  : public IStoreUpdateSource
  , public framing::IFrameEvents
{
public:
  //! Called when the router has answered, with the time since the store
  //! confirmed the content.
  using OnAnswer = std::function<void(base::Duration aProofAge)>;
  //! Returns the state that this router already has, for the next request.
  using KnownState = std::function<fleet::StoreUpdateRequest()>;
  //! Called when the router is reachable but has no confirmed content yet.
  using OnPending = std::function<void()>;

  StoreUpdateFollower(eventloop::EventLoop& aLoop,
                      const base::Address& aRouter,
                      IStoreUpdateEvents& aEvents,
                      KnownState aKnownState,
                      OnAnswer aOnAnswer,
                      OnPending aOnPending);
  ~StoreUpdateFollower() override;

  void Tick(base::TimePoint aNow) override;
  base::TimePoint NextTickAt() const override;
  bool IsReceivingAnswer() const override;

  void OnFrame(framing::FrameConnection& aConnection,
               const std::vector<std::uint8_t>& aFrame) override;
  void OnLost(framing::FrameConnection& aConnection) override;

private:
  void Connect();
  void SendRequest();
  void HandleUpdate(const fleet::StoreUpdate& aUpdate);

  eventloop::EventLoop& m_loop;
  base::Address m_router;
  IStoreUpdateEvents& m_events;
  KnownState m_knownState;
  OnAnswer m_onAnswer;
  OnPending m_onPending;
  std::unique_ptr<framing::FrameConnection> m_connection;
  std::uint64_t m_sourceIncarnation = 0;
  std::uint64_t m_sequence = 0;
  base::TimePoint m_requestedAt{};
  base::TimePoint m_nextConnectAt{};
};

}
