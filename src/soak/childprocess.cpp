#include "soak/childprocess.h"

#include "base/error.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <string_view>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

extern char** environ;

namespace hemlockgauge::soak {

ChildProcess::ChildProcess(std::string aProgram,
                           std::vector<std::string> aArguments,
                           std::string aLogFile)
  : m_program(std::move(aProgram))
  , m_arguments(std::move(aArguments))
  , m_logFile(std::move(aLogFile))
{
}

ChildProcess::~ChildProcess()
{
  if (IsRunning()) {
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void
ChildProcess::Start()
{
  posix_spawn_file_actions_t fileActions;
  posix_spawn_file_actions_init(&fileActions);
  posix_spawn_file_actions_addopen(
    &fileActions, 1, m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&fileActions, 1, 2);
  // An inherited listener would stay open in the router after its upstream has
  // crashed, so all descriptors above stderr are closed.
  posix_spawn_file_actions_addclosefrom_np(&fileActions, STDERR_FILENO + 1);
  std::vector<char*> arguments{ m_program.data() };
  for (auto& argument : m_arguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int spawnError = posix_spawn(&m_pid,
                                     m_program.c_str(),
                                     &fileActions,
                                     nullptr,
                                     arguments.data(),
                                     environ);
  posix_spawn_file_actions_destroy(&fileActions);
  if (spawnError != 0) {
    throw base::Error(base::ErrorCode::Unreachable,
                      m_program + ": the program can't be started");
  }
}

void
ChildProcess::Signal(int aSignal)
{
  if (IsRunning()) {
    kill(m_pid, aSignal);
  }
}

std::size_t
ChildProcess::ResidentBytes() const
{
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t
ChildProcess::PeakResidentBytes() const
{
  constexpr std::string_view kField = "VmHWM:";
  constexpr std::size_t kKilobyte = 1024;
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
  std::string word;
  while (file >> word && word != kField) {
  }
  std::size_t kilobytes = 0;
  file >> kilobytes;
  return kilobytes * kKilobyte;
}

std::size_t
ChildProcess::OpenDescriptors() const
{
  std::error_code error;
  const std::filesystem::directory_iterator descriptors(
    "/proc/" + std::to_string(m_pid) + "/fd", error);
  return static_cast<std::size_t>(
    std::distance(begin(descriptors), end(descriptors)));
}

bool
ChildProcess::HasEnded(int& aExitStatus)
{
  int status = 0;
  if (!IsRunning() || waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return false;
  }
  m_pid = 0;
  aExitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

}
