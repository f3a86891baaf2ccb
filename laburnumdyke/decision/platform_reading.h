// Results of reading the platform's registry, decoded into domain types.
//
// A reading is a snapshot, or a delta since a version. Versions order the
// readings of one kind, whether they come from the platform or from a peer; see
// store_version.h.
#pragma once

#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/knowledge_age.h"
#include "laburnumdyke/decision/route_table.h"
#include "laburnumdyke/decision/store_version.h"
#include "laburnumdyke/decision/upstream_directory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

enum class reading_status
{
  Read,
  HistoryLost, // no delta available: a snapshot must be read
  NoAnswer,    // or the read was refused
};

struct reading_head
{
  reading_status mStatus = reading_status::NoAnswer;
  bool mIsSnapshot = false; // snapshot: unlisted entries are removed
  // The era is 0 if the answer names none.
  store_version mVersion;
  // Delta: the version that it was requested from, if known.
  std::optional<store_version> mAfter = std::nullopt;
  // The platform's clock when it answered, if it says so.
  std::optional<platform_time> mStamp = std::nullopt;
};

// A configuration that could not be decoded.
struct unreadable_document
{
  std::optional<std::uint64_t> mVersion; // nullopt: not decoded either
  std::string mFault;                    // the first one; never shows a key
};

// Operator control: routes and evacuated failure domains.
struct control_reading
{
  reading_head mHead;
  std::optional<routing_document> mDocument;
  // A failure domain is in one of these at most.
  std::vector<domain_id> mEvacuated;
  std::vector<domain_id> mReturned; // no longer evacuated
  // Set only if mDocument is not.
  std::optional<unreadable_document> mUnreadable;
};

struct upstream_reading
{
  reading_head mHead;
  std::vector<upstream_row> mRows; // a delta may hold several of one upstream
  std::size_t mUnreadable = 0;     // entries that could not be decoded
};

struct fleet_reading
{
  reading_head mHead;
  // An instance is in one of these at most.
  std::vector<fleet_member> mMembers;
  std::vector<instance_id> mRemovedIds;
  std::size_t mUnreadable = 0;
};

} // namespace laburnumdyke
