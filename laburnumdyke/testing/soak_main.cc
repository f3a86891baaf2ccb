// The long randomised run as a program; scripts/soak builds and starts it.
//
//   soak --seed N --events N [--stop-at-first] [--plant FAULT]
//
// FAULT is planted in all instances, to see whether the oracle finds it:
// accepts_unknown_keys, ignores_age or ignores_others.
//
// Exit status: 0 where everything held, 1 on a violation, 2 on bad use. A
// broken invariant of the program itself aborts, with the seed and the event
// on standard error.
#include "laburnumdyke/testing/soak/soak_run.h"

#include <getopt.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <utility>

using namespace laburnumdyke;

namespace {

constexpr int kBadUse = 2;

const soak_run* gRun = nullptr;
std::uint64_t gSeed = 0;

void
PrintWhere(int)
{
  std::fprintf(stderr,
               "event=soak_aborted seed=%llu at_event=%llu\n",
               static_cast<unsigned long long>(gSeed),
               static_cast<unsigned long long>(gRun->Event()));
  std::_Exit(1);
}

bool
ParseNumber(std::string_view aText, std::uint64_t& aTarget)
{
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end && !aText.empty();
}

bool
ParseFault(std::string_view aText, customer_fault& aTarget)
{
  const std::pair<std::string_view, customer_fault> names[] = {
    { "accepts_unknown_keys", customer_fault::AcceptsUnknownKeys },
    { "ignores_age", customer_fault::IgnoresAge },
    { "ignores_others", customer_fault::IgnoresOthers },
  };
  for (const std::pair<std::string_view, customer_fault>& one : names) {
    if (one.first == aText) {
      aTarget = one.second;
      return true;
    }
  }
  return false;
}

bool
ReadOptions(int aCount, char** aArguments, soak_options& aOptions)
{
  const option known[] = { { "seed", required_argument, nullptr, 's' },
                           { "events", required_argument, nullptr, 'e' },
                           { "stop-at-first", no_argument, nullptr, 'f' },
                           { "plant", required_argument, nullptr, 'p' },
                           { nullptr, 0, nullptr, 0 } };
  bool good = true;
  int got = 0;
  while ((got = getopt_long(aCount, aArguments, "", known, nullptr)) != -1) {
    if (got == 's') {
      good = good && ParseNumber(optarg, aOptions.mSeed);
    } else if (got == 'e') {
      good = good && ParseNumber(optarg, aOptions.mEvents);
    } else if (got == 'f') {
      aOptions.mStopAtFirst = true;
    } else if (got == 'p') {
      good = good && ParseFault(optarg, aOptions.mCustomerFault);
    } else {
      good = false;
    }
  }
  return good && optind == aCount;
}

unsigned long long
Number(std::uint64_t aNumber)
{
  return aNumber;
}

void
PrintOutcomes(const soak_report& aReport)
{
  for (std::size_t i = 0; i < kSoakServices; ++i) {
    const service_outcomes& one = aReport.mOutcomes.at(i);
    std::printf("outcomes service=%s requests=%llu attempts=%llu "
                "answered=%llu not_run=%llu unknown=%llu\n",
                SoakServices().at(i).mService.mValue.c_str(),
                Number(one.mRequests),
                Number(one.mAttempts),
                Number(one.mAnswered),
                Number(one.mNotRun),
                Number(one.mUnknown));
  }
  for (std::size_t i = 0; i < kSoakCustomers; ++i) {
    const customer_outcomes& one = aReport.mCustomers.at(i);
    std::printf("outcomes customer=%zu requests=%llu served=%llu "
                "over_quota=%llu unknown_key=%llu stale=%llu other=%llu\n",
                i,
                Number(one.mRequests),
                Number(one.mServed),
                Number(one.mOverQuota),
                Number(one.mUnknownKey),
                Number(one.mStale),
                Number(one.mOther));
  }
  std::printf("submissions");
  for (std::size_t i = 0; i < aReport.mSubmissions.size(); ++i) {
    std::string_view name = ToString(static_cast<submission_kind>(i));
    std::printf(" %.*s=%llu",
                static_cast<int>(name.size()),
                name.data(),
                Number(aReport.mSubmissions.at(i)));
  }
  std::printf("\n");
}

void
PrintFaults(const soak_report& aReport)
{
  std::printf("faults");
  for (std::size_t i = 0; i < aReport.mFaults.size(); ++i) {
    std::string_view name = ToString(static_cast<fault_kind>(i));
    std::printf(" %.*s=%llu",
                static_cast<int>(name.size()),
                name.data(),
                Number(aReport.mFaults.at(i)));
  }
  std::printf("\n");
}

void
PrintViolations(const soak_report& aReport)
{
  std::printf("violations");
  for (std::size_t i = 0; i < aReport.mCounts.size(); ++i) {
    std::string_view name = ToString(static_cast<violation_kind>(i));
    std::printf(" %.*s=%llu",
                static_cast<int>(name.size()),
                name.data(),
                Number(aReport.mCounts.at(i)));
  }
  std::printf("\n");
  for (const violation& one : aReport.mViolations) {
    std::string_view name = ToString(one.mKind);
    std::printf("violation kind=%.*s seed=%llu at_event=%llu %s\n",
                static_cast<int>(name.size()),
                name.data(),
                Number(gSeed),
                Number(one.mEvent),
                one.mState.c_str());
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  soak_options options;
  if (!ReadOptions(aCount, aArguments, options)) {
    std::fprintf(stderr,
                 "usage: soak --seed N --events N [--stop-at-first] "
                 "[--plant FAULT]\n");
    return kBadUse;
  }
  soak_run run(options);
  gRun = &run;
  gSeed = options.mSeed;
  std::signal(SIGABRT, PrintWhere);
  std::chrono::steady_clock::time_point began =
    std::chrono::steady_clock::now();
  run.Go();
  double seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - began)
      .count();
  soak_report report = run.Report();
  std::printf("soak seed=%llu events=%llu dropped=%llu virtual_s=%.1f "
              "runs=%llu digest=%016llx\n",
              Number(options.mSeed),
              Number(report.mEvents),
              Number(report.mDropped),
              static_cast<double>(report.mVirtual.count()) / 1000,
              Number(report.mRuns),
              Number(report.mDigest));
  std::printf("speed seconds=%.1f events_per_s=%.0f\n",
              seconds,
              static_cast<double>(report.mEvents) / seconds);
  PrintOutcomes(report);
  PrintFaults(report);
  PrintViolations(report);
  return report.mViolations.empty() ? 0 : 1;
}
