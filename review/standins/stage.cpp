#include "review/standins/stage.h"

#include <fmt/format.h>

#include <iostream>
#include <utility>

namespace hemlockgauge::review {

namespace {

using namespace std::chrono_literals;

constexpr int kFrontendOffset = 0;
constexpr int kReadyOffset = 1;
constexpr int kStoreOffset = 10;
constexpr int kWorkerOffset = 20;
constexpr base::Duration kReadyLimit = 20s;
constexpr base::Duration kCallLimit = 5s;
constexpr base::Duration kReadyPause = 50ms;
constexpr int kOk = 200;

base::Address
AddressAt(const std::string& aIp, std::uint16_t aPort, int aOffset)
{
  return { aIp, static_cast<std::uint16_t>(aPort + aOffset) };
}

}

Call::Call(eventloop::EventLoop& aLoop,
           const base::Address& aTo,
           std::string aRequest,
           Observer aOnChange)
  : m_connection(aLoop, aTo, *this)
  , m_onChange(std::move(aOnChange))
{
  m_connection.Send(std::move(aRequest));
}

http::IClientEvents::HeadAction
Call::OnAnswerHead(http::ClientConnection&, http::ResponseHead&& aHead)
{
  m_status = aHead.status;
  return HeadAction::Accept;
}

void
Call::OnAnswerBody(http::ClientConnection&, std::string_view aBytes)
{
  m_body += aBytes;
  Notify();
}

void
Call::OnAnswerEnd(http::ClientConnection& aConnection, bool)
{
  m_complete = true;
  aConnection.Close();
  Notify();
}

void
Call::OnFailed(http::ClientConnection&, http::ClientFailure)
{
  m_failed = true;
  Notify();
}

void
Call::Notify()
{
  if (m_onChange) {
    m_onChange(*this);
  }
}

Stage::Stage(std::uint16_t aPort, const std::string& aRecordFile)
  : m_port(aPort)
  , m_store(m_loop, AddressAt("127.0.0.1", aPort, kStoreOffset))
  , m_record(aRecordFile)
  , m_startedAt(base::MonotonicNow())
{
}

base::Address
Stage::Gateway(int aNumber) const
{
  return AddressAt(fmt::format("127.0.0.{}", aNumber), m_port, kFrontendOffset);
}

base::Address
Stage::ReadyAddress(int aNumber) const
{
  return AddressAt(fmt::format("127.0.0.{}", aNumber), m_port, kReadyOffset);
}

base::Address
Stage::Worker(int aNumber) const
{
  return AddressAt("127.0.0.1", m_port, kWorkerOffset + aNumber);
}

void
Stage::Record(const std::string& aText)
{
  const auto elapsed = base::MonotonicNow() - m_startedAt;
  m_record << fmt::format("{:8.3f} s  {}\n",
                          static_cast<double>(elapsed.count()) / 1000,
                          aText)
           << std::flush;
}

void
Stage::Ask(const std::string& aCommand)
{
  Record("asks: " + aCommand);
  std::cout << aCommand << std::endl;
}

void
Stage::RunUntil(base::TimePoint aTime)
{
  while (base::MonotonicNow() < aTime) {
    m_loop.RunOnce();
  }
}

void
Stage::RunFor(base::Duration aTime)
{
  RunUntil(base::MonotonicNow() + aTime);
}

bool
Stage::WaitFor(const std::function<bool()>& aCondition, base::Duration aLimit)
{
  const auto until = base::MonotonicNow() + aLimit;
  while (!aCondition() && base::MonotonicNow() < until) {
    m_loop.RunOnce();
  }
  return aCondition();
}

int
Stage::StatusOf(const base::Address& aTo, const std::string& aRequest)
{
  Call call(m_loop, aTo, aRequest);
  WaitFor([&] { return call.IsOver(); }, kCallLimit);
  return call.Status();
}

bool
Stage::WaitUntilReady(int aCount)
{
  const auto until = base::MonotonicNow() + kReadyLimit;
  for (int number = 1; number <= aCount; ++number) {
    const auto request = fmt::format("GET /readyz HTTP/1.1\r\nHost: {}\r\n\r\n",
                                     ReadyAddress(number).Text());
    while (StatusOf(ReadyAddress(number), request) != kOk) {
      if (base::MonotonicNow() > until) {
        Record(fmt::format("gateway {} is not ready in time", number));
        return false;
      }
      RunFor(kReadyPause);
    }
  }
  return true;
}

}
