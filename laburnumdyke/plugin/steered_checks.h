// Checks whether a request that is routed by host and path may be sent to an
// upstream: its route and key once the header is read, a planned stop and the
// customer's quota once the body is read, and its key again before each
// attempt.
//
// Usage:
//   steered_checks checks(kernel);
//   std::optional<steered_refusal> refusal =
//     checks.FindRoute(request, target, boot_clock::Now());
//   ... read the body ...
//   refusal = checks.Admit(request, now);
//   ... refusal = checks.RecheckKey(request, boot_clock::Now()); attempt ...
//   checks.ReturnQuota(request, now);
//
// Errors: the refusal; nullopt if the request may go on.
#pragma once

#include "laburnumdyke/plugin/steered_log.h"

#include <optional>
#include <string_view>

namespace laburnumdyke {

class steered_checks
{
public:
  explicit steered_checks(kernel& aKernel);

  // Finds the route, checks the key, and sets the request's route, customer and
  // deadline.
  std::optional<steered_refusal> FindRoute(steered_request& aRequest,
                                           std::string_view aTarget,
                                           boot_instant aNow);

  // Counts the request against its customer's quota, and limits its deadline
  // to a planned stop.
  std::optional<steered_refusal> Admit(steered_request& aRequest, instant aNow);

  // Checks the key of a request again, by the routes now in force: it may have
  // been revoked or given to another customer while the request waited.
  std::optional<steered_refusal> RecheckKey(const steered_request& aRequest,
                                            boot_instant aNow);

  // To be called when the request has ended: one that no upstream has run does
  // not count against the quota.
  void ReturnQuota(const steered_request& aRequest, instant aNow);

private:
  gate_decision CheckKey(const steered_request& aRequest,
                         const dated_routes& aRoutes) const;

  // Whether a planned stop of the instance leaves time for the request.
  bool MayBegin(const steered_request& aRequest, instant aNow);

  // Limits the deadline so that the request is answered before the process
  // exits.
  void LimitDeadline(steered_request& aRequest);

  std::optional<steered_refusal> TakeQuota(steered_request& aRequest,
                                           instant aNow);

  steering_tables mTables;
  steered_log mLog;
};

} // namespace laburnumdyke
