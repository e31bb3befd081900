#include "gateway/internal/exchange.h"

#include "base/error.h"
#include "base/logline.h"
#include "base/monotonicclock.h"
#include "eventloop/eventloop.h"
#include "gateway/icallercodec.h"
#include "gateway/iupstreamcodec.h"
#include "gateway/upstreampool.h"
#include "http/serverconnection.h"
#include "metrics/metrics.h"

#include <fmt/format.h>

#include <algorithm>

namespace hemlockgauge::gateway {

using base::LogLine;
using base::Verdict;
using fleet::AttemptOutcome;
using http::Framing;

namespace {

using namespace std::chrono_literals;

//! Response bodies up to this size are buffered until they are complete, so
//! that a response that breaks off can still be replaced by a retry or an
//! error. Event streams are not buffered.
constexpr std::size_t kMaxBufferedBody = 65536;
//! Time for an upstream to accept a connection before the attempt fails: some
//! hundred round trips within a region.
constexpr base::Duration kConnectTimeout = 300ms;
constexpr int kMinServerErrorStatus = 500;
//! Reading from the upstream is paused while more bytes than this are waiting
//! to be sent to a slow caller.
constexpr std::size_t kMaxUnsentToCaller = 262144;
//! The same while the buffer budget is tight.
constexpr std::size_t kTightUnsentToCaller = 16384;

}

Exchange::Exchange(const ExchangeDependencies& aDependencies,
                   IExchangeOwner& aOwner,
                   http::ServerConnection& aCaller)
  : m_dependencies(aDependencies)
  , m_owner(aOwner)
  , m_caller(&aCaller)
  , m_arrivedAt(aDependencies.loop.Now() -
                aDependencies.loop.LastIterationTime() / 2)
  , m_deadlineAt(base::TimePoint::max())
  , m_requestShare(&aDependencies.buffers, base::BufferUse::Request)
  , m_responseShare(&aDependencies.buffers, base::BufferUse::UpstreamInput)
  , m_isLogged(aDependencies.logBudget.Take(m_arrivedAt))
{
}

Exchange::~Exchange()
{
  m_dependencies.streams.Cancel(*this);
  m_dependencies.queue.Remove(*this);
  m_dependencies.endChecks.Cancel(*this);
  DiscardUpstream();
}

base::Duration
Exchange::TimeLeft(base::TimePoint aNow) const
{
  return std::max(base::Duration{}, m_deadlineAt - aNow);
}

base::Duration
Exchange::TimeSinceArrival() const
{
  return m_dependencies.loop.Now() - m_arrivedAt;
}

http::IClientEvents::HeadAction
Exchange::OnAnswerHead(http::ClientConnection& aConnection,
                       http::ResponseHead&& aHead)
{
  m_mayHaveReachedUpstream = true;
  m_framing = aHead.framing;
  m_isConnectionReused = aConnection.requests > 1;
  auto response = m_dependencies.upstreams.Decode(std::move(aHead));
  const bool ranNothing = response.IsRefusal();
  RecordSignals(response);
  RecordLoad(response);
  if (!response.requestId.empty() && response.requestId != m_request.id) {
    m_dependencies.metrics.Count("foreign_answers_total");
    return HeadAction::Skip;
  }
  const bool hasNoRequestId = response.requestId.empty();
  if (hasNoRequestId && (!ranNothing || aConnection.requests > 1)) {
    return HeadAction::Reject;
  }
  const bool isOfOtherType =
    response.IsSuccess() && ExpectsStream() && !response.isEventStream;
  const bool lacksSeal = response.IsSuccess() && (!response.hasResponseSeal ||
                                                  response.hasContentEncoding);
  if (lacksSeal || isOfOtherType) {
    return HeadAction::Reject;
  }
  m_response = std::move(response);
  if (!m_responseShare.TrySetAnswer(ResponseBytes())) {
    m_dependencies.metrics.Count("responses_without_room_total");
    return HeadAction::Reject;
  }
  if (m_response.keepAlive > base::Duration{}) {
    aConnection.keepAlive = m_response.keepAlive;
  }
  if (m_response.IsRefusal()) {
    ScheduleRefusal();
  }
  return HeadAction::Accept;
}

//! Acts on a refusal at the end of the event loop's iteration. A body that
//! arrives with the head is read by then, so that the connection can be kept;
//! a later one is not awaited, as it may have no end.
void
Exchange::ScheduleRefusal()
{
  m_dependencies.loop.Defer([this, refused = m_attempt] {
    if (m_upstream == nullptr || m_attempt != refused) {
      return;
    }
    DiscardUpstream();
    HandleRefusal();
  });
}

void
Exchange::HandleRefusal()
{
  EndAttempt(AttemptOutcome::Refused);
  AttemptFailed(Verdict::NotRun,
                m_response.misdirected ? "address belongs to another upstream"
                                       : "upstream did not run the request");
}

//! Records what the upstream states about itself in the head of a response,
//! also if the response answers another request. A misdirected request was
//! answered by another upstream.
void
Exchange::RecordSignals(const UpstreamResponse& aResponse)
{
  const fleet::AnswerSignals signals{ aResponse.isLeaving,
                                      aResponse.retryAfter };
  if (aResponse.misdirected || signals.IsEmpty()) {
    return;
  }
  auto& metrics = m_dependencies.metrics;
  metrics.Count("answers_from_leaving_total", signals.leaving ? 1 : 0);
  metrics.Count("answers_with_retry_after_total",
                signals.retryAfter > base::Duration{} ? 1 : 0);
  //! NOTE the loop's time may be older than the answer.
  const auto change = m_dependencies.fleet.RecordSignals(
    m_attempt, signals, base::MonotonicNow());
  if (change == fleet::SignalChange::Leaving) {
    m_dependencies.pool.CloseIdle(m_triedUpstreams.back());
  }
  if (change == fleet::SignalChange::None && !m_isLogged) {
    return;
  }
  const auto& list = m_dependencies.fleet.Upstreams();
  LogLine("upstream-signal")
    .Add("upstream", m_upstreamId)
    .Add("request", m_request.id)
    .Add("status", aResponse.status)
    .Add("leaving", signals.leaving ? "yes" : "no")
    .Add("retry_after_ms", signals.retryAfter.count())
    .Add("listed_as", list.MayGetWork(m_upstreamId) ? "ready" : "not-ready")
    .Add("change", fleet::kSignalChangeNames.NameOf(change))
    .Info();
}

//! Records the load that the upstream states, and counts and logs one that is
//! malformed or can't be true. A misdirected
//! request was answered by another upstream.
void
Exchange::RecordLoad(const UpstreamResponse& aResponse)
{
  if (aResponse.misdirected) {
    return;
  }
  const bool isRejected =
    aResponse.load && !m_dependencies.fleet.RecordLoad(
                        m_attempt, *aResponse.load, base::MonotonicNow());
  if (!aResponse.malformedLoad && !isRejected) {
    return;
  }
  m_dependencies.metrics.Count("answers_with_bad_load_total");
  if (!m_isLogged) {
    return;
  }
  LogLine("upstream-bad-load")
    .Add("upstream", m_upstreamId)
    .Add("request", m_request.id)
    .Add("status", aResponse.status)
    .Add("load", aResponse.malformedLoad.value_or(""))
    .Add("why", isRejected ? "out-of-range" : "malformed")
    .Warn();
}

void
Exchange::OnAnswerBody(http::ClientConnection&, std::string_view aBytes)
{
  m_bytesReceived += aBytes.size();
  if (m_response.IsRefusal()) {
    return;
  }
  if (IsStream()) {
    RelayStreamBytes(aBytes);
    return;
  }
  if (m_firstByteAt == base::TimePoint{}) {
    m_firstByteAt = m_dependencies.loop.Now();
  }
  if (m_isBuffering &&
      m_bufferedBody.size() + aBytes.size() <= kMaxBufferedBody &&
      m_dependencies.buffers.Fits(aBytes.size())) {
    m_bufferedBody += aBytes;
    m_responseShare.Set(ResponseBytes());
    return;
  }
  if (m_headSent && m_isBuffering) {
    return; // not the event stream whose rest is expected
  }
  SendHead();
  m_caller->Write(m_bufferedBody);
  WriteToCaller(aBytes);
  std::string().swap(m_bufferedBody);
  m_isBuffering = false;
  m_responseShare.Set(ResponseBytes());
}

//! Memory of what is held back of the response. A head counts twice, as it is
//! encoded for the caller.
std::size_t
Exchange::ResponseBytes() const
{
  return 2 * m_response.HeldBytes() + m_bufferedBody.capacity() +
         m_streamFilter.PendingBytes();
}

//! Encodes the head of the response and frees its fields.
std::string
Exchange::TakeEncodedHead()
{
  auto head = m_dependencies.callers.EncodeHead(m_response);
  m_response.forwardedHeaders.Clear();
  return head;
}

void
Exchange::WriteToCaller(std::string_view aBytes)
{
  m_caller->Write(aBytes);
  const auto limit = m_dependencies.buffers.IsTight() ? kTightUnsentToCaller
                                                      : kMaxUnsentToCaller;
  if (m_caller->UnsentBytes() > limit && m_upstream != nullptr) {
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
  m_caller->BeginAnswer(TakeEncodedHead(), Framing::Chunked);
  m_responseShare.Set(ResponseBytes());
}

void
Exchange::OnAnswerEnd(http::ClientConnection& aConnection, bool aReusable)
{
  m_upstream = nullptr;
  m_endedByClose = aConnection.EndedByClose();
  if (aReusable) {
    m_dependencies.pool.Release(aConnection);
  } else {
    m_dependencies.pool.Discard(aConnection);
  }
  if (m_response.IsRefusal()) {
    HandleRefusal();
    return;
  }
  if (IsStream() && m_streamFilter.HasPartialEvent()) {
    EndAttempt(AttemptOutcome::Broken);
    AttemptFailed(Verdict::MayHaveRun, "stream ended inside an event");
    return;
  }
  //! NOTE a resumed run, too: its end can't be told from a response that was
  //! generated by no run.
  if (IsStream() && !m_hasPassedEvents) {
    EndAttempt(AttemptOutcome::Broken);
    AttemptFailed(Verdict::MayHaveRun, "stream without events");
    return;
  }
  if (m_endedByClose && m_bytesReceived == 0 && m_response.IsSuccess()) {
    EndAttempt(AttemptOutcome::Broken);
    AttemptFailed(Verdict::MayHaveRun, "response without a length or a body");
    return;
  }
  const bool isError = m_response.status >= kMinServerErrorStatus;
  const auto complete =
    m_endedByClose ? AttemptOutcome::AnsweredByClose : AttemptOutcome::Answered;
  EndAttempt(isError ? AttemptOutcome::AnsweredFailure : complete);
  if (m_endedByClose) {
    m_awaitsEndCheck = true;
    m_dependencies.endChecks.Await(
      m_triedUpstreams.back(), m_upstreamAddress, *this);
    return;
  }
  HandleCompleteResponse();
}

//! The upstream of a response that ended with its connection has been checked.
//! The response is complete only if the upstream is known to serve.
void
Exchange::OnEndChecked(quarantine::CheckResult aResult)
{
  m_awaitsEndCheck = false;
  const auto result = quarantine::kCheckResultNames.NameOf(aResult);
  m_dependencies.metrics.Count(
    fmt::format("responses_ended_by_close_total{{upstream=\"{}\"}}", result));
  if (aResult == quarantine::CheckResult::Alive) {
    HandleCompleteResponse();
    return;
  }
  AttemptFailed(Verdict::MayHaveRun,
                fmt::format("connection closed, upstream {}", result));
}

//! Handles a complete response: retries after an error if the route allows it,
//! else completes the response to the caller.
void
Exchange::HandleCompleteResponse()
{
  const bool isError = m_response.status >= kMinServerErrorStatus;
  const bool mayRetry = isError && m_route->MayRunAgain();
  if (m_headSent && !IsStream() && m_isBuffering) {
    AttemptFailed(
      Verdict::MayHaveRun,
      "expected the rest of the event stream, got another response");
    return;
  }
  if (mayRetry) {
    m_hasErrorResponse = true;
    AttemptFailed(Verdict::MayHaveRun, "upstream returned an error response");
    return;
  }
  FinishResponse("");
}

void
Exchange::FinishResponse(const std::string& aWhy)
{
  if (!m_headSent) {
    m_headSent = true;
    m_caller->BeginAnswer(
      TakeEncodedHead(), Framing::Length, m_bufferedBody.size());
    m_caller->Write(m_bufferedBody);
  }
  m_caller->EndAnswer();
  Finish("answered", m_response.status, aWhy);
}

void
Exchange::OnFailed(http::ClientConnection& aConnection,
                   http::ClientFailure aFailure)
{
  m_upstream = nullptr;
  m_dependencies.pool.Discard(aConnection);
  const bool notRun = aFailure == http::ClientFailure::NotConnected;
  EndAttempt(notRun ? AttemptOutcome::Unreachable : AttemptOutcome::Broken);
  m_mayHaveReachedUpstream = m_mayHaveReachedUpstream || !notRun;
  AttemptFailed(notRun ? Verdict::NotRun : Verdict::MayHaveRun,
                std::string(http::kClientFailureNames.NameOf(aFailure)));
}

void
Exchange::EndAttempt(AttemptOutcome aEnd)
{
  if (m_attempt == 0) {
    return;
  }
  const auto attempt = m_attempt;
  m_attempt = 0;
  if (m_dependencies.fleet.EndAttempt(
        attempt, aEnd, m_dependencies.loop.Now())) {
    m_dependencies.metrics.Count("ejections_total");
    LogLine("upstream-ejected")
      .Add("upstream", m_upstreamId)
      .Add("why", fleet::kAttemptOutcomeNames.NameOf(aEnd))
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
    m_attemptsMayHaveRun++;
  }
  const auto now = m_dependencies.loop.Now();
  fleet::FailedAttempt failed;
  failed.kind = m_route->kind;
  failed.mayRunAgain = m_route->MayRunAgain();
  failed.answerBegun = m_headSent;
  failed.attemptsRun = m_attemptsMayHaveRun;
  failed.attemptsNotRun = m_attemptsNotRun;
  failed.maxAttempts = m_route->maxAttempts;
  failed.timeLeft = TimeLeft(now);
  failed.neverSent = !m_mayHaveReachedUpstream;
  failed.waited = now - m_arrivedAt;
  failed.target = m_route->target;
  const auto next = fleet::DecideAfterFailure(
    failed, m_dependencies.fleet.Retries().Allows(m_service, now));
  LogLine("attempt-failed")
    .Add("request", m_request.id)
    .Add("fingerprint", quarantine::FingerprintText(m_fingerprint))
    .Add("upstream", m_upstreamId)
    .Add("version", m_upstreamVersion)
    .Add("events", static_cast<std::uint64_t>(m_streamFilter.EventCount()))
    .Add("last_event", LastEventId().value_or(""))
    .Add("status", m_response.status)
    .Add("body", m_response.isEventStream ? "event-stream" : "plain")
    .Add("framing", http::kFramingNames.NameOf(m_framing))
    .Add("body_bytes", static_cast<std::uint64_t>(m_bytesReceived))
    .Add("connection", m_isConnectionReused ? "reused" : "new")
    .Add("sent_ms_ago", (now - m_sentAt).count())
    .Add("why", aWhy)
    .Add("verdict", base::kVerdictNames.NameOf(aVerdict))
    .Add("left_ms", failed.timeLeft.count())
    .Add("next", fleet::kAfterFailureNames.NameOf(next))
    .Info();
  if (next == fleet::AfterFailure::Retry) {
    m_streamFilter.Resume();
    if (PlaceRetry(failed)) {
      return;
    }
  }
  if (m_hasErrorResponse && !m_headSent) {
    FinishResponse(aWhy);
    return;
  }
  if (m_headSent) {
    AbortCaller(aWhy);
    return;
  }
  const bool mayHaveRun = m_attemptsMayHaveRun > 0;
  SendLocalReply(mayHaveRun ? Refusal::UpstreamFailed : Refusal::NoUpstream,
                 mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                 mayHaveRun ? 0ms : NotRunRetryAfter());
}

//! Retry-After of a request that no upstream ran: another router may serve it
//! at once, but this one not before an upstream is eligible.
base::Duration
Exchange::NotRunRetryAfter() const
{
  auto request = MakePlaceRequest();
  request.triedUpstreams.clear();
  //! NOTE the loop's time may be older than the refusal that began a pause.
  const auto until =
    m_dependencies.fleet.TimeUntilEligible(request, base::MonotonicNow());
  return until == base::Duration::max() ? kRetryElsewhereDelay
                                        : std::max(until, kRetryElsewhereDelay);
}

void
Exchange::DiscardUpstream()
{
  if (m_upstream != nullptr) {
    auto* upstream = m_upstream;
    m_upstream = nullptr;
    m_dependencies.pool.Discard(*upstream);
  }
}

void
Exchange::OnCallerGone()
{
  if (m_finished) {
    return;
  }
  EndWait(WaitEnd::Gone);
  EndAttempt(AttemptOutcome::CallerGone);
  DiscardUpstream();
  Finish("caller-gone", 0, "");
}

void
Exchange::Tick(base::TimePoint aNow)
{
  if (m_finished) {
    return;
  }
  if (aNow >= m_deadlineAt) {
    const bool hasSentBytes =
      m_upstream != nullptr && m_upstream->HasSentBytes();
    const bool mayHaveRun =
      m_attemptsMayHaveRun > 0 || hasSentBytes || m_awaitsEndCheck;
    EndAttempt(AttemptOutcome::CallerGone);
    DiscardUpstream();
    if (m_headSent) {
      AbortCaller("timeout");
      return;
    }
    SendLocalReply(Refusal::Timeout,
                   mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun);
    return;
  }
  if (IsConnecting() && aNow - m_sentAt >= kConnectTimeout) {
    EndAttempt(AttemptOutcome::Unreachable);
    DiscardUpstream();
    AttemptFailed(Verdict::NotRun, "connect timeout");
  }
}

bool
Exchange::IsConnecting() const
{
  return m_upstream != nullptr && m_upstream->IsConnecting();
}

base::TimePoint
Exchange::NextTickAt() const
{
  return IsConnecting() ? std::min(m_deadlineAt, m_sentAt + kConnectTimeout)
                        : m_deadlineAt;
}

}
