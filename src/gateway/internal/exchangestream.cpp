#include "gateway/internal/exchange.h"

#include "base/logline.h"
#include "base/monotonicclock.h"
#include "eventloop/eventloop.h"
#include "fleet/fleetconstants.h"
#include "http/serverconnection.h"
#include "metrics/metrics.h"

#include <fmt/format.h>

#include <algorithm>

//! How the events of a stream are passed on, and how a stream stays at the
//! version of the upstreams' software that began it, within one request and
//! over the requests that resume it.
namespace hemlockgauge::gateway {

using base::LogLine;
using base::Verdict;
using fleet::AttemptOutcome;
using fleet::VersionId;

bool
Exchange::ExpectsStream() const
{
  return m_route->kind == fleet::CallKind::Stream && m_request.method != "HEAD";
}

bool
Exchange::IsStream() const
{
  return m_response.IsSuccess() && ExpectsStream();
}

std::optional<std::string>
Exchange::LastEventId() const
{
  const auto last = m_streamFilter.LastId();
  return last > 0 ? std::to_string(last) : m_request.lastEventId;
}

bool
Exchange::ResumesStream() const
{
  return m_route->kind == fleet::CallKind::Stream &&
         (m_request.lastEventId || !m_request.resumedRequestId.empty());
}

const std::string&
Exchange::StreamOrigin() const
{
  return m_request.resumedRequestId.empty() ? m_request.id
                                            : m_request.resumedRequestId;
}

//! Looks for the version that began the stream to be resumed, here and then at
//! other routers. Without it nothing is sent to any upstream.
void
Exchange::FindStreamVersion()
{
  if (m_request.resumedRequestId.empty()) {
    ResumeWith(StreamSource::NotNamed, {});
    return;
  }
  fleet::StreamLookupResult known;
  known.record = m_dependencies.streams.Find(StreamOrigin());
  if (known.record) {
    ResumeWith(StreamSource::Here, known);
    return;
  }
  m_dependencies.streams.Ask(StreamOrigin(), *this);
}

void
Exchange::OnStreamVersion(const fleet::StreamLookupResult& aResult)
{
  const bool allAnswered =
    aResult.asked > 0 && aResult.answered == aResult.asked;
  const auto unfound =
    allAnswered ? StreamSource::Unknown : StreamSource::Unanswered;
  ResumeWith(aResult.record ? StreamSource::OtherRouter : unfound, aResult);
}

void
Exchange::ResumeWith(StreamSource aSource,
                     const fleet::StreamLookupResult& aLookup)
{
  auto version = aLookup.record ? aLookup.record->version : VersionId::Unknown;
  if (version == VersionId::Unknown) {
    //! NOTE the process may have stood still since the loop's time.
    const auto only = m_dependencies.fleet.OnlyVersion(
      *m_route, m_service, base::MonotonicNow());
    version = only.value_or(VersionId::Unknown);
    aSource = only ? StreamSource::OnlyVersion : aSource;
  }
  LogStreamVersion(version, aSource, aLookup);
  if (version != VersionId::Unknown) {
    m_streamVersion = version;
    PlaceInitial();
    return;
  }
  //! NOTE another router may reach those that did not answer this one.
  const bool mayBeKnownElsewhere = aSource == StreamSource::Unanswered;
  SendLocalReply(Refusal::UnknownStream,
                 Verdict::NotRun,
                 mayBeKnownElsewhere ? kRetryElsewhereDelay : base::Duration{});
}

void
Exchange::LogStreamVersion(VersionId aVersion,
                           StreamSource aSource,
                           const fleet::StreamLookupResult& aLookup)
{
  const auto source = kStreamSourceNames.NameOf(aSource);
  m_dependencies.metrics.Count(
    fmt::format("streams_to_resume_total{{source=\"{}\",version=\"{}\"}}",
                source,
                aVersion == VersionId::Unknown ? "unknown" : "known"));
  LogLine("stream-version")
    .Add("request", m_request.id)
    .Add("resumes", m_request.resumedRequestId)
    .Add("last_event", m_request.lastEventId.value_or(""))
    .Add("source", source)
    .Add("version", m_dependencies.fleet.NameOfVersion(m_service, aVersion))
    .Add("age_ms", aLookup.record ? aLookup.record->age.count() : 0)
    .Add("asked", static_cast<std::uint64_t>(aLookup.asked))
    .Add("answered", static_cast<std::uint64_t>(aLookup.answered))
    .Add("waited_ms", TimeSinceArrival().count())
    .Info();
}

//! NOTE the upstream's entry may have changed since the request was sent.
bool
Exchange::MatchesStreamVersion() const
{
  return !m_streamVersion ||
         fleet::FitTogether(*m_streamVersion,
                            m_dependencies.fleet.VersionOf(m_attempt));
}

//! Records which version generates the stream's events, before the first event
//! of an attempt is passed on.
void
Exchange::RecordStreamVersion()
{
  if (!m_streamVersion) {
    m_streamVersion = m_dependencies.fleet.VersionOf(m_attempt);
  }
  if (!m_route->MayRunAgain()) {
    return;
  }
  auto lifetime = fleet::kDefaultStreamRecordLifetime;
  if (m_request.deadline) {
    lifetime =
      std::max(base::Duration{}, *m_request.deadline - TimeSinceArrival()) +
      fleet::kStreamRecordMargin;
  }
  m_dependencies.streams.RecordBegin(
    StreamOrigin(), *m_streamVersion, lifetime);
}

//! Gives up the current attempt because of what its upstream sent.
void
Exchange::BreakAttempt(const std::string& aWhy)
{
  EndAttempt(AttemptOutcome::Broken);
  DiscardUpstream();
  AttemptFailed(Verdict::MayHaveRun, aWhy);
}

void
Exchange::LogSpoiledStream()
{
  const auto why = kEventStreamFaultNames.NameOf(m_streamFilter.Fault());
  m_dependencies.metrics.Count(
    fmt::format("spoiled_streams_total{{why=\"{}\"}}", why));
  LogLine("spoiled-stream")
    .Add("request", m_request.id)
    .Add("upstream", m_upstreamId)
    .Add("why", why)
    .Add("last_event", LastEventId().value_or(""))
    .Add("framing", http::kFramingNames.NameOf(m_framing))
    .Add("connection", m_isConnectionReused ? "reused" : "new")
    .Add("sent_ms_ago", (m_dependencies.loop.Now() - m_sentAt).count())
    .Add("excerpt", m_streamFilter.FaultExcerpt())
    .Warn();
}

void
Exchange::RelayStreamBytes(std::string_view aBytes)
{
  if (!m_hasPassedEvents && !MatchesStreamVersion()) {
    BreakAttempt("upstream may be of another version");
    return;
  }
  std::string out;
  const bool isSound = m_streamFilter.Consume(aBytes, out);
  const bool hasRoom = m_responseShare.TrySetAnswer(ResponseBytes());
  if (!out.empty()) {
    PassOnEvents(out);
  }
  if (isSound && !hasRoom) {
    m_dependencies.metrics.Count("responses_without_room_total");
    BreakAttempt("no room for the rest of an event");
    return;
  }
  if (!isSound) {
    LogSpoiledStream();
    BreakAttempt(
      std::string(kEventStreamFaultNames.NameOf(m_streamFilter.Fault())));
  }
}

void
Exchange::PassOnEvents(std::string_view aEvents)
{
  const auto now = m_dependencies.loop.Now();
  m_dependencies.fleet.RecordTokens(m_attempt, now);
  if (m_firstByteAt == base::TimePoint{}) {
    m_firstByteAt = now;
  }
  if (!m_hasPassedEvents) {
    m_hasPassedEvents = true;
    RecordStreamVersion();
  }
  SendHead();
  WriteToCaller(aEvents);
}

}
