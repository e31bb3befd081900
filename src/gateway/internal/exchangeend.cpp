#include "gateway/internal/exchange.h"

#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "gateway/icallercodec.h"
#include "http/serverconnection.h"
#include "metrics/metrics.h"

//! How an exchange ends: local replies, broken off responses, log and metrics.
namespace hemlockgauge::gateway {

using base::LogLine;
using base::Verdict;
using http::Framing;

void
Exchange::SendLocalReply(Refusal aRefusal,
                         Verdict aVerdict,
                         base::Duration aRetryAfter)
{
  const LocalReply reply{ aRefusal, aVerdict, aRetryAfter, m_request.id };
  const bool closesConnection =
    aRefusal == Refusal::StaleConfig || aRefusal == Refusal::NoConfig ||
    aRefusal == Refusal::Draining || aRefusal == Refusal::BadRequest;
  if (closesConnection) {
    m_caller->CloseAfterAnswer();
  }
  m_caller->BeginAnswer(
    m_dependencies.callers.EncodeLocalReply(reply), Framing::Length, 0);
  m_caller->EndAnswer();
  Finish("answered-by-router",
         0,
         std::string(kRefusalNames.NameOf(aRefusal)) + "/" +
           std::string(base::kVerdictNames.NameOf(aVerdict)));
}

void
Exchange::AbortCaller(const std::string& aWhy)
{
  auto* caller = m_caller;
  Finish("cut", m_response.status, aWhy);
  caller->Abort();
}

void
Exchange::Finish(const char* aOutcome, int aStatus, const std::string& aWhy)
{
  m_dependencies.streams.Cancel(*this);
  m_dependencies.endChecks.Cancel(*this);
  EndWait(WaitEnd::Refused);
  const auto now = m_dependencies.loop.Now();
  const auto firstByteAt =
    m_firstByteAt == base::TimePoint{} ? now : m_firstByteAt;
  CountTraffic();
  LogEnd(aOutcome, aStatus, aWhy, firstByteAt);
  m_dependencies.metrics.Count(std::string("requests_total{outcome=\"") +
                               aOutcome + "\"}");
  m_dependencies.metrics.Observe(
    "request_first_byte_ms",
    static_cast<double>((firstByteAt - m_arrivedAt).count()));
  m_finished = true;
  m_requestShare.Set(0);
  m_responseShare.Set(0);
  m_caller->context = nullptr;
  m_caller = nullptr;
  m_owner.OnFinished(*this);
}

//! Counts the bytes of an attempt by whether they crossed availability zones,
//! since traffic between zones is charged for.
void
Exchange::CountTraffic()
{
  if (m_bytesSent > 0) {
    m_dependencies.metrics.Count(m_isSameZone
                                   ? "upstream_bytes_total{zone=\"same\"}"
                                   : "upstream_bytes_total{zone=\"other\"}",
                                 m_bytesSent + m_bytesReceived);
  }
  m_bytesSent = 0;
  m_bytesReceived = 0;
}

void
Exchange::LogEnd(const char* aOutcome,
                 int aStatus,
                 const std::string& aWhy,
                 base::TimePoint aFirstByteAt)
{
  if (!m_isLogged) {
    return;
  }
  LogLine line("ended");
  line.Add("request", m_request.id)
    .Add("outcome", aOutcome)
    .Add("status", aStatus)
    .Add("upstream", m_upstreamId)
    .Add("version", m_upstreamVersion)
    .Add("resumes", m_request.resumedRequestId)
    .Add("first_ms", (aFirstByteAt - m_arrivedAt).count())
    .Add("total_ms", (m_dependencies.loop.Now() - m_arrivedAt).count())
    .Add("events", static_cast<std::uint64_t>(m_streamFilter.EventCount()))
    .Add("last_event", LastEventId().value_or(""))
    .Add("body", m_response.isEventStream ? "event-stream" : "plain")
    .Add("framing", http::kFramingNames.NameOf(m_framing))
    .Add("connection", m_isConnectionReused ? "reused" : "new")
    .Add("waited_in_queue_ms", m_waitedInQueue.count())
    .Add("attempts", static_cast<std::uint64_t>(m_triedUpstreams.size()));
  if (!aWhy.empty()) {
    line.Add("why", aWhy);
  }
  line.Info();
}

}
