// The JSON of an explained route. Its size is bounded by
// route_explainer::kLimits; it contains neither keys nor digests.
//
// Usage:
//   JsonAnswer(http::status::ok, ExplainedJson(explained, instance))
#pragma once

#include "laburnumdyke/plugin/route_explanation.h"

#include <boost/json.hpp>

#include <string>

namespace laburnumdyke {

boost::json::object
ExplainedJson(const explained_route& aExplained, const std::string& aInstance);

} // namespace laburnumdyke
