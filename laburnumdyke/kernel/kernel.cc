// Start and stop are a straight walk over the plug-ins by stage. Workers run
// only between the last start and the first stop, so no handler ever sees a
// plug-in that is half built or half released.
#include "laburnumdyke/kernel/kernel.h"

namespace laburnumdyke {

kernel::kernel(settings aSettings, const std::vector<plugin_record>& aPlugins)
  : mSettings(std::move(aSettings))
  , mLog(mSettings.mInstance)
  , mWorkers(mSettings.mWorkers)
{
  for (const plugin_record& record : aPlugins) {
    mPlugins.push_back(record.mMake(*this));
  }
}

kernel::~kernel()
{
  Stop();
}

std::optional<std::string>
kernel::Start(instant aNow)
{
  for (plugin_instance& plugin : mPlugins) {
    std::optional<std::string> failure = plugin.mStart(aNow);
    if (failure) {
      Stop();
      return std::string(plugin.mName) + ": " + *failure;
    }
    ++mStarted;
  }
  mWorkers.Start();
  return std::nullopt;
}

void
kernel::Leave(instant aNow)
{
  if (mLeaving) {
    return;
  }
  mLeaving = true;
  mLog.Info("leaving", {});
  for (plugin_instance& plugin : mPlugins) {
    plugin.mLeave(aNow);
  }
}

std::string
kernel::Waiting(instant aNow)
{
  std::string waiting;
  for (plugin_instance& plugin : mPlugins) {
    std::string one = plugin.mWaiting(aNow);
    if (!one.empty()) {
      waiting += (waiting.empty() ? "" : "; ") + one;
    }
  }
  return waiting;
}

void
kernel::Stop()
{
  mWorkers.Stop();
  while (mStarted > 0) {
    --mStarted;
    mPlugins[mStarted].mStop();
  }
}

} // namespace laburnumdyke
