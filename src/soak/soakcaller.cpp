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

std::string
FormatEvent(const std::string& aId, int aEvent)
{
  return fmt::format("id: {}\ndata: {}\n\n",
                     aEvent,
                     standins::UpstreamStandin::AnswerText(aId, aEvent));
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
  if (!m_busy && !m_stopped && aNow >= m_nextAt) {
    StartCall(aNow);
  } else if (m_busy && aNow - m_startedAt > kCallTimeout) {
    DropConnection();
    CheckStreamPrefix();
    EndCall(CallOutcome::Failed);
  }
}

void
SoakCaller::StartCall(base::TimePoint aNow)
{
  constexpr const char* kPaths[] = { "safe", "once", "stream", "resumable" };
  const auto kind = m_random() % 4;
  const bool stream = kind >= 2;
  m_id = fmt::format("{}-{}-{}", kPaths[kind], m_index, ++m_count);
  m_events = stream ? 1 + static_cast<int>(m_random() % kMaxEvents) : 0;
  m_status = 0;
  m_body.clear();
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
  standins::CallText call;
  call.method = kind == 0 ? "GET" : "POST";
  call.path = fmt::format("/{}/x", kPaths[kind]);
  call.id = m_id;
  const bool useRevokedKey =
    !m_shared.revokedKey.empty() && m_random() % kRevokedKeyOneIn == 0;
  call.key = useRevokedKey ? m_shared.revokedKey : m_shared.key;
  call.deadlineMs = kDeadline.count();
  call.body = kind == 0 ? "" : "body of " + m_id;
  if (stream) {
    call.promptTokens = 300;
    call.outputTokens = static_cast<std::uint32_t>(m_events * kTokensPerEvent);
    call.promptParts =
      fmt::format("{:x}:200,{:x}:100", 1 + m_random() % 5, m_random());
  }
  m_shared.signals.Sent(m_id, m_router, aNow);
  m_connection->Send(standins::EncodeCall(call));
}

std::string
SoakCaller::ExpectedBody() const
{
  if (m_events == 0) {
    return standins::UpstreamStandin::AnswerText(m_id, 0);
  }
  std::string text;
  for (int i = 1; i <= m_events; ++i) {
    text += FormatEvent(m_id, i);
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
                            m_body == ExpectedBody(),
                            m_id + " got an unexpected response body");
}

//! Checks that the received part of a stream is a prefix of the expected body,
//! also if the stream was cut.
void
SoakCaller::CheckStreamPrefix()
{
  if (m_events > 0 && m_status == 200) {
    m_shared.guarantees.Check(
      Guarantee::StreamInOrder,
      ExpectedBody().starts_with(m_body),
      m_id + " has stream events that are missing, repeated or out of order");
  }
}

void
SoakCaller::OnAnswerEnd(http::ClientConnection&, bool aReusable)
{
  if (!aReusable) {
    DropConnection();
  }
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
  EndCall(notRun ? CallOutcome::Refused : CallOutcome::Failed);
}

void
SoakCaller::OnFailed(http::ClientConnection&, http::ClientFailure)
{
  DropConnection();
  CheckStreamPrefix();
  EndCall(CallOutcome::Failed);
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
  m_nextAt = now + base::Duration(m_random() % kMaxPauseMs);
}

}
