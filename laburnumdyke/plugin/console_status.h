// Status of the system as one instance sees it: versions in force, latency by
// rank, refusals, headroom by region and drains in progress.
//
// Usage:
//   status_view view = CollectStatus(kernel, tables, now);
//   boost::json::object json = StatusJson(view);
#pragma once

#include "laburnumdyke/plugin/entry_tables.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace laburnumdyke {

struct instance_view
{
  member mMember;
  std::uint64_t mVersion = 0; // of the document in force on the instance
  std::string mContentHash;
};

struct refusal_view
{
  counter_key mKey;
  std::uint64_t mCount = 0;
};

// Slots that the live instances of a region advertise.
struct region_view
{
  region_id mRegion;
  std::uint32_t mCap = 0; // requests in flight; 0: region not in the document
  std::uint32_t mSlots = 0;
  std::uint32_t mFree = 0;
};

struct drain_view
{
  upstream_id mUpstream;
  upstream_spec mSpec;
};

struct status_view
{
  instance_view mSelf;
  std::size_t mInFlight = 0;
  std::size_t mQueued = 0;
  std::vector<service_credit> mCredits;
  std::vector<instance_view> mPeers;
  std::vector<latency_summary> mRanks;
  std::vector<refusal_view> mRefusals;
  std::vector<region_view> mRegions;
  std::vector<drain_view> mDrains; // upstreams marked leaving
};

status_view
CollectStatus(kernel& aKernel, entry_tables& aTables, instant aNow);

boost::json::object
StatusJson(const status_view& aView);

} // namespace laburnumdyke
