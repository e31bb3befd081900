#include "base/endreport.h"

#include "base/logline.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>
#include <unistd.h>

namespace hemlockgauge::base {

namespace {

//! Time that the log's reader gets to take the last lines, in ms.
constexpr int kFlushTimeoutMs = 500;

void
WriteRaw(std::string_view aText)
{
  [[maybe_unused]] const auto written =
    write(STDOUT_FILENO, aText.data(), aText.size());
}

//! Uses only functions that are safe in a signal handler. The time and the
//! program's name are left out, since formatting them is not safe.
void
OnFatalSignal(int aSignal)
{
  std::array<char, 2> digits{ static_cast<char>('0' + aSignal / 10 % 10),
                              static_cast<char>('0' + aSignal % 10) };
  WriteRaw("level=error event=crashed signal=");
  WriteRaw({ digits.data(), digits.size() });
  WriteRaw("\n");
  std::raise(aSignal); // SA_RESETHAND restored the default action
}

void
OnTerminate()
{
  std::string_view why = "no exception";
  try {
    if (const auto current = std::current_exception()) {
      std::rethrow_exception(current);
    }
  } catch (const std::exception& error) {
    LogLine("terminated").Add("why", error.what()).Error();
    FlushLog(kFlushTimeoutMs);
    std::abort();
  } catch (...) {
    why = "exception of an unknown type";
  }
  LogLine("terminated").Add("why", why).Error();
  FlushLog(kFlushTimeoutMs);
  std::abort();
}

}

void
ReportFatalEnds()
{
  std::set_terminate(OnTerminate);
#if !defined(__SANITIZE_ADDRESS__) // the sanitizer reports these itself
  struct sigaction action
  {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
  for (const int signal : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT }) {
    sigaction(signal, &action, nullptr);
  }
#endif
}

}
