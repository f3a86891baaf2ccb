// Counters by name and reason.
//
// Usage:
//   counters.Add("refused_total", "queue_full");
//
// Every refusal and every retry is counted under its reason. Names and reasons
// are constants of the program, never input, so the number of counters is
// bounded.
#pragma once

#include "laburnumdyke/kernel/guarded.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace laburnumdyke {

struct counter_key
{
  std::string mName;
  std::string mReason; // empty for a counter without reasons
  auto operator<=>(const counter_key&) const = default;
};

class counters
{
public:
  using snapshot = std::map<counter_key, std::uint64_t>;

  // Increments a counter, which is created on first use.
  void Add(std::string_view aName,
           std::string_view aReason = {},
           std::uint64_t aCount = 1);
  // Zero for a counter that was never incremented.
  std::uint64_t Value(std::string_view aName, std::string_view aReason = {});

  // A consistent copy of all counters.
  snapshot Snapshot();

private:
  guarded<snapshot, lock_rank::Counters> mValues;
};

} // namespace laburnumdyke
