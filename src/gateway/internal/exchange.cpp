#include "gateway/internal/exchange.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "gateway/icallerdialect.h"
#include "gateway/iupstreamdialect.h"
#include "gateway/upstreampool.h"
#include "http/serverconnection.h"
#include "metrics/metrics.h"

#include <algorithm>

namespace hemlockgauge::gateway {

using base::LogLine;
using base::Verdict;
using fleet::AttemptEnd;
using http::Framing;

namespace {

using namespace std::chrono_literals;

//! Response bodies up to this size are buffered until they are complete, so
//! that a response that breaks off can still be replaced by a retry or an
//! error. Event streams are not buffered.
constexpr std::size_t kMostHeld = 65536;
//! Reading from the upstream is paused while more bytes than this are waiting
//! to be sent to a slow caller.
constexpr std::size_t kMostUnsent = 262144;
//! Time for an upstream to accept a connection before the attempt fails: some
//! hundred round trips within a region.
constexpr base::Duration kConnectLimit = 300ms;
constexpr int kServerError = 500;

}

Exchange::Exchange(const ExchangeParts& aParts,
                   IExchangeOwner& aOwner,
                   http::ServerConnection& aCaller)
  : m_parts(aParts)
  , m_owner(aOwner)
  , m_caller(&aCaller)
  , m_arrivedAt(aParts.loop.Now() - aParts.loop.LastRound() / 2)
  , m_mustEndAt(base::TimePoint::max())
  , m_logged(aParts.logBudget.Take(m_arrivedAt))
{
}

Exchange::~Exchange()
{
  DropUpstream();
}

base::Duration
Exchange::TimeLeft(base::TimePoint aNow) const
{
  return std::max(base::Duration{}, m_mustEndAt - aNow);
}

base::Duration
Exchange::Waited() const
{
  return m_parts.loop.Now() - m_arrivedAt;
}

bool
Exchange::IsStream() const
{
  return m_answer.isEventStream && m_answer.IsSuccess();
}

http::IClientEvents::HeadVerdict
Exchange::OnAnswerHead(http::ClientConnection& aConnection,
                       http::ResponseHead&& aHead)
{
  m_everSent = true;
  auto answer = m_parts.upstreams.Decode(std::move(aHead));
  const bool ranNothing = answer.notRun || answer.misdirected;
  if (!answer.requestId.empty() && answer.requestId != m_request.id) {
    m_parts.metrics.Count("foreign_answers_total");
    return HeadVerdict::Skip;
  }
  const bool unnamed = answer.requestId.empty();
  if (unnamed && (!ranNothing || aConnection.requests > 1)) {
    return HeadVerdict::Drop;
  }
  const bool unproven =
    answer.IsSuccess() && (!answer.hasProof || answer.hasForeignCoding);
  if (unproven) {
    return HeadVerdict::Drop;
  }
  m_answer = std::move(answer);
  if (m_answer.keepAlive > base::Duration{}) {
    aConnection.keepAlive = m_answer.keepAlive;
  }
  return HeadVerdict::Take;
}

void
Exchange::OnAnswerBody(http::ClientConnection&, std::string_view aBytes)
{
  m_bytesGot += aBytes.size();
  if (m_answer.notRun || m_answer.misdirected) {
    return;
  }
  if (m_firstAt == base::TimePoint{}) {
    m_firstAt = m_parts.loop.Now();
  }
  if (IsStream()) {
    TakeStreamBytes(aBytes);
    return;
  }
  if (m_holding && m_body.size() + aBytes.size() <= kMostHeld) {
    m_body += aBytes;
    return;
  }
  if (m_headSent && m_holding) {
    return; // an error response instead of the rest of a stream
  }
  SendHead();
  m_caller->Write(m_body);
  m_caller->Write(aBytes);
  m_body.clear();
  m_holding = false;
}

void
Exchange::TakeStreamBytes(std::string_view aBytes)
{
  m_parts.fleet.FirstToken(m_attempt, m_parts.loop.Now());
  std::string out;
  if (!m_events.Take(aBytes, out)) {
    EndAttempt(AttemptEnd::Broken);
    DropUpstream();
    AttemptFailed(Verdict::MayHaveRun, "event id out of order");
    return;
  }
  if (out.empty()) {
    return;
  }
  SendHead();
  m_caller->Write(out);
  if (m_caller->Unsent() > kMostUnsent && m_upstream != nullptr) {
    m_upstream->SetReading(false);
  }
}

void
Exchange::OnCallerDrained()
{
  if (m_upstream != nullptr) {
    m_upstream->SetReading(true);
  }
}

void
Exchange::SendHead()
{
  if (m_headSent) {
    return;
  }
  m_headSent = true;
  m_caller->BeginAnswer(m_parts.callers.EncodeHead(m_answer), Framing::Chunked);
}

void
Exchange::OnAnswerEnd(http::ClientConnection& aConnection, bool aReusable)
{
  m_upstream = nullptr;
  if (aReusable) {
    m_parts.pool.Release(aConnection);
  } else {
    m_parts.pool.Discard(aConnection);
  }
  if (m_answer.notRun || m_answer.misdirected) {
    EndAttempt(AttemptEnd::Refused);
    AttemptFailed(Verdict::NotRun,
                  m_answer.misdirected ? "address belongs to another upstream"
                                       : "upstream did not run the request");
    return;
  }
  if (IsStream() && m_events.HasPart()) {
    EndAttempt(AttemptEnd::Broken);
    AttemptFailed(Verdict::MayHaveRun, "stream ended inside an event");
    return;
  }
  Deliver();
}

//! Handles a complete response: retries after an error if the route allows it,
//! else completes the response to the caller.
void
Exchange::Deliver()
{
  const bool failed = m_answer.status >= kServerError;
  EndAttempt(failed ? AttemptEnd::AnsweredFailure : AttemptEnd::Answered);
  const bool mayRetry = failed && m_route->MayRunAgain();
  if (m_headSent && !IsStream() && m_holding) {
    AttemptFailed(Verdict::MayHaveRun,
                  "error response instead of the rest of the stream");
    return;
  }
  if (mayRetry) {
    m_hasFailureAnswer = true;
    AttemptFailed(Verdict::MayHaveRun, "upstream returned an error response");
    return;
  }
  EndAnswer("");
}

void
Exchange::EndAnswer(const std::string& aWhy)
{
  if (!m_headSent) {
    m_headSent = true;
    m_caller->BeginAnswer(
      m_parts.callers.EncodeHead(m_answer), Framing::Length, m_body.size());
    m_caller->Write(m_body);
  }
  m_caller->EndAnswer();
  Finish("answered", m_answer.status, aWhy);
}

void
Exchange::OnFailed(http::ClientConnection& aConnection,
                   http::ClientFailure aFailure)
{
  m_upstream = nullptr;
  m_parts.pool.Discard(aConnection);
  const bool notRun = aFailure == http::ClientFailure::NotConnected;
  EndAttempt(notRun ? AttemptEnd::Unreachable : AttemptEnd::Broken);
  m_everSent = m_everSent || !notRun;
  AttemptFailed(notRun ? Verdict::NotRun : Verdict::MayHaveRun,
                std::string(http::kClientFailureNames.NameOf(aFailure)));
}

void
Exchange::EndAttempt(AttemptEnd aEnd)
{
  if (m_attempt == 0) {
    return;
  }
  const auto attempt = m_attempt;
  m_attempt = 0;
  if (m_parts.fleet.Ended(attempt, aEnd, m_parts.loop.Now())) {
    m_parts.metrics.Count("ejections_total");
    LogLine("upstream-ejected")
      .Add("upstream", m_upstreamId)
      .Add("why", fleet::kAttemptEndNames.NameOf(aEnd))
      .Warn();
  }
}

//! Handles an attempt that brought no complete response: retries it, sends the
//! caller an error or breaks off a response that has begun.
void
Exchange::AttemptFailed(Verdict aVerdict, const std::string& aWhy)
{
  if (aVerdict == Verdict::NotRun) {
    m_attemptsNotRun++;
  } else {
    m_attemptsRun++;
  }
  const auto now = m_parts.loop.Now();
  fleet::FailedAttempt failed;
  failed.kind = m_route->kind;
  failed.mayRunAgain = m_route->MayRunAgain();
  failed.answerBegun = m_headSent;
  failed.attemptsRun = m_attemptsRun;
  failed.attemptsNotRun = m_attemptsNotRun;
  failed.maxAttempts = m_route->maxAttempts;
  failed.timeLeft = TimeLeft(now);
  failed.neverSent = !m_everSent;
  failed.waited = now - m_arrivedAt;
  failed.target = m_route->target;
  const auto next = fleet::DecideAfterFailure(
    failed, m_parts.fleet.Retries().Allows(m_service, now));
  LogLine("attempt-failed")
    .Add("request", m_request.id)
    .Add("fingerprint", quarantine::FingerprintText(m_fingerprint))
    .Add("upstream", m_upstreamId)
    .Add("sent_ms_ago", (now - m_sentAt).count())
    .Add("why", aWhy)
    .Add("verdict", base::kVerdictNames.NameOf(aVerdict))
    .Add("left_ms", failed.timeLeft.count())
    .Add("next", fleet::kAfterFailureNames.NameOf(next))
    .Info();
  if (next == fleet::AfterFailure::Retry) {
    m_events.Resume();
    if (PlaceAgain()) {
      return;
    }
  }
  if (m_hasFailureAnswer && !m_headSent) {
    EndAnswer(aWhy);
    return;
  }
  if (m_headSent) {
    Cut(aWhy);
    return;
  }
  const bool ran = m_attemptsRun > 0;
  AnswerOwn(ran ? Refusal::UpstreamFailed : Refusal::NoUpstream,
            ran ? Verdict::MayHaveRun : Verdict::NotRun,
            ran ? 0ms : kComeBackSoon);
}

void
Exchange::AnswerOwn(Refusal aRefusal,
                    Verdict aVerdict,
                    base::Duration aRetryAfter)
{
  const OwnAnswer answer{ aRefusal, aVerdict, aRetryAfter, m_request.id };
  const bool elsewhere =
    aRefusal == Refusal::StaleConfig || aRefusal == Refusal::NoConfig ||
    aRefusal == Refusal::Draining || aRefusal == Refusal::BadRequest;
  if (elsewhere) {
    m_caller->CloseAfterAnswer();
  }
  m_caller->BeginAnswer(m_parts.callers.EncodeOwn(answer), Framing::Length, 0);
  m_caller->EndAnswer();
  Finish("answered-by-router",
         0,
         std::string(kRefusalNames.NameOf(aRefusal)) + "/" +
           std::string(base::kVerdictNames.NameOf(aVerdict)));
}

void
Exchange::Cut(const std::string& aWhy)
{
  auto* caller = m_caller;
  Finish("cut", m_answer.status, aWhy);
  caller->Abort();
}

void
Exchange::Finish(const char* aOutcome, int aStatus, const std::string& aWhy)
{
  const auto now = m_parts.loop.Now();
  const auto first = m_firstAt == base::TimePoint{} ? now : m_firstAt;
  CountBytes();
  LogEnd(aOutcome, aStatus, aWhy, first);
  m_parts.metrics.Count(std::string("requests_total{outcome=\"") + aOutcome +
                        "\"}");
  m_parts.metrics.Observe("request_first_byte_ms",
                          static_cast<double>((first - m_arrivedAt).count()));
  m_over = true;
  m_caller->context = nullptr;
  m_caller = nullptr;
  m_owner.OnOver(*this);
}

//! Counts the bytes of an attempt by whether they crossed availability zones,
//! since traffic between zones is charged for.
void
Exchange::CountBytes()
{
  if (m_bytesSent > 0) {
    m_parts.metrics.Count(m_sameZone ? "upstream_bytes_total{zone=\"same\"}"
                                     : "upstream_bytes_total{zone=\"other\"}",
                          m_bytesSent + m_bytesGot);
  }
  m_bytesSent = 0;
  m_bytesGot = 0;
}

void
Exchange::LogEnd(const char* aOutcome,
                 int aStatus,
                 const std::string& aWhy,
                 base::TimePoint aFirst)
{
  if (!m_logged) {
    return;
  }
  LogLine line("ended");
  line.Add("request", m_request.id)
    .Add("outcome", aOutcome)
    .Add("status", aStatus)
    .Add("upstream", m_upstreamId)
    .Add("first_ms", (aFirst - m_arrivedAt).count())
    .Add("total_ms", (m_parts.loop.Now() - m_arrivedAt).count())
    .Add("events", static_cast<std::uint64_t>(m_events.Events()))
    .Add("attempts", static_cast<std::uint64_t>(m_tried.size()));
  if (!aWhy.empty()) {
    line.Add("why", aWhy);
  }
  line.Info();
}

void
Exchange::DropUpstream()
{
  if (m_upstream != nullptr) {
    auto* upstream = m_upstream;
    m_upstream = nullptr;
    m_parts.pool.Discard(*upstream);
  }
}

void
Exchange::OnCallerGone()
{
  if (m_over) {
    return;
  }
  EndAttempt(AttemptEnd::CallerGone);
  DropUpstream();
  Finish("caller-gone", 0, "");
}

void
Exchange::Tick(base::TimePoint aNow)
{
  if (m_over) {
    return;
  }
  if (aNow >= m_mustEndAt) {
    const bool connected = m_upstream != nullptr && m_upstream->HasSentBytes();
    const bool mayHaveRun = m_attemptsRun > 0 || connected;
    EndAttempt(AttemptEnd::CallerGone);
    DropUpstream();
    if (m_headSent) {
      Cut("timeout");
      return;
    }
    AnswerOwn(Refusal::Timeout,
              mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun);
    return;
  }
  const bool stuck = m_upstream != nullptr && m_upstream->IsConnecting() &&
                     aNow - m_sentAt > kConnectLimit;
  if (stuck) {
    EndAttempt(AttemptEnd::Unreachable);
    DropUpstream();
    AttemptFailed(Verdict::NotRun, "connect timeout");
  }
}

}
