#pragma once

#include "fleet/streamdirectory.h"
#include "gateway/istreamversions.h"

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

//! Connects the stream directory to the requests of this router and to the
//! other routers.
class StreamVersions : public IStreamVersions
{
public:
  using SendMessage = std::function<void(const fleet::StreamMessage& aMessage,
                                         const base::Address& aTo)>;

  StreamVersions(eventloop::EventLoop& aLoop,
                 metrics::Metrics& aMetrics,
                 const fleet::FleetMember& aSelf,
                 SendMessage aSend);

  void RecordBegin(const std::string& aOrigin,
                   fleet::VersionId aVersion,
                   base::Duration aLifetime) override;
  std::optional<fleet::StreamRecord> Find(
    const std::string& aOrigin) const override;
  void Ask(const std::string& aOrigin, IStreamVersionReader& aReader) override;
  void Cancel(IStreamVersionReader& aReader) override;

  //! Applies the other routers that are alive.
  void SetMembers(const std::vector<fleet::FleetMember>& aOthers);
  //! Applies a message of another router.
  void Take(const fleet::StreamMessage& aMessage, const base::Address& aFrom);
  void Tick();
  //! Passes all records on; for a router that is about to stop.
  void HandOver();
  bool IsAsking() const { return m_directory.IsAsking(); }
  const fleet::StreamRecords& Records() const { return m_directory.Records(); }

private:
  void ScheduleFlush();
  void Flush();
  void DeliverResults();

  eventloop::EventLoop& m_loop;
  metrics::Metrics& m_metrics;
  SendMessage m_send;
  fleet::StreamDirectory m_directory;
  std::multimap<fleet::StreamId, IStreamVersionReader*> m_readers;
  bool m_flushScheduled = false;
};

}
