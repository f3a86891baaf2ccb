// The place of one request within the limit of its entry instance.
//
// Usage:
//   instance_entry entry(tables.Admission(), rank, HeldBytes(exchange), now);
//   if (entry.Reason() != refusal_reason::None) ... refuse
//
// A place that was given is left by the destructor, so that no way out of a
// request, the end of its coroutine's frame included, keeps it.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/kernel/guarded.h"
#include "laburnumdyke/plugin/http_server.h"

#include <chrono>
#include <cstdint>

namespace laburnumdyke {

// The most bytes of bodies that serving the request holds in memory.
std::uint64_t
HeldBytes(const http_exchange& aExchange);

class instance_entry
{
public:
  instance_entry(table<admission>& aAdmission,
                 work_rank aRank,
                 std::uint64_t aBytes,
                 instant aNow);
  ~instance_entry();

  instance_entry(const instance_entry&) = delete;
  instance_entry& operator=(const instance_entry&) = delete;

  // None where the request is in.
  refusal_reason Reason() const { return mReason; }

  // Where it is not: when to come back.
  std::chrono::milliseconds RetryAfter() const { return mRetryAfter; }

private:
  table<admission>& mAdmission;
  work_rank mRank;
  std::uint64_t mBytes;
  refusal_reason mReason = refusal_reason::None;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

} // namespace laburnumdyke
