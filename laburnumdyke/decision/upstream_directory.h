// The upstreams that have registered themselves, as the platform tells.
//
// Usage:
//   upstream_directory directory(options);
//   std::vector<upstream_change> changes = directory.Put(entry, now);
//   changes = directory.Remove(id, now);
//   directory.PlatformLost(now); directory.PlatformBack(now);
//   changes = directory.Expire(now);
//
// An upstream that is missing from the list is gone, with one exception: an
// outage of the platform lets entries lapse although their upstreams live.
// For mReturnGrace after the platform's return a missing upstream stays, and
// goes only if it has not registered again by then. Where another instance
// never lost the platform, there was no such outage: EndGrace.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace laburnumdyke {

struct upstream_entry
{
  upstream_id mId;
  service_id mService;
  domain_id mDomain;
  endpoint mAddress;
  std::uint32_t mSlots = 1; // requests that run at once
  bool mDraining = false;
  std::chrono::milliseconds mColdLeft{ 0 }; // when the entry was written
  std::uint64_t mSequence = 0;              // grows with each writing
  std::chrono::milliseconds mBorn{ 0 };     // since the epoch; zero: not known

  bool operator==(const upstream_entry&) const = default;
};

enum class upstream_change_kind
{
  Joined,
  Restarted, // another incarnation under the same name
  Updated,
  Renewed, // a heartbeat: nothing has changed but its sequence
  Left,
};

std::string_view
ToString(upstream_change_kind aKind);

struct upstream_change
{
  upstream_change_kind mKind;
  upstream_entry mEntry;
};

struct upstream_directory_options
{
  // Entries that lapsed in an outage are back within this time of its end.
  std::chrono::milliseconds mReturnGrace{ 2200 };
  // A shorter outage lets no entry lapse.
  std::chrono::milliseconds mShortOutage{ 1000 };
};

class upstream_directory
{
public:
  explicit upstream_directory(upstream_directory_options aOptions = {})
    : mOptions(aOptions)
  {
  }

  std::vector<upstream_change> Put(upstream_entry aEntry, instant aNow);
  std::vector<upstream_change> Remove(const upstream_id& aId, instant aNow);

  // Takes a whole list: what is not on it is removed.
  std::vector<upstream_change> Replace(std::vector<upstream_entry> aEntries,
                                       instant aNow);

  void PlatformLost(instant aNow);
  void PlatformBack(instant aNow);

  void EndGrace(instant aNow);

  // Whether missing upstreams are taken as gone.
  bool IsSettled(instant aNow) const { return !mLost && aNow >= mGraceUntil; }

  // Removes upstreams that did not come back in time.
  std::vector<upstream_change> Expire(instant aNow);

  // Everything that is known and not missing.
  std::vector<upstream_entry> Entries() const;

  std::size_t Size() const { return mKnown.size(); }

private:
  struct known_upstream
  {
    upstream_entry mEntry;
    bool mMissing = false;
  };

  upstream_directory_options mOptions;
  std::map<upstream_id, known_upstream> mKnown;
  bool mLost = false;
  instant mLostSince{};
  instant mGraceUntil{};
};

} // namespace laburnumdyke
