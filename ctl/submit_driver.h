// Drives a submission against the platform until it has an outcome.
//
// Usage:
//   submission_outcome outcome = RunSubmission(request, platform, clock);
//
// submission_clock is the only source of time; tests give a virtual one.
#pragma once

#include "ctl/platform_client.h"

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
    } -> std::same_as<void>;
};

template<http_exchanger Http, submission_clock Clock>
class submission_step
{
public:
  submission_step(submission& aSubmission,
                  platform_client<Http>& aPlatform,
                  Clock& aClock)
    : mSubmission(aSubmission)
    , mPlatform(aPlatform)
    , mClock(aClock)
  {
  }

  submission_action operator()(const read_row_action&)
  {
    std::optional<row_reading> row = mPlatform.ReadRow();
    return mSubmission.OnRow(row, mClock.Now());
  }

  submission_action operator()(const put_object_action& aAction)
  {
    bool stored = mPlatform.PutDocument(aAction);
    return mSubmission.OnObjectStored(stored, mClock.Now());
  }

  submission_action operator()(const get_object_action& aAction)
  {
    std::optional<std::string> text = mPlatform.GetDocument(aAction.mHash);
    return mSubmission.OnObject(text, mClock.Now());
  }

  submission_action operator()(const write_row_action& aAction)
  {
    write_answer answer = mPlatform.WriteRow(aAction);
    return mSubmission.OnWritten(answer, mClock.Now());
  }

  submission_action operator()(const wait_action& aAction)
  {
    mClock.SleepUntil(aAction.mUntil);
    return mSubmission.OnTimer(mClock.Now());
  }

  submission_action operator()(const submission_outcome& aOutcome)
  {
    return aOutcome;
  }

private:
  submission& mSubmission;
  platform_client<Http>& mPlatform;
  Clock& mClock;
};

template<http_exchanger Http, submission_clock Clock>
submission_outcome
RunSubmission(submission_request aRequest,
              platform_client<Http>& aPlatform,
              Clock& aClock)
{
  submission one(std::move(aRequest), aClock.Now());
  submission_step<Http, Clock> step(one, aPlatform, aClock);
  submission_action action = one.Start(aClock.Now());
  while (!std::holds_alternative<submission_outcome>(action)) {
    submission_action current = std::move(action);
    action = std::visit(step, current);
  }
  return std::get<submission_outcome>(std::move(action));
}

} // namespace laburnumdyke
