#include "gateway/streamversions.h"

#include "eventloop/eventloop.h"
#include "metrics/metrics.h"

#include <utility>

namespace hemlockgauge::gateway {

StreamVersions::StreamVersions(eventloop::EventLoop& aLoop,
                               metrics::Metrics& aMetrics,
                               const fleet::FleetMember& aSelf,
                               SendMessage aSend)
  : m_loop(aLoop)
  , m_metrics(aMetrics)
  , m_send(std::move(aSend))
  , m_directory(aSelf)
{
}

void
StreamVersions::RecordBegin(const std::string& aOrigin,
                            fleet::VersionId aVersion,
                            base::Duration aLifetime)
{
  m_directory.RecordBegin(
    fleet::StreamIdOf(aOrigin), aVersion, aLifetime, m_loop.Now());
  ScheduleFlush();
}

std::optional<fleet::StreamRecord>
StreamVersions::Find(const std::string& aOrigin) const
{
  return m_directory.Find(fleet::StreamIdOf(aOrigin), m_loop.Now());
}

void
StreamVersions::Ask(const std::string& aOrigin, IStreamVersionReader& aReader)
{
  const auto stream = fleet::StreamIdOf(aOrigin);
  m_readers.emplace(stream, &aReader);
  m_directory.Ask(stream, m_loop.Now());
  ScheduleFlush();
}

void
StreamVersions::Cancel(IStreamVersionReader& aReader)
{
  std::erase_if(m_readers, [&](const auto& aWaiting) {
    return aWaiting.second == &aReader;
  });
}

void
StreamVersions::SetMembers(const std::vector<fleet::FleetMember>& aOthers)
{
  m_directory.SetMembers(aOthers, m_loop.Now());
  ScheduleFlush();
}

void
StreamVersions::Take(const fleet::StreamMessage& aMessage,
                     const base::Address& aFrom)
{
  m_directory.Take(aMessage, aFrom, m_loop.Now());
  ScheduleFlush();
}

void
StreamVersions::Tick()
{
  m_directory.Tick(m_loop.Now());
  Flush();
}

void
StreamVersions::HandOver()
{
  m_directory.HandOver(m_loop.Now());
  Flush();
}

//! Flushes at the end of the event loop's iteration, so that records of several
//! streams share datagrams.
void
StreamVersions::ScheduleFlush()
{
  if (!std::exchange(m_flushScheduled, true)) {
    m_loop.Defer([this] { Flush(); });
  }
}

void
StreamVersions::Flush()
{
  m_flushScheduled = false;
  for (const auto& datagram : m_directory.TakeDatagrams()) {
    m_send(datagram.message, datagram.to);
  }
  DeliverResults();
}

void
StreamVersions::DeliverResults()
{
  for (const auto& result : m_directory.TakeResults()) {
    m_metrics.Observe("stream_lookup_ms",
                      static_cast<double>(result.took.count()));
    std::vector<IStreamVersionReader*> waiting;
    const auto [begin, end] = m_readers.equal_range(result.stream);
    for (auto it = begin; it != end; ++it) {
      waiting.push_back(it->second);
    }
    m_readers.erase(begin, end);
    for (auto* reader : waiting) {
      reader->OnStreamVersion(result);
    }
  }
}

}
