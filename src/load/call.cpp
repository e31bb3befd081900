#include "load/call.h"

#include "standins/expectedanswer.h"

#include <fmt/format.h>

#include <strings.h>

namespace hemlockgauge::load {

namespace {

constexpr long kTimeoutMs = 60000;

double
MillisSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart)
    .count();
}

bool
HasHeaderName(const std::string& aLine, std::string_view aName)
{
  return strncasecmp(aLine.c_str(), aName.data(), aName.size()) == 0;
}

}

Call::Call(const WorkspacePlan& aPlan,
           std::size_t aWorkspace,
           std::uint64_t aSeed,
           std::uint32_t aTokens)
  : m_plan(aPlan)
  , m_workspace(aWorkspace)
  , m_seed(aSeed)
  , m_tokens(aTokens)
{
  const auto prompt =
    aPlan.name + std::string(aPlan.promptBytes, 'p') + std::to_string(aSeed);
  m_body = fmt::format(
    "{{\"seed\":{},\"tokens\":{},\"prompt\":\"{}\"}}", aSeed, aTokens, prompt);
}

Call::~Call()
{
  if (m_handle != nullptr) {
    curl_easy_cleanup(m_handle);
  }
  curl_slist_free_all(m_headers);
}

CURL*
Call::Open(const std::string& aRouter)
{
  if (m_handle != nullptr) {
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
    m_headers = nullptr;
  }
  m_attempts++;
  m_response.clear();
  m_verdict.clear();
  m_status = 0;
  m_handle = curl_easy_init();
  const auto add = [&](const std::string& aLine) {
    m_headers = curl_slist_append(m_headers, aLine.c_str());
  };
  add("Authorization: Bearer " + m_plan.key);
  add("Content-Type: application/json");
  add("Expect:");
  // Used only by an upstream that receives the request without a router.
  add(fmt::format("X-Request-Id: {}-{}", m_plan.name, m_seed));
  add(fmt::format("Idempotency-Key: {}-{}", m_plan.name, m_seed));
  const auto url = "http://" + aRouter + m_plan.path;
  curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
  curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
  curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_body.c_str());
  curl_easy_setopt(
    m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_body.size()));
  curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &Call::OnBody);
  curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &Call::OnHeader);
  curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
  if (!m_plan.repeatable) {
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
  }
  return m_handle;
}

std::size_t
Call::OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  static_cast<Call*>(aSelf)->AppendBody({ aData, aSize * aCount });
  return aSize * aCount;
}

std::size_t
Call::OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<Call*>(aSelf);
  const std::string line(aData, aSize * aCount);
  const auto value = [&](std::string_view aName) {
    auto text = line.substr(aName.size());
    text.erase(0, text.find_first_not_of(' '));
    text.erase(text.find_last_not_of("\r\n") + 1);
    return text;
  };
  if (HasHeaderName(line, "X-Verdict:")) {
    self.m_verdict = value("X-Verdict:");
  } else if (HasHeaderName(line, "Retry-After:")) {
    self.m_retryAfterSeconds = std::atof(value("Retry-After:").c_str());
  }
  return aSize * aCount;
}

void
Call::AppendBody(std::string_view aBytes)
{
  const bool token = aBytes.find("data: t") != std::string_view::npos;
  m_response.append(aBytes);
  if (m_plan.stream && !token) {
    return;
  }
  if (m_firstTokenMs == 0) {
    m_firstTokenMs = MillisSince(m_startedAt);
  } else {
    m_tokenGapsMs.push_back(MillisSince(m_lastTokenAt));
  }
  m_lastTokenAt = Clock::now();
}

bool
Call::IsComplete() const
{
  if (!m_plan.stream) {
    return m_response == standins::ExpectedPlainAnswer(m_seed);
  }
  std::string data;
  std::size_t at = 0;
  constexpr std::string_view kData = "data: ";
  while ((at = m_response.find(kData, at)) != std::string::npos) {
    const auto end = m_response.find('\n', at);
    data += m_response.substr(at + kData.size(), end - at - kData.size());
    data += '\n';
    at = end;
  }
  std::string expected;
  for (std::uint32_t i = 0; i < m_tokens; ++i) {
    expected += standins::ExpectedToken(m_seed, i) + "\n";
  }
  expected += '\n';
  return data == expected;
}

CallOutcome
Call::Close(CURLcode aResult)
{
  curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &m_status);
  if (aResult == CURLE_OPERATION_TIMEDOUT) {
    return CallOutcome::Lost;
  }
  if (aResult == CURLE_COULDNT_CONNECT) {
    return CallOutcome::NotRun;
  }
  if (aResult != CURLE_OK) {
    return CallOutcome::Cut;
  }
  if (m_status == 200) {
    return IsComplete() ? CallOutcome::Complete : CallOutcome::Wrong;
  }
  return m_verdict == "not-run" ? CallOutcome::NotRun : CallOutcome::MayHaveRun;
}

}
