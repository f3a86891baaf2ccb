// Plug-in registry: plug-ins register themselves with a static object.
//
// Usage, in the plug-in's .cc file:
//   const plugin_registrar<caller_http> kRegistered;
//
// The registry is the only global state. It holds factories; each plug-in
// instance and all of its state belong to one kernel, and a process can hold
// several kernels. Plug-in types are erased in plugin_record, and only there.
#pragma once

#include "laburnumdyke/kernel/settings.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

class kernel;

using instant = std::chrono::steady_clock::time_point;

// Plug-ins start in this order and stop in reverse order.
enum class plugin_stage
{
  Platform, // data that other plug-ins read
  Peer,
  Upstream,
  Caller, // entry of requests
  Operator,
};

// The interface of a plug-in. kFront is optional and defaults to
// front_kind::Own. Start returns an error, or nullopt on success. Leave begins
// a planned stop; PendingWork describes what the stop still waits for, and is
// empty if nothing. Stop releases all resources; it is never called by a
// worker.
template<class T>
concept plugin = requires(T& aPlugin, kernel& aKernel, instant aNow)
{
  {
    T::kName
    } -> std::convertible_to<std::string_view>;
  {
    T::kStage
    } -> std::convertible_to<plugin_stage>;
  T(aKernel);
  {
    aPlugin.Start(aNow)
    } -> std::same_as<std::optional<std::string>>;
  {
    aPlugin.Leave(aNow)
    } -> std::same_as<void>;
  {
    aPlugin.PendingWork(aNow)
    } -> std::same_as<std::string>;
  {
    aPlugin.Stop()
    } -> std::same_as<void>;
};

// A plug-in of one kernel, with its type erased.
struct plugin_instance
{
  std::string_view mName;
  plugin_stage mStage;
  std::function<std::optional<std::string>(instant)> mStart;
  std::function<void(instant)> mLeave;
  std::function<std::string(instant)> mPendingWork;
  std::function<void()> mStop;
};

struct plugin_record
{
  std::string_view mName;
  plugin_stage mStage;
  front_kind mFront;
  std::function<plugin_instance(kernel&)> mFactory;
};

class registry
{
public:
  static void Add(plugin_record aRecord);

  // The records of a front, sorted by stage, then by name.
  static std::vector<plugin_record> Records(
    front_kind aFront = front_kind::Own);
};

template<class T>
constexpr front_kind
FrontOf()
{
  if constexpr (requires { T::kFront; }) {
    return T::kFront;
  } else {
    return front_kind::Own;
  }
}

template<plugin T>
plugin_record
MakeRecord()
{
  return { T::kName, T::kStage, FrontOf<T>(), [](kernel& aKernel) {
            std::shared_ptr<T> self = std::make_shared<T>(aKernel);
            return plugin_instance{
              T::kName,
              T::kStage,
              [self](instant aNow) { return self->Start(aNow); },
              [self](instant aNow) { self->Leave(aNow); },
              [self](instant aNow) { return self->PendingWork(aNow); },
              [self]() { self->Stop(); },
            };
          } };
}

template<plugin T>
struct plugin_registrar
{
  plugin_registrar() { registry::Add(MakeRecord<T>()); }
};

} // namespace laburnumdyke
