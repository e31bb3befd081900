#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockgauge::base {

//! Builds one log line of key=value pairs. A value that is empty or contains
//! whitespace, quotes or "=" is quoted.
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);

  LogLine& Add(std::string_view aKey, std::string_view aValue);
  LogLine& Add(std::string_view aKey, const char* aValue);
  LogLine& Add(std::string_view aKey, double aValue);
  LogLine& Add(std::string_view aKey, std::int64_t aValue);
  LogLine& Add(std::string_view aKey, std::uint64_t aValue);
  LogLine& Add(std::string_view aKey, int aValue);
  LogLine& Add(std::string_view aKey, unsigned aValue);

  const std::string& Text() const { return m_text; }

  void Info() const;
  void Warn() const;
  void Error() const;

private:
  std::string m_text;
};

//! Directs log lines of at least level aLevel to standard output, each with
//! its time, level and program. They are buffered until FlushLog.
void
SetUpLog(std::string_view aProgram, std::string_view aLevel);

//! Writes the buffered log lines without blocking; call it many times a
//! second. At program exit a timeout above 0 lets a slow reader catch up.
void
FlushLog(int aTimeoutMs = 0);

}
