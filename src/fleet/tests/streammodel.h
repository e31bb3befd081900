#pragma once

#include "fleet/streamdirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace hemlockgauge::fleet {

struct StreamModelSettings
{
  std::size_t routers = 600;
  std::size_t zones = 7;
  std::size_t copies = kStreamCopies;
  double streamsPerSecond = 3; //!< that begin at each router
  Duration lifetime{ 15000 };  //!< how long a stream may be resumed
  double lossRatio = 0;        //!< of datagrams
};

//! What came of streams that were resumed at another router.
struct StreamModelCounts
{
  std::size_t resumed = 0;
  std::size_t known = 0;        //!< with the version that began them
  std::size_t wrongVersion = 0; //!< with another version
  Duration longestLookup{};

  double KnownShare() const
  {
    return resumed == 0 ? 0 : static_cast<double>(known) / resumed;
  }
};

//! Many routers' stream directories in virtual time. Datagrams take a few
//! milliseconds; a router that is lost stays a member for kMemberAliveTimeout
//! at the others, and one that returns is known to all after a second.
class StreamModel
{
public:
  StreamModel(const StreamModelSettings& aSettings, std::uint64_t aSeed);

  //! Lets streams begin for a time.
  void Run(Duration aLength);
  //! Kills a router; it returns empty after aDownFor.
  void Kill(std::size_t aRouter, Duration aDownFor);
  //! Stops a router gracefully; it returns empty after aDownFor.
  void Stop(std::size_t aRouter, Duration aDownFor);
  //! Kills a random part of the routers at once.
  void KillPart(double aRatio, Duration aDownFor);
  //! Drops all datagrams between a zone and the others.
  void SetCut(std::size_t aZone, bool aIsCut);
  //! Resumes, at random routers that run, the streams of the last aAge that
  //! began at routers which aBegan selects. Waits for the lookups.
  template<typename Select>
  StreamModelCounts Resume(Duration aAge, Select aBegan)
  {
    std::vector<Stream> chosen;
    for (const auto& stream : m_streams) {
      if (stream.beganAt >= m_now - aAge && aBegan(stream.router)) {
        chosen.push_back(stream);
      }
    }
    return ResumeAll(chosen);
  }

  bool IsRunning(std::size_t aRouter) const
  {
    return m_routers[aRouter].directory != nullptr;
  }
  //! Routers that were killed or stopped in the last KillPart or Kill.
  const std::set<std::size_t>& Lost() const { return m_lost; }
  void ForgetLost() { m_lost.clear(); }
  std::size_t ZoneOf(std::size_t aRouter) const
  {
    return aRouter % m_settings.zones;
  }
  std::size_t MaxRecords() const { return m_maxRecords; }
  //! Bytes that a router sends each second, with headers, in the mean.
  double BytesPerSecond() const;

private:
  struct Router
  {
    FleetMember member;
    std::unique_ptr<StreamDirectory> directory; //!< null while it is down
    TimePoint backAt{};
    //! When the others leave it out of their members; max: never.
    TimePoint leftOutAt = TimePoint::max();
    //! When the others have it among their members again.
    TimePoint knownAt{};
  };

  struct Stream
  {
    StreamId id{};
    VersionId version{};
    std::size_t router = 0;
    TimePoint beganAt{};
  };

  struct InFlight
  {
    std::size_t from = 0;
    StreamDatagram datagram;
  };

  void Step();
  void Start(std::size_t aRouter);
  void TakeDown(std::size_t aRouter, Duration aDownFor);
  void UpdateMembers();
  void BeginStreams();
  void Collect(std::size_t aRouter);
  void Deliver();
  bool IsCutBetween(std::size_t aFrom, std::size_t aTo) const;
  StreamModelCounts ResumeAll(const std::vector<Stream>& aStreams);
  std::size_t RandomRunning();

  StreamModelSettings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now{ 100000 };
  TimePoint m_begunAt;
  std::vector<Router> m_routers;
  std::map<std::string, std::size_t> m_routerOf;
  std::vector<Stream> m_streams;
  std::multimap<TimePoint, InFlight> m_network;
  std::set<std::size_t> m_cutZones;
  std::set<std::size_t> m_lost;
  std::set<std::size_t> m_members;
  std::size_t m_maxRecords = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_nextStream = 1;
};

}
