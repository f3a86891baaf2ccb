// Plug-ins start in order of stage and stop in reverse order. Workers run only
// between the last start and the first stop, so no handler runs while a plug-in
// is partly initialized or partly released.
#include "laburnumdyke/kernel/kernel.h"

namespace laburnumdyke {

kernel::kernel(settings aSettings, const std::vector<plugin_record>& aPlugins)
  : mSettings(std::move(aSettings))
  , mLog(mSettings.mInstance)
  , mWorkers(mSettings.mWorkers)
{
  for (const plugin_record& record : aPlugins) {
    mPlugins.push_back(record.mFactory(*this));
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
    ++mStartedCount;
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
kernel::PendingWork(instant aNow)
{
  std::string allPending;
  for (plugin_instance& plugin : mPlugins) {
    std::string pending = plugin.mPendingWork(aNow);
    if (!pending.empty()) {
      allPending += (allPending.empty() ? "" : "; ") + pending;
    }
  }
  return allPending;
}

void
kernel::Stop()
{
  mWorkers.Stop();
  while (mStartedCount > 0) {
    --mStartedCount;
    mPlugins[mStartedCount].mStop();
  }
}

} // namespace laburnumdyke
