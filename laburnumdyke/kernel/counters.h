// Counters by name and reason.
//
// Usage:
//   counters.Add("refused_total", "queue_full");
//
// Every refusal and every retry adds one under its reason. Names and reasons
// come from the program, never from input, so the set stays small.
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
  std::string mReason; // empty: the counter has no reason
  auto operator<=>(const counter_key&) const = default;
};

class counters
{
public:
  using snapshot = std::map<counter_key, std::uint64_t>;

  void Add(std::string_view aName,
           std::string_view aReason = {},
           std::uint64_t aCount = 1);
  std::uint64_t Value(std::string_view aName, std::string_view aReason = {});
  snapshot Snapshot();

private:
  guarded<snapshot, lock_rank::Counters> mValues;
};

} // namespace laburnumdyke
