// Plug-in registry: plug-ins register themselves by a static object.
//
// Usage, in the plug-in's .cc file:
//   const registered<caller_http> kRegistered;
//
// The registry is the only global. It holds factories; every instance of a
// plug-in and all of its state belong to one kernel, and a process can hold
// several kernels. plugin_record is the one place where types are erased.
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

// Plug-ins start in this order and stop in the opposite one.
enum class plugin_stage
{
  Platform, // what others read from
  Peer,
  Upstream,
  Caller, // what lets requests in
  Operator,
};

// What a plug-in must have. One that serves another front than front_kind::Own
// says so by kFront. Start returns why it can't, or nothing. Leave
// begins a planned stop; Waiting names what the stop still waits for, empty
// when nothing. Stop releases everything and is called by no worker.
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
    aPlugin.Waiting(aNow)
    } -> std::same_as<std::string>;
  {
    aPlugin.Stop()
    } -> std::same_as<void>;
};

// One plug-in of one kernel.
struct plugin_instance
{
  std::string_view mName;
  plugin_stage mStage;
  std::function<std::optional<std::string>(instant)> mStart;
  std::function<void(instant)> mLeave;
  std::function<std::string(instant)> mWaiting;
  std::function<void()> mStop;
};

struct plugin_record
{
  std::string_view mName;
  plugin_stage mStage;
  front_kind mFront;
  std::function<plugin_instance(kernel&)> mMake;
};

class registry
{
public:
  static void Add(plugin_record aRecord);

  // The records of a front in order of stage, then of name.
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
              [self](instant aNow) { return self->Waiting(aNow); },
              [self]() { self->Stop(); },
            };
          } };
}

template<plugin T>
struct registered
{
  registered() { registry::Add(MakeRecord<T>()); }
};

} // namespace laburnumdyke
