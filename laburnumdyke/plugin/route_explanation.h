// Tells operators where an instance that routes by host and path would send a
// given request now, and why, without sending it.
//
//   GET /v1/explain?host=H&path=P[&object=O][&customer=C][&deadline_ms=N]
//
// Parameters are form-encoded. The customer can be given by its key instead, in
// the header kExplainKeyHeader; the key is neither logged nor answered.
//
// Usage:
//   route_explainer explainer(kernel);
//   if (route_explainer::IsPath(target)) ... explainer.Answer(head, now)
//
// The answer is JSON of bounded size. It follows the steps of steered_pipeline
// and changes nothing that they use.
//
// Errors, with "error" in the body:
//   400  a parameter is missing, unknown, repeated or malformed
//   404  no customer has this name
//   405  the method is not GET
//   429  more than kPerSecond explanations a second
//   503  no configuration in force yet
#pragma once

#include "laburnumdyke/decision/choice_explanation.h"
#include "laburnumdyke/decision/token_bucket.h"
#include "laburnumdyke/plugin/explain_query.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// What would become of a request.
struct explained_route
{
  std::shared_ptr<const route_table> mRoutes;
  const route_spec* mRoute = nullptr;       // of mRoutes; null: none matches
  const customer_spec* mCustomer = nullptr; // of mRoutes; null: none
  service_id mService;
  std::optional<quota_preview> mQuota;       // if it was asked
  std::optional<choice_explanation> mChoice; // if it came to a choice
  // The answer to the caller if no upstream gets the request.
  http::status mStatus = http::status::ok;
  refusal_reason mReason = refusal_reason::None;
  // Bounds of the Retry-After; nullopt: none.
  std::optional<std::chrono::milliseconds> mLeastRetryAfter;
  std::optional<std::chrono::milliseconds> mMostRetryAfter;
};

class route_explainer
{
public:
  static constexpr double kPerSecond = 5;
  static constexpr explanation_limits kLimits{ 20, 5 };

  explicit route_explainer(kernel& aKernel);

  static bool IsPath(std::string_view aTarget);

  string_answer Answer(const request_parser::value_type& aHead, instant aNow);

private:
  std::optional<explain_query> ReadKey(const request_parser::value_type& aHead,
                                       explain_query aQuery) const;
  string_answer AnswerQuery(const explain_query& aQuery, instant aNow);
  explained_route Explain(const explain_query& aQuery,
                          const customer_spec* aCustomer,
                          const dated_routes& aRoutes,
                          instant aNow);
  void ExplainAdmitted(explained_route& aExplained,
                       const explain_query& aQuery,
                       instant aNow);
  void ExplainChoice(explained_route& aExplained,
                     const explain_query& aQuery,
                     instant aDeadline,
                     instant aNow);

  kernel& mKernel;
  steering_tables mTables;
  guarded<token_bucket, lock_rank::Retries> mBucket;
};

} // namespace laburnumdyke
