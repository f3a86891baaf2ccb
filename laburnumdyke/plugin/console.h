// Web console for editing the configuration document, served on the operator
// address.
//
// Paths:
//   GET  /console             overview
//   GET  /console/style.css
//   GET  /console/edit/KIND   new draft of the document in force, opened at the
//                             part KIND
//   POST /console/draft       every action on a draft: check, show a part, add
//                             or remove a row, review, submit
//
// Usage:
//   console pages(kernel);
//   if (console::IsPath(target)) co_await pages.Handle(exchange);
//
// Cross-origin posts, malformed forms, bodies over kMaxFormBytes and parts with
// more than kMaxRows rows are refused and counted in console_refused_total by
// reason.
#pragma once

#include "laburnumdyke/plugin/console_html.h"
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/submission_driver.h"

#include <atomic>
#include <memory>

namespace laburnumdyke {

class console
{
public:
  explicit console(kernel& aKernel);

  static bool IsPath(std::string_view aTarget);

  asio::awaitable<void> Handle(http_exchange& aExchange);

private:
  string_answer Get(std::string_view aTarget);
  asio::awaitable<string_answer> Post(http_exchange& aExchange);
  asio::awaitable<string_answer> HandleDraft(console_post aPost);
  asio::awaitable<string_answer> Submit(const console_post& aPost,
                                        const document& aBase,
                                        const document& aDocument);

  // Returns the document that the draft is based on: the one in force on this
  // instance if its hash matches, else the one read from the platform. An empty
  // document for base version 0. Null if the base is not available.
  asio::awaitable<std::shared_ptr<const document>> LoadBase(
    const form_draft& aDraft);

  string_answer StartDraft(std::string_view aKind);
  string_answer Refuse(http::status aStatus, std::string_view aReason);
  std::string NewChangeId();

  kernel& mKernel;
  entry_tables mTables;
  std::atomic<std::uint64_t> mChangeIdCount{ 0 }; // change ids issued
};

} // namespace laburnumdyke
