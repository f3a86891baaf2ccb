// A program started by a test: killed with the object that holds it.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace laburnumdyke {

class process
{
public:
  // Starts a program with its standard output and error appended to aLog.
  process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::string& aLog);
  ~process();

  process(process&& aOther) noexcept;
  process& operator=(process&& aOther) noexcept;

  void Signal(int aSignal) const;

  // The exit status, negated signal where one ended it, or nothing while it
  // runs.
  std::optional<int> Status();

  // Waits for the end; nothing where it did not come in time.
  std::optional<int> Wait(std::chrono::milliseconds aLimit);

  pid_t Pid() const { return mPid; }

private:
  pid_t mPid = -1;
  std::optional<int> mStatus;
};

} // namespace laburnumdyke
