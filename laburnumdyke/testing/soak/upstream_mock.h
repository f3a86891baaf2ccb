// An upstream of the randomised run: it runs what it is sent, drains, starts
// cold, crashes, sheds, loses answers and answers late. It reports each run
// to the oracle.
#pragma once

#include "laburnumdyke/testing/soak/oracle.h"
#include "laburnumdyke/testing/soak/simulation.h"

#include <functional>
#include <map>
#include <optional>

namespace laburnumdyke {

enum class upstream_reply
{
  Answered,
  Refused,  // not run
  Draining, // not run, since the upstream leaves
  Lost,     // the connection closed without an answer
};

struct upstream_answer
{
  upstream_reply mReply = upstream_reply::Lost;
  std::uint64_t mAnswerOf = 0; // the request that ran
};

struct upstream_work
{
  attempt_tag mTag;
  process_address mFrom;
  std::uint64_t mConnection = 0;
  bool mCancel = false; // ends with its connection
  instant mDeadline{};
};

// What an upstream's load page shows; it lags.
struct upstream_load
{
  std::uint32_t mBusy = 0;
  bool mDraining = false;
};

using upstream_callback = std::function<void(const upstream_answer&)>;

class upstream_mock
{
public:
  upstream_mock(simulation& aSimulation, oracle& aOracle, std::size_t aIndex);

  bool IsUp() const { return mUp; }
  bool IsLeaving() const { return mLeaving; }

  void Arrive(const upstream_work& aWork, upstream_callback aAnswer);
  // Nothing where the page does not answer.
  std::optional<upstream_load> Load();
  // The sender closed the connection.
  void Close(process_address aFrom, std::uint64_t aConnection);

  void Crash();
  void Restart(); // cold
  void Leave();
  void Return();
  void SetSlow(bool aSlow) { mSlow = aSlow; }

private:
  struct run
  {
    upstream_work mWork;
    upstream_callback mAnswer;
  };

  duration ServiceTime();
  void End(std::uint64_t aRun, upstream_reply aReply);

  simulation& mSimulation;
  oracle& mOracle;
  std::size_t mIndex;
  bool mUp = true;
  bool mLeaving = false;
  bool mSlow = false;
  instant mTurned{}; // when it last began or ceased to leave
  instant mWarmAt{};
  std::uint64_t mLastRun = 0;
  std::map<std::uint64_t, run> mRuns;
};

} // namespace laburnumdyke
