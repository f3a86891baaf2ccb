// The configuration document that operators edit, as one value.
//
//   document_result result = ParseDocument(text);
//   if (result.mDocument) {
//     std::cout << RenderDocument(*result.mDocument);
//   } else {
//     // result.mFaults holds the line, the field and the expected value of
//     // each fault.
//   }
//
// A document is read from INI text. A text with any fault is refused as a
// whole, with its faults by line and field. Each document has one canonical
// text: texts that declare the same configuration, in whatever order and
// spacing, have the same canonical text.
//
//   [region leinster]
//   cap = 400                   ; requests in flight in the whole region
//   [failure_domain leinster-a]
//   region = leinster
//   [service booking]
//   rank = urgent
//   idempotent = no             ; default: yes
//   answer_life = 20s           ; how long callers may cache a lookup answer
//   deadline = 2s               ; used where the caller sets none
//   warm_up = 10s               ; how long a cold upstream is ramped up
//   [upstream booking-1]
//   service = booking
//   failure_domain = leinster-a
//   address = 127.0.0.1:9001
//   slots = 3                   ; requests in flight
//   connections = 650
//   state = serving             ; or leaving
//   [rank urgent]
//   floor = 50                  ; percent of slots and links reserved for it
//   queue = 64                  ; waiting requests, per service and instance
//   [link leinster-munster]
//   between = leinster, munster
//   rate = 300                  ; Mbit/s in each direction
//   [shift 2026-report-move]
//   service = report
//   from = leinster
//   to = munster
//   share = 50                  ; percent of the traffic, once complete
//   cap = 5                     ; maximum percentage points per minute
//   start = 2026-12-04T11:00:00Z
//   [blocks]                    ; client prefixes of each failure domain
//   leinster-a = 10.0.0.0/24, 2001:db8::/32   ; a key may be repeated
//
// Durations are a whole number with the unit ms, s or m.
#pragma once

#include "laburnumdyke/decision/block_list.h"
#include "laburnumdyke/decision/prefix.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/ini.h"

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// Wall-clock time (UTC), used for the start times of shifts.
using wall_time = std::chrono::system_clock::time_point;

struct region_spec
{
  std::uint32_t mCap = 0; // requests in flight
  bool operator==(const region_spec&) const = default;
};

struct domain_spec
{
  region_id mRegion;
  bool operator==(const domain_spec&) const = default;
};

struct service_spec
{
  work_rank mRank = work_rank::Standard;
  bool mIdempotent = true;
  // How long callers may cache a lookup answer.
  std::chrono::milliseconds mLookupTtl{ 20000 };
  std::chrono::milliseconds mDeadline{ 2000 }; // if the caller sets none
  std::chrono::milliseconds mWarmUp{ 10000 };  // ramp of a cold upstream
  bool operator==(const service_spec&) const = default;
};

enum class upstream_state
{
  Serving,
  Leaving,
};

struct upstream_spec
{
  service_id mService;
  domain_id mDomain;
  endpoint mAddress;
  std::uint32_t mSlots = 0; // requests in flight
  std::uint32_t mConnections = 0;
  upstream_state mState = upstream_state::Serving;
  bool operator==(const upstream_spec&) const = default;
};

struct rank_spec
{
  std::uint32_t mFloorPercent = 0; // of slots and links, reserved for the rank
  std::uint32_t mQueue = 64;       // waiting requests, per service and instance
  bool operator==(const rank_spec&) const = default;
};

struct link_spec
{
  region_id mFirst; // the lexicographically lesser name
  region_id mSecond;
  std::uint32_t mMegabitsPerSecond = 0; // per second, in each direction
  bool operator==(const link_spec&) const = default;
};

struct shift_spec
{
  service_id mService;
  region_id mFrom;
  region_id mTo;
  std::uint32_t mSharePercent = 0;        // of the traffic, once complete
  std::uint32_t mCapPercentPerMinute = 0; // percentage points per minute
  wall_time mStart{};
  bool operator==(const shift_spec&) const = default;
};

using region_map = std::map<region_id, region_spec>;
using domain_map = std::map<domain_id, domain_spec>;
using service_map = std::map<service_id, service_spec>;
using upstream_map = std::map<upstream_id, upstream_spec>;
using link_map = std::map<std::string, link_spec>;
using shift_map = std::map<std::string, shift_spec>;

struct document
{
  region_map mRegions;
  domain_map mDomains;
  service_map mServices;
  upstream_map mUpstreams;
  std::array<rank_spec, kRankCount> mRanks{};
  link_map mLinks;
  shift_map mShifts;
  // Sorted and without duplicates; no domain has an empty list.
  block_map mBlocks;

  bool operator==(const document&) const = default;

  // Returns std::nullopt if the domain is not declared.
  std::optional<region_id> RegionOf(const domain_id& aDomain) const;
};

struct document_result
{
  std::optional<document> mDocument; // std::nullopt if there are faults
  std::vector<text_fault> mFaults;
};

// Parses and validates a document. Syntax errors, invalid values and dangling
// references are reported together, in order of lines; limits are checked only
// if there are none of these.
document_result
ParseDocument(std::string_view aText);

// Parses without ValidateReferences() and ValidateLimits(), and without looking
// for repeated blocks: for a caller that has only some sections and validates
// the complete document itself.
document_result
ParseSections(std::string_view aText);

// Returns the canonical text.
std::string
RenderDocument(const document& aDocument);

// Reports references to undeclared names, unreferenced sections, repeated
// addresses, links that join the same regions as another, and shifts from a
// region to itself. Faults name the field; their line is 0.
std::vector<text_fault>
ValidateReferences(const document& aDocument);

// Checks limits that span several fields, such as a region's cap against the
// slots of its upstreams. The document must have passed ValidateReferences().
// Faults name the field; their line is 0.
std::vector<text_fault>
ValidateLimits(const document& aDocument);

// Returns the SHA-256 of a text in lower-case hexadecimal. The content hash of
// a document is the hash of its manifest: see document_chunks.h.
std::string
ContentHash(std::string_view aText);

} // namespace laburnumdyke
