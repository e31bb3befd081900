#pragma once

#include <string>
#include <sys/types.h>

namespace hemlockgauge::soak {

//! One router as a process of its own. Only processes that it started are
//! ever signalled, by their ids.
class RouterProcess
{
public:
  RouterProcess(std::string aProgram,
                const std::string& aSettings,
                std::string aLog);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  void Start();
  void Signal(int aSignal);
  //! Whether it has ended since the last call; aExit gets how.
  bool HasEnded(int& aExit);
  bool IsRunning() const { return m_pid > 0; }

private:
  std::string m_program;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = 0;
};

}
