#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "gateway/istoredialect.h"
#include "http/clientconnection.h"

#include <cstdint>
#include <memory>
#include <string>

namespace hemlockgauge::eventloop {
class EventLoop;
}
namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::gateway {

//! Told what the platform's store holds, in the order of its revisions.
class IStoreEvents
{
public:
  virtual ~IStoreEvents() = default;

  virtual void OnStoredConfig(const std::string& aBytes) = 0;
  //! Every upstream that the store lists now.
  virtual void OnListed(const std::vector<fleet::UpstreamEntry>& aEntries) = 0;
  virtual void OnUpstream(const fleet::UpstreamEntry& aEntry) = 0;
  virtual void OnRemoved(const std::string& aId) = 0;
  //! All that the store held at aAt has been told.
  virtual void OnProven(base::TimePoint aAt) = 0;
  virtual void OnStoreLost(const std::string& aWhy) = 0;
  virtual void OnStoreBack() = 0;
};

//! Keeps up with the platform's store: lists it once, then watches for
//! changes with one call at a time, and lists again when its place in the
//! history is gone. Reads only.
class StoreFollower : public http::IClientEvents
{
public:
  StoreFollower(eventloop::EventLoop& aLoop,
                const base::Address& aStore,
                const IStoreDialect& aDialect,
                IStoreEvents& aEvents,
                metrics::Metrics& aMetrics);
  ~StoreFollower() override;

  //! Begins, goes on after a pause, and ends calls that take too long; to
  //! be called many times a second.
  void Tick(base::TimePoint aNow);
  bool IsLost() const { return m_lost; }

  HeadVerdict OnAnswerHead(http::ClientConnection& aConnection,
                           http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection& aConnection,
                    std::string_view aBytes) override;
  void OnAnswerEnd(http::ClientConnection& aConnection,
                   bool aReusable) override;
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection& aConnection) override;

private:
  enum class Step : std::uint8_t
  {
    List,
    Watch
  };

  void Call();
  void TakeAnswer();
  void TakeList();
  void TakeWatch();
  void TakeItem(const StoreItem& aItem);
  void Fail(const std::string& aWhy);
  void DropConnection();

  eventloop::EventLoop& m_loop;
  base::Address m_address;
  const IStoreDialect& m_dialect;
  IStoreEvents& m_events;
  metrics::Metrics& m_metrics;
  std::unique_ptr<http::ClientConnection> m_connection;
  Step m_step = Step::List;
  bool m_calling = false;
  bool m_lost = false;
  bool m_everAnswered = false;
  int m_status = 0;
  std::string m_body;
  std::string m_listAfter;
  std::uint64_t m_listRevision = 0;
  std::vector<fleet::UpstreamEntry> m_listed;
  std::string m_listedConfig;
  std::uint64_t m_revision = 0;
  base::TimePoint m_calledAt{};
  base::TimePoint m_listBeganAt{};
  base::TimePoint m_nextCallAt{};
  base::Duration m_pause{};
};

}
