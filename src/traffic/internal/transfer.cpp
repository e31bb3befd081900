#include "traffic/internal/transfer.h"

#include "base/monotonicclock.h"
#include "base/retryafter.h"
#include "http/eventfields.h"
#include "http/httptypes.h"
#include "traffic/internal/urlescape.h"

#include <algorithm>
#include <strings.h>

namespace hemlockgauge::traffic {

using decision::AttemptOutcome;

namespace {

using namespace std::chrono_literals;

constexpr long kConnectTimeoutMs = 1000;
constexpr std::uint32_t kMaxResumesWithoutProgress = 4;
constexpr base::Duration kResumeDelay = 50ms;
//! A process that ends may close a connection before it stops listening.
constexpr base::Duration kEndCheckDelay = 100ms;
constexpr long kOk = 200;
constexpr long kNoContent = 204;
constexpr long kNotModified = 304;
constexpr long kNotFound = 404;
constexpr long kUnavailable = 503;

//! Returns the trimmed value of a header line if its name is aName, ignoring
//! case.
std::optional<std::string>
HeaderValue(std::string_view aLine, std::string_view aName)
{
  const bool named = aLine.size() > aName.size() &&
                     aLine[aName.size()] == ':' &&
                     strncasecmp(aLine.data(), aName.data(), aName.size()) == 0;
  if (!named) {
    return std::nullopt;
  }
  auto value = aLine.substr(aName.size() + 1);
  const auto first = value.find_first_not_of(" \t");
  const auto last = value.find_last_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return std::string();
  }
  return std::string(value.substr(first, last - first + 1));
}

AnswerReader
MakeReader(const Exchange& aExchange)
{
  const auto& request = aExchange.Request();
  if (request.service->kind == document::UpstreamKind::ModelEngine) {
    return EventStreamAnswer(request.idText);
  }
  return PlainAnswer();
}

}

Transfer::Transfer(std::shared_ptr<Exchange> aExchange,
                   const decision::SendRequest& aSend)
  : m_exchange(std::move(aExchange))
  , m_send(aSend)
  , m_reader(MakeReader(*m_exchange))
{
}

Transfer::~Transfer()
{
  CloseHandle();
}

void
Transfer::CloseHandle()
{
  if (m_handle != nullptr) {
    curl_easy_cleanup(m_handle);
    m_handle = nullptr;
  }
  curl_slist_free_all(m_headers);
  m_headers = nullptr;
}

bool
Transfer::IsModelEngine() const
{
  return m_exchange->Request().service->kind ==
         document::UpstreamKind::ModelEngine;
}

std::string
Transfer::StreamUrl() const
{
  return "http://" + m_send.address.Text() + "/v1/streams/" +
         m_exchange->Request().idText;
}

CURL*
Transfer::Open(base::TimePoint aNow)
{
  CloseHandle();
  m_now = aNow;
  m_lastProgressAt = aNow;
  m_handle = curl_easy_init();
  if (m_checksEnd) {
    SetEndCheckOptions();
    return m_handle;
  }
  ResetHead();
  m_rejectedAnswer = false;
  m_paused = false;
  m_pauseRequested = false;
  if (auto* stream = std::get_if<EventStreamAnswer>(&m_reader)) {
    stream->Restart();
    m_offsetAtStart = stream->Offset();
  }
  SetRequestOptions();
  return m_handle;
}

//! The check only connects to the upstream, so that it runs nothing.
void
Transfer::SetEndCheckOptions()
{
  const auto url = "http://" + m_send.address.Text();
  curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
  curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(m_handle, CURLOPT_CONNECT_ONLY, 1L);
}

void
Transfer::SetRequestOptions()
{
  const auto& request = m_exchange->Request();
  auto* curl = m_handle;
  curl_easy_setopt(curl, CURLOPT_PRIVATE, this);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, &Transfer::OnProgress);
  curl_easy_setopt(curl, CURLOPT_XFERINFODATA, this);
  const auto idHeader = "X-Request-Id: " + request.idText;
  m_headers = curl_slist_append(m_headers, idHeader.c_str());
  // Without an empty Expect header libcurl waits for "100 Continue" before it
  // sends larger bodies.
  m_headers = curl_slist_append(m_headers, "Expect:");
  if (!request.idempotencyKey.empty()) {
    const auto header = "Idempotency-Key: " + request.idempotencyKey;
    m_headers = curl_slist_append(m_headers, header.c_str());
  }
  const bool first = !m_sent;
  if (!first) {
    const auto url = StreamUrl() + "?from=" + std::to_string(m_offsetAtStart);
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, m_headers);
    return;
  }
  const auto query = request.query.empty() ? "" : "?" + request.query;
  const auto url =
    "http://" + m_send.address.Text() + EscapeUrl(request.path, "/") + query;
  const auto type =
    "Content-Type: " + (request.contentType.empty() ? "application/octet-stream"
                                                    : request.contentType);
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  if (request.method == "GET") {
    curl_easy_setopt(curl, CURLOPT_HTTPGET, 1L);
  } else {
    m_headers = curl_slist_append(m_headers, type.c_str());
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(curl,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
  // On a reused connection that turns out to be closed, libcurl sends the
  // request again, although the upstream may have read the first copy.
  if (!request.repeatable) {
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, m_headers);
}

std::size_t
Transfer::OnBody(char* aData,
                 std::size_t aSize,
                 std::size_t aCount,
                 void* aSelf)
{
  auto& self = *static_cast<Transfer*>(aSelf);
  return self.HandleBody({ aData, aSize * aCount });
}

std::size_t
Transfer::OnHeader(char* aData,
                   std::size_t aSize,
                   std::size_t aCount,
                   void* aSelf)
{
  static_cast<Transfer*>(aSelf)->HandleHeader({ aData, aSize * aCount });
  return aSize * aCount;
}

int
Transfer::OnProgress(void* aSelf,
                     curl_off_t,
                     curl_off_t,
                     curl_off_t,
                     curl_off_t)
{
  return static_cast<Transfer*>(aSelf)->m_exchange->IsCallerGone() ? 1 : 0;
}

void
Transfer::ResetHead()
{
  m_status = 0;
  m_headIsComplete = false;
  m_hasLengthOrChunks = false;
  m_contentType.clear();
  m_answerRequestId.clear();
  m_refusedByUpstream = false;
  m_retryAfter = {};
}

void
Transfer::HandleHeader(std::string_view aLine)
{
  if (m_headIsComplete) {
    return; // libcurl passes trailers as well
  }
  m_lastProgressAt = base::MonotonicNow();
  if (aLine == "\r\n" || aLine == "\n") {
    m_headIsComplete = m_status >= kOk; // an informational one precedes it
    return;
  }
  if (aLine.starts_with("HTTP/")) {
    ResetHead();
    const auto space = aLine.find(' ');
    if (space != std::string_view::npos) {
      m_status = std::strtol(aLine.data() + space, nullptr, 10);
    }
    return;
  }
  if (const auto id = HeaderValue(aLine, "X-Request-Id")) {
    m_answerRequestId = *id;
  } else if (const auto type = HeaderValue(aLine, "Content-Type")) {
    m_contentType = *type;
  } else if (HeaderValue(aLine, "Content-Length")) {
    m_hasLengthOrChunks = true;
  } else if (const auto coding = HeaderValue(aLine, "Transfer-Encoding")) {
    m_hasLengthOrChunks = http::ListContains(*coding, "chunked");
  } else if (HeaderValue(aLine, "X-Not-Run")) {
    m_refusedByUpstream = m_status == kUnavailable;
  } else if (HeaderValue(aLine, "X-Leaving")) {
    m_upstreamLeaving = true;
  } else if (const auto retryAfter = HeaderValue(aLine, "Retry-After")) {
    m_retryAfter = base::ParseRetryAfter(*retryAfter);
  }
}

//! Checks the response head: whether the body may be forwarded to the caller.
bool
Transfer::AcceptHead()
{
  if (m_answerRequestId != m_exchange->Request().idText) {
    m_rejectedAnswer = true;
    return false;
  }
  if (m_refusedByUpstream) {
    return false;
  }
  const bool stream = m_status == kOk && IsModelEngine();
  if (stream && !http::IsEventStreamType(m_contentType)) {
    m_rejectedAnswer = true;
    return false;
  }
  const bool resumed = m_sent && m_offsetAtStart > 0;
  if (m_status != kOk && (resumed || m_resumes > 0)) {
    m_unknownStream = m_status == kNotFound;
    return false;
  }
  if (!stream && !std::holds_alternative<PlainAnswer>(m_reader)) {
    m_reader = PlainAnswer();
  }
  return true;
}

void
Transfer::SendHead()
{
  m_exchange->SetHead(
    { static_cast<int>(m_status), m_contentType, "", base::Verdict::Ran, {} });
}

std::size_t
Transfer::HandleBody(std::string_view aBytes)
{
  const auto* stream = std::get_if<EventStreamAnswer>(&m_reader);
  if (stream != nullptr && stream->IsComplete(false)) {
    return 0; // ends the try, as the caller has its whole answer
  }
  if (m_pauseRequested) {
    m_pauseRequested = false;
    m_paused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (!AcceptHead()) {
    m_lastProgressAt = base::MonotonicNow();
    return m_rejectedAnswer ? 0 : aBytes.size();
  }
  m_rejectedAnswer = !Forward(aBytes);
  return m_rejectedAnswer ? 0 : aBytes.size();
}

//! Forwards what the reader accepts of the body. Returns false if it is at
//! fault.
bool
Transfer::Forward(std::string_view aBytes)
{
  std::string out;
  bool accepted = false;
  const auto consume = [&](auto& aReader) {
    const auto before = aReader.Progress();
    accepted = aReader.Consume(aBytes, out);
    return aReader.Progress() > before;
  };
  if (std::visit(consume, m_reader)) {
    m_lastProgressAt = base::MonotonicNow();
  }
  if (!out.empty()) {
    m_resumesWithoutProgress = 0;
    SendHead();
    m_pauseRequested = !m_exchange->Append(out);
  }
  return accepted;
}

bool
Transfer::IsStalled(base::TimePoint aNow) const
{
  return !m_paused &&
         aNow - m_lastProgressAt > m_exchange->Request().service->stallLimit;
}

void
Transfer::Unpause()
{
  // A pause that was requested begins with the next bytes only. The caller may
  // have taken what is buffered before.
  m_pauseRequested = false;
  if (m_paused && m_handle != nullptr) {
    m_paused = false;
    m_lastProgressAt = base::MonotonicNow();
    curl_easy_pause(m_handle, CURLPAUSE_CONT);
  }
}

bool
Transfer::CanResume(base::TimePoint aNow) const
{
  const bool stream = std::holds_alternative<EventStreamAnswer>(m_reader);
  return stream && IsModelEngine() && !m_unknownStream &&
         m_resumesWithoutProgress < kMaxResumesWithoutProgress &&
         aNow < m_exchange->Request().deadline;
}

//! Whether only the close of the connection ended the answer. A crash of the
//! upstream looks the same.
bool
Transfer::EndedWithConnection() const
{
  const bool hasBody = m_status != kNoContent && m_status != kNotModified;
  return std::holds_alternative<PlainAnswer>(m_reader) && hasBody &&
         !m_hasLengthOrChunks;
}

Transfer::Next
Transfer::FinishEndCheck(bool aUpstreamServes)
{
  m_outcome = AttemptOutcome::Completed;
  if (aUpstreamServes) {
    SendHead();
    m_exchange->End();
  } else {
    m_outcome = m_exchange->HasHead() ? AttemptOutcome::BrokenLate
                                      : AttemptOutcome::BrokenEarly;
  }
  return Next::Done;
}

Transfer::Next
Transfer::FinishTry(CURLcode aResult, bool aStalled, base::TimePoint aNow)
{
  long requestBytes = 0;
  curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &requestBytes);
  const bool wasFirstTry = !m_sent;
  m_sent = m_sent || requestBytes > 0;
  const auto done = [&](AttemptOutcome aOutcome) {
    m_outcome = aOutcome;
    return Next::Done;
  };
  if (m_exchange->IsCallerGone()) {
    return done(AttemptOutcome::CallerGone);
  }
  if (m_checksEnd) {
    return FinishEndCheck(aResult == CURLE_OK && !aStalled);
  }
  if (!m_sent) {
    return done(AttemptOutcome::ConnectFailed);
  }
  const bool clean = aResult == CURLE_OK && !aStalled;
  if (clean && !AcceptHead() && m_refusedByUpstream && wasFirstTry &&
      !m_rejectedAnswer) {
    return done(AttemptOutcome::Refused);
  }
  const bool accepted =
    !m_rejectedAnswer && !m_refusedByUpstream && !m_unknownStream;
  const bool complete =
    accepted &&
    std::visit([&](const auto& aReader) { return aReader.IsComplete(clean); },
               m_reader);
  if (complete && EndedWithConnection()) {
    m_checksEnd = true;
    m_resumeAt = aNow + kEndCheckDelay;
    return Next::CheckEnd;
  }
  if (complete) {
    SendHead();
    m_exchange->End();
    return done(AttemptOutcome::Completed);
  }
  if (CanResume(aNow)) {
    m_resumeAt = aNow + kResumeDelay * (1 << m_resumesWithoutProgress);
    m_resumesWithoutProgress++;
    m_resumes++;
    return Next::Resume;
  }
  return done(m_exchange->HasHead() ? AttemptOutcome::BrokenLate
                                    : AttemptOutcome::BrokenEarly);
}

bool
Transfer::NeedsCancel() const
{
  return IsModelEngine() && m_sent && m_outcome != AttemptOutcome::Completed &&
         m_outcome != AttemptOutcome::Refused;
}

}
