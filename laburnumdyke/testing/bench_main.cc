// Compares the decisions with the baseline, in virtual time, in one table.
// Usage: bench [--seed N] [--seconds N] [--deployment NAME] [--scenario NAME]
//              [--orders]
#include "laburnumdyke/testing/bench/run.h"

#include <cstdio>
#include <getopt.h>
#include <string>

using namespace laburnumdyke;
using namespace laburnumdyke::bench;

namespace {

struct bench_options
{
  std::uint64_t mSeed = 1;
  std::chrono::seconds mLength{ 120 };
  bool mOrders = false;
  std::string mDeployment; // all where empty
  std::string mScenario;   // all where empty
};

std::vector<scenario>
Chosen(const bench_options& aOptions)
{
  std::vector<scenario> chosen;
  for (const scenario& one : Scenarios()) {
    if (aOptions.mScenario.empty() || aOptions.mScenario == one.mName) {
      chosen.push_back(one);
    }
  }
  return chosen;
}

double
Milliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

double
Percent(double aPart, double aWhole)
{
  return aWhole > 0 ? 100 * aPart / aWhole : 0;
}

void
PrintHead()
{
  std::printf("%-10s %-28s %-9s", "deployment", "scenario", "system");
  for (const char* rank : { "urgent", "standard", "bulk" }) {
    std::printf(" | %-8s p50     p99   p99.9 served%%", rank);
  }
  std::printf(" | overshot wasted%% double false-not-run retries\n");
}

void
PrintRow(const std::string& aDeployment,
         const std::string& aScenario,
         const char* aSystem,
         figures& aFigures)
{
  std::printf(
    "%-10s %-28s %-9s", aDeployment.c_str(), aScenario.c_str(), aSystem);
  for (rank_figures& rank : aFigures.mRanks) {
    std::printf(" | %12.1f %7.1f %7.1f %7.3f",
                Milliseconds(rank.Quantile(0.5)),
                Milliseconds(rank.Quantile(0.99)),
                Milliseconds(rank.Quantile(0.999)),
                Percent(static_cast<double>(rank.mServed),
                        static_cast<double>(rank.mOffered)));
  }
  std::printf(
    " | %8lu %7.2f %6lu %13lu %7lu\n",
    aFigures.mOvershot,
    Percent(Milliseconds(aFigures.mWasted), Milliseconds(aFigures.mWorked)),
    aFigures.mDoubleRuns,
    aFigures.mFalseNotRun,
    aFigures.mRetries);
  std::fflush(stdout);
}

void
PrintRefusals(const figures& aFigures)
{
  if (aFigures.mRefusals.empty()) {
    return;
  }
  std::printf("%50s", "refused:");
  for (const std::pair<const refusal_reason, std::uint64_t>& entry :
       aFigures.mRefusals) {
    std::printf(
      " %s=%lu", std::string(ToString(entry.first)).c_str(), entry.second);
  }
  std::printf("\n");
}

void
PrintRelays(const figures& aFigures)
{
  std::printf("%50s relays=%lu refused=%lu queued=%lu, a slot free in the "
              "failure domain=%lu region=%lu elsewhere=%lu\n",
              "",
              aFigures.mRelays,
              aFigures.mRelaysRefused,
              aFigures.mQueued,
              aFigures.mQueuedBeside[0],
              aFigures.mQueuedBeside[1],
              aFigures.mQueuedBeside[2]);
}

void
PrintCustomers(const char* aSystem, const figures& aFigures)
{
  for (std::size_t i = 0; i < aFigures.mCustomers.size(); ++i) {
    const customer_figures& one = aFigures.mCustomers[i];
    std::printf("%50s customer-%zu: offered=%lu served=%lu (%.2f%%) "
                "over_quota=%lu refused=%lu\n",
                aSystem,
                i,
                one.mOffered,
                one.mServed,
                Percent(static_cast<double>(one.mServed),
                        static_cast<double>(one.mOffered)),
                one.mOverQuota,
                one.mRefused);
  }
}

// A measured value against the bound that the target states.
void
PrintTarget(const std::string& aWhat, double aValue, double aBound, bool aMost)
{
  bool met = aMost ? aValue <= aBound : aValue >= aBound;
  std::printf("  %-64s %10.3f %s %8.3f  %s",
              aWhat.c_str(),
              aValue,
              aMost ? "<=" : ">=",
              aBound,
              met ? "met" : "MISSED by ");
  if (!met) {
    std::printf("%.3f", aMost ? aValue - aBound : aBound - aValue);
  }
  std::printf("\n");
}

std::string
Label(std::initializer_list<std::string_view> aParts)
{
  std::string label;
  for (std::string_view part : aParts) {
    label.append(part);
  }
  return label;
}

constexpr double kMostLossPercent = 0.1;
constexpr double kMostGrowthPercent = 20;
constexpr double kLeastGoodputPercent = 95;

void
CheckBulkFlood(const std::string& aName, figures& aFlood, figures& aBefore)
{
  for (std::size_t i = 0; i < 2; ++i) {
    rank_figures& before = aBefore.mRanks.at(i);
    rank_figures& flood = aFlood.mRanks.at(i);
    std::string rank(ToString(static_cast<work_rank>(i)));
    double served = static_cast<double>(before.mServed);
    PrintTarget(Label({ aName, ": ", rank, " loses, %" }),
                Percent(served - static_cast<double>(flood.mServed), served),
                kMostLossPercent,
                true);
    double p99 = Milliseconds(before.Quantile(0.99));
    PrintTarget(Label({ aName, ": ", rank, " p99 grows, %" }),
                Percent(Milliseconds(flood.Quantile(0.99)) - p99, p99),
                kMostGrowthPercent,
                true);
  }
}

// Capacity and floors are of the pools that the ranks ask in this scenario.
void
CheckUrgentFlood(const deployment& aDeployment,
                 const scenario& aScenario,
                 const std::string& aName,
                 const figures& aFlood)
{
  const document made = aDeployment.Document();
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const rank_figures& rank = aFlood.mRanks.at(i);
    const service_load& load =
      aDeployment.mLoads.at(aScenario.mOnePool ? 0 : i);
    // Offered is measured at a known rate, which gives the measured time.
    double share = aScenario.mOnePool
                     ? std::array<double, kRankCount>{ 0.5, 0.35, 0.15 }.at(i)
                     : 1;
    double asked = aScenario.mLoad * share * aScenario.mFlood.at(i);
    double capacity = static_cast<double>(rank.mOffered) / asked;
    double served = Percent(static_cast<double>(rank.mServed), capacity);
    std::string name(ToString(static_cast<work_rank>(i)));
    double floor = made.mRanks.at(i).mFloorPercent;
    if (i == 0 && !aScenario.mOnePool) {
      PrintTarget(aName + ": urgent goodput, % of capacity",
                  served,
                  kLeastGoodputPercent,
                  false);
    } else if (i > 0) {
      PrintTarget(Label({ aName,
                          ": ",
                          name,
                          " of ",
                          load.mService.mValue,
                          ", % of capacity (its floor)" }),
                  served,
                  std::min(floor, 100 * asked),
                  false);
    }
  }
}

void
CheckAlways(const std::string& aName, const figures& aFigures)
{
  PrintTarget(aName + ": slots overshot",
              static_cast<double>(aFigures.mOvershot),
              0,
              true);
  PrintTarget(aName + ": double runs",
              static_cast<double>(aFigures.mDoubleRuns),
              0,
              true);
  PrintTarget(aName + ": false not-run",
              static_cast<double>(aFigures.mFalseNotRun),
              0,
              true);
}

// The scenario without the flood.
std::string
CalmNameOf(const scenario& aFlood)
{
  if (aFlood.mRegionDead) {
    return "region dead";
  }
  return aFlood.mOnePool ? "one pool" : "load 0.7";
}

using edf_steered = steered<earliest_deadline_first>;

void
RunAll(const deployment& aDeployment, const bench_options& aOptions)
{
  PrintHead();
  std::map<std::string, figures> results;
  for (const scenario& one : Chosen(aOptions)) {
    figures baseline = Run<baseline_steering>(
      aDeployment, one, aOptions.mSeed, aOptions.mLength);
    PrintRow(aDeployment.mName, one.mName, "baseline", baseline);
    PrintCustomers("baseline", baseline);
    figures own =
      Run<edf_steered>(aDeployment, one, aOptions.mSeed, aOptions.mLength);
    PrintRow(aDeployment.mName, one.mName, "steered", own);
    PrintRefusals(own);
    PrintRelays(own);
    PrintCustomers("steered", own);
    results[one.mName] = std::move(own);
  }
  std::printf("targets, %s\n", aDeployment.mName.c_str());
  for (const scenario& one : Chosen(aOptions)) {
    figures& own = results[one.mName];
    CheckAlways(one.mName, own);
    auto before = results.find(CalmNameOf(one));
    if (one.mFlood[2] > 1 && before != results.end()) {
      CheckBulkFlood(one.mName, own, before->second);
    }
    if (one.mFlood[0] > 1) {
      CheckUrgentFlood(aDeployment, one, one.mName, own);
    }
  }
}

// The orders within a rank, one beside the other.
void
RunOrders(const deployment& aDeployment, const bench_options& aOptions)
{
  PrintHead();
  for (const scenario& one : Chosen(aOptions)) {
    bool loaded = one.mLoad > 0.9 || one.mFlood[0] > 1 || one.mFlood[2] > 1;
    if (!loaded) {
      continue;
    }
    figures earliest =
      Run<edf_steered>(aDeployment, one, aOptions.mSeed, aOptions.mLength);
    PrintRow(aDeployment.mName, one.mName, "deadline", earliest);
    figures first = Run<steered<first_in_first_out>>(
      aDeployment, one, aOptions.mSeed, aOptions.mLength);
    PrintRow(aDeployment.mName, one.mName, "fifo", first);
    figures last = Run<steered<last_in_first_out>>(
      aDeployment, one, aOptions.mSeed, aOptions.mLength);
    PrintRow(aDeployment.mName, one.mName, "lifo", last);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  bench_options options;
  const option names[] = { { "seed", required_argument, nullptr, 's' },
                           { "seconds", required_argument, nullptr, 'l' },
                           { "deployment", required_argument, nullptr, 'd' },
                           { "scenario", required_argument, nullptr, 'c' },
                           { "orders", no_argument, nullptr, 'o' },
                           { nullptr, 0, nullptr, 0 } };
  int found = 0;
  while ((found = getopt_long(aCount, aArguments, "", names, nullptr)) != -1) {
    switch (found) {
      case 's':
        options.mSeed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'l':
        options.mLength =
          std::chrono::seconds(std::strtoll(optarg, nullptr, 10));
        break;
      case 'd':
        options.mDeployment = optarg;
        break;
      case 'c':
        options.mScenario = optarg;
        break;
      case 'o':
        options.mOrders = true;
        break;
      default:
        return 2;
    }
  }
  if (options.mLength <= 2 * kMeasureFrom) {
    std::fprintf(stderr, "bench: --seconds must be over 100\n");
    return 2;
  }
  for (const deployment& one : { Brackwater(), Kamishiro() }) {
    if (!options.mDeployment.empty() && options.mDeployment != one.mName) {
      continue;
    }
    options.mOrders ? RunOrders(one, options) : RunAll(one, options);
  }
  return 0;
}
