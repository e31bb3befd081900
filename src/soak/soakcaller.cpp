#include "soak/soakcaller.h"

#include "eventloop/eventloop.h"
#include "standins/platformtext.h"
#include "standins/workerstandin.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

//! One request in so many comes with a key that was withdrawn.
constexpr std::uint64_t kOutdatedOneIn = 16;
constexpr base::Duration kDeadline = 4000ms;
//! Over the deadline: nothing may keep a caller longer.
constexpr base::Duration kPatience = 6000ms;
constexpr std::uint32_t kPauseMs = 60;
constexpr int kTokensPerEvent = 3;
constexpr int kMostEvents = 20;

std::string
Event(const std::string& aId, int aEvent)
{
  return fmt::format("id: {}\ndata: {}\n\n",
                     aEvent,
                     standins::WorkerStandin::AnswerText(aId, aEvent));
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
    Begin(aNow);
  } else if (m_busy && aNow - m_begunAt > kPatience) {
    DropConnection();
    CheckPart();
    End(CallEnd::Failed);
  }
}

void
SoakCaller::Begin(base::TimePoint aNow)
{
  constexpr const char* kPaths[] = { "safe", "once", "stream", "resumable" };
  const auto kind = m_random() % 4;
  const bool stream = kind >= 2;
  m_id = fmt::format("{}-{}-{}", kPaths[kind], m_index, ++m_count);
  m_events = stream ? 1 + static_cast<int>(m_random() % kMostEvents) : 0;
  m_status = 0;
  m_body.clear();
  m_begunAt = aNow;
  m_busy = true;
  const bool fresh = m_random() % 5 == 0;
  if (fresh) {
    DropConnection();
  }
  if (!m_connection || !m_connection->IsOpen()) {
    DropConnection();
    const auto& routers = m_shared.routers;
    m_connection = std::make_unique<http::ClientConnection>(
      m_shared.loop, routers[m_random() % routers.size()], *this);
  }
  standins::CallText call;
  call.method = kind == 0 ? "GET" : "POST";
  call.path = fmt::format("/{}/x", kPaths[kind]);
  call.id = m_id;
  const bool outdated =
    !m_shared.withdrawnKey.empty() && m_random() % kOutdatedOneIn == 0;
  call.key = outdated ? m_shared.withdrawnKey : m_shared.key;
  call.deadlineMs = kDeadline.count();
  call.body = kind == 0 ? "" : "body of " + m_id;
  if (stream) {
    call.promptTokens = 300;
    call.outputTokens = static_cast<std::uint32_t>(m_events * kTokensPerEvent);
    call.promptParts =
      fmt::format("{:x}:200,{:x}:100", 1 + m_random() % 5, m_random());
  }
  m_connection->Send(standins::EncodeCall(call));
}

std::string
SoakCaller::ExpectedBody() const
{
  if (m_events == 0) {
    return standins::WorkerStandin::AnswerText(m_id, 0);
  }
  std::string text;
  for (int i = 1; i <= m_events; ++i) {
    text += Event(m_id, i);
  }
  return text;
}

http::IClientEvents::HeadVerdict
SoakCaller::OnAnswerHead(http::ClientConnection&, http::ResponseHead&& aHead)
{
  m_status = aHead.status;
  const auto id = standins::AnsweredRequest(aHead.headers);
  const bool own = id.empty() || id == m_id;
  m_shared.promises.Check(
    Promise::OwnWholeAnswer, own, m_id + " got the answer of " + id);
  return HeadVerdict::Take;
}

void
SoakCaller::OnAnswerBody(http::ClientConnection&, std::string_view aBytes)
{
  if (m_body.empty() && m_status == 200) {
    const auto took = m_shared.loop.Now() - m_begunAt;
    m_shared.firstByteMs.Add(static_cast<double>(took.count()));
  }
  m_body += aBytes;
}

void
SoakCaller::CheckSuccess()
{
  m_shared.promises.Check(Promise::OwnWholeAnswer,
                          m_body == ExpectedBody(),
                          m_id + " got another body than its own");
}

//! What came of a stream before it broke off is its beginning.
void
SoakCaller::CheckPart()
{
  if (m_events > 0 && m_status == 200) {
    m_shared.promises.Check(Promise::StreamInOrder,
                            ExpectedBody().starts_with(m_body),
                            m_id + " has parts out of order");
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
    CheckPart();
    End(CallEnd::Served);
    return;
  }
  const bool notRun = m_status == 503 || m_status == 429;
  if (notRun) {
    m_shared.promises.ToldNotRun(m_id);
  }
  End(notRun ? CallEnd::Refused : CallEnd::Failed);
}

void
SoakCaller::OnFailed(http::ClientConnection&, http::ClientFailure)
{
  DropConnection();
  CheckPart();
  End(CallEnd::Failed);
}

void
SoakCaller::OnIdleClosed(http::ClientConnection&)
{
  DropConnection();
}

void
SoakCaller::End(CallEnd aEnd)
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
  m_shared.ends[static_cast<std::size_t>(aEnd)]++;
  m_nextAt = now + base::Duration(m_random() % kPauseMs);
}

}
