#include "soak/soakcaller.h"

#include "eventloop/eventloop.h"
#include "standins/platformtext.h"
#include "standins/upstreamstandin.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

//! One in this many requests uses a revoked key.
constexpr std::uint64_t kRevokedKeyOneIn = 16;
constexpr base::Duration kDeadline = 4000ms;
//! Time after which a caller gives up. It exceeds kDeadline: no request may
//! take longer.
constexpr base::Duration kCallTimeout = 6000ms;
constexpr std::uint32_t kMaxPauseMs = 60;
constexpr int kTokensPerEvent = 3;
constexpr int kMaxEvents = 20;
constexpr const char* kPaths[] = { "safe", "once", "stream", "resumable" };
constexpr std::size_t kStreamKind = 2;    //!< index of the first stream's path
constexpr std::size_t kResumableKind = 3; //!< index of the path
//! Number of first parts of prompts that streams share.
constexpr std::uint64_t kFirstParts = 5;
constexpr std::uint32_t kMaxResumes = 3;
//! One in this many streams loses its connection to the router.
constexpr std::uint64_t kBreakOneIn = 6;
//! One in this many requests of slow callers is read only after
//! kSlowReadDelay.
constexpr std::uint64_t kSlowReadOneIn = 4;
constexpr base::Duration kSlowReadDelay = 2500ms;
//! One in this many requests that may run once has a large body.
constexpr std::uint64_t kLargeBodyOneIn = 4;
constexpr std::size_t kLargeBodyBytes = 3U << 20U;
constexpr std::size_t kOnceKind = 1; //!< index of the path
//! A caller gives up on a response with a longer body: none is that long.
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr base::Duration kMinResumeTime = 500ms;
constexpr std::string_view kVersionLine = "event: ";

//! Removes the lines that name versions from the events, and adds the versions
//! to aVersions.
std::string
TakeVersions(std::string_view aEvents, std::set<std::string>& aVersions)
{
  std::string rest;
  while (!aEvents.empty()) {
    const auto end = std::min(aEvents.find('\n'), aEvents.size() - 1) + 1;
    const auto line = aEvents.substr(0, end);
    if (line.starts_with(kVersionLine) && line.ends_with('\n')) {
      aVersions.emplace(line.substr(kVersionLine.size()));
    } else {
      rest += line;
    }
    aEvents.remove_prefix(end);
  }
  return rest;
}

//! Number of complete events.
int
CountEvents(std::string_view aEvents)
{
  int count = 0;
  for (auto at = aEvents.find("\n\n"); at != std::string_view::npos;
       at = aEvents.find("\n\n", at + 2)) {
    count++;
  }
  return count;
}

}

SoakCaller::SoakCaller(CallerShared& aShared,
                       std::uint32_t aIndex,
                       std::uint64_t aSeed)
  : m_shared(aShared)
  , m_index(aIndex)
  , m_random(aSeed * 1000 + aIndex)
{
}

SoakCaller::~SoakCaller()
{
  DropConnection();
}

void
SoakCaller::DropConnection()
{
  if (m_connection) {
    m_connection->Close();
    m_shared.loop.DeleteLater(std::move(m_connection));
  }
}

void
SoakCaller::Tick(base::TimePoint aNow)
{
  if (m_readFrom > base::TimePoint{} && aNow >= m_readFrom) {
    m_readFrom = {};
    if (m_connection) {
      m_connection->SetReading(true);
    }
  }
  if (!m_busy && !m_stopped && aNow >= m_nextAt) {
    StartCall(aNow);
  } else if (m_busy && m_breakAfter > 0 &&
             CountEvents(m_body) >= m_breakAfter) {
    m_breakAfter = 0;
    HandleBrokenAnswer();
  } else if (m_busy && m_body.size() > kMaxBodyBytes) {
    DropConnection();
    EndCall(CallOutcome::Failed);
  } else if (m_busy && aNow - m_startedAt > kCallTimeout) {
    DropConnection();
    CheckStreamPrefix();
    CountStreamRequest();
    EndCall(CallOutcome::Failed);
  }
}

void
SoakCaller::StartCall(base::TimePoint aNow)
{
  m_kind = m_random() % std::size(kPaths);
  const bool stream = m_kind >= kStreamKind;
  m_id = fmt::format("{}-{}-{}", kPaths[m_kind], m_index, ++m_count);
  m_origin = m_id;
  m_events = stream ? 1 + static_cast<int>(m_random() % kMaxEvents) : 0;
  m_eventsBefore = 0;
  m_resumes = 0;
  m_breakAfter = 0;
  if (m_shared.resumesStreams && m_kind == kResumableKind &&
      m_random() % kBreakOneIn == 0) {
    m_breakAfter =
      1 + static_cast<int>(m_random() % static_cast<unsigned>(m_events));
  }
  m_versions.clear();
  m_isSound = true;
  m_startedAt = aNow;
  m_busy = true;
  const bool useNewConnection = m_random() % 5 == 0;
  if (useNewConnection) {
    DropConnection();
  }
  if (!m_connection || !m_connection->IsOpen()) {
    DropConnection();
    const auto& routers = m_shared.routers;
    m_router = static_cast<std::uint32_t>(m_random() % routers.size());
    m_connection = std::make_unique<http::ClientConnection>(
      m_shared.loop, routers[m_router], *this);
  }
  const bool useRevokedKey =
    !m_shared.revokedKey.empty() && m_random() % kRevokedKeyOneIn == 0;
  m_key = useRevokedKey ? m_shared.revokedKey : m_shared.key;
  if (stream) {
    m_firstPart = kSharedPart + m_random() % kFirstParts;
    m_promptParts = fmt::format("{:x}:200,{:x}:100", m_firstPart, m_random());
  }
  SendCall();
}

void
SoakCaller::SendCall()
{
  const auto now = m_shared.loop.Now();
  m_status = 0;
  m_body.clear();
  standins::CallText call;
  call.method = m_kind == 0 ? "GET" : "POST";
  call.path = fmt::format("/{}/x", kPaths[m_kind]);
  call.id = m_id;
  call.key = m_key;
  call.deadlineMs = (kDeadline - (now - m_startedAt)).count();
  call.body = m_kind == 0 ? "" : "body of " + m_origin;
  if (m_shared.sendsLargeBodies && m_kind == kOnceKind &&
      m_random() % kLargeBodyOneIn == 0) {
    call.body.resize(kLargeBodyBytes, 'x');
  }
  if (m_events > 0) {
    call.promptTokens = 300;
    call.outputTokens = static_cast<std::uint32_t>(m_events * kTokensPerEvent);
    call.promptParts = m_promptParts;
  }
  if (m_resumes > 0) {
    call.resumes = m_origin;
    call.lastEvent = m_eventsBefore;
  }
  m_shared.signals.Sent(m_id, m_router, now);
  m_connection->Send(standins::EncodeCall(call));
  if (m_shared.readsSlowly && m_random() % kSlowReadOneIn == 0) {
    m_readFrom = now + kSlowReadDelay;
    m_connection->SetReading(false);
  }
}

bool
SoakCaller::ResumeStream()
{
  const auto eventsNow = m_status == 200 ? CountEvents(m_body) : 0;
  const auto left = kDeadline - (m_shared.loop.Now() - m_startedAt);
  const auto count = static_cast<std::uint32_t>(m_shared.routers.size());
  const bool canResume =
    m_shared.resumesStreams && m_kind == kResumableKind &&
    m_eventsBefore + eventsNow > 0 && m_eventsBefore + eventsNow < m_events &&
    m_resumes < kMaxResumes && left >= kMinResumeTime && count > 1;
  if (!canResume) {
    return false;
  }
  m_eventsBefore += eventsNow;
  m_resumes++;
  m_isSound = m_isSound && m_shared.spoils.IsSound(m_id);
  m_id = fmt::format("{}-r{}", m_origin, m_resumes);
  DropConnection();
  m_router = static_cast<std::uint32_t>(
    (m_router + 1 + m_random() % (count - 1)) % count);
  m_connection = std::make_unique<http::ClientConnection>(
    m_shared.loop, m_shared.routers[m_router], *this);
  SendCall();
  return true;
}

//! Counts a request for a stream that may be resumed once it has ended.
void
SoakCaller::CountStreamRequest()
{
  if (m_kind != kResumableKind) {
    return;
  }
  auto& counts = m_resumes > 0 ? m_shared.resumedStreams : m_shared.newStreams;
  const bool hasStarted = m_status == 200 && CountEvents(m_body) > 0;
  counts.Add(hasStarted);
  if (m_resumes == 0) {
    auto& byPart = m_firstPart == kSharedPart ? m_shared.sharingStreams
                                              : m_shared.otherStreams;
    byPart.Add(hasStarted);
  }
}

std::string
SoakCaller::ExpectedBody() const
{
  if (m_events == 0) {
    return standins::UpstreamStandin::AnswerText(m_id, 0);
  }
  std::string text;
  for (int i = m_eventsBefore + 1; i <= m_events; ++i) {
    text += standins::UpstreamStandin::EventText(m_id, i);
  }
  return text;
}

http::IClientEvents::HeadAction
SoakCaller::OnAnswerHead(http::ClientConnection&, http::ResponseHead&& aHead)
{
  m_status = aHead.status;
  const auto id = standins::ResponseAttemptId(aHead.headers);
  const bool isOwnResponse = id.empty() || id == m_id;
  m_shared.guarantees.Check(Guarantee::CompleteResponse,
                            isOwnResponse,
                            m_id + " got the response to " + id);
  if (m_events > 0 && m_status == 200) {
    const auto type = aHead.headers.Find("Content-Type");
    m_shared.guarantees.Check(Guarantee::CompleteResponse,
                              type == "text/event-stream",
                              m_id + " got a response that is no event stream");
  }
  if (standins::ResponseSaysLeaving(aHead.headers)) {
    m_shared.signals.GotAnswerOfLeaving(
      m_router, standins::ResponseUpstream(aHead.headers), m_shared.loop.Now());
  }
  return HeadAction::Accept;
}

void
SoakCaller::OnAnswerBody(http::ClientConnection&, std::string_view aBytes)
{
  if (m_body.empty() && m_status == 200) {
    const auto firstByteTime = m_shared.loop.Now() - m_startedAt;
    m_shared.firstByteMs.Add(static_cast<double>(firstByteTime.count()));
  }
  m_body += aBytes;
}

void
SoakCaller::CheckSuccess()
{
  m_shared.guarantees.Check(Guarantee::CompleteResponse,
                            TakeVersions(m_body, m_versions) == ExpectedBody(),
                            m_id + " got an unexpected response body");
}

//! Checks that the received part of a stream is a prefix of the expected body,
//! also if the stream was cut.
void
SoakCaller::CheckStreamPrefix()
{
  if (m_events == 0 || m_status != 200) {
    return;
  }
  const auto events = TakeVersions(m_body, m_versions);
  CheckEvents(events);
  m_shared.guarantees.Check(
    Guarantee::StreamInOrder,
    ExpectedBody().starts_with(events),
    m_id + " has stream events that are missing, repeated or out of order");
  m_shared.guarantees.Check(
    Guarantee::StreamOfOneVersion,
    m_versions.size() <= 1,
    m_id + " has stream events of several software versions");
}

void
SoakCaller::CheckEvents(std::string_view aEvents)
{
  std::set<std::string> ofRun;
  for (int i = 1; i <= m_events; ++i) {
    ofRun.insert(standins::UpstreamStandin::EventText(m_id, i));
  }
  constexpr std::string_view kEnd = "\n\n";
  for (auto end = aEvents.find(kEnd); end != std::string_view::npos;
       end = aEvents.find(kEnd)) {
    const std::string event(aEvents.substr(0, end + kEnd.size()));
    m_shared.guarantees.Check(Guarantee::EventsOfRuns,
                              ofRun.contains(event),
                              m_id + " has an event that no run made");
    aEvents.remove_prefix(event.size());
  }
}

void
SoakCaller::OnAnswerEnd(http::ClientConnection&, bool aReusable)
{
  if (!aReusable) {
    DropConnection();
  }
  CountStreamRequest();
  if (m_status == 200) {
    CheckSuccess();
    CheckStreamPrefix();
    EndCall(CallOutcome::Served);
    return;
  }
  const bool notRun = m_status == 503 || m_status == 429;
  if (notRun) {
    m_shared.guarantees.RecordNotRun(m_id);
  }
  if (ResumeStream()) {
    return;
  }
  EndCall(notRun ? CallOutcome::Refused : CallOutcome::Failed);
}

void
SoakCaller::OnFailed(http::ClientConnection&, http::ClientFailure)
{
  HandleBrokenAnswer();
}

void
SoakCaller::HandleBrokenAnswer()
{
  DropConnection();
  CheckStreamPrefix();
  CountStreamRequest();
  if (!ResumeStream()) {
    EndCall(CallOutcome::Failed);
  }
}

void
SoakCaller::OnIdleClosed(http::ClientConnection&)
{
  DropConnection();
}

void
SoakCaller::EndCall(CallOutcome aEnd)
{
  if (!m_busy) {
    return;
  }
  m_busy = false;
  const auto now = m_shared.loop.Now();
  const auto second =
    static_cast<std::size_t>((now - m_shared.startedAt).count() / 1000);
  if (m_shared.bySecond.size() <= second) {
    m_shared.bySecond.resize(second + 1);
  }
  m_shared.bySecond[second][static_cast<std::size_t>(aEnd)]++;
  m_shared.outcomes[static_cast<std::size_t>(aEnd)]++;
  if (m_isSound && m_shared.spoils.IsSound(m_id) && m_key == m_shared.key) {
    m_shared.spoils.Ended(aEnd == CallOutcome::Served, m_startedAt, now);
  }
  m_nextAt = now + base::Duration(m_random() % kMaxPauseMs);
}

}
