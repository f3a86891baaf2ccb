// The platform's table and object store, as the console uses them: a document
// read by its content hash, and a submission carried to its outcome.
//
// Usage:
//   console_platform platform(kernel.Settings().mPlatform);
//   submission_outcome outcome = co_await platform.Submit(request);
//
// A submission gives up after its patience and then says whether anything may
// have been written.
#pragma once

#include "laburnumdyke/decision/submission.h"
#include "laburnumdyke/plugin/http_client.h"

#include <optional>
#include <set>
#include <string>

namespace laburnumdyke {

class console_platform
{
public:
  explicit console_platform(endpoint aAddress)
    : mAddress(std::move(aAddress))
  {
  }

  // The canonical text; nothing where an object can't be read or is not the
  // one named.
  asio::awaitable<std::optional<std::string>> GetDocument(std::string aHash);

  asio::awaitable<submission_outcome> Submit(submission_request aRequest);

private:
  asio::awaitable<submission_action> Perform(submission& aSubmission,
                                             const submission_action& aAction);
  asio::awaitable<std::optional<row_reading>> ReadRow();
  asio::awaitable<write_answer> WriteRow(const write_row_action& aWrite);
  asio::awaitable<bool> PutDocument(const put_object_action& aPut);
  asio::awaitable<bool> PutObject(std::string aHash, std::string aText);
  asio::awaitable<std::optional<std::string>> GetObject(std::string aHash);
  // The chunks of the version that was read last.
  asio::awaitable<std::set<std::string>> KnownChunks();
  client_request Request(http::verb aMethod, std::string aTarget) const;

  endpoint mAddress;
  std::string mLastHash; // of the version that was read last
};

} // namespace laburnumdyke
