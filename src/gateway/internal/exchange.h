#pragma once

#include "base/logbudget.h"
#include "fleet/fleet.h"
#include "gateway/eventstreamfilter.h"
#include "gateway/gatewaytypes.h"
#include "http/clientconnection.h"

#include <cstdint>
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
class ICallerDialect;
class IUpstreamDialect;
class UpstreamPool;

//! When a caller is told to come back whose request only met a router that
//! cannot serve right now: another one may.
inline constexpr base::Duration kComeBackSoon{ 100 };

//! What every exchange works with.
struct ExchangeParts
{
  eventloop::EventLoop& loop;
  fleet::Fleet& fleet;
  const ICallerDialect& callers;
  const IUpstreamDialect& upstreams;
  UpstreamPool& pool;
  metrics::Metrics& metrics;
  base::LogBudget& logBudget;
};

//! Told when an exchange is over; it may be deleted after this round.
class IExchangeOwner
{
public:
  virtual ~IExchangeOwner() = default;

  virtual void OnOver(Exchange& aExchange) = 0;
  //! Whether the router stops soon and takes no more requests.
  virtual bool IsClosing() const = 0;
};

//! One request, from its whole head and body to its last byte of answer:
//! filters (route, key, freshness, share), place, send, relay, settle.
class Exchange : public http::IClientEvents
{
public:
  Exchange(const ExchangeParts& aParts,
           IExchangeOwner& aOwner,
           http::ServerConnection& aCaller);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start(http::RequestHead&& aHead, std::string&& aBody);
  void OnCallerGone();
  void OnCallerDrained();
  //! Looks at the time limits.
  void Tick(base::TimePoint aNow);
  //! Whether any upstream was chosen for it.
  bool WasPlaced() const { return !m_tried.empty(); }

  HeadVerdict OnAnswerHead(http::ClientConnection& aConnection,
                           http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection& aConnection,
                    std::string_view aBytes) override;
  void OnAnswerEnd(http::ClientConnection& aConnection,
                   bool aReusable) override;
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection&) override {}

private:
  // Filters; each returns false once it has answered.
  bool Decode(http::RequestHead&& aHead, std::string&& aBody);
  bool FindRoute();
  bool CheckKey();
  bool CheckRouter();
  bool FollowRoute();

  void PlaceFirst();
  bool PlaceAgain();
  fleet::PlaceRequest MakePlaceRequest() const;
  void CountNoUpstream(const fleet::PlaceResult& aPlace);
  void SendFirst(const fleet::PlaceResult& aPlace);
  void Send(const fleet::PlaceResult& aPlace);
  void LogPlace(const char* aEvent, const fleet::PlaceResult& aPlace);

  bool IsStream() const;
  void TakeStreamBytes(std::string_view aBytes);
  void SendHead();
  void Deliver();
  void EndAnswer(const std::string& aWhy);
  void EndAttempt(fleet::AttemptEnd aEnd);
  void AttemptFailed(base::Verdict aVerdict, const std::string& aWhy);
  void AnswerOwn(Refusal aRefusal,
                 base::Verdict aVerdict,
                 base::Duration aRetryAfter = {});
  void Cut(const std::string& aWhy);
  void Finish(const char* aOutcome, int aStatus, const std::string& aWhy);
  void CountBytes();
  void LogEnd(const char* aOutcome,
              int aStatus,
              const std::string& aWhy,
              base::TimePoint aFirst);
  void DropUpstream();
  base::Duration TimeLeft(base::TimePoint aNow) const;
  base::Duration Waited() const;

  ExchangeParts m_parts;
  IExchangeOwner& m_owner;
  http::ServerConnection* m_caller;
  http::ClientConnection* m_upstream = nullptr;
  base::TimePoint m_arrivedAt;
  base::TimePoint m_mustEndAt{};
  base::TimePoint m_sentAt{};
  base::TimePoint m_firstAt{};

  CallerRequest m_request;
  fleet::ConfigPtr m_config; //!< holds m_route
  const fleet::Route* m_route = nullptr;
  std::string m_service;
  std::string m_workspace;

  fleet::RequestFingerprint m_fingerprint{};

  fleet::AttemptId m_attempt = 0;
  std::string m_upstreamId;
  std::vector<base::UpstreamId> m_tried;
  std::uint32_t m_attemptsRun = 0;
  std::uint32_t m_attemptsNotRun = 0;
  bool m_sameZone = false;     //!< as the upstream of the attempt at hand
  std::size_t m_bytesSent = 0; //!< to it
  std::size_t m_bytesGot = 0;  //!< from it, of bodies
  bool m_everSent = false;     //!< some upstream may have seen the request

  UpstreamAnswer m_answer;
  EventStreamFilter m_events;
  std::string m_body; //!< of an answer that is held until it is whole
  bool m_holding = true;
  bool m_headSent = false;
  //! The upstream's own failure is held, in case no retry is to be had.
  bool m_hasFailureAnswer = false;
  bool m_over = false;
  bool m_logged = true; //!< this request has its lines in the log
};

}
