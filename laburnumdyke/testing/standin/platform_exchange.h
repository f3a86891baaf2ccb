// The platform stand-in's requests and answers: from an HTTP request to the
// model and back, without sockets.
#pragma once

#include "laburnumdyke/testing/standin/http_exchange.h"
#include "laburnumdyke/testing/standin/platform_model.h"
#include "laburnumdyke/testing/standin/whole_session.h"

#include <optional>
#include <string>

namespace laburnumdyke {

// Performs the request on the model. Nothing where its answer is to be lost.
std::optional<short_answer>
PerformPlatformRequest(platform_model& aModel,
                       whole_request& aRequest,
                       instant aNow);

// Applies the body of a POST /control; returns what is wrong with it.
std::optional<std::string>
ControlPlatform(platform_model& aModel, const std::string& aBody);

std::string
PlatformCountersJson(platform_model& aModel);

} // namespace laburnumdyke
