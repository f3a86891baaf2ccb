// posix_spawn, and waitpid by id: only processes started here are ever
// signalled.
#include "laburnumdyke/testing/harness/process.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kPoll{ 20 };

} // namespace

process::process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments,
                 const std::string& aLog)
{
  std::vector<char*> arguments = { const_cast<char*>(aProgram.c_str()) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Nothing else is inherited: a socket of the test's own links would stay
  // open in the program after the test has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  int failure = posix_spawn(
    &mPid, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    std::fprintf(stderr, "%s: cannot be started\n", aProgram.c_str());
    std::exit(2);
  }
}

process::process(process&& aOther) noexcept
  : mPid(std::exchange(aOther.mPid, -1))
  , mStatus(aOther.mStatus)
{
}

process&
process::operator=(process&& aOther) noexcept
{
  std::swap(mPid, aOther.mPid);
  std::swap(mStatus, aOther.mStatus);
  return *this;
}

process::~process()
{
  if (mPid > 0 && !Status()) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
  }
}

void
process::Signal(int aSignal) const
{
  if (mPid > 0 && !mStatus) {
    ::kill(mPid, aSignal);
  }
}

std::optional<int>
process::Status()
{
  int status = 0;
  if (!mStatus && ::waitpid(mPid, &status, WNOHANG) == mPid) {
    mStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return mStatus;
}

std::optional<int>
process::Wait(std::chrono::milliseconds aLimit)
{
  std::chrono::steady_clock::time_point limit =
    std::chrono::steady_clock::now() + aLimit;
  while (!Status() && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kPoll);
  }
  return Status();
}

} // namespace laburnumdyke
