#include "standins/upstreamstandin.h"

#include "eventloop/eventloop.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace hemlockgauge::standins {

using http::Framing;

namespace {

constexpr base::Duration kTickInterval(2);
constexpr std::string_view kAttemptIdField = "Hemlockgauge-Attempt-Id";
constexpr std::string_view kLeavingField = "Server-Leaving";
constexpr int kTokensPerEvent = 3;
constexpr int kMaxEvents = 64;
//! Bytes without end are sent whenever fewer than this are waiting to be sent.
constexpr std::size_t kEndlessBytesAhead = 262144;
constexpr std::size_t kEndlessPieceBytes = 16384;
//! Sizes below the limits of 64 KiB for heads and events.
constexpr std::size_t kLargeHeadBytes = 60000;
constexpr std::size_t kStalledEventBytes = 60000;
constexpr std::size_t kLargeBodyBytes = 204800;
constexpr std::array<std::string_view, 6> kRouterOnlyFields{
  "Hemlockgauge-Retention",
  "Hemlockgauge-Pin-Ms",
  "Hemlockgauge-Kv-Backup",
  "Kv-From",
  "Kv-Fetch",
  "Connection"
};

std::string
ValueOrEmpty(const http::HeaderList& aHeaders, std::string_view aName)
{
  return std::string(aHeaders.Find(aName).value_or(""));
}

//! Returns the number of events to stream for the token counts
//! "PROMPT,OUTPUT"; 0 if there are none.
int
EventCount(const std::string& aTokens)
{
  const auto comma = aTokens.find(',');
  if (comma == std::string::npos) {
    return 0;
  }
  const int output = std::stoi(aTokens.substr(comma + 1));
  return std::clamp(output / kTokensPerEvent, 1, kMaxEvents);
}

bool
IsEndless(UpstreamFault aFault)
{
  return aFault >= UpstreamFault::EndlessHead &&
         aFault <= UpstreamFault::EndlessForeign;
}

//! What a response of this fault consists of, over and over.
std::string
EndlessPiece(UpstreamFault aFault)
{
  const std::string_view unit = aFault == UpstreamFault::EndlessHead
                                  ? "X-Filler: filler\r\n"
                                : aFault == UpstreamFault::EndlessInterim
                                  ? "HTTP/1.1 102 Processing\r\n\r\n"
                                  : "filler ";
  std::string piece;
  while (piece.size() < kEndlessPieceBytes) {
    piece += unit;
  }
  return piece;
}

bool
PlainEndsByClose(UpstreamFault aFault)
{
  return aFault == UpstreamFault::NoLength ||
         aFault == UpstreamFault::EmptyNoLength ||
         aFault == UpstreamFault::CrashAfterBytes;
}

//! Whether a stream with this fault has neither a length nor chunks.
bool
EndsByClose(UpstreamFault aFault)
{
  return aFault == UpstreamFault::NoLength ||
         aFault == UpstreamFault::NoLengthCut ||
         aFault == UpstreamFault::EmptyNoLength ||
         aFault == UpstreamFault::CrashAfterEvent;
}

}

UpstreamStandin::UpstreamStandin(eventloop::EventLoop& aLoop,
                                 const UpstreamStandinSettings& aSettings)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_faultSelector([](const UpstreamRun&) { return UpstreamFault::None; })
  , m_observer([](const UpstreamRun&) {})
  , m_connections(aLoop, m_limits, *this)
  , m_listener(aLoop, aSettings.listen, [this](const ACE_SOCK_Stream& aStream) {
    m_connections.Add(aStream);
  })
{
  m_limits.maxHeadBytes = aSettings.maxHeadBytes;
  m_loop.SchedulePeriodic(kTickInterval, [this] { Tick(); });
}

UpstreamStandin::~UpstreamStandin() = default;

std::string
UpstreamStandin::AnswerText(const std::string& aRequestId, int aEvent)
{
  return fmt::format("{}.{}", aRequestId, aEvent);
}

std::string
UpstreamStandin::EventText(const std::string& aRequestId,
                           int aEvent,
                           const std::string& aSoftwareVersion)
{
  const auto version = aSoftwareVersion.empty()
                         ? std::string()
                         : fmt::format("event: {}\n", aSoftwareVersion);
  return fmt::format(
    "id: {}\n{}data: {}\n\n", aEvent, version, AnswerText(aRequestId, aEvent));
}

void
UpstreamStandin::OnRequest(http::ServerConnection& aConnection,
                           http::RequestHead&& aHead,
                           std::string&& aBody)
{
  const auto& headers = aHead.headers;
  if (ValueOrEmpty(headers, "Hemlockgauge-Expect-Instance") != m_settings.id) {
    instanceMismatches++;
    SendResponse(aConnection,
                 421,
                 "Hemlockgauge-Instance-Id: " + m_settings.id + "\r\n",
                 "");
    return;
  }
  m_arrivals++;
  auto run = std::make_unique<UpstreamRun>();
  run->requestId = ValueOrEmpty(headers, kAttemptIdField);
  run->target = aHead.target;
  run->workspace = ValueOrEmpty(headers, "Hemlockgauge-Tenant");
  run->lastEventId = ValueOrEmpty(headers, "Last-Event-Id");
  run->resumedRequestId = ValueOrEmpty(headers, "Resumes");
  run->promptParts = ValueOrEmpty(headers, "Hemlockgauge-Prefix-Hash");
  run->body = std::move(aBody);
  run->receivedCallerKey = headers.Find("Authorization").has_value();
  run->receivedRouterOnlyField =
    std::any_of(kRouterOnlyFields.begin(),
                kRouterOnlyFields.end(),
                [&](auto aName) { return headers.Find(aName).has_value(); });
  const auto deadline = ValueOrEmpty(headers, "Hemlockgauge-Deadline-Ms");
  run->deadlineMs = deadline.empty() ? -1 : std::stoll(deadline);
  if (ExceedsColdLimit()) {
    Crash();
    return;
  }
  const auto fault = m_faultSelector(*run);
  if (fault == UpstreamFault::Shed ||
      m_activeWork.size() >= 4 * std::size_t{ m_settings.slots }) {
    Refuse(aConnection, *run);
    return;
  }
  Work work;
  work.connection = &aConnection;
  work.run = run.get();
  work.fault = fault;
  work.spoil = m_spoil;
  work.cut = m_cut;
  work.nextAt = m_loop.Now();
  if (fault != UpstreamFault::Spoiled || !m_spoil.atOnce) {
    work.nextAt += m_settings.workTime;
  }
  if (m_settings.isEngine) {
    work.events = EventCount(ValueOrEmpty(headers, "Hemlockgauge-Token-Count"));
    work.sent = run->lastEventId.empty() ? 0 : std::stoi(run->lastEventId);
  }
  m_activeWork.push_back(work);
  m_runs.push_back(std::move(run));
  if (fault != UpstreamFault::EndlessRefusal) { // which runs nothing
    m_observer(*work.run);
  }
}

void
UpstreamStandin::Refuse(http::ServerConnection& aConnection,
                        const UpstreamRun& aRun)
{
  std::string fields;
  http::AppendField(fields, "Hemlockgauge-Not-Executed", "1");
  http::AppendField(fields, kAttemptIdField, aRun.requestId);
  if (m_retryAfter > base::Duration{}) {
    const auto seconds = static_cast<double>(m_retryAfter.count()) / 1000;
    http::AppendField(fields, "Retry-After", fmt::format("{}", seconds));
  }
  SendResponse(aConnection, 503, fields, "");
  if (m_refusalObserver) {
    m_refusalObserver(aRun, m_retryAfter);
  }
}

std::string
UpstreamStandin::ResponseHead(const Work& aWork, int aStatus) const
{
  std::string head;
  http::AppendStatusLine(head, aStatus, aStatus == 200 ? "OK" : "Failure");
  http::AppendField(head, kAttemptIdField, aWork.run->requestId);
  if (aWork.fault != UpstreamFault::NoResponseSeal) {
    http::AppendField(
      head,
      "Hemlockgauge-Response-Seal",
      fmt::format("{}/{}", m_settings.id, aWork.run->requestId));
  }
  http::AppendField(head, "Keep-Alive", "timeout=10");
  http::AppendField(
    head,
    "Hemlockgauge-Instance-Load",
    fmt::format("{},0,{}", m_activeWork.size(), m_settings.slots));
  if (m_leaving) {
    http::AppendField(head, kLeavingField, "1");
  }
  if (aWork.events > 0) {
    const bool hasOtherType = aWork.fault == UpstreamFault::OtherType;
    http::AppendField(
      head, "Content-Type", hasOtherType ? "text/plain" : "text/event-stream");
  }
  return head;
}

void
UpstreamStandin::SendResponse(http::ServerConnection& aConnection,
                              int aStatus,
                              const std::string& aExtraHead,
                              const std::string& aBody)
{
  std::string head;
  http::AppendStatusLine(head, aStatus, "Answer");
  head += aExtraHead;
  if (m_leaving) {
    http::AppendField(head, kLeavingField, "1");
  }
  aConnection.BeginAnswer(head, Framing::Length, aBody.size());
  aConnection.Write(aBody);
  aConnection.EndAnswer();
}

void
UpstreamStandin::Crash()
{
  if (m_crashed) {
    return;
  }
  m_crashed = true;
  if (m_onCrash) {
    m_onCrash();
  }
  m_activeWork.clear();
  m_listener.Close();
  m_connections.AbortAll();
}

void
UpstreamStandin::TurnCold(base::Duration aFor)
{
  m_coldUntil = m_loop.Now() + aFor;
}

bool
UpstreamStandin::IsCold() const
{
  return m_loop.Now() < m_coldUntil;
}

bool
UpstreamStandin::ExceedsColdLimit()
{
  constexpr base::Duration kSecond(1000);
  if (m_settings.coldLimit == 0 || !IsCold()) {
    return false;
  }
  const auto now = m_loop.Now();
  m_coldRequestTimes.push_back(now);
  std::erase_if(m_coldRequestTimes,
                [&](base::TimePoint aAt) { return now - aAt >= kSecond; });
  return m_coldRequestTimes.size() > m_settings.coldLimit;
}

void
UpstreamStandin::Tick()
{
  const auto now = m_loop.Now();
  for (std::size_t i = 0; i < m_activeWork.size();) {
    const bool due = now >= m_activeWork[i].nextAt;
    if (due && Advance(m_activeWork[i])) {
      auto work = m_activeWork[i];
      m_activeWork.erase(m_activeWork.begin() + static_cast<std::ptrdiff_t>(i));
      EndRun(work, false);
    } else {
      ++i;
    }
  }
}

bool
UpstreamStandin::Advance(Work& aWork)
{
  aWork.nextAt += m_settings.workTime;
  switch (aWork.fault) {
    case UpstreamFault::Mute:
      return false;
    case UpstreamFault::Crash:
      m_loop.Defer([this] { Crash(); });
      return false;
    case UpstreamFault::CloseUnanswered:
      aWork.connection->Abort();
      return true;
    case UpstreamFault::Rubbish:
      aWork.connection->BeginAnswer("rubbish\r\n", Framing::UntilClose);
      aWork.connection->EndAnswer();
      return true;
    case UpstreamFault::Fail:
      aWork.connection->BeginAnswer(
        ResponseHead(aWork, 500), Framing::Length, 0);
      aWork.connection->EndAnswer();
      return true;
    case UpstreamFault::CutShort:
      SendCutShort(aWork);
      return true;
    case UpstreamFault::StalledHead:
    case UpstreamFault::StalledEvent:
      if (!aWork.headSent) {
        aWork.headSent = true;
        BeginStalled(aWork);
      }
      return false;
    default:
      break;
  }
  if (IsEndless(aWork.fault)) {
    AdvanceEndless(aWork);
    return false;
  }
  return aWork.events > 0 ? AdvanceStream(aWork) : AdvancePlain(aWork);
}

//! Header fields of four bytes each.
std::string
UpstreamStandin::LargeHeadText(const Work& aWork) const
{
  auto text = ResponseHead(aWork, 200);
  while (text.size() < kLargeHeadBytes) {
    text += "a:\r\n";
  }
  return text;
}

void
UpstreamStandin::BeginStalled(const Work& aWork)
{
  auto& connection = *aWork.connection;
  if (aWork.fault == UpstreamFault::StalledHead) {
    // The line end that follows is that of the last field, not of the head.
    const auto head = LargeHeadText(aWork);
    connection.BeginAnswer(head.substr(0, head.size() - 2),
                           Framing::UntilClose);
    return;
  }
  connection.BeginAnswer(ResponseHead(aWork, 200), Framing::Chunked);
  connection.Write("id: 1\ndata: " + std::string(kStalledEventBytes, 'd'));
}

void
UpstreamStandin::BeginEndless(const Work& aWork)
{
  auto& connection = *aWork.connection;
  std::string fields;
  switch (aWork.fault) {
    case UpstreamFault::EndlessHead:
      // The line end that follows is that of the field, not of the head.
      connection.BeginAnswer("HTTP/1.1 200 OK\r\nX-Filler: filler",
                             Framing::UntilClose);
      return;
    case UpstreamFault::EndlessInterim:
      connection.BeginAnswer("HTTP/1.1 102 Processing\r\n",
                             Framing::UntilClose);
      return;
    case UpstreamFault::EndlessRefusal:
      http::AppendStatusLine(fields, 503, "Unavailable");
      http::AppendField(fields, "Hemlockgauge-Not-Executed", "1");
      http::AppendField(fields, kAttemptIdField, aWork.run->requestId);
      connection.BeginAnswer(fields, Framing::Chunked);
      return;
    case UpstreamFault::EndlessForeign:
      http::AppendStatusLine(fields, 200, "OK");
      http::AppendField(fields, kAttemptIdField, "other");
      http::AppendField(fields, "Hemlockgauge-Response-Seal", "x");
      connection.BeginAnswer(fields, Framing::Chunked);
      return;
    default:
      connection.BeginAnswer(ResponseHead(aWork, 200), Framing::Chunked);
  }
}

//! Sends as fast as the peer reads, until it closes the connection.
void
UpstreamStandin::AdvanceEndless(Work& aWork)
{
  if (!aWork.headSent) {
    aWork.headSent = true;
    BeginEndless(aWork);
  }
  aWork.nextAt = m_loop.Now();
  const auto piece = EndlessPiece(aWork.fault);
  while (aWork.connection->UnsentBytes() < kEndlessBytesAhead) {
    aWork.connection->Write(piece);
  }
}

//! Sends the beginning of a whole answer, and closes the connection in order.
void
UpstreamStandin::SendCutShort(const Work& aWork)
{
  std::string text = ResponseHead(aWork, 200);
  if (aWork.events > 0) {
    http::AppendField(text, "Transfer-Encoding", "chunked");
    text += "\r\n";
    for (int event = aWork.sent + 1; event <= aWork.events; ++event) {
      http::AppendChunk(
        text,
        EventText(aWork.run->requestId, event, m_settings.softwareVersion));
    }
    text += http::kLastChunk;
  } else {
    const auto body = AnswerText(aWork.run->requestId, 0);
    http::AppendNumberField(text, "Content-Length", body.size());
    text += "\r\n" + body;
  }
  aWork.connection->CloseAfterAnswer();
  aWork.connection->Write(std::string_view(text).substr(0, aWork.cut));
  aWork.connection->EndAnswer();
}

bool
UpstreamStandin::AdvancePlain(Work& aWork)
{
  auto& connection = *aWork.connection;
  auto body = AnswerText(aWork.run->requestId, 0);
  if (aWork.fault == UpstreamFault::LargeBody) {
    body.resize(kLargeBodyBytes, 'b');
  }
  const auto other = "HTTP/1.1 200 OK\r\nHemlockgauge-Attempt-Id: other\r\n"
                     "Hemlockgauge-Response-Seal: x\r\nContent-Length: 5\r\n"
                     "\r\nother";
  if (PlainEndsByClose(aWork.fault)) {
    const auto sent = aWork.fault == UpstreamFault::NoLength ? body.size()
                      : aWork.fault == UpstreamFault::CrashAfterBytes
                        ? body.size() / 2
                        : 0;
    connection.CloseAfterAnswer();
    connection.BeginAnswer(ResponseHead(aWork, 200), Framing::UntilClose);
    connection.Write(body.substr(0, sent));
    connection.EndAnswer();
    if (aWork.fault == UpstreamFault::CrashAfterBytes) {
      m_loop.Defer([this] { Crash(); });
    }
    return true;
  }
  if (aWork.fault == UpstreamFault::BreakOff) {
    connection.BeginAnswer(
      ResponseHead(aWork, 200), Framing::Length, body.size() + 9);
    connection.Write(body);
    connection.Abort();
    return true;
  }
  auto bytes = aWork.fault == UpstreamFault::LargeHead
                 ? LargeHeadText(aWork)
                 : ResponseHead(aWork, 200);
  http::AppendNumberField(bytes, "Content-Length", body.size());
  if (aWork.fault == UpstreamFault::ForeignAnswer) {
    bytes = other + bytes;
  }
  connection.BeginAnswer(bytes, Framing::UntilClose);
  connection.Write(body);
  if (aWork.fault == UpstreamFault::ExtraAnswer) {
    connection.Write(other);
  }
  connection.EndAnswer();
  return true;
}

void
UpstreamStandin::BeginStream(Work& aWork)
{
  auto& connection = *aWork.connection;
  aWork.headSent = true;
  const bool endsByClose = EndsByClose(aWork.fault);
  if (endsByClose) {
    connection.CloseAfterAnswer();
  }
  connection.BeginAnswer(ResponseHead(aWork, 200),
                         endsByClose ? Framing::UntilClose : Framing::Chunked);
}

void
UpstreamStandin::SendSpoil(Work& aWork)
{
  const int position = std::min(aWork.spoil.before, aWork.events + 1);
  if (aWork.fault != UpstreamFault::Spoiled || aWork.isSpoilSent ||
      aWork.sent + 1 < position) {
    return;
  }
  aWork.isSpoilSent = true;
  std::string text;
  if (aWork.spoil.joinsEvent && aWork.sent < aWork.events) {
    text =
      EventText(aWork.run->requestId, ++aWork.sent, m_settings.softwareVersion);
  }
  aWork.connection->Write(text +
                          SpoiledEventText(aWork.spoil.kind, aWork.sent + 1));
}

bool
UpstreamStandin::AdvanceStream(Work& aWork)
{
  auto& connection = *aWork.connection;
  if (!aWork.headSent) {
    BeginStream(aWork);
  }
  if (aWork.fault == UpstreamFault::NoEvents ||
      aWork.fault == UpstreamFault::EmptyNoLength) {
    connection.EndAnswer();
    return true;
  }
  SendSpoil(aWork);
  const auto text =
    EventText(aWork.run->requestId, aWork.sent + 1, m_settings.softwareVersion);
  const bool isHalfSent = aWork.sent >= aWork.events / 2;
  if (aWork.fault == UpstreamFault::BreakOff && isHalfSent) {
    connection.Write(text.substr(0, text.size() / 2));
    connection.Abort();
    return true;
  }
  if (aWork.fault == UpstreamFault::NoLengthCut && isHalfSent) {
    connection.Write(text.substr(0, text.size() / 2));
    connection.EndAnswer();
    return true;
  }
  if (aWork.sent < aWork.events) {
    connection.Write(text);
    aWork.sent++;
  }
  if (aWork.fault == UpstreamFault::CrashAfterEvent) {
    connection.EndAnswer();
    m_loop.Defer([this] { Crash(); });
    return true;
  }
  if (aWork.sent < aWork.events) {
    return false;
  }
  SendSpoil(aWork);
  connection.EndAnswer();
  return true;
}

void
UpstreamStandin::EndRun(Work& aWork, bool aCancelled)
{
  aWork.run->ended = true;
  aWork.run->cancelled = aCancelled;
  m_observer(*aWork.run);
}

void
UpstreamStandin::OnBadRequest(http::ServerConnection& aConnection, http::Fault)
{
  SendResponse(aConnection, 400, "", "");
}

void
UpstreamStandin::OnPeerGone(http::ServerConnection& aConnection)
{
  for (std::size_t i = 0; i < m_activeWork.size(); ++i) {
    if (m_activeWork[i].connection == &aConnection) {
      auto work = m_activeWork[i];
      m_activeWork.erase(m_activeWork.begin() + static_cast<std::ptrdiff_t>(i));
      EndRun(work, true);
      return;
    }
  }
}

void
UpstreamStandin::OnClosed(http::ServerConnection& aConnection)
{
  m_connections.Forget(aConnection);
}

}
