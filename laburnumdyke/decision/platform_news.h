// What a reading of the platform tells, in the product's terms.
//
// A reading is whole, or holds what has changed since a version. Versions
// order readings of one kind, whoever passes them on.
#pragma once

#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/route_table.h"
#include "laburnumdyke/decision/upstream_directory.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace laburnumdyke {

enum class reading_status
{
  Read,
  HistoryLost, // changes are not to be had: read the whole
  NoAnswer,    // or a refusal
};

struct reading_head
{
  reading_status mStatus = reading_status::NoAnswer;
  bool mWhole = false; // what is not named is gone
  std::uint64_t mVersion = 0;
};

// What the operator asks for.
struct control_reading
{
  reading_head mHead;
  std::optional<routing_document> mDocument;
  std::vector<domain_id> mEvacuated;
  std::vector<domain_id> mReturned; // no longer evacuated
  std::size_t mUnreadable = 0;      // entries that could not be decoded
};

struct upstream_reading
{
  reading_head mHead;
  std::vector<upstream_entry> mEntries;
  std::vector<upstream_id> mGone;
  std::size_t mUnreadable = 0;
};

struct fleet_reading
{
  reading_head mHead;
  std::vector<fleet_member> mMembers;
  std::vector<instance_id> mGone;
  std::size_t mUnreadable = 0;
};

} // namespace laburnumdyke
