#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "http/connectionset.h"
#include "http/listener.h"
#include "http/serverconnection.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::standins {

//! How the store misbehaves at the moment.
struct StoreFaults
{
  bool mute = false;             //!< takes calls and never answers
  int failStatus = 0;            //!< answers every call with this, if not 0
  std::uint64_t refuseOneIn = 0; //!< so many calls with 429; 0: none
  base::Duration delay{};        //!< before each answer
  std::size_t pageItems = 50;    //!< items in one page of a listing
};

//! What an upstream writes about itself.
struct StoredEntry
{
  std::string service;
  base::Address address;
  std::string zone;
  std::uint32_t slots = 8;
  std::string state = "ready";
  base::Duration coldFor{};
};

//! Stands in for the platform's store: keys, one revision counter, ranges
//! in pages, watches that wait, a history that can be forgotten.
class StoreStandin : public http::IServerEvents
{
public:
  StoreStandin(eventloop::EventLoop& aLoop, const base::Address& aListen);
  ~StoreStandin() override;

  void Put(const std::string& aKey, const std::string& aData);
  void Remove(const std::string& aKey);
  //! The configuration, and the entry of an upstream.
  void PutConfig(const std::string& aText);
  void PutUpstream(const std::string& aId, const StoredEntry& aEntry);
  void RemoveUpstream(const std::string& aId);
  void Evacuate(const std::string& aZone);
  void EndEvacuation(const std::string& aZone);
  //! Watches from before now get 410.
  void ForgetHistory();
  //! All that it holds is kept as a copy.
  void TakeCopy();
  //! It comes back from the last copy, in a new era: what was written since is
  //! gone, its revisions are given out again.
  void Restore();

  void OnRequest(http::ServerConnection& aConnection,
                 http::RequestHead&& aHead,
                 std::string&& aBody) override;
  void OnBadRequest(http::ServerConnection& aConnection,
                    http::Fault aFault) override;
  void OnPeerGone(http::ServerConnection& aConnection) override;
  void OnDrained(http::ServerConnection&) override {}
  void OnClosed(http::ServerConnection& aConnection) override;

  StoreFaults faults;
  std::uint64_t calls = 0;

private:
  struct Item
  {
    std::string data;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };

  struct Change
  {
    std::string key;
    std::uint64_t revision = 0;
    std::string json;
  };

  //! A call that waits: for a change, or for the delay of the faults.
  struct Waiting
  {
    http::ServerConnection* connection = nullptr;
    std::string target;
    base::TimePoint dueAt{};
    bool isWatch = false;
  };

  void Record(const std::string& aKey, const std::string& aJson);
  void Tick();
  bool KnowsSince(std::uint64_t aRevision) const;
  bool HasNews(const Waiting& aWaiting) const;
  void Answer(http::ServerConnection& aConnection, const std::string& aTarget);
  void Send(http::ServerConnection& aConnection,
            int aStatus,
            const std::string& aBody);
  std::string RangeBody(const std::string& aTarget) const;
  std::string WatchBody(const std::string& aTarget) const;

  struct Content
  {
    std::uint64_t revision = 1;
    std::uint64_t oldest = 1; //!< history before this is forgotten
    std::map<std::string, Item> items;
    std::deque<Change> history;
  };

  eventloop::EventLoop& m_loop;
  base::CallerLimits m_limits;
  Content m_content;
  Content m_copy;
  std::uint64_t m_era = 1;
  std::vector<Waiting> m_waiting;
  http::ConnectionSet m_connections;
  http::Listener m_listener;
};

}
