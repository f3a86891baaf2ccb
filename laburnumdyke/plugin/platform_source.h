// What platform_watch requires of the class that reads the platform's registry.
//
// A reading that fails has the status that says so; nothing is thrown.
#pragma once

#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/platform_reading.h"
#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

template<class T>
concept platform_source = requires(T& aSource,
                                   std::optional<store_version> aAfter,
                                   std::chrono::milliseconds aWait,
                                   fleet_member aMember,
                                   instance_id aInstance,
                                   const std::string& aView)
{
  {
    T::kWatchName
    } -> std::convertible_to<std::string_view>;
  {
    aSource.ReadControl(aAfter, aWait)
    } -> std::same_as<asio::awaitable<control_reading>>;
  {
    aSource.ReadUpstreams(aAfter, aWait)
    } -> std::same_as<asio::awaitable<upstream_reading>>;
  {
    aSource.ReadFleet(aAfter, aWait)
    } -> std::same_as<asio::awaitable<fleet_reading>>;
  {
    aSource.Register(aMember)
    } -> std::same_as<asio::awaitable<bool>>;
  {
    aSource.Withdraw(aInstance)
    } -> std::same_as<asio::awaitable<bool>>;
  {
    aSource.View()
    } -> std::same_as<std::string>;
  {
    aSource.ImportView(aView)
    } -> std::same_as<control_reading>;
  {
    aSource.Era() // the latest that the platform has reported; 0: none
    } -> std::same_as<std::uint64_t>;
};

} // namespace laburnumdyke
