#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hemlockgauge::soak {

//! A router or a stand-in in a child process. Signals are sent only to the
//! process that this object started, by its process id.
class ChildProcess
{
public:
  ChildProcess(std::string aProgram,
               std::vector<std::string> aArguments,
               std::string aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Start();
  void Signal(int aSignal);
  //! Returns whether the process has ended since the last call. aExitStatus is
  //! set to the exit status, or to the negated signal number.
  bool HasEnded(int& aExitStatus);
  //! Resident memory in bytes; 0 if it is not running.
  std::size_t ResidentBytes() const;
  //! The most resident memory since its start, in bytes; 0 if it is not
  //! running.
  std::size_t PeakResidentBytes() const;
  //! Number of its open file descriptors; 0 if it is not running.
  std::size_t OpenDescriptors() const;
  bool IsRunning() const { return m_pid > 0; }

private:
  std::string m_program;
  std::vector<std::string> m_arguments;
  std::string m_logFile;
  pid_t m_pid = 0;
};

}
