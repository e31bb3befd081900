#pragma once

#include "base/bufferbudget.h"
#include "base/logratelimiter.h"
#include "fleet/fleet.h"
#include "gateway/eventstreamfilter.h"
#include "gateway/gatewaytypes.h"
#include "gateway/iendchecks.h"
#include "gateway/iexchangequeue.h"
#include "gateway/istreamversions.h"
#include "http/clientconnection.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}
namespace hemlockgauge::http {
class ServerConnection;
}
namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::gateway {

class Exchange;
class ICallerCodec;
class IUpstreamCodec;
class UpstreamPool;

//! Retry-After of a request that this router can't serve at the moment but that
//! another router may be able to serve.
inline constexpr base::Duration kRetryElsewhereDelay{ 100 };
//! Retry-After of a request for which there is no room: other requests are sent
//! on and freed within a call's time.
inline constexpr base::Duration kNoRoomRetryAfter{ 300 };

//! Objects that every exchange uses. They outlive it.
struct ExchangeDependencies
{
  eventloop::EventLoop& loop;
  fleet::Fleet& fleet;
  const ICallerCodec& callers;
  const IUpstreamCodec& upstreams;
  UpstreamPool& pool;
  metrics::Metrics& metrics;
  base::LogRateLimiter& logBudget;
  IStreamVersions& streams;
  IExchangeQueue& queue;
  base::BufferBudget& buffers;
  IEndChecks& endChecks;
};

//! The owner of the exchanges.
class IExchangeOwner
{
public:
  virtual ~IExchangeOwner() = default;

  //! The exchange has ended. It may be deleted after the event loop's current
  //! round.
  virtual void OnFinished(Exchange& aExchange) = 0;
  //! Whether the router is stopping and no longer accepts requests.
  virtual bool IsClosing() const = 0;
};

//! One request, from its complete head and body to the last byte of the
//! response: checks the router's state, the route and the API key, chooses an
//! upstream, sends the request, forwards the response, and retries or reports a
//! failure.
class Exchange
  : public http::IClientEvents
  , public IStreamVersionReader
  , public IWaitingExchange
  , public IEndCheckReader
{
public:
  Exchange(const ExchangeDependencies& aDependencies,
           IExchangeOwner& aOwner,
           http::ServerConnection& aCaller);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  //! Runs the filters and, if the request passes them, chooses an upstream.
  void Start(http::RequestHead&& aHead, std::string&& aBody);
  //! The caller closed its connection.
  void OnCallerGone();
  //! The caller has read all bytes sent so far: resumes reading from the
  //! upstream.
  void OnCallerDrained();
  //! Enforces the request's deadline and the connect timeout.
  void Tick(base::TimePoint aNow);
  //! Time at which Tick has something to do; it may be called earlier.
  base::TimePoint NextTickAt() const;
  //! Whether an upstream has been chosen at least once.
  bool WasPlaced() const { return !m_triedUpstreams.empty(); }

  HeadAction OnAnswerHead(http::ClientConnection& aConnection,
                          http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection& aConnection,
                    std::string_view aBytes) override;
  void OnAnswerEnd(http::ClientConnection& aConnection,
                   bool aReusable) override;
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection&) override {}

  void OnStreamVersion(const fleet::StreamLookupResult& aResult) override;

  void OnEndChecked(quarantine::CheckResult aResult) override;

  void OnTurn() override;
  void OnWaitEnded(WaitEnd aEnd) override;

private:
  //! A request that waits for room at an engine.
  struct WaitState
  {
    base::TimePoint beganAt{};
    fleet::PlaceResult refusal; //!< the latest one
  };

  // Filters. Each returns false if it has sent a response.
  bool Decode(http::RequestHead&& aHead, std::string&& aBody);
  bool FindRoute();
  bool CheckApiKey();
  bool CheckRouterState();
  bool ApplyRoute();
  bool CheckLastEventId();

  //! Whether the caller already has events of the stream that it asks for.
  bool ResumesStream() const;
  //! Id of the request that began the stream.
  const std::string& StreamOrigin() const;
  void FindStreamVersion();
  //! Resumes the stream at the version in aLookup, or at the only one that has
  //! served, or refuses the request.
  void ResumeWith(StreamSource aSource,
                  const fleet::StreamLookupResult& aLookup);
  void LogStreamVersion(fleet::VersionId aVersion,
                        StreamSource aSource,
                        const fleet::StreamLookupResult& aLookup);
  //! Whether events of the current attempt fit those that the caller has.
  bool MatchesStreamVersion() const;
  void RecordStreamVersion();
  void PlaceInitial();
  void Place(const fleet::PlaceRequest& aRequest);
  bool WaitForRoom(const fleet::PlaceResult& aPlace);
  void LogBadRequest(const char* aWhy) const;
  bool CheckRoom();
  bool HasRoomToSend() const;
  void RefuseForRoom();
  void EndWait(WaitEnd aEnd);
  base::Duration WaitedInQueue() const;
  bool UpdateRoute();
  bool PlaceRetry(const fleet::FailedAttempt& aFailed);
  fleet::PlaceRequest MakePlaceRequest() const;
  void CountNoUpstream(const fleet::PlaceResult& aPlace);
  void SendInitial(const fleet::PlaceResult& aPlace);
  void Send(const fleet::PlaceResult& aPlace);
  void LogPlacement(const char* aEvent, const fleet::PlaceResult& aPlace);

  void RecordSignals(const UpstreamResponse& aResponse);
  void RecordLoad(const UpstreamResponse& aResponse);
  //! Whether a successful response must be a stream of events.
  bool ExpectsStream() const;
  //! Whether the response is one.
  bool IsStream() const;
  //! Id of the last event that the caller has, from this or an earlier request.
  std::optional<std::string> LastEventId() const;
  void RelayStreamBytes(std::string_view aBytes);
  void PassOnEvents(std::string_view aEvents);
  void LogSpoiledStream();
  void BreakAttempt(const std::string& aWhy);
  void SendHead();
  void WriteToCaller(std::string_view aBytes);
  void HandleCompleteResponse();
  void ScheduleRefusal();
  void HandleRefusal();
  void FinishResponse(const std::string& aWhy);
  void EndAttempt(fleet::AttemptOutcome aEnd);
  void AttemptFailed(base::Verdict aVerdict, const std::string& aWhy);
  base::Duration NotRunRetryAfter() const;
  void SendLocalReply(Refusal aRefusal,
                      base::Verdict aVerdict,
                      base::Duration aRetryAfter = {});
  void AbortCaller(const std::string& aWhy);
  void Finish(const char* aOutcome, int aStatus, const std::string& aWhy);
  void CountTraffic();
  void LogEnd(const char* aOutcome,
              int aStatus,
              const std::string& aWhy,
              base::TimePoint aFirstByteAt);
  void DiscardUpstream();
  std::size_t ResponseBytes() const;
  std::string TakeEncodedHead();
  bool IsConnecting() const;
  base::Duration TimeLeft(base::TimePoint aNow) const;
  base::Duration TimeSinceArrival() const;

  ExchangeDependencies m_dependencies;
  IExchangeOwner& m_owner;
  http::ServerConnection* m_caller;
  http::ClientConnection* m_upstream = nullptr;
  base::TimePoint m_arrivedAt;
  base::TimePoint m_deadlineAt{};
  base::TimePoint m_sentAt{};
  base::TimePoint m_firstByteAt{};

  CallerRequest m_request;
  fleet::ConfigPtr m_config; //!< keeps m_route alive
  const fleet::Route* m_route = nullptr;
  std::string m_service;
  std::string m_workspace;

  fleet::RequestFingerprint m_fingerprint{};

  std::unique_ptr<WaitState> m_wait; //!< null if it does not wait
  base::Duration m_waitedInQueue{};  //!< in a wait that has ended

  fleet::AttemptId m_attempt = 0; //!< the running attempt; 0 if none
  std::string m_upstreamId;
  base::Address m_upstreamAddress;
  std::string m_upstreamVersion; //!< of its software; empty if unknown
  std::vector<base::UpstreamId> m_triedUpstreams;
  std::uint32_t m_attemptsMayHaveRun = 0; //!< failed attempts
  std::uint32_t m_attemptsNotRun = 0;     //!< failed attempts
  bool m_isSameZone = false;   //!< whether the upstream is in the router's zone
  std::size_t m_bytesSent = 0; //!< to the current upstream
  std::size_t m_bytesReceived = 0; //!< body bytes from the current upstream
  bool m_mayHaveReachedUpstream =
    false; //!< an upstream may have received the request

  //! Version that generated the events that the caller has; empty while it has
  //! none.
  std::optional<fleet::VersionId> m_streamVersion;
  UpstreamResponse m_response;
  http::Framing m_framing = http::Framing::None; //!< of the response
  EventStreamFilter m_streamFilter;
  std::string
    m_bufferedBody; //!< of a response that is buffered until it is complete
  //! Memory that the request took when it was read; the budget had room for
  //! it.
  std::size_t m_requestBytesRead = 0;
  base::BufferShare m_requestShare;
  base::BufferShare m_responseShare;
  bool m_endedByClose = false; //!< nothing but a close ended the response
  //! The response has ended; a check shows whether it is complete.
  bool m_awaitsEndCheck = false;
  //! The connection has carried an earlier request.
  bool m_isConnectionReused = false;
  bool m_isBuffering = true; //!< the response's body is still being buffered
  //! The caller has events of the current attempt.
  bool m_hasPassedEvents = false;
  bool m_headSent = false; //!< the caller has the head of the response
  //! An error response of the upstream is kept, to be sent if no retry is
  //! possible.
  bool m_hasErrorResponse = false;
  bool m_finished = false;
  bool m_isLogged = true; //!< this request is within the log budget
};

}
