// Suspends a coroutine on a timer of its own executor.
//
// Usage:
//   co_await SleepFor(kPeriod);
//   co_await SleepUntil(again);
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/plugin/http_types.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace laburnumdyke {

asio::awaitable<void>
SleepUntil(instant aUntil);

asio::awaitable<void>
SleepFor(std::chrono::milliseconds aTime);

} // namespace laburnumdyke
