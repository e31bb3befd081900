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

//! The faults that are currently injected into the store.
struct StoreFaults
{
  bool mute = false;             //!< accepts calls and never answers
  int failStatus = 0;            //!< status of every answer; 0: no failure
  std::uint64_t refuseOneIn = 0; //!< every Nth call gets 429; 0: none
  base::Duration delay{};        //!< before each answer
  std::size_t pageItems = 50;    //!< maximum items per page of a range
};

//! The entry that an upstream stores about itself.
struct StoredEntry
{
  std::string service;
  base::Address address;
  std::string zone;
  std::uint32_t slots = 8;
  std::string state = "ready";
  base::Duration coldFor{}; //!< remaining time until it is warm
  std::uint64_t born = 0;   //!< Unix time of its start, in ms; 0: not written
  std::string softwareVersion = "v1";
};

//! Test double of the platform's key-value store: one revision counter for all
//! keys, paged range reads, long-poll watches, and a history of changes that
//! can be discarded.
class StoreStandin : public http::IServerEvents
{
public:
  StoreStandin(eventloop::EventLoop& aLoop, const base::Address& aListen);
  ~StoreStandin() override;

  void Put(const std::string& aKey, const std::string& aData);
  void Remove(const std::string& aKey);
  //! Writes the configuration of the routers.
  void PutConfig(const std::string& aText);
  void PutUpstream(const std::string& aId, const StoredEntry& aEntry);
  void RemoveUpstream(const std::string& aId);
  void Evacuate(const std::string& aZone);
  void EndEvacuation(const std::string& aZone);
  //! Discards the history: watches from earlier revisions are answered with
  //! 410.
  void DiscardHistory();
  //! Saves the whole content as the backup for Restore().
  void SaveBackup();
  //! Restores the last backup and begins a new era: all later writes are lost
  //! and their revisions are assigned again.
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

  //! A call that is not answered yet: a watch without changes, or a call that
  //! is delayed by StoreFaults::delay.
  struct PendingCall
  {
    http::ServerConnection* connection = nullptr;
    std::string target;
    base::TimePoint answerAt{};
    bool isWatch = false;
  };

  void AppendChange(const std::string& aKey, const std::string& aJson);
  void Tick();
  bool HasHistorySince(std::uint64_t aRevision) const;
  bool HasChanges(const PendingCall& aCall) const;
  void Answer(http::ServerConnection& aConnection, const std::string& aTarget);
  void Send(http::ServerConnection& aConnection,
            int aStatus,
            const std::string& aBody);
  std::string RangeBody(const std::string& aTarget) const;
  std::string WatchBody(const std::string& aTarget) const;

  struct Content
  {
    std::uint64_t revision = 1;
    std::uint64_t oldestRevision = 1; //!< changes up to this one are discarded
    std::map<std::string, Item> items;
    std::deque<Change> history;
  };

  eventloop::EventLoop& m_loop;
  base::CallerLimits m_limits;
  Content m_content;
  Content m_backup;
  std::uint64_t m_era = 1;
  std::vector<PendingCall> m_pendingCalls;
  http::ConnectionSet m_connections;
  http::Listener m_listener;
};

}
