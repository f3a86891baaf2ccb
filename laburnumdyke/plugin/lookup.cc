// Placement decides on domain types; this file converts the query from HTTP and
// the answer to JSON.
#include "laburnumdyke/plugin/lookup.h"

#include "laburnumdyke/decision/placement.h"
#include "laburnumdyke/plugin/http_parts.h"

#include <boost/json.hpp>

namespace laburnumdyke {

namespace {

string_answer
RefuseLookup(kernel& aKernel,
             http::status aStatus,
             refusal_reason aReason,
             std::string_view aMessage)
{
  aKernel.Counters().Add("lookup_refused_total", ToString(aReason));
  boost::json::object body;
  body["error"] = aMessage;
  body["reason"] = ToString(aReason);
  return JsonAnswer(aStatus, body);
}

} // namespace

std::optional<std::string_view>
QueryParameter(std::string_view aTarget, std::string_view aName)
{
  std::size_t separator = aTarget.find('?');
  while (separator != std::string_view::npos) {
    aTarget.remove_prefix(separator + 1);
    separator = aTarget.find('&');
    std::string_view parameter = aTarget.substr(0, separator);
    std::size_t equals = parameter.find('=');
    if (equals != std::string_view::npos &&
        parameter.substr(0, equals) == aName) {
      return parameter.substr(equals + 1);
    }
  }
  return std::nullopt;
}

string_answer
AnswerLookup(kernel& aKernel,
             entry_tables& aTables,
             std::string_view aTarget,
             instant aNow)
{
  std::shared_ptr<const document> document = aTables.Document();
  if (!document) {
    return RefuseLookup(aKernel,
                        http::status::service_unavailable,
                        refusal_reason::NoDocument,
                        "no configuration in force yet");
  }
  service_id service{ std::string(
    QueryParameter(aTarget, "service").value_or("")) };
  std::optional<address_bytes> client =
    ParseAddress(QueryParameter(aTarget, "client").value_or(""));
  auto found = document->mServices.find(service);
  if (found == document->mServices.end()) {
    return RefuseLookup(aKernel,
                        http::status::not_found,
                        refusal_reason::UnknownService,
                        "no service \"" + service.mValue + "\"");
  }
  if (!client) {
    return RefuseLookup(aKernel,
                        http::status::bad_request,
                        refusal_reason::MalformedRequest,
                        "expected client= with an IP address");
  }
  placement_answer placed = aTables.Place(
    *document, service, *client, aNow, std::chrono::system_clock::now());
  if (placed.mChoices.empty()) {
    return RefuseLookup(aKernel,
                        http::status::service_unavailable,
                        placed.mReason,
                        "no entry instance is available for this client");
  }
  aKernel.Counters().Add("lookups_total");
  boost::json::array entries;
  for (const entry_choice& choice : placed.mChoices) {
    boost::json::object entry;
    entry["instance"] = choice.mInstance.mValue;
    entry["address"] = choice.mCaller.Text();
    entry["failure_domain"] = choice.mDomain.mValue;
    entries.push_back(std::move(entry));
  }
  boost::json::object body;
  body["service"] = service.mValue;
  body["version"] = aTables.Version();
  body["ttl_ms"] = placed.mTtl.count();
  body["entries"] = std::move(entries);
  if (!found->second.mIdempotent) {
    body["identity"] = aTables.Ledger().With(
      [&](identity_ledger& aLedger) { return aLedger.Issue(aNow).Text(); });
  }
  return JsonAnswer(http::status::ok, body);
}

string_answer
AnswerIdentity(entry_tables& aTables, instant aNow)
{
  boost::json::object body;
  body["identity"] = aTables.Ledger().With(
    [&](identity_ledger& aLedger) { return aLedger.Issue(aNow).Text(); });
  body["begin_within_ms"] =
    std::chrono::milliseconds(identity_ledger::kBeginWithin).count();
  return JsonAnswer(http::status::ok, body);
}

} // namespace laburnumdyke
