#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "http/clientconnection.h"
#include "metrics/latencyhistogram.h"
#include "soak/guarantees.h"
#include "soak/signalchecker.h"
#include "soak/spoilchecker.h"

#include <array>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::soak {

//! Outcome of a call.
enum class CallOutcome : std::uint8_t
{
  Served,
  Refused, //!< reported as not run
  Failed
};
inline constexpr std::size_t kCallOutcomes = 3;

//! Requests for streams, and those of them that brought an event.
struct StreamCounts
{
  std::uint64_t requests = 0;
  std::uint64_t started = 0;

  void Add(bool aHasStarted)
  {
    requests++;
    started += aHasStarted ? 1 : 0;
  }
  double StartedShare() const
  {
    return requests == 0 ? 0.0 : static_cast<double>(started) / requests;
  }
};

//! Id of the first part of the prompts of some ordinary streams and of all
//! requests with a crashing part.
inline constexpr std::uint64_t kSharedPart = 1;

//! State and counters shared by all callers of a run.
struct CallerShared
{
  eventloop::EventLoop& loop;
  GuaranteeChecker& guarantees;
  SignalChecker& signals;
  SpoilChecker& spoils;
  std::vector<base::Address> routers{};
  std::string key{};
  std::string revokedKey{};    //!< the revoked previous key; empty if none
  bool resumesStreams = false; //!< callers resume streams that break
  bool readsSlowly = false;    //!< some callers begin to read late
  bool sendsLargeBodies = false;
  StreamCounts newStreams{}; //!< that may be resumed
  StreamCounts resumedStreams{};
  StreamCounts sharingStreams{}; //!< new ones with kSharedPart
  StreamCounts otherStreams{};   //!< new ones without it
  std::array<std::uint64_t, kCallOutcomes> outcomes{};
  //! Number of calls by second since the start and by outcome.
  std::vector<std::array<std::uint32_t, kCallOutcomes>> bySecond{};
  metrics::LatencyHistogram firstByteMs{};
  base::TimePoint startedAt{};
};

//! A caller that sends one request after another on a keep-alive connection
//! and checks every response byte by byte.
class SoakCaller : public http::IClientEvents
{
public:
  SoakCaller(CallerShared& aShared, std::uint32_t aIndex, std::uint64_t aSeed);
  ~SoakCaller() override;

  void Tick(base::TimePoint aNow);
  //! Starts no further requests.
  void Stop() { m_stopped = true; }
  bool IsIdle() const { return !m_busy; }

  HeadAction OnAnswerHead(http::ClientConnection& aConnection,
                          http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection& aConnection,
                    std::string_view aBytes) override;
  void OnAnswerEnd(http::ClientConnection& aConnection,
                   bool aReusable) override;
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection& aConnection) override;

private:
  void StartCall(base::TimePoint aNow);
  void SendCall();
  //! Sends a request that goes on with a broken stream at another router.
  //! Returns false if the stream can't be resumed.
  bool ResumeStream();
  void CountStreamRequest();
  void HandleBrokenAnswer();
  void EndCall(CallOutcome aEnd);
  void CheckSuccess();
  void CheckStreamPrefix();
  //! Each complete event of a stream must be one of its run.
  void CheckEvents(std::string_view aEvents);
  std::string ExpectedBody() const;
  void DropConnection();

  CallerShared& m_shared;
  std::uint32_t m_index;
  std::mt19937_64 m_random;
  std::unique_ptr<http::ClientConnection> m_connection;
  std::uint32_t m_router = 0; //!< index of the router it is connected to
  std::uint64_t m_count = 0;
  std::string m_id;
  int m_events = 0;          //!< events of the stream; 0 for a plain request
  std::size_t m_kind = 0;    //!< index of the path
  std::string m_key;         //!< of the stream's requests
  std::string m_origin;      //!< id of the request that began the stream
  std::string m_promptParts; //!< of the stream's requests
  std::uint64_t m_firstPart = 0; //!< of m_promptParts
  int m_eventsBefore = 0;        //!< events that earlier requests brought
  std::uint32_t m_resumes = 0;
  int m_breakAfter = 0; //!< events after which the connection is lost; 0: never
  std::set<std::string> m_versions; //!< that the stream's events name
  int m_status = 0;
  std::string m_body;
  base::TimePoint m_startedAt{};
  base::TimePoint m_nextAt{};
  base::TimePoint m_readFrom{}; //!< when a slow caller begins to read
  bool m_busy = false;
  bool m_isSound = true; //!< no request of this call got a fault so far
  bool m_stopped = false;
};

}
