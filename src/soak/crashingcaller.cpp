#include "soak/crashingcaller.h"

#include "eventloop/eventloop.h"
#include "standins/platformtext.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPathPrefix = "/crash/";
constexpr base::Duration kStartDelay = 1000ms;
//! Short enough that several requests arrive before all routers know of an
//! upstream's crash.
constexpr base::Duration kInterval = 130ms;

}

CrashingCaller::CrashingCaller(CallerShared& aShared)
  : m_shared(aShared)
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

bool
CrashingCaller::IsCrashingRequest(const std::string& aTarget)
{
  return aTarget.starts_with(kPathPrefix);
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
  call.path = std::string(kPathPrefix) + "x";
  call.id = fmt::format("crash-{}", m_count);
  call.body = "crashes whoever runs it";
  call.promptTokens = 300;
  call.outputTokens = 30;
  call.promptParts = "c1:200,c2:100";
  m_connection->Send(standins::EncodeCall(call));
}

}
