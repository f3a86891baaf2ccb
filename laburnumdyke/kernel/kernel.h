// One instance of the system: settings, workers, shared tables, counters,
// latencies, log and plug-ins. A process can hold several.
//
// Usage:
//   kernel one(settings, registry::Records());
//   std::optional<std::string> failure = one.Start(now);
//   ...
//   one.Leave(now);                  // begins a planned stop
//   while (!one.PendingWork(now).empty()) ...
//   one.Stop();
//
// Plug-ins share state through Table<T>(), which creates the table on first
// use, passing the settings to T's constructor if it takes them. T::kLockRank
// is the rank of the table's mutex.
#pragma once

#include "laburnumdyke/kernel/counters.h"
#include "laburnumdyke/kernel/event_log.h"
#include "laburnumdyke/kernel/guarded.h"
#include "laburnumdyke/kernel/latency_table.h"
#include "laburnumdyke/kernel/registry.h"
#include "laburnumdyke/kernel/settings.h"
#include "laburnumdyke/kernel/worker_pool.h"

#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <typeindex>
#include <vector>

namespace laburnumdyke {

class kernel
{
public:
  kernel(settings aSettings, const std::vector<plugin_record>& aPlugins);
  ~kernel();

  kernel(const kernel&) = delete;
  kernel& operator=(const kernel&) = delete;

  // Starts the plug-ins, then the workers. If a plug-in fails to start, stops
  // those already started and returns the error.
  std::optional<std::string> Start(instant aNow);

  // Begins a planned stop. Idempotent.
  void Leave(instant aNow);

  // Describes what the planned stop still waits for; empty if nothing.
  std::string PendingWork(instant aNow);

  // Stops the workers, then the plug-ins. Idempotent.
  void Stop();

  const settings& Settings() const { return mSettings; }
  boost::asio::io_context& Context() { return mWorkers.Context(); }
  counters& Counters() { return mCounters; }
  latency_table& Latencies() { return mLatencies; }
  event_log& Log() { return mLog; }

  template<shared_state T>
  table<T>& Table()
  {
    std::shared_ptr<void> found =
      mTables.With([&](table_directory& aDirectory) {
        std::shared_ptr<void>& slot = aDirectory[std::type_index(typeid(T))];
        if (!slot) {
          if constexpr (std::is_constructible_v<T, const settings&>) {
            slot = std::make_shared<table<T>>(mSettings);
          } else {
            slot = std::make_shared<table<T>>();
          }
        }
        return slot;
      });
    return *static_cast<table<T>*>(found.get());
  }

private:
  using table_directory = std::map<std::type_index, std::shared_ptr<void>>;

  settings mSettings;
  counters mCounters;
  latency_table mLatencies;
  event_log mLog;
  guarded<table_directory, lock_rank::Kernel> mTables;
  worker_pool mWorkers;
  std::vector<plugin_instance> mPlugins;
  std::size_t mStartedCount = 0;
  bool mLeaving = false;
};

} // namespace laburnumdyke
