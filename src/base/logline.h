#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockgauge::base {

//! Builds one log line of key=value pairs; values with blanks are quoted.
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

//! Sends log lines to standard output, each with its time and level. They
//! are kept until FlushLog writes them.
void
SetUpLog(std::string_view aProgram, std::string_view aLevel);

//! Writes what is kept without blocking; to be called many times a second.
//! At the end of a program aWaitMs lets a slow reader catch up.
void
FlushLog(int aWaitMs = 0);

}
