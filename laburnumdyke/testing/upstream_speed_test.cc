// Learned speed of upstreams: what is learned from single answers, and replays
// of load in virtual time with and without it.
#include "laburnumdyke/decision/upstream_speed.h"

#include "laburnumdyke/testing/harness/speed_replay.h"

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamSpeed)
{
  upstream_speed mSpeed;
  service_speed mService;
  instant mNow = kReplayStart;

  // Answers one a second, as a busy instance sees them.
  void Answer(double aRatio, int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      mNow += 1s;
      mSpeed.AddSample({ aRatio, true, 1, 4 }, mService, mNow);
    }
  }

  void ReportAndAnswer(std::uint32_t aPercent, double aRatio)
  {
    mNow += 1s;
    mSpeed.Report(aPercent, mNow);
    mSpeed.AddSample({ aRatio, true, 1, 4 }, mService, mNow);
  }

  double Factor(duration aAfter = duration(0)) const
  {
    return mSpeed.Factor(mService.Mean(), mNow + aAfter);
  }

  double Base(duration aAfter = duration(0)) const
  {
    return mSpeed.Base(mService.Mean(), mNow + aAfter);
  }
};

TEST(UpstreamSpeed, WithoutSamplesAnUpstreamHasTheMeanOfItsService)
{
  DOUBLES_EQUAL(1, Factor(), 1e-9);
  for (int i = 0; i < 1000; ++i) {
    mService.AddSample(2);
  }
  DOUBLES_EQUAL(2, Factor(), 0.1);
  DOUBLES_EQUAL(4, mSpeed.HandledSlots(4, mNow), 0);
}

TEST(UpstreamSpeed, AFixedSpeedIsLearnedAndForgottenWithinMinutes)
{
  Answer(2, 30);
  DOUBLES_EQUAL(2, Base(), 0.1);
  DOUBLES_EQUAL(2, Base(10s), 0.25);
  DOUBLES_EQUAL(mService.Mean(), Base(5min), 0.1);
  // Another fixed speed is followed at once, and learned within minutes.
  Answer(0.5, 5);
  CHECK(Factor() < 0.8);
  Answer(0.5, 180);
  DOUBLES_EQUAL(0.5, Base(), 0.1);
}

// Guards against a slow machine that is taken for a slow upstream for minutes.
TEST(UpstreamSpeed, AFewSecondsOfSlownessAreNoise)
{
  for (int i = 0; i < 30; ++i) {
    ReportAndAnswer(100, 1);
  }
  for (int i = 0; i < 6; ++i) {
    ReportAndAnswer(500, 5);
  }
  CHECK(Factor() > 3.5);
  CHECK(Base() < 1.6);
  for (int i = 0; i < 5; ++i) {
    ReportAndAnswer(100, 1);
  }
  CHECK(Factor() < 1.5);
}

// Guards against the use of an old value of a report that changes many times a
// second.
TEST(UpstreamSpeed, AReportIsIgnoredAfterItsLifetime)
{
  mSpeed.Report(500, mNow);
  double momentary = mSpeed.Noise(mNow);
  CHECK(momentary > 1.5 && momentary < 5);
  CHECK(mSpeed.Noise(mNow + 3s) < momentary);
  DOUBLES_EQUAL(1, mSpeed.Noise(mNow + upstream_speed::kNoiseLifetime), 0);
  CHECK(mSpeed.IsReporting(mNow + upstream_speed::kNoiseLifetime));
  CHECK_FALSE(mSpeed.IsReporting(mNow + upstream_speed::kReportingTime));
}

TEST(UpstreamSpeed, OneReportCountsLessThanSeveralThatAgree)
{
  mSpeed.Report(400, mNow);
  double one = mSpeed.Noise(mNow);
  mSpeed.Report(400, mNow);
  CHECK(mSpeed.Noise(mNow) > one);
  CHECK(mSpeed.Noise(mNow) < 4);
}

// Noise from a third to three times the usual, another value for each answer.
TEST(UpstreamSpeed, ChangingNoiseDoesNotHideTheSpeed)
{
  std::mt19937 random(1);
  std::uniform_real_distribution<double> exponent(-1, 1);
  for (int i = 0; i < 100; ++i) {
    ReportAndAnswer(
      static_cast<std::uint32_t>(100 * std::pow(3, exponent(random))),
      2 * std::pow(1.3, exponent(random)));
  }
  DOUBLES_EQUAL(2, Base(), 0.4);
}

TEST(UpstreamSpeed, TheLoadIsNotTakenForTheSpeed)
{
  std::mt19937 random(1);
  for (int i = 0; i < 200; ++i) {
    mNow += 500ms;
    double running = 1 + static_cast<double>(random() % 10);
    double ratio = 1.5 * std::max(1.0, running / 6);
    mSpeed.AddSample({ ratio, true, running, 10 }, mService, mNow);
  }
  double handled = mSpeed.HandledSlots(10, mNow);
  CHECK(handled >= 5 && handled <= 8.75);
  DOUBLES_EQUAL(1.5, Base(), 0.3);
}

// Guards against an upstream that loses slots by chance.
TEST(UpstreamSpeed, WithoutEvidenceAllSlotsAreUsed)
{
  int wrong = 0;
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> exponent(-1, 1);
    concurrency_knee knee;
    for (int i = 0; i < 100; ++i) {
      mNow += 1s;
      knee.AddSample(static_cast<double>(random() % 11) / 10,
                     std::pow(3, exponent(random)),
                     mNow);
      DOUBLES_EQUAL(4, i < 9 ? knee.Handled(4, mNow) : 4, 0);
    }
    wrong += knee.Handled(4, mNow) < 4 ? 1 : 0;
  }
  CHECK_TEXT(wrong <= 2, StringFrom(wrong).asCharString());
}

TEST(UpstreamSpeed, AKneeFadesWithoutSamples)
{
  concurrency_knee knee;
  for (int i = 0; i < 40; ++i) {
    knee.AddSample(i % 2 == 0 ? 0.3 : 0.9, i % 2 == 0 ? 1 : 2, mNow);
  }
  CHECK(knee.Handled(10, mNow) <= 9);
  CHECK(knee.Handled(10, mNow) >= 10 * concurrency_knee::kMinPart);
  DOUBLES_EQUAL(10, knee.Handled(10, mNow + 5min), 0.1);
}

// Guards against a fleet that leaves an upstream, or returns to it, at once.
TEST(UpstreamSpeed, InstancesRespondToTheSameObservationDifferently)
{
  double least = 0;
  for (double spread : { 0.0, 0.25, 0.5, 0.75, 1.0 }) {
    upstream_speed speed(spread);
    speed.Report(400, mNow);
    CHECK(speed.Factor(1, mNow) > least * 1.03);
    least = speed.Factor(1, mNow);
  }
}

// Guards against an upstream that is never tried again, and against probes of a
// whole fleet that are a load.
TEST(UpstreamSpeed, ASlowUpstreamIsProbedAtABoundedRate)
{
  constexpr std::size_t kInstances = 20;
  std::vector<upstream_speed> instances;
  for (std::size_t i = 0; i < kInstances; ++i) {
    instances.emplace_back((static_cast<double>(i) + 0.5) / kInstances);
  }
  int probes = 0;
  for (int tick = 0; tick < 600; ++tick) {
    mNow += 100ms;
    for (upstream_speed& each : instances) {
      if (tick % 10 == 0) {
        each.Report(500, mNow);
        each.AddSample({ 5, true, 1, 4 }, mService, mNow);
      }
      if (tick > 0 && each.IsProbeDue(1, kInstances, mNow)) {
        each.RecordSend(mNow);
        ++probes;
      }
    }
  }
  // 60 s, at first one from each.
  double expected = 60s / upstream_speed::kProbeSpacing;
  CHECK_TEXT(probes > expected / 2, StringFrom(probes).asCharString());
  CHECK_TEXT(probes < 1.5 * expected + kInstances,
             StringFrom(probes).asCharString());
}

TEST(UpstreamSpeed, AChangeIsAnnouncedOnceAndNotTooOften)
{
  int changes = 0;
  for (int i = 0; i < 300; ++i) {
    bool isSlow = i / 10 % 2 == 0;
    ReportAndAnswer(isSlow ? 600 : 50, isSlow ? 6 : 0.5);
    changes += mSpeed.TakeChange(1, mNow) ? 1 : 0;
    CHECK_FALSE(mSpeed.TakeChange(1, mNow).has_value());
  }
  CHECK(changes >= 4);
  CHECK(changes <= 300s / upstream_speed::kMinChangeTime + 1);
}

namespace {

constexpr unsigned kSeeds = 5;

struct replay_sums
{
  int mOnTime = 0;
  int mAll = 0;
  int mRefused = 0;
  duration mMeanTime{};

  double OnTimePart() const { return static_cast<double>(mOnTime) / mAll; }
};

std::vector<speed_upstream>
Usual(std::size_t aCount)
{
  std::vector<speed_upstream> upstreams;
  for (std::size_t i = 0; i < aCount; ++i) {
    upstreams.push_back({ .mId = "u" + std::to_string(i) });
  }
  return upstreams;
}

replay_sums
Replay(const std::vector<speed_upstream>& aUpstreams,
       speed_replay_options aOptions,
       std::chrono::seconds aFor = 60s)
{
  replay_sums sums;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    aOptions.mSeed = seed;
    speed_replay replay(aOptions, aUpstreams);
    replay.Run(aFor);
    sums.mOnTime += replay.Result().mOnTime;
    sums.mAll += replay.Result().All();
    sums.mRefused += replay.Result().mRefused;
    sums.mMeanTime += replay.MeanTime() / kSeeds;
  }
  return sums;
}

void
Print(const char* aName, const char* aCase, const replay_sums& aSums)
{
  std::chrono::duration<double, std::milli> mean = aSums.mMeanTime;
  UT_PRINT(StringFromFormat("%s, %s: on time %.3f, refused %.3f, mean %.0f ms",
                            aName,
                            aCase,
                            aSums.OnTimePart(),
                            static_cast<double>(aSums.mRefused) / aSums.mAll,
                            mean.count())
             .asCharString());
}

// Replays with and without learned speeds.
std::pair<replay_sums, replay_sums>
Compare(const char* aName,
        const std::vector<speed_upstream>& aUpstreams,
        speed_replay_options aOptions = {},
        std::chrono::seconds aFor = 60s)
{
  aOptions.mLearnedSpeed = learned_speed::Never;
  replay_sums without = Replay(aUpstreams, aOptions, aFor);
  aOptions.mLearnedSpeed = learned_speed::Reported;
  replay_sums with = Replay(aUpstreams, aOptions, aFor);
  Print(aName, "never", without);
  Print(aName, "reported", with);
  return { without, with };
}

} // namespace

TEST_GROUP(SpeedReplay){};

TEST(SpeedReplay, UpstreamsOfDifferentFixedSpeeds)
{
  std::vector<speed_upstream> upstreams = Usual(12);
  const double factors[] = { 0.7, 1, 1, 1.5, 2, 2.5 };
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    upstreams[i].mFactor = factors[i % std::size(factors)];
  }
  std::pair<replay_sums, replay_sums> sums = Compare("fixed", upstreams);
  CHECK(sums.second.OnTimePart() > sums.first.OnTimePart());
}

// What "always" adds: upstreams whose reports have three values.
TEST(SpeedReplay, ServiceTimesAloneTeachFixedSpeeds)
{
  std::vector<speed_upstream> upstreams = Usual(12);
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    upstreams[i].mFactor = i % 3 == 0 ? 2.5 : 1;
  }
  speed_replay_options options;
  options.mReportsWork = false;
  options.mLearnedSpeed = learned_speed::Never;
  replay_sums without = Replay(upstreams, options);
  options.mLearnedSpeed = learned_speed::Always;
  replay_sums with = Replay(upstreams, options);
  Print("fixed, three values", "never", without);
  Print("fixed, three values", "always", with);
  CHECK(with.OnTimePart() > without.OnTimePart());
}

TEST(SpeedReplay, UpstreamsThatSlowDownFromSixtyPercentOfTheirSlots)
{
  std::vector<speed_upstream> upstreams = Usual(12);
  for (std::size_t i = 0; i < upstreams.size(); i += 2) {
    upstreams[i].mSlots = 10;
    upstreams[i].mKnee = 0.6;
  }
  speed_replay_options options;
  options.mPerSecond = 220;
  std::pair<replay_sums, replay_sums> sums =
    Compare("knee", upstreams, options);
  CHECK(sums.second.OnTimePart() > sums.first.OnTimePart());
}

TEST(SpeedReplay, AnUpstreamThatIsFiveTimesSlowerForSixSeconds)
{
  std::vector<speed_upstream> upstreams = Usual(12);
  for (std::size_t i = 0; i < upstreams.size(); i += 3) {
    upstreams[i].mSlowFrom = 10s + i * 1s;
    upstreams[i].mSlowFor = 6s;
  }
  std::pair<replay_sums, replay_sums> sums =
    Compare("slow for 6 s", upstreams, {}, 30s);
  CHECK(sums.second.OnTimePart() >= sums.first.OnTimePart());
  // Recovery: within 10 s the upstream has at least half of its usual requests.
  speed_replay replay({}, upstreams);
  replay.Run(40s);
  int before = replay.Sent("u0", 4s, 10s);
  int after = replay.Sent("u0", 26s, 32s);
  CHECK_TEXT(replay.Sent("u0", 13s, 16s) > 0, "a trickle remains");
  CHECK(after >= before / 2);
}

TEST(SpeedReplay, NoiseThatChangesEveryFiftyMilliseconds)
{
  std::vector<speed_upstream> upstreams = Usual(12);
  for (speed_upstream& upstream : upstreams) {
    upstream.mNoise = 3;
  }
  std::pair<replay_sums, replay_sums> sums = Compare("noise", upstreams);
  // Noise as short as this can't be used; it must only do no harm.
  CHECK(sums.second.OnTimePart() >= sums.first.OnTimePart() - 0.01);
}

TEST(SpeedReplay, AllOfItAtOnce)
{
  std::vector<speed_upstream> upstreams = Usual(12);
  const double factors[] = { 0.7, 1, 1, 1.5, 2, 2.5 };
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    upstreams[i].mFactor = factors[i % std::size(factors)];
    upstreams[i].mNoise = 2;
    upstreams[i].mKnee = i % 4 == 0 ? 0.6 : 1;
    upstreams[i].mSlowFrom = 5s * i;
    upstreams[i].mSlowFor = i % 3 == 0 ? 6s : 0s;
  }
  std::pair<replay_sums, replay_sums> sums = Compare("all", upstreams);
  CHECK(sums.second.OnTimePart() > sums.first.OnTimePart());
}

// Guards against instances that all leave a slow upstream for the same other
// one: none gets more than twice its usual requests.
TEST(SpeedReplay, InstancesDoNotAllMoveToOneUpstream)
{
  std::vector<speed_upstream> upstreams = Usual(12);
  upstreams[0].mSlowFrom = 20s;
  upstreams[0].mSlowFor = 6s;
  std::map<std::string, int> before;
  std::map<std::string, int> during;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    speed_replay_options options;
    options.mInstances = 40;
    options.mSeed = seed;
    speed_replay replay(options, upstreams);
    replay.Run(30s);
    for (const speed_upstream& upstream : upstreams) {
      before[upstream.mId] += replay.Sent(upstream.mId, 10s, 16s);
      during[upstream.mId] += replay.Sent(upstream.mId, 20s, 26s);
    }
  }
  // An upstream that is the first for few objects may get a few more.
  constexpr int kFew = 20;
  for (const speed_upstream& upstream : upstreams) {
    CHECK_TEXT(during[upstream.mId] <= 2 * before[upstream.mId] + kFew,
               upstream.mId.c_str());
  }
}

// Guards the bound on the change of place in a burst where speeds are learned:
// the same load as without them, with reports of usual speed.
TEST(SpeedReplay, InABurstThePlaceOfServedRequestsMovesWithinTheBound)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    for (std::chrono::milliseconds begin : { 500ms, 15000ms }) {
      load_replay replay(
        { { "east", 8, 16, 80 }, { "west", 8, 4, 80 }, { "north", 8, 12, 80 } },
        seed);
      replay.SetBurst(kReplayStart + begin, 6s, 2.5);
      replay.SetSlow("east", kReplayStart, 0s, 1);
      replay.Run(25s);
      for (const char* region : { "east", "west", "north" }) {
        double moved = replay.GreatestShift(region, 2s);
        CHECK_TEXT(moved <= region_spillover_options().mMostShift,
                   StringFromFormat("%s %f", region, moved).asCharString());
      }
    }
  }
}

// Guards deployments without the fourth value against any change.
TEST(SpeedReplay, WithThreeValuesTheChoicesAreThoseWithoutLearning)
{
  std::vector<speed_upstream> upstreams = Usual(12);
  upstreams[0].mFactor = 3;
  upstreams[1].mKnee = 0.5;
  upstreams[2].mNoise = 3;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    speed_replay_options options;
    options.mReportsWork = false;
    options.mPerSecond = 120;
    options.mSeed = seed;
    speed_replay reported(options, upstreams);
    options.mLearnedSpeed = learned_speed::Never;
    speed_replay never(options, upstreams);
    reported.Run(30s);
    never.Run(30s);
    CHECK(reported.Choices() == never.Choices());
  }
}
