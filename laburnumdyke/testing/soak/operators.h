// Operators of the randomised run: several submit changes of the document at
// the same moment, each through the submission's state machine.
#pragma once

#include "laburnumdyke/testing/soak/oracle.h"
#include "laburnumdyke/testing/soak/platform_mock.h"

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace laburnumdyke {

class operators
{
public:
  operators(simulation& aSimulation, oracle& aOracle, platform_mock& aPlatform);

  // Submits the first document and begins the races.
  void Start();

  // Submissions by their outcome.
  const std::array<std::uint64_t, 6>& Outcomes() const { return mOutcomes; }

private:
  struct editor
  {
    std::string mChangeId;
    submission mSubmission;
  };
  using editor_id = std::uint64_t;

  void Race();
  void Submit(const std::string& aText);
  std::string Edited();
  void Perform(editor_id aId, const submission_action& aAction);
  template<class Step>
  void Continue(editor_id aId, duration aAfter, Step aStep);

  simulation& mSimulation;
  oracle& mOracle;
  platform_mock& mPlatform;
  std::map<editor_id, editor> mEditors;
  editor_id mLast = 0;
  document mBase; // what operators last saw
  std::array<std::uint64_t, 6> mOutcomes{};
};

} // namespace laburnumdyke
