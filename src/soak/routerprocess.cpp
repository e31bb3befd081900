#include "soak/routerprocess.h"

#include "base/error.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace hemlockgauge::soak {

RouterProcess::RouterProcess(std::string aProgram,
                             const std::string& aSettings,
                             std::string aLog)
  : m_program(std::move(aProgram))
  , m_settings("--settings=" + aSettings)
  , m_log(std::move(aLog))
{
}

RouterProcess::~RouterProcess()
{
  if (IsRunning()) {
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void
RouterProcess::Start()
{
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(
    &files, 1, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  //! NOTE a router would keep the listeners of upstreams open that crash.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  char* arguments[] = { m_program.data(), m_settings.data(), nullptr };
  const int failed =
    posix_spawn(&m_pid, m_program.c_str(), &files, nullptr, arguments, environ);
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) {
    throw base::Error(base::ErrorCode::Unreachable,
                      m_program + ": can't be started");
  }
}

void
RouterProcess::Signal(int aSignal)
{
  if (IsRunning()) {
    kill(m_pid, aSignal);
  }
}

bool
RouterProcess::HasEnded(int& aExit)
{
  int status = 0;
  if (!IsRunning() || waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return false;
  }
  m_pid = 0;
  aExit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

}
