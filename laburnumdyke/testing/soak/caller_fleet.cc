// Open arrivals: callers don't slow down when the system does.
#include "laburnumdyke/testing/soak/caller_fleet.h"

#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::size_t kCallers = 24;
constexpr std::uint32_t kMostAttempts = 4;
constexpr std::size_t kMostAsked = 6;
constexpr std::chrono::milliseconds kAskTimeout{ 300 };
constexpr std::chrono::milliseconds kRetryPause{ 100 };
constexpr std::chrono::milliseconds kPatience{ 300 }; // past the deadline
constexpr std::chrono::seconds kLookupTtl{ 3 };       // as in the document
constexpr double kAnswerLoss = 0.005;
// Two thirds of what the slots of a service serve.
constexpr std::chrono::microseconds kMeanGap{ 8000 };

duration
CallerDelay(simulation& aSimulation)
{
  return aSimulation.Between(std::chrono::milliseconds(2),
                             std::chrono::milliseconds(5));
}

} // namespace

caller_fleet::caller_fleet(soak_world aWorld, const stop_records& aStops)
  : mWorld(aWorld)
  , mStops(aStops)
{
  mLoad.fill(1);
}

void
caller_fleet::Start()
{
  for (std::size_t i = 0; i < kSoakServices; ++i) {
    NextArrival(i);
  }
}

void
caller_fleet::SetLoad(std::size_t aService, double aFactor)
{
  mLoad.at(aService) = aFactor;
}

void
caller_fleet::NextArrival(std::size_t aService)
{
  duration gap = mWorld.mSimulation.Exponential(kMeanGap);
  gap = std::chrono::duration_cast<duration>(gap / mLoad.at(aService));
  mWorld.mSimulation.AtWorld(gap, event_kind::Caller, [this, aService] {
    NewRequest(aService);
    NextArrival(aService);
  });
}

void
caller_fleet::NewRequest(std::size_t aService)
{
  request_id id = ++mLastRequest;
  pending& one = mPending[id];
  one.mService = aService;
  one.mCaller = mWorld.mSimulation.Index(kCallers);
  mWorld.mOracle.OnRequest(id, SoakServices().at(aService).mIdempotent);
  ++mOutcomes.at(aService).mRequests;
  const cached_lookup& cached = mCache[{ one.mCaller, aService }];
  bool fresh = !cached.mChoices.empty() &&
               mWorld.mSimulation.Now() - cached.mAnswered < kLookupTtl;
  if (fresh) {
    TakeLookup(id, one, cached);
  } else {
    AskLookup(id, one);
  }
}

caller_fleet::pending*
caller_fleet::InStep(request_id aId, std::uint64_t aStep)
{
  auto found = mPending.find(aId);
  bool same = found != mPending.end() && found->second.mStep == aStep;
  return same ? &found->second : nullptr;
}

void
caller_fleet::AskLookup(request_id aId, pending& aOne)
{
  std::uint64_t step = ++aOne.mStep;
  if (++aOne.mAsked > kMostAsked) {
    GiveUp(aId, aOne);
    return;
  }
  simulation& sim = mWorld.mSimulation;
  std::size_t entry = sim.Index(kSoakEntries);
  duration delay = CallerDelay(sim);
  std::size_t service = aOne.mService;
  std::size_t domain = aOne.mCaller % kSoakDomains;
  sim.AtProcess({ entry, 0 },
                delay,
                event_kind::Caller,
                [this, aId, step, entry, delay, service, domain] {
                  entry_instance& instance = *mWorld.mEntries.at(entry);
                  cached_lookup answer;
                  answer.mAnsweredBy = instance.Address();
                  answer.mAnswered = mWorld.mSimulation.Now();
                  for (const instance_id& named : instance.Lookup(
                         SoakServices().at(service).mService, domain)) {
                    std::size_t index = EntryIndex(named).value();
                    mWorld.mOracle.OnLookup(
                      instance.Address(), index, mStops.at(index).mSince);
                    answer.mChoices.push_back(index);
                  }
                  mWorld.mSimulation.AtWorld(
                    delay, event_kind::Caller, [this, aId, step, answer] {
                      pending* one = InStep(aId, step);
                      if (one != nullptr && !answer.mChoices.empty()) {
                        mCache[{ one->mCaller, one->mService }] = answer;
                        TakeLookup(aId, *one, answer);
                      }
                    });
                });
  sim.AtWorld(kAskTimeout, event_kind::Caller, [this, aId, step] {
    if (pending* one = InStep(aId, step)) {
      AskLookup(aId, *one);
    }
  });
}

void
caller_fleet::TakeLookup(request_id aId, pending& aOne, cached_lookup aLookup)
{
  ++aOne.mStep;
  aOne.mLookup = std::move(aLookup);
  if (SoakServices().at(aOne.mService).mIdempotent) {
    Send(aId, aOne);
  } else {
    AskIdentity(aId, aOne);
  }
}

void
caller_fleet::AskIdentity(request_id aId, pending& aOne)
{
  std::uint64_t step = ++aOne.mStep;
  if (++aOne.mAsked > kMostAsked) {
    GiveUp(aId, aOne);
    return;
  }
  simulation& sim = mWorld.mSimulation;
  const std::vector<std::size_t>& choices = aOne.mLookup.mChoices;
  std::size_t entry = choices.at(aOne.mAsked % choices.size());
  duration delay = CallerDelay(sim);
  sim.AtProcess(
    { entry, 0 }, delay, event_kind::Caller, [this, aId, step, entry, delay] {
      std::optional<request_identity> identity =
        mWorld.mEntries.at(entry)->Issue();
      mWorld.mSimulation.AtWorld(
        delay, event_kind::Caller, [this, aId, step, identity] {
          if (pending* one = InStep(aId, step)) {
            one->mIdentity = identity;
            Send(aId, *one);
          }
        });
    });
  sim.AtWorld(kAskTimeout, event_kind::Caller, [this, aId, step] {
    if (pending* one = InStep(aId, step)) {
      AskIdentity(aId, *one);
    }
  });
}

void
caller_fleet::Send(request_id aId, pending& aOne)
{
  std::uint64_t step = ++aOne.mStep;
  std::uint32_t attempt = ++aOne.mAttempt;
  ++mOutcomes.at(aOne.mService).mAttempts;
  mWorld.mOracle.OnAttempt({ aId, attempt });
  const std::vector<std::size_t>& choices = aOne.mLookup.mChoices;
  std::size_t target = choices.at((attempt - 1) % choices.size());
  soak_request request;
  request.mTag = { aId, attempt };
  request.mService = aOne.mService;
  request.mAllowed = SoakServices().at(aOne.mService).mDeadline;
  request.mIdentity = aOne.mIdentity;
  simulation& sim = mWorld.mSimulation;
  duration delay = CallerDelay(sim);
  bool lost = sim.Chance(kAnswerLoss);
  answer_callback answer =
    [this, aId, attempt, step, delay, lost](const attempt_end& aEnd) {
      if (!lost) {
        mWorld.mSimulation.AtWorld(
          delay, event_kind::Caller, [this, aId, attempt, step, aEnd] {
            Told(aId, attempt, step, aEnd);
          });
      }
    };
  sim.AtWorld(delay,
              event_kind::Caller,
              [this, aId, attempt, step, target, request, answer] {
                if (!mWorld.mSimulation.Process(target).mRunning) {
                  ConnectionRefused(aId, target);
                  if (pending* one = InStep(aId, step)) {
                    Again(aId, *one, outcome_kind::NotRun);
                  }
                  return;
                }
                mWorld.mSimulation.AtProcess(
                  { target, 0 },
                  duration(0),
                  event_kind::Caller,
                  [this, target, request, answer] {
                    mWorld.mEntries.at(target)->Receive(request, answer);
                  });
              });
  sim.AtWorld(
    request.mAllowed + kPatience, event_kind::Caller, [this, aId, step] {
      if (pending* one = InStep(aId, step)) {
        Again(aId, *one, outcome_kind::Unknown);
      }
    });
}

void
caller_fleet::ConnectionRefused(request_id aId, std::size_t aTarget)
{
  auto found = mPending.find(aId);
  const stop_record& stop = mStops.at(aTarget);
  if (found == mPending.end() || !stop.mSince || !stop.mPlanned) {
    return;
  }
  const cached_lookup& lookup = found->second.mLookup;
  std::size_t answering = lookup.mAnsweredBy.mIndex;
  // Whoever answered must have been able to hear of the stop.
  bool couldHear =
    mWorld.mNetwork.OpenSince(DomainOfEntry(answering),
                              DomainOfEntry(aTarget)) < *stop.mSince &&
    mWorld.mNetwork.IsOpen(DomainOfEntry(answering), DomainOfEntry(aTarget)) &&
    mWorld.mSimulation.Process(answering).mThawed < *stop.mSince;
  bool kept = mWorld.mSimulation.Now() - lookup.mAnswered < kLookupTtl;
  if (couldHear && kept) {
    mWorld.mOracle.OnPlannedStopRefused(aTarget);
  }
}

void
caller_fleet::Told(request_id aId,
                   std::uint32_t aAttempt,
                   std::uint64_t aStep,
                   const attempt_end& aEnd)
{
  mWorld.mOracle.OnTold(
    { aId, aAttempt }, aEnd.mOutcome, aEnd.mReason, aEnd.mAnswerOf);
  pending* one = InStep(aId, aStep);
  if (one == nullptr) {
    return;
  }
  if (aEnd.mOutcome == outcome_kind::Answered) {
    ++mOutcomes.at(one->mService).mAnswered;
    mPending.erase(aId);
    return;
  }
  Again(aId, *one, aEnd.mOutcome);
}

void
caller_fleet::Again(request_id aId, pending& aOne, outcome_kind aLast)
{
  // Once unknown, a request that is not idempotent stays so.
  if (aOne.mLast != outcome_kind::Unknown) {
    aOne.mLast = aLast;
  }
  std::uint64_t step = ++aOne.mStep;
  if (aOne.mAttempt >= kMostAttempts) {
    GiveUp(aId, aOne);
    return;
  }
  mWorld.mSimulation.AtWorld(
    kRetryPause, event_kind::Caller, [this, aId, step] {
      if (pending* one = InStep(aId, step)) {
        Send(aId, *one);
      }
    });
}

void
caller_fleet::GiveUp(request_id aId, const pending& aOne)
{
  service_outcomes& outcomes = mOutcomes.at(aOne.mService);
  ++(aOne.mLast == outcome_kind::NotRun ? outcomes.mNotRun : outcomes.mUnknown);
  mPending.erase(aId);
}

} // namespace laburnumdyke
