#include "soak/crashingcaller.h"

#include "eventloop/eventloop.h"
#include "standins/platformtext.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPrefix = "/crash/";
constexpr base::Duration kFirst = 1000ms;
//! Several come while an upstream's crash is not known everywhere yet.
constexpr base::Duration kGap = 130ms;

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
CrashingCaller::IsRunOf(const std::string& aTarget)
{
  return aTarget.starts_with(kPrefix);
}

void
CrashingCaller::Tick(base::TimePoint aNow)
{
  if (aNow < m_nextAt || aNow - m_shared.startedAt < kFirst) {
    return;
  }
  m_nextAt = aNow + kGap;
  DropConnection();
  const auto& routers = m_shared.routers;
  m_connection = std::make_unique<http::ClientConnection>(
    m_shared.loop, routers[++m_count % routers.size()], *this);
  standins::CallText call;
  call.method = "POST";
  call.path = std::string(kPrefix) + "x";
  call.id = fmt::format("crash-{}", m_count);
  call.body = "crashes whoever runs it";
  call.promptTokens = 300;
  call.outputTokens = 30;
  call.promptParts = "c1:200,c2:100";
  m_connection->Send(standins::EncodeCall(call));
}

}
