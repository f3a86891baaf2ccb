// RAII guard that counts one request towards the limit of its entry instance.
//
// Usage:
//   instance_limit_guard entry(tables.Admission(), rank,
//   MaxBufferedBytes(exchange), now); if (entry.Reason() !=
//   refusal_reason::None) ... refuse
//
// The destructor releases what was reserved, so that nothing stays reserved
// however the request ends, including by destruction of its coroutine.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/kernel/guarded.h"
#include "laburnumdyke/plugin/http_server.h"

#include <chrono>
#include <cstdint>

namespace laburnumdyke {

// Upper bound on the bytes of bodies that serving the request keeps in memory.
std::uint64_t
MaxBufferedBytes(const http_exchange& aExchange);

class instance_limit_guard
{
public:
  instance_limit_guard(table<admission>& aAdmission,
                       work_rank aRank,
                       std::uint64_t aBytes,
                       instant aNow);
  ~instance_limit_guard();

  instance_limit_guard(const instance_limit_guard&) = delete;
  instance_limit_guard& operator=(const instance_limit_guard&) = delete;

  // None if the request was admitted.
  refusal_reason Reason() const { return mReason; }

  // If it was not admitted, when to retry.
  std::chrono::milliseconds RetryAfter() const { return mRetryAfter; }

private:
  table<admission>& mAdmission;
  work_rank mRank;
  std::uint64_t mBytes;
  refusal_reason mReason = refusal_reason::None;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

} // namespace laburnumdyke
