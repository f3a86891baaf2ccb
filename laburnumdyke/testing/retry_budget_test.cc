// The retry budget is a share of recent successes; failures add nothing.
#include "laburnumdyke/decision/retry_budget.h"

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

const instant kStart = instant() + 1h;

std::uint64_t
TakeAll(retry_budget& aBudget, instant aNow)
{
  std::uint64_t taken = 0;
  while (aBudget.TakeRetry(aNow)) {
    ++taken;
  }
  return taken;
}

} // namespace

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, FollowsTheSuccessesOfTheWindow)
{
  struct row
  {
    int mSuccesses;
    duration mAge;
    std::uint64_t mRetries;
  };
  for (const row& each : { row{ 0, 0s, 10 },
                           row{ 1000, 0s, 110 },
                           row{ 1000, 9s, 110 },
                           row{ 1000, 10s, 10 },
                           row{ 1000, 1h, 10 } }) {
    retry_budget budget;
    for (int i = 0; i < each.mSuccesses; ++i) {
      budget.CountSuccess(kStart);
    }
    CHECK_EQUAL(each.mRetries, TakeAll(budget, kStart + each.mAge));
  }
}

// Guards against retries that amplify an outage. Each request fails and is
// retried as often as the budget allows; repeated relays between entry
// instances use the same budget.
TEST(RetryBudget, FloodOfFailuresIsNotAmplified)
{
  retry_budget budget;
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (duration t = 0s; t < 60s; t += 1ms) {
    ++requests;
    budget.CountRequest(kStart + t);
    retries += TakeAll(budget, kStart + t);
  }
  CHECK_EQUAL(60000U, requests);
  CHECK(retries <= 7 * retry_budget::kMinRetries);
}

// Compares the budget with a list of every success and retry, each with its
// bucket of the window.
TEST(RetryBudget, AgreesWithAListOfEveryEvent)
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    std::mt19937 random(seed);
    retry_budget budget;
    std::deque<std::pair<std::int64_t, bool>> events; // true: a retry
    instant now = kStart;
    for (int i = 0; i < 5000; ++i) {
      now += std::chrono::milliseconds(random() % 20);
      std::int64_t bucket = now.time_since_epoch() / 1s;
      while (!events.empty() && events.front().first <= bucket - 10) {
        events.pop_front();
      }
      if (random() % 4 == 0) {
        budget.CountSuccess(now);
        events.emplace_back(bucket, false);
        continue;
      }
      std::uint64_t retries = 0;
      for (const std::pair<std::int64_t, bool>& event : events) {
        retries += event.second ? 1 : 0;
      }
      std::uint64_t allowed = 10 + (events.size() - retries) / 10;
      bool taken = budget.TakeRetry(now);
      CHECK_EQUAL(retries < allowed, taken);
      if (taken) {
        events.emplace_back(bucket, true);
      }
    }
  }
}
