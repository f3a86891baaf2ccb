// The console of forms on the operators' address.
//
// Paths:
//   GET  /console             overview
//   GET  /console/style.css
//   GET  /console/edit/KIND   a draft of the version in force, at one part
//   POST /console/draft       every step of a draft: check, rows, review,
//   submit
//
// Usage:
//   console pages(kernel);
//   if (console::IsPath(target)) co_await pages.Handle(exchange);
//
// Posts from other origins, without a form or over kMostFormBytes are refused
// and counted under console_refused_total by reason.
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
  asio::awaitable<string_answer> Step(console_post aPost);
  asio::awaitable<string_answer> Submit(const console_post& aPost,
                                        const document& aBase,
                                        const document& aDocument);

  // The document that a draft is based on: the one in force here, else from
  // the platform. Null where it can't be had.
  asio::awaitable<std::shared_ptr<const document>> BaseOf(
    const form_draft& aDraft);

  string_answer StartDraft(std::string_view aKind);
  string_answer Refuse(http::status aStatus, std::string_view aReason);
  std::string NewChangeId();

  kernel& mKernel;
  entry_tables mTables;
  std::atomic<std::uint64_t> mChanges{ 0 }; // change ids given out
};

} // namespace laburnumdyke
