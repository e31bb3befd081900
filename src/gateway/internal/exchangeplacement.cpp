#include "gateway/internal/exchange.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "gateway/icallercodec.h"
#include "gateway/iupstreamcodec.h"
#include "gateway/upstreampool.h"
#include "http/serverconnection.h"
#include "metrics/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

//! How an upstream is chosen for a request and how the request is sent.
namespace hemlockgauge::gateway {

using base::LogLine;
using base::Verdict;

namespace {

//! Bodies up to this size are sent with the head in one system call.
constexpr std::size_t kMaxCopiedBody = 16384;

//! Id of the shared prompt prefix by which a generation is placed.
std::string
SharedPrefixText(const fleet::Work& aWork)
{
  const auto* part = aWork.LastSharedPart();
  return part == nullptr ? "" : fmt::format("{:x}", part->id);
}

}

fleet::PlaceRequest
Exchange::MakePlaceRequest() const
{
  fleet::PlaceRequest request;
  request.route = m_route;
  request.work = &m_request.work;
  request.service = m_service;
  request.workspace = fleet::WorkspaceIdOf(m_workspace);
  const auto& regions = m_config->regionsOfWorkspace;
  const auto bound = regions.find(m_workspace);
  request.workspaceRegions = bound == regions.end() ? nullptr : &bound->second;
  request.key = base::HashName(m_request.id);
  request.fingerprint = m_fingerprint;
  request.waited = TimeSinceArrival();
  request.timeLeft = TimeLeft(m_dependencies.loop.Now());
  request.triedUpstreams = m_triedUpstreams;
  request.streamVersion = m_streamVersion;
  request.busyFor = m_dependencies.loop.BusyFor();
  request.passedThrottle = m_wait && m_wait->refusal.passesThrottle;
  return request;
}

void
Exchange::PlaceInitial()
{
  const auto now = m_dependencies.loop.Now();
  const auto request = MakePlaceRequest();
  m_dependencies.fleet.CountArrival(request, now);
  m_dependencies.metrics.Count("requests_resuming_total",
                               LastEventId().has_value() ? 1 : 0);
  Place(request);
}

//! Whether the copy of the request that is sent may be buffered until the
//! upstream has taken it.
bool
Exchange::HasRoomToSend() const
{
  const auto body = m_request.body.size();
  return m_dependencies.buffers.Fits(m_request.target.size() +
                                     m_request.forwardedHeaders.EncodedBytes() +
                                     (body <= kMaxCopiedBody ? body : 0));
}

//! Chooses the first upstream, and lets the request wait or refuses it if there
//! is none.
void
Exchange::Place(const fleet::PlaceRequest& aRequest)
{
  if (!HasRoomToSend()) {
    RefuseForRoom();
    return;
  }
  const auto place =
    m_dependencies.fleet.Place(aRequest, m_dependencies.loop.Now());
  switch (place.outcome) {
    case fleet::PlaceOutcome::Placed:
      LogPlacement("placed", place);
      SendInitial(place);
      return;
    case fleet::PlaceOutcome::Refused:
      if (WaitForRoom(place)) {
        return;
      }
      LogPlacement("refused", place);
      SendLocalReply(Refusal::Overload, Verdict::NotRun, place.retryAfter);
      return;
    case fleet::PlaceOutcome::Quarantined:
      m_dependencies.metrics.Count("requests_quarantined_total");
      LogPlacement("withheld", place);
      SendLocalReply(Refusal::Quarantined, Verdict::NotRun, place.retryAfter);
      return;
    case fleet::PlaceOutcome::NoUpstream:
      CountNoUpstream(place);
      SendLocalReply(Refusal::NoUpstream, Verdict::NotRun, place.retryAfter);
      return;
  }
}

void
Exchange::CountNoUpstream(const fleet::PlaceResult& aPlace)
{
  m_dependencies.metrics.Count(
    "requests_without_upstream_total{why=\"" +
    std::string(fleet::kSuitabilityNames.NameOf(aPlace.suitability)) + "\"}");
  LogPlacement("no-upstream", aPlace);
}

//! Sends the request to its first upstream unless the caller has already closed
//! the connection. Under overload, connections may wait longer to be accepted
//! than their callers wait for a response. Refused requests are not checked:
//! the check costs a system call, and losing their response harms nobody.
void
Exchange::SendInitial(const fleet::PlaceResult& aPlace)
{
  if (!m_caller->HasPeerGone()) {
    EndWait(WaitEnd::Placed);
    Send(aPlace);
    return;
  }
  m_dependencies.metrics.Count("requests_left_unread_total");
  m_attempt = aPlace.attempt;
  OnCallerGone(); // the closing of the connection is handled next
}

//! Applies a configuration that is newer than the request. Returns false if the
//! request has no route or its key was withdrawn since.
bool
Exchange::UpdateRoute()
{
  const auto* routes = m_dependencies.fleet.Routes();
  if (routes->Config() != m_config) {
    //! NOTE a retry uses the current configuration, not the one in force when
    //! the request arrived.
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
      !m_dependencies.fleet.ConfigFreshness().MayUseKeys(
        m_dependencies.loop.Now());
    if (withdrawn) {
      return false;
    }
  }
  return true;
}

//! Chooses an upstream for a retry and sends the request to it. Returns false
//! if there is none.
bool
Exchange::PlaceRetry(const fleet::FailedAttempt& aFailed)
{
  if (!UpdateRoute() || !HasRoomToSend()) {
    return false;
  }
  auto request = MakePlaceRequest();
  request.admitted = fleet::KeepsAdmission(aFailed);
  const auto now = m_dependencies.loop.Now();
  const auto place = m_dependencies.fleet.Place(request, now);
  if (place.outcome == fleet::PlaceOutcome::Quarantined) {
    LogPlacement("withheld", place);
  }
  if (place.outcome == fleet::PlaceOutcome::NoUpstream) {
    CountNoUpstream(place);
  }
  if (place.outcome != fleet::PlaceOutcome::Placed) {
    return false;
  }
  if (m_mayHaveReachedUpstream) {
    m_dependencies.fleet.Retries().Take(m_service, now);
  }
  m_dependencies.metrics.Count("retries_total");
  LogPlacement("retried", place);
  Send(place);
  return true;
}

void
Exchange::LogPlacement(const char* aEvent, const fleet::PlaceResult& aPlace)
{
  if (!m_isLogged) {
    return;
  }
  LogLine line(aEvent);
  line.Add("request", m_request.id)
    .Add("fingerprint", quarantine::FingerprintText(m_fingerprint))
    .Add("workspace", m_workspace)
    .Add("route", m_route->name)
    .Add("prompt_tokens", m_request.work.promptTokens)
    .Add("own_tokens", m_request.work.UnsharedTokens())
    .Add("shared_part", SharedPrefixText(m_request.work))
    .Add("parts", quarantine::PartsText(m_request.work.SharedParts()))
    .Add("most_output_tokens", m_request.work.outputTokens)
    .Add("waited_ms", TimeSinceArrival().count())
    .Add("waited_in_queue_ms", WaitedInQueue().count())
    .Add("busy_ms", m_dependencies.loop.BusyFor().count())
    .Add("router_busy", aPlace.routerBusy ? "yes" : "no")
    .Add("crashes", static_cast<std::uint64_t>(aPlace.crashes))
    .Add("trial", aPlace.quarantine.isTrial ? "yes" : "no")
    .Add("upstream", aPlace.upstreamId)
    .Add("version", aPlace.softwareVersion)
    .Add("resumes", m_request.resumedRequestId)
    .Add("last_event", LastEventId().value_or(""))
    .Add("address", aPlace.address.Text())
    .Add("foreseen_ms", aPlace.predictedMs)
    .Add("unread_tokens", aPlace.unreadTokens)
    .Add("missing_tokens", aPlace.missingTokens)
    .Add("copied_tokens", aPlace.copiedTokens)
    .Add("copy_from", aPlace.copyFrom.Text())
    .Add("running", aPlace.running)
    .Add("rank", aPlace.rank)
    .Add("nearest", fleet::kSuitabilityNames.NameOf(aPlace.suitability))
    .Add("inside_share", aPlace.insideShare ? "yes" : "no")
    .Add("inside_promise", aPlace.insideNominalShare ? "yes" : "no")
    .Add("starved", aPlace.starved ? "yes" : "no")
    .Add("excess", aPlace.excess)
    .Add("asked_per_s", std::lround(aPlace.rate.demand))
    .Add("begun_per_s", std::lround(aPlace.rate.admitted))
    .Add("most_begun_per_s", std::lround(aPlace.maxAdmittedRate))
    .Add("passes_level", aPlace.passesThrottle ? "yes" : "no")
    .Add("passes_call_level", aPlace.passesCallThrottle ? "yes" : "no")
    .Add("far_behind", aPlace.farBehind ? "yes" : "no")
    .Add("peers_age_ms", aPlace.maxReportAge.count())
    .Add("load_age_ms", aPlace.loadAge.count())
    .Add("config", m_config->version);
  if (aPlace.outcome != fleet::PlaceOutcome::Placed) {
    line.Add("retry_after_ms", aPlace.retryAfter.count());
  }
  if (const auto& trait = aPlace.quarantine.trait) {
    line.Add("trait", quarantine::TraitText(*trait))
      .Add("trait_crashes",
           static_cast<std::uint64_t>(aPlace.quarantine.crashes))
      .Add("trait_answers",
           static_cast<std::uint64_t>(aPlace.quarantine.answers));
  }
  line.Info();
}

void
Exchange::Send(const fleet::PlaceResult& aPlace)
{
  m_attempt = aPlace.attempt;
  CountTraffic();
  m_upstreamId = aPlace.upstreamId;
  m_upstreamAddress = aPlace.address;
  m_upstreamVersion = aPlace.softwareVersion;
  m_isSameZone = aPlace.sameZone;
  m_triedUpstreams.push_back(aPlace.upstream);
  m_response = UpstreamResponse{};
  m_bufferedBody.clear();
  m_isBuffering = true;
  m_hasPassedEvents = false;
  m_hasErrorResponse = false;
  m_sentAt = m_dependencies.loop.Now();
  SendContext context;
  context.upstreamId = aPlace.upstreamId;
  context.workspace = m_workspace;
  context.timeLeft = TimeLeft(m_sentAt);
  context.copyFrom = aPlace.copyFrom;
  context.lastEventId = LastEventId();
  m_upstream =
    &m_dependencies.pool.Acquire(aPlace.upstream, aPlace.address, *this);
  auto bytes = m_dependencies.upstreams.EncodeHead(m_request, context);
  const std::string_view body = m_request.body;
  m_bytesSent = bytes.size() + body.size();
  const bool isHead = m_request.method == "HEAD";
  if (body.size() <= kMaxCopiedBody) {
    bytes.reserve(bytes.size() + body.size());
    bytes += body;
    m_upstream->Send(std::move(bytes), isHead);
  } else {
    m_upstream->Send(std::move(bytes), isHead, body);
  }
}

}
