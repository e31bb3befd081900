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

//! A plain answer up to this size is held until it is whole, so that one
//! that breaks off can still be replaced by a retry or a true failure.
constexpr std::size_t kMostHeld = 65536;
//! A slow caller holds its upstream back beyond this many unsent bytes.
constexpr std::size_t kMostUnsent = 262144;
//! An upstream that does not take a connection within this is passed over:
//! some hundred times a way there and back within a region.
constexpr base::Duration kConnectLimit = 300ms;
//! How old the configuration may be for "there is no such route or key" to
//! be said; an older one may lack what was added since.
constexpr base::Duration kDenyLimit = 2500ms;
constexpr base::Duration kComeBackSoon = 100ms;
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

void
Exchange::Start(http::RequestHead&& aHead, std::string&& aBody)
{
  const bool admitted = Decode(std::move(aHead), std::move(aBody)) &&
                        CheckRouter() && FindRoute() && CheckKey() &&
                        FollowRoute();
  if (admitted) {
    PlaceFirst();
  }
}

bool
Exchange::Decode(http::RequestHead&& aHead, std::string&& aBody)
{
  const bool hasBody = aHead.length.has_value() || !aBody.empty();
  try {
    m_request = m_parts.callers.Decode(std::move(aHead));
  } catch (const base::Error& error) {
    LogLine("bad-request").Add("why", error.what()).Warn();
    AnswerOwn(Refusal::BadRequest, Verdict::NotRun);
    return false;
  }
  m_request.hasBody = hasBody;
  m_request.body = std::move(aBody);
  if (m_request.deadline) {
    m_mustEndAt = m_arrivedAt + *m_request.deadline;
  }
  return true;
}

bool
Exchange::CheckRouter()
{
  if (m_parts.fleet.Routes() == nullptr ||
      !m_parts.fleet.Upstreams().IsKnown()) {
    AnswerOwn(Refusal::NoConfig, Verdict::NotRun, kComeBackSoon);
    return false;
  }
  if (m_owner.IsClosing()) {
    AnswerOwn(Refusal::Draining, Verdict::NotRun, kComeBackSoon);
    return false;
  }
  return true;
}

bool
Exchange::FindRoute()
{
  const auto* routes = m_parts.fleet.Routes();
  m_config = routes->Config();
  m_route = routes->Match(m_request.host, m_request.Path());
  if (m_route != nullptr) {
    return true;
  }
  const auto age = m_parts.fleet.ConfigFreshness().Age(m_parts.loop.Now());
  const bool sure = age < kDenyLimit;
  AnswerOwn(sure ? Refusal::NoSuchRoute : Refusal::StaleConfig,
            Verdict::NotRun,
            sure ? 0ms : kComeBackSoon);
  return false;
}

bool
Exchange::CheckKey()
{
  if (!m_config->needsKeys || m_route->isPublic) {
    return true;
  }
  const auto& freshness = m_parts.fleet.ConfigFreshness();
  const auto now = m_parts.loop.Now();
  const auto found = m_config->workspaceOfKey.find(m_request.apiKey);
  const bool known = found != m_config->workspaceOfKey.end();
  const bool sure = freshness.Age(now) < kDenyLimit;
  if (!freshness.MayUseKeys(now) || (!known && !sure)) {
    AnswerOwn(Refusal::StaleConfig, Verdict::NotRun, kComeBackSoon);
    return false;
  }
  if (!known) {
    AnswerOwn(Refusal::UnknownKey, Verdict::NotRun);
    return false;
  }
  m_workspace = found->second;
  return true;
}

//! Sets what follows from the route: the service and the time limit.
bool
Exchange::FollowRoute()
{
  const auto* service =
    fleet::ChooseService(*m_route, base::HashName(m_request.id));
  if (service == nullptr) {
    AnswerOwn(Refusal::NoUpstream, Verdict::NotRun, kComeBackSoon);
    return false;
  }
  m_service = *service;
  m_mustEndAt = std::min(m_mustEndAt, m_arrivedAt + m_route->timeout);
  return true;
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

fleet::PlaceRequest
Exchange::MakePlaceRequest() const
{
  fleet::PlaceRequest request;
  request.route = m_route;
  request.work = &m_request.work;
  request.service = m_service;
  request.workspace = fleet::WorkspaceIdOf(m_workspace);
  request.key = base::HashName(m_request.id);
  request.waited = Waited();
  request.timeLeft = TimeLeft(m_parts.loop.Now());
  request.avoid = m_tried;
  return request;
}

void
Exchange::PlaceFirst()
{
  const auto now = m_parts.loop.Now();
  const auto request = MakePlaceRequest();
  m_parts.fleet.Arrived(request, now);
  const auto place = m_parts.fleet.Place(request, now);
  switch (place.outcome) {
    case fleet::PlaceOutcome::Placed:
      LogPlace("placed", place);
      Send(place);
      return;
    case fleet::PlaceOutcome::Refused:
      LogPlace("refused", place);
      AnswerOwn(Refusal::Overload, Verdict::NotRun, place.retryAfter);
      return;
    case fleet::PlaceOutcome::NoUpstream:
      AnswerOwn(Refusal::NoUpstream, Verdict::NotRun, kComeBackSoon);
      return;
  }
}

//! Returns false if there is nowhere to go.
bool
Exchange::PlaceAgain()
{
  const auto* routes = m_parts.fleet.Routes();
  if (routes->Config() != m_config) {
    //! NOTE a retry follows the configuration of now, not of its arrival.
    const auto* route = routes->Match(m_request.host, m_request.Path());
    if (route == nullptr) {
      return false;
    }
    const auto* service =
      fleet::ChooseService(*route, base::HashName(m_request.id));
    if (service == nullptr) {
      return false;
    }
    m_config = routes->Config();
    m_route = route;
    m_service = *service;
  }
  if (!m_workspace.empty()) {
    const bool withdrawn =
      !m_config->workspaceOfKey.contains(m_request.apiKey) ||
      !m_parts.fleet.ConfigFreshness().MayUseKeys(m_parts.loop.Now());
    if (withdrawn) {
      return false;
    }
  }
  auto request = MakePlaceRequest();
  request.admitted = true;
  const auto now = m_parts.loop.Now();
  const auto place = m_parts.fleet.Place(request, now);
  if (place.outcome != fleet::PlaceOutcome::Placed) {
    return false;
  }
  m_parts.fleet.Retries().Take(m_service, now);
  m_parts.metrics.Count("retries_total");
  LogPlace("retried", place);
  Send(place);
  return true;
}

void
Exchange::LogPlace(const char* aEvent, const fleet::PlaceResult& aPlace)
{
  if (!m_logged) {
    return;
  }
  LogLine line(aEvent);
  line.Add("request", m_request.id)
    .Add("workspace", m_workspace)
    .Add("route", m_route->name)
    .Add("upstream", aPlace.upstreamId)
    .Add("foreseen_ms", aPlace.foreseenMs)
    .Add("unread_tokens", aPlace.unreadTokens)
    .Add("missing_tokens", aPlace.missingTokens)
    .Add("running", aPlace.running)
    .Add("rank", aPlace.rank)
    .Add("inside_share", aPlace.insideShare ? "yes" : "no")
    .Add("excess", aPlace.excess)
    .Add("far_behind", aPlace.farBehind ? "yes" : "no")
    .Add("peers_age_ms", aPlace.peersAge.count())
    .Add("config", m_config->version);
  if (aPlace.outcome == fleet::PlaceOutcome::Refused) {
    line.Add("retry_after_ms", aPlace.retryAfter.count());
  }
  line.Info();
}

void
Exchange::Send(const fleet::PlaceResult& aPlace)
{
  m_attempt = aPlace.attempt;
  m_upstreamId = aPlace.upstreamId;
  m_tried.push_back(aPlace.upstream);
  m_answer = UpstreamAnswer{};
  m_body.clear();
  m_holding = true;
  m_hasFailureAnswer = false;
  m_sentAt = m_parts.loop.Now();
  SendContext context;
  context.upstreamId = aPlace.upstreamId;
  context.workspace = m_workspace;
  context.timeLeft = TimeLeft(m_sentAt);
  context.lastEventId =
    m_events.LastId() ? m_events.LastId() : m_request.lastEventId;
  m_upstream = &m_parts.pool.Acquire(aPlace.upstreamId, aPlace.address, *this);
  m_upstream->Send(m_parts.upstreams.Encode(m_request, context),
                   m_request.method == "HEAD");
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
    answer.IsSuccess() && (!answer.sealed || answer.hasForeignCoding);
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
    return; // a failure in the place of the rest of a stream
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
    AttemptFailed(Verdict::MayHaveRun, "event out of order");
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
                  m_answer.misdirected ? "address has another upstream"
                                       : "upstream ran nothing");
    return;
  }
  if (IsStream() && m_events.HasPart()) {
    EndAttempt(AttemptEnd::Broken);
    AttemptFailed(Verdict::MayHaveRun, "stream ended within an event");
    return;
  }
  Deliver();
}

//! A whole answer is here.
void
Exchange::Deliver()
{
  const bool failed = m_answer.status >= kServerError;
  EndAttempt(failed ? AttemptEnd::AnsweredFailure : AttemptEnd::Answered);
  const bool mayRetry = failed && m_route->MayRunAgain();
  if (m_headSent && !IsStream() && m_holding) {
    AttemptFailed(Verdict::MayHaveRun, "failure in place of the rest");
    return;
  }
  if (mayRetry) {
    m_hasFailureAnswer = true;
    AttemptFailed(Verdict::MayHaveRun, "upstream answered a failure");
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
  EndAttempt(AttemptEnd::Broken);
  const bool notRun = aFailure == http::ClientFailure::NotConnected;
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

//! The attempt brought no whole answer: decides what the caller gets.
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
  failed.verdict = aVerdict;
  failed.answerBegun = m_headSent;
  failed.attemptsRun = m_attemptsRun;
  failed.attemptsNotRun = m_attemptsNotRun;
  failed.maxAttempts = m_route->maxAttempts;
  failed.timeLeft = TimeLeft(now);
  const auto next = fleet::DecideAfterFailure(
    failed, m_parts.fleet.Retries().Allows(m_service, now));
  LogLine("attempt-failed")
    .Add("request", m_request.id)
    .Add("upstream", m_upstreamId)
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
    EndAttempt(AttemptEnd::Broken);
    DropUpstream();
    AttemptFailed(Verdict::NotRun, "connect timeout");
  }
}

}
