// Runs a submission against the platform until it has an outcome.
//
// Usage:
//   submission_outcome outcome =
//     co_await RunSubmission(request, platform, clock);
//
// submission_clock is the only source of time; tests supply a virtual clock. A
// submission ends when its timeout has passed; its outcome then says whether
// anything may have been written.
#pragma once

#include "laburnumdyke/plugin/platform_client.h"
#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <concepts>
#include <utility>
#include <variant>

namespace laburnumdyke {

template<class T>
concept submission_clock = requires(T& aClock, instant aUntil)
{
  {
    aClock.Now()
    } -> std::same_as<instant>;
  {
    aClock.SleepUntil(aUntil)
    } -> std::same_as<asio::awaitable<void>>;
};

struct asio_clock
{
  instant Now() { return std::chrono::steady_clock::now(); }

  asio::awaitable<void> SleepUntil(instant aUntil)
  {
    return laburnumdyke::SleepUntil(aUntil);
  }
};

// Performs one action, passes its result and the time on to the submission, and
// returns the next action.
template<http_exchanger Http, submission_clock Clock>
asio::awaitable<submission_action>
Perform(submission& aSubmission,
        submission_action aAction,
        platform_client<Http>& aPlatform,
        Clock& aClock)
{
  if (std::holds_alternative<read_row_action>(aAction)) {
    row_answer row = co_await aPlatform.ReadRow();
    co_return aSubmission.OnRow(row.Snapshot(), aClock.Now());
  }
  if (put_object_action* put = std::get_if<put_object_action>(&aAction)) {
    bool stored = co_await aPlatform.PutDocument(std::move(*put));
    co_return aSubmission.OnObjectStored(stored, aClock.Now());
  }
  if (get_object_action* get = std::get_if<get_object_action>(&aAction)) {
    std::optional<std::string> text =
      co_await aPlatform.GetDocument(std::move(get->mHash));
    co_return aSubmission.OnObject(text, aClock.Now());
  }
  if (write_row_action* write = std::get_if<write_row_action>(&aAction)) {
    write_answer answer = co_await aPlatform.WriteRow(std::move(*write));
    co_return aSubmission.OnWritten(answer, aClock.Now());
  }
  co_await aClock.SleepUntil(std::get<wait_action>(aAction).mUntil);
  co_return aSubmission.OnTimer(aClock.Now());
}

template<http_exchanger Http, submission_clock Clock>
asio::awaitable<submission_outcome>
RunSubmission(submission_request aRequest,
              platform_client<Http>& aPlatform,
              Clock& aClock)
{
  submission running(std::move(aRequest), aClock.Now());
  submission_action action = running.Start(aClock.Now());
  while (!std::holds_alternative<submission_outcome>(action)) {
    submission_action next =
      co_await Perform(running, std::move(action), aPlatform, aClock);
    action = std::move(next);
  }
  co_return std::get<submission_outcome>(std::move(action));
}

} // namespace laburnumdyke
