#include "soak/crashingcaller.h"

#include "eventloop/eventloop.h"
#include "standins/platformtext.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kRequestPath = "/crash/request";
constexpr std::string_view kPartPath = "/crash/part";
constexpr base::Duration kStartDelay = 1000ms;
//! Ids of the last parts of prompts begin here.
constexpr std::uint64_t kFirstOwnPart = 0x10000;
//! Short enough that several requests arrive before all routers know of an
//! upstream's crash.
constexpr base::Duration kInterval = 130ms;

}

CrashingCaller::CrashingCaller(CallerShared& aShared, CrashCause aCause)
  : m_shared(aShared)
  , m_cause(aCause)
{
}

CrashingCaller::~CrashingCaller()
{
  DropConnection();
}

void
CrashingCaller::DropConnection()
{
  if (m_connection) {
    m_connection->Close();
    m_shared.loop.DeleteLater(std::move(m_connection));
  }
}

std::optional<CrashCause>
CrashingCaller::CauseOf(const std::string& aTarget)
{
  if (aTarget.starts_with(kRequestPath)) {
    return CrashCause::Request;
  }
  return aTarget.starts_with(kPartPath) ? std::optional(CrashCause::PromptPart)
                                        : std::nullopt;
}

void
CrashingCaller::Tick(base::TimePoint aNow)
{
  if (aNow < m_nextAt || aNow - m_shared.startedAt < kStartDelay) {
    return;
  }
  m_nextAt = aNow + kInterval;
  DropConnection();
  const auto& routers = m_shared.routers;
  m_connection = std::make_unique<http::ClientConnection>(
    m_shared.loop, routers[++m_count % routers.size()], *this);
  standins::CallText call;
  call.method = "POST";
  call.promptTokens = 300;
  call.outputTokens = 30;
  if (m_cause == CrashCause::Request) {
    call.path = kRequestPath;
    call.id = fmt::format("crash-{}", m_count);
    call.body = "crashes its upstream";
  } else {
    call.path = kPartPath;
    call.id = fmt::format("crash-part-{}", m_count);
    call.body = "body of " + call.id;
    call.promptParts = fmt::format(
      "{:x}:200,bad:50,{:x}:50", kSharedPart, kFirstOwnPart + m_count);
  }
  m_connection->Send(standins::EncodeCall(call));
}

}
