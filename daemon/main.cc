// laburnumdyked: the daemon that runs one instance.
#include "laburnumdyke/kernel/event_log.h"
#include "laburnumdyke/kernel/kernel.h"

#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace {

using namespace laburnumdyke;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr std::chrono::milliseconds kStopPollInterval{ 100 };

constexpr std::string_view kUsage =
  "Usage: laburnumdyked --config FILE [--check]\n"
  "\n"
  "  -c, --config FILE  settings of this instance (INI)\n"
  "      --check        check the settings, then exit\n"
  "  -V, --version      print the version, then exit\n"
  "  -h, --help         print this help, then exit\n"
  "\n"
  "SIGTERM or SIGINT begins a planned stop, which does not abort requests in\n"
  "flight. Another signal logs what the stop is waiting for.\n"
  "SIGHUP checks the settings file again and logs the result; changes take\n"
  "effect at the next start.\n"
  "\n"
  "Exit status: 0 after a planned stop, 1 if the instance could not start,\n"
  "2 for an invalid option or setting.\n";

struct options
{
  std::string mConfig;
  bool mCheck = false;
};

void
Print(std::FILE* aFile, std::string_view aText)
{
  std::fwrite(aText.data(), 1, aText.size(), aFile);
}

// Returns nothing if the process should exit with aStatus.
std::optional<options>
ParseOptions(int aCount, char** aArguments, int& aStatus)
{
  constexpr int kCheckOption = 1000;
  const option longOptions[] = {
    { "config", required_argument, nullptr, 'c' },
    { "check", no_argument, nullptr, kCheckOption },
    { "version", no_argument, nullptr, 'V' },
    { "help", no_argument, nullptr, 'h' },
    { nullptr, 0, nullptr, 0 },
  };
  options parsed;
  int letter = 0;
  aStatus = kExitOk;
  while ((letter = getopt_long(
            aCount, aArguments, "c:Vh", longOptions, nullptr)) != -1) {
    switch (letter) {
      case 'c':
        parsed.mConfig = optarg;
        break;
      case kCheckOption:
        parsed.mCheck = true;
        break;
      case 'V':
        Print(stdout, "laburnumdyked " LABURNUMDYKE_VERSION "\n");
        return std::nullopt;
      case 'h':
        Print(stdout, kUsage);
        return std::nullopt;
      default:
        Print(stderr, kUsage);
        aStatus = kExitUsage;
        return std::nullopt;
    }
  }
  if (parsed.mConfig.empty() || optind != aCount) {
    Print(stderr, kUsage);
    aStatus = kExitUsage;
    return std::nullopt;
  }
  return parsed;
}

std::optional<settings>
LoadSettings(const std::string& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  if (!file) {
    Print(stderr, aFile + ": cannot be read\n");
    return std::nullopt;
  }
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  settings_result result = ParseSettings(text);
  for (const text_fault& fault : result.mFaults) {
    Print(stderr, fault.Describe(aFile) + "\n");
  }
  return result.mSettings;
}

// Microseconds since the Unix epoch: increases with each start of an instance
// unless the wall clock is set back.
std::uint64_t
MakeIncarnation()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

// Settings hold addresses and limits that are fixed when the instance is built,
// so a reload only checks the file and logs the result; changes take effect at
// the next start.
void
CheckSettingsAgain(kernel& aKernel, const std::string& aFile)
{
  std::optional<settings> loaded = LoadSettings(aFile);
  aKernel.Log().Info("settings_reloaded",
                     { { "valid", loaded ? "yes" : "no" },
                       { "in_force", "from the next start" } });
}

void
WaitForStop(kernel& aKernel,
            const sigset_t& aSignals,
            const std::string& aSettingsFile)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
  while (signal == SIGHUP) {
    CheckSettingsAgain(aKernel, aSettingsFile);
    sigwait(&aSignals, &signal);
  }
  aKernel.Leave(std::chrono::steady_clock::now());
  std::string waiting = aKernel.PendingWork(std::chrono::steady_clock::now());
  const timespec poll{ 0, std::chrono::nanoseconds(kStopPollInterval).count() };
  while (!waiting.empty()) {
    if (sigtimedwait(&aSignals, nullptr, &poll) > 0) {
      aKernel.Log().Info("still_waiting", { { "for", waiting } });
    }
    waiting = aKernel.PendingWork(std::chrono::steady_clock::now());
  }
}

int
RunDaemon(settings aSettings, const std::string& aSettingsFile)
{
  // Block the signals before any thread starts, so that only this thread
  // receives them, by sigwait().
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  ConfigureLogging();
  aSettings.mIncarnation = MakeIncarnation();
  std::vector<plugin_record> plugins = registry::Records(aSettings.mFront);
  kernel instance(std::move(aSettings), plugins);
  std::optional<std::string> failure =
    instance.Start(std::chrono::steady_clock::now());
  if (failure) {
    instance.Log().Warn("start_failed", { { "reason", *failure } });
    return kExitFailed;
  }
  instance.Log().Info("started", { { "version", LABURNUMDYKE_VERSION } });
  WaitForStop(instance, signals, aSettingsFile);
  instance.Stop();
  instance.Log().Info("stopped", {});
  return kExitOk;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  int status = kExitOk;
  std::optional<options> parsed = ParseOptions(aCount, aArguments, status);
  if (!parsed) {
    return status;
  }
  std::optional<settings> loaded = LoadSettings(parsed->mConfig);
  if (!loaded) {
    return kExitUsage;
  }
  if (parsed->mCheck) {
    Print(stdout, parsed->mConfig + ": ok\n");
    return kExitOk;
  }
  return RunDaemon(std::move(*loaded), parsed->mConfig);
}
