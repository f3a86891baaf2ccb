// The upstream stand-in's JSON pages, from the model and back, without
// sockets.
#pragma once

#include "laburnumdyke/testing/standin/upstream_model.h"

#include <optional>
#include <string>

namespace laburnumdyke {

// Applies the body of a POST /control; returns what is wrong with it.
std::optional<std::string>
ControlUpstream(upstream_model& aModel, const std::string& aBody, instant aNow);

// The page GET /control.
std::string
UpstreamCountersJson(const upstream_model& aModel, instant aNow);

// The page GET /load.
std::string
UpstreamLoadJson(const upstream_model& aModel, instant aNow);

} // namespace laburnumdyke
