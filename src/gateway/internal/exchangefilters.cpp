#include "gateway/internal/exchange.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "gateway/icallercodec.h"
#include "gateway/iupstreamcodec.h"
#include "gateway/upstreampool.h"
#include "http/eventfields.h"
#include "http/serverconnection.h"
#include "metrics/metrics.h"

#include <algorithm>

//! The checks that a request passes before an upstream is chosen.
namespace hemlockgauge::gateway {

using base::LogLine;
using base::Verdict;

namespace {

using namespace std::chrono_literals;

//! Maximum age of the configuration for answering that a route or an API key
//! does not exist. An older one may lack recent additions.
constexpr base::Duration kMaxConfigAgeForDenial = 2500ms;

}

void
Exchange::Start(http::RequestHead&& aHead, std::string&& aBody)
{
  const bool admitted = Decode(std::move(aHead), std::move(aBody)) &&
                        CheckRoom() && CheckRouterState() && FindRoute() &&
                        CheckApiKey() && CheckLastEventId() && ApplyRoute();
  if (!admitted) {
    return;
  }
  if (ResumesStream()) {
    FindStreamVersion();
    return;
  }
  PlaceInitial();
}

bool
Exchange::Decode(http::RequestHead&& aHead, std::string&& aBody)
{
  m_requestBytesRead = aHead.HeldBytes() + aBody.capacity();
  m_requestShare.Set(m_requestBytesRead);
  const bool hasBody = aHead.length.has_value() || !aBody.empty();
  try {
    m_request = m_dependencies.callers.Decode(std::move(aHead));
  } catch (const base::Error& error) {
    LogBadRequest(error.what());
    SendLocalReply(Refusal::BadRequest, Verdict::NotRun);
    return false;
  }
  m_request.hasBody = hasBody;
  m_request.body = std::move(aBody);
  if (m_request.deadline) {
    m_deadlineAt = m_arrivedAt + *m_request.deadline;
  }
  return true;
}

void
Exchange::LogBadRequest(const char* aWhy) const
{
  if (m_isLogged) {
    LogLine("bad-request").Add("why", aWhy).Warn();
  }
}

//! Checks whether there is room for what the decoded request takes beyond what
//! was read.
bool
Exchange::CheckRoom()
{
  const auto bytes = sizeof(Exchange) + m_request.HeldBytes();
  const auto added = bytes - std::min(bytes, m_requestBytesRead);
  if (!m_dependencies.buffers.Fits(added)) {
    RefuseForRoom();
    return false;
  }
  m_requestShare.Set(bytes);
  return true;
}

void
Exchange::RefuseForRoom()
{
  m_dependencies.metrics.Count("requests_without_room_total");
  SendLocalReply(Refusal::NoRoom, Verdict::NotRun, kNoRoomRetryAfter);
}

bool
Exchange::CheckRouterState()
{
  if (m_dependencies.fleet.Routes() == nullptr ||
      !m_dependencies.fleet.Upstreams().IsKnown()) {
    SendLocalReply(Refusal::NoConfig, Verdict::NotRun, kRetryElsewhereDelay);
    return false;
  }
  if (m_owner.IsClosing()) {
    SendLocalReply(Refusal::Draining, Verdict::NotRun, kRetryElsewhereDelay);
    return false;
  }
  return true;
}

bool
Exchange::FindRoute()
{
  const auto* routes = m_dependencies.fleet.Routes();
  m_config = routes->Config();
  m_route = routes->Match(m_request.host, m_request.Path());
  if (m_route != nullptr) {
    return true;
  }
  const auto age =
    m_dependencies.fleet.ConfigFreshness().Age(m_dependencies.loop.Now());
  const bool isFresh = age < kMaxConfigAgeForDenial;
  SendLocalReply(isFresh ? Refusal::NoSuchRoute : Refusal::StaleConfig,
                 Verdict::NotRun,
                 isFresh ? 0ms : kRetryElsewhereDelay);
  return false;
}

bool
Exchange::CheckApiKey()
{
  if (!m_config->needsKeys || m_route->isPublic) {
    return true;
  }
  const auto& freshness = m_dependencies.fleet.ConfigFreshness();
  const auto now = m_dependencies.loop.Now();
  const auto found = m_config->workspaceOfKey.find(m_request.apiKey);
  const bool known = found != m_config->workspaceOfKey.end();
  const bool isFresh = freshness.Age(now) < kMaxConfigAgeForDenial;
  if (!freshness.MayUseKeys(now) || (!known && !isFresh)) {
    SendLocalReply(Refusal::StaleConfig, Verdict::NotRun, kRetryElsewhereDelay);
    return false;
  }
  if (!known) {
    SendLocalReply(Refusal::UnknownKey, Verdict::NotRun);
    return false;
  }
  m_workspace = found->second;
  return true;
}

//! Only events after the last one that the caller has are passed on, so its id
//! must be the id of an event.
bool
Exchange::CheckLastEventId()
{
  if (!ExpectsStream() || !m_request.lastEventId) {
    return true;
  }
  const auto id = http::ParseEventNumber(*m_request.lastEventId);
  if (!id) {
    LogBadRequest("last event id is no number");
    SendLocalReply(Refusal::BadRequest, Verdict::NotRun);
    return false;
  }
  m_streamFilter.ResumeAfter(*id);
  return true;
}

//! Sets the service, the deadline and the fingerprint of the request from its
//! route.
bool
Exchange::ApplyRoute()
{
  const auto* service =
    fleet::ChooseService(*m_route, base::HashName(m_request.id));
  if (service == nullptr) {
    SendLocalReply(Refusal::NoUpstream, Verdict::NotRun, kRetryElsewhereDelay);
    return false;
  }
  m_service = *service;
  m_deadlineAt = std::min(m_deadlineAt, m_arrivedAt + m_route->timeout);
  m_fingerprint = quarantine::FingerprintOf({ m_workspace,
                                              m_request.method,
                                              m_request.host,
                                              m_request.target,
                                              m_request.body });
  return true;
}

}
