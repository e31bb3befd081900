#include "standins/workerstandin.h"

#include "eventloop/eventloop.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace hemlockgauge::standins {

using http::Framing;

namespace {

constexpr base::Duration kTick(2);
constexpr std::string_view kId = "Hemlockgauge-Attempt-Id";
constexpr int kTokensPerEvent = 3;
constexpr int kMostEvents = 64;
constexpr std::array<std::string_view, 6> kRouterOnly{ "Hemlockgauge-Retention",
                                                       "Hemlockgauge-Pin-Ms",
                                                       "Hemlockgauge-Kv-Backup",
                                                       "Kv-From",
                                                       "Kv-Fetch",
                                                       "Connection" };

std::string
ValueOr(const http::HeaderList& aHeaders, std::string_view aName)
{
  const auto* value = aHeaders.Find(aName);
  return value == nullptr ? "" : *value;
}

//! Events of a stream, from "PROMPT,OUTPUT".
int
EventsOf(const std::string& aTokens)
{
  const auto comma = aTokens.find(',');
  if (comma == std::string::npos) {
    return 0;
  }
  const int output = std::stoi(aTokens.substr(comma + 1));
  return std::clamp(output / kTokensPerEvent, 1, kMostEvents);
}

std::string
EventText(const std::string& aRequestId, int aEvent)
{
  return fmt::format("id: {}\ndata: {}\n\n",
                     aEvent,
                     WorkerStandin::AnswerText(aRequestId, aEvent));
}

}

WorkerStandin::WorkerStandin(eventloop::EventLoop& aLoop,
                             const WorkerSettings& aSettings)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_judge([](const WorkerRun&) { return Misbehaviour::None; })
  , m_observer([](const WorkerRun&) {})
  , m_connections(aLoop, m_limits, *this)
  , m_listener(aLoop, aSettings.listen, [this](const ACE_SOCK_Stream& aStream) {
    m_connections.Add(aStream);
  })
{
  m_loop.Subscribe(kTick, [this] { Tick(); });
}

WorkerStandin::~WorkerStandin() = default;

std::string
WorkerStandin::AnswerText(const std::string& aRequestId, int aEvent)
{
  return fmt::format("{}.{}", aRequestId, aEvent);
}

void
WorkerStandin::OnRequest(http::ServerConnection& aConnection,
                         http::RequestHead&& aHead,
                         std::string&& aBody)
{
  const auto& headers = aHead.headers;
  if (ValueOr(headers, "Hemlockgauge-Expect-Instance") != m_settings.id) {
    refusedForId++;
    SendPlain(aConnection,
              421,
              "Hemlockgauge-Instance-Id: " + m_settings.id + "\r\n",
              "");
    return;
  }
  auto run = std::make_unique<WorkerRun>();
  run->requestId = ValueOr(headers, kId);
  run->target = aHead.target;
  run->workspace = ValueOr(headers, "Hemlockgauge-Tenant");
  run->lastEventId = ValueOr(headers, "Last-Event-Id");
  run->body = std::move(aBody);
  run->sawKey = headers.Find("Authorization") != nullptr;
  run->sawOwnField =
    std::any_of(kRouterOnly.begin(), kRouterOnly.end(), [&](auto aName) {
      return headers.Find(aName) != nullptr;
    });
  const auto deadline = ValueOr(headers, "Hemlockgauge-Deadline-Ms");
  run->deadlineMs = deadline.empty() ? -1 : std::stoll(deadline);
  if (IsOverrun()) {
    Crash();
    return;
  }
  const auto misbehaviour = m_judge(*run);
  if (misbehaviour == Misbehaviour::Shed ||
      m_works.size() >= 4 * std::size_t{ m_settings.slots }) {
    SendPlain(aConnection,
              503,
              fmt::format("Hemlockgauge-Not-Executed: 1\r\n{}: {}\r\n",
                          kId,
                          run->requestId),
              "");
    return;
  }
  Work work;
  work.connection = &aConnection;
  work.run = run.get();
  work.misbehaviour = misbehaviour;
  work.nextAt = m_loop.Now() + m_settings.workTime;
  if (m_settings.isEngine) {
    work.events = EventsOf(ValueOr(headers, "Hemlockgauge-Token-Count"));
    work.sent = run->lastEventId.empty() ? 0 : std::stoi(run->lastEventId);
  }
  m_works.push_back(work);
  m_runs.push_back(std::move(run));
  m_observer(*work.run);
}

std::string
WorkerStandin::Head(const Work& aWork, int aStatus) const
{
  std::string head;
  http::AppendStatusLine(head, aStatus, aStatus == 200 ? "OK" : "Failure");
  http::AppendField(head, kId, aWork.run->requestId);
  if (aWork.misbehaviour != Misbehaviour::NoProof) {
    http::AppendField(
      head,
      "Hemlockgauge-Response-Seal",
      fmt::format("{}/{}", m_settings.id, aWork.run->requestId));
  }
  http::AppendField(head, "Keep-Alive", "timeout=10");
  http::AppendField(head,
                    "Hemlockgauge-Instance-Load",
                    fmt::format("{},0,{}", m_works.size(), m_settings.slots));
  if (aWork.events > 0) {
    http::AppendField(head, "Content-Type", "text/event-stream");
  }
  return head;
}

void
WorkerStandin::SendPlain(http::ServerConnection& aConnection,
                         int aStatus,
                         const std::string& aExtraHead,
                         const std::string& aBody)
{
  std::string head;
  http::AppendStatusLine(head, aStatus, "Answer");
  head += aExtraHead;
  aConnection.BeginAnswer(head, Framing::Length, aBody.size());
  aConnection.Write(aBody);
  aConnection.EndAnswer();
}

void
WorkerStandin::Crash()
{
  if (m_crashed) {
    return;
  }
  m_crashed = true;
  if (m_onCrash) {
    m_onCrash();
  }
  m_works.clear();
  m_listener.Close();
  m_connections.AbortAll();
}

void
WorkerStandin::TurnCold(base::Duration aFor)
{
  m_coldUntil = m_loop.Now() + aFor;
}

bool
WorkerStandin::IsCold() const
{
  return m_loop.Now() < m_coldUntil;
}

bool
WorkerStandin::IsOverrun()
{
  constexpr base::Duration kSecond(1000);
  if (m_settings.coldLimit == 0 || !IsCold()) {
    return false;
  }
  const auto now = m_loop.Now();
  m_taken.push_back(now);
  std::erase_if(m_taken,
                [&](base::TimePoint aAt) { return now - aAt >= kSecond; });
  return m_taken.size() > m_settings.coldLimit;
}

void
WorkerStandin::Tick()
{
  const auto now = m_loop.Now();
  for (std::size_t i = 0; i < m_works.size();) {
    const bool due = now >= m_works[i].nextAt;
    if (due && Advance(m_works[i])) {
      auto work = m_works[i];
      m_works.erase(m_works.begin() + static_cast<std::ptrdiff_t>(i));
      End(work, false);
    } else {
      ++i;
    }
  }
}

bool
WorkerStandin::Advance(Work& aWork)
{
  aWork.nextAt += m_settings.workTime;
  switch (aWork.misbehaviour) {
    case Misbehaviour::Mute:
      return false;
    case Misbehaviour::Crash:
      m_loop.Defer([this] { Crash(); });
      return false;
    case Misbehaviour::CloseUnanswered:
      aWork.connection->Abort();
      return true;
    case Misbehaviour::Rubbish:
      aWork.connection->BeginAnswer("rubbish\r\n", Framing::UntilClose);
      aWork.connection->EndAnswer();
      return true;
    case Misbehaviour::Fail:
      aWork.connection->BeginAnswer(Head(aWork, 500), Framing::Length, 0);
      aWork.connection->EndAnswer();
      return true;
    default:
      return aWork.events > 0 ? AdvanceStream(aWork) : AdvancePlain(aWork);
  }
}

bool
WorkerStandin::AdvancePlain(Work& aWork)
{
  auto& connection = *aWork.connection;
  const auto body = AnswerText(aWork.run->requestId, 0);
  const auto other = "HTTP/1.1 200 OK\r\nHemlockgauge-Attempt-Id: other\r\n"
                     "Hemlockgauge-Response-Seal: x\r\nContent-Length: 5\r\n"
                     "\r\nother";
  if (aWork.misbehaviour == Misbehaviour::NoLength) {
    connection.CloseAfterAnswer();
    connection.BeginAnswer(Head(aWork, 200), Framing::UntilClose);
    connection.Write(body);
    connection.EndAnswer();
    return true;
  }
  if (aWork.misbehaviour == Misbehaviour::BreakOff) {
    connection.BeginAnswer(Head(aWork, 200), Framing::Length, body.size() + 9);
    connection.Write(body);
    connection.Abort();
    return true;
  }
  auto bytes = Head(aWork, 200);
  http::AppendNumberField(bytes, "Content-Length", body.size());
  if (aWork.misbehaviour == Misbehaviour::ForeignAnswer) {
    bytes = other + bytes;
  }
  connection.BeginAnswer(bytes, Framing::UntilClose);
  connection.Write(body);
  if (aWork.misbehaviour == Misbehaviour::ExtraAnswer) {
    connection.Write(other);
  }
  connection.EndAnswer();
  return true;
}

bool
WorkerStandin::AdvanceStream(Work& aWork)
{
  auto& connection = *aWork.connection;
  if (!aWork.begun) {
    aWork.begun = true;
    connection.BeginAnswer(Head(aWork, 200), Framing::Chunked);
  }
  const auto text = EventText(aWork.run->requestId, aWork.sent + 1);
  const bool halfWay = aWork.sent >= aWork.events / 2;
  if (aWork.misbehaviour == Misbehaviour::BreakOff && halfWay) {
    connection.Write(text.substr(0, text.size() / 2));
    connection.Abort();
    return true;
  }
  if (aWork.sent < aWork.events) {
    connection.Write(text);
    aWork.sent++;
  }
  if (aWork.sent < aWork.events) {
    return false;
  }
  connection.EndAnswer();
  return true;
}

void
WorkerStandin::End(Work& aWork, bool aCancelled)
{
  aWork.run->ended = true;
  aWork.run->cancelled = aCancelled;
  m_observer(*aWork.run);
}

void
WorkerStandin::OnBadRequest(http::ServerConnection& aConnection, http::Fault)
{
  SendPlain(aConnection, 400, "", "");
}

void
WorkerStandin::OnPeerGone(http::ServerConnection& aConnection)
{
  for (std::size_t i = 0; i < m_works.size(); ++i) {
    if (m_works[i].connection == &aConnection) {
      auto work = m_works[i];
      m_works.erase(m_works.begin() + static_cast<std::ptrdiff_t>(i));
      End(work, true);
      return;
    }
  }
}

void
WorkerStandin::OnClosed(http::ServerConnection& aConnection)
{
  m_connections.Forget(aConnection);
}

}
