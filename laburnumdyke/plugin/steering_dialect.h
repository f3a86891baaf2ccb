// What a front end that routes by host and path supplies to steered_pipeline:
// a dialect that reads and writes its headers, and a transport that makes one
// attempt. Tests supply mocks for both.
//
// A dialect is a class of static functions. An error in a caller's header shows
// as an empty field of caller_request, one in an upstream's header in
// answer_attributes.
#pragma once

#include "laburnumdyke/plugin/upstream_exchange.h"

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// Fields that the dialect reads from a caller's header.
struct caller_request
{
  std::string mId;
  std::string mObject; // object that the request is about; empty: none
  std::string mKey;    // of a customer; empty: none, or not a single one
  std::string mHost;
  // How long the caller waits for an answer, if it says so.
  std::optional<std::chrono::milliseconds> mCallerTimeout;
};

template<class T>
concept steering_dialect = requires(const request_parser::value_type& aHead,
                                    const upstream_head& aAnswer,
                                    const upstream_id& aUpstream,
                                    const customer_id& aCustomer,
                                    std::chrono::milliseconds aRemaining,
                                    const std::string& aId)
{
  {
    T::ReadCaller(aHead)
    } -> std::same_as<caller_request>;
  {
    T::UpstreamHeaders(aUpstream, aRemaining)
    } -> std::same_as<header_list>;
  // Names the customer to the upstream.
  {
    T::CustomerHeaders(aCustomer)
    } -> std::same_as<header_list>;
  // Headers of callers that must not reach upstreams where requests need keys.
  {
    T::CredentialHeaders()
    } -> std::same_as<std::vector<std::string_view>>;
  {
    T::ReadAnswer(aAnswer, aId)
    } -> std::same_as<answer_attributes>;
};

template<class T>
concept attempt_transport = requires(T& aTransport,
                                     http_exchange& aExchange,
                                     const upstream_attempt& aAttempt)
{
  {
    aTransport.Attempt(aExchange, aAttempt)
    } -> std::same_as<asio::awaitable<attempt_outcome>>;
};

// The production transport.
struct upstream_transport
{
  explicit upstream_transport(kernel& aKernel)
    : mTables{ aKernel.Table<connection_pool>(), aKernel.Table<body_table>() }
  {
  }

  asio::awaitable<attempt_outcome> Attempt(http_exchange& aExchange,
                                           const upstream_attempt& aAttempt)
  {
    return AttemptUpstream(mTables, aExchange, aAttempt);
  }

  exchange_tables mTables;
};

} // namespace laburnumdyke
