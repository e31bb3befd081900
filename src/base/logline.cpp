#include "base/logline.h"

#include "base/boundedsink.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include <algorithm>
#include <memory>

namespace hemlockgauge::base {

namespace {

//! Longer values are cut: callers choose some of them.
constexpr std::size_t kMaxValueBytes = 512;
constexpr const char* kCutMark = "...";

bool
IsControl(char aChar)
{
  const auto code = static_cast<unsigned char>(aChar);
  return code < ' ' || code == 0x7f;
}

}

LogLine::LogLine(std::string_view aEvent)
  : m_text("event=")
{
  m_text += aEvent;
}

LogLine&
LogLine::Add(std::string_view aKey, std::string_view aValue)
{
  m_text += ' ';
  m_text += aKey;
  m_text += '=';
  const bool isCut = aValue.size() > kMaxValueBytes;
  aValue = aValue.substr(0, kMaxValueBytes);
  const bool plain = !aValue.empty() &&
                     aValue.find_first_of(" \"=") == std::string_view::npos &&
                     std::none_of(aValue.begin(), aValue.end(), IsControl);
  if (plain) {
    m_text += aValue;
    m_text += isCut ? kCutMark : "";
    return *this;
  }
  m_text += '"';
  for (const char c : aValue) {
    m_text += IsControl(c) ? ' ' : (c == '"' ? '\'' : c);
  }
  m_text += isCut ? kCutMark : "";
  m_text += '"';
  return *this;
}

LogLine&
LogLine::Add(std::string_view aKey, const char* aValue)
{
  return Add(aKey, std::string_view(aValue));
}

LogLine&
LogLine::Add(std::string_view aKey, double aValue)
{
  return Add(aKey, std::string_view(fmt::format("{:.3f}", aValue)));
}

LogLine&
LogLine::Add(std::string_view aKey, std::int64_t aValue)
{
  return Add(aKey, std::string_view(fmt::format("{}", aValue)));
}

LogLine&
LogLine::Add(std::string_view aKey, std::uint64_t aValue)
{
  return Add(aKey, std::string_view(fmt::format("{}", aValue)));
}

LogLine&
LogLine::Add(std::string_view aKey, int aValue)
{
  return Add(aKey, static_cast<std::int64_t>(aValue));
}

LogLine&
LogLine::Add(std::string_view aKey, unsigned aValue)
{
  return Add(aKey, static_cast<std::uint64_t>(aValue));
}

void
LogLine::Info() const
{
  spdlog::info("{}", m_text);
}

void
LogLine::Warn() const
{
  spdlog::warn("{}", m_text);
}

void
LogLine::Error() const
{
  spdlog::error("{}", m_text);
}

namespace {

//! Holds a few seconds of a busy router's log lines.
constexpr std::size_t kMaxPendingLogBytes = 1U << 20;
//! Above the lines of all requests that a router logs per second, and above
//! the lines of a restart with a few hundred upstreams.
constexpr double kMaxLogLinesPerSecond = 1000;
std::shared_ptr<BoundedSink> logSink;

}

void
SetUpLog(std::string_view aProgram, std::string_view aLevel)
{
  logSink = std::make_shared<BoundedSink>(
    STDOUT_FILENO, kMaxPendingLogBytes, kMaxLogLinesPerSecond);
  auto logger =
    std::make_shared<spdlog::logger>(std::string(aProgram), logSink);
  logger->set_level(spdlog::level::from_str(std::string(aLevel)));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l program=%n %v");
  spdlog::set_default_logger(logger);
}

void
FlushLog(int aTimeoutMs)
{
  if (logSink) {
    logSink->Write(aTimeoutMs);
  }
}

}
