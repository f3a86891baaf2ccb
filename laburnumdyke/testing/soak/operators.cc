// Each change turns one upstream to leaving or back, so that drains by
// document happen all the time.
#include "laburnumdyke/testing/soak/operators.h"

#include "laburnumdyke/testing/soak/deployment.h"

#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::chrono::seconds kMeanPause{ 8 };
constexpr std::size_t kMostAtOnce = 3;

} // namespace

operators::operators(simulation& aSimulation,
                     oracle& aOracle,
                     platform_mock& aPlatform)
  : mSimulation(aSimulation)
  , mOracle(aOracle)
  , mPlatform(aPlatform)
  , mBase(ParseDocument(SoakDocument()).mDocument.value())
{
}

void
operators::Start()
{
  Submit(SoakDocument());
  Race();
}

void
operators::Race()
{
  mSimulation.AtWorld(
    mSimulation.Exponential(kMeanPause), event_kind::Operator, [this] {
      std::size_t count = 1 + mSimulation.Index(kMostAtOnce);
      for (std::size_t i = 0; i < count; ++i) {
        Submit(Edited());
      }
      Race();
    });
}

std::string
operators::Edited()
{
  std::optional<row_snapshot> row = mPlatform.ReadRow();
  std::optional<config_row> state =
    row ? DecodeConfigRow(row->mValue) : std::nullopt;
  std::optional<known_document> current =
    state ? mPlatform.Fetch(*state) : std::nullopt;
  if (current) {
    mBase = *current->mDocument;
  }
  document edited = mBase;
  upstream_spec& upstream =
    edited.mUpstreams.at(SoakUpstream(mSimulation.Index(kSoakUpstreams)));
  // More returns than drains keep most upstreams serving.
  bool leaves =
    upstream.mState == upstream_state::Serving && mSimulation.Chance(0.5);
  upstream.mState = leaves ? upstream_state::Leaving : upstream_state::Serving;
  return RenderDocument(edited);
}

void
operators::Submit(const std::string& aText)
{
  editor_id id = ++mLast;
  submission_request request;
  request.mText = aText;
  request.mChangeId = "change-" + std::to_string(id);
  request.mSubmitter = "operator-" + std::to_string(id % kMostAtOnce);
  request.mTimeout = std::chrono::seconds(10);
  std::string change = request.mChangeId;
  instant now = mSimulation.Now();
  editor& one =
    mEditors.emplace(id, editor{ change, submission(std::move(request), now) })
      .first->second;
  Perform(id, one.mSubmission.Start(now));
}

template<class Step>
void
operators::Continue(editor_id aId, duration aAfter, Step aStep)
{
  mSimulation.AtWorld(aAfter, event_kind::Operator, [this, aId, aStep] {
    submission& one = mEditors.at(aId).mSubmission;
    Perform(aId, aStep(one, mSimulation.Now()));
  });
}

void
operators::Perform(editor_id aId, const submission_action& aAction)
{
  duration delay = mPlatform.Delay();
  if (std::holds_alternative<read_row_action>(aAction)) {
    Continue(aId, delay, [this](submission& aOne, instant aNow) {
      return aOne.OnRow(mPlatform.ReadRow(), aNow);
    });
  } else if (const put_object_action* put =
               std::get_if<put_object_action>(&aAction)) {
    Continue(aId, delay, [this, object = *put](submission& aOne, instant aNow) {
      return aOne.OnObjectStored(mPlatform.StoreDocument(object.mText), aNow);
    });
  } else if (const get_object_action* get =
               std::get_if<get_object_action>(&aAction)) {
    Continue(
      aId, delay, [this, hash = get->mHash](submission& aOne, instant aNow) {
        return aOne.OnObject(mPlatform.ReadDocument(hash), aNow);
      });
  } else if (const write_row_action* write =
               std::get_if<write_row_action>(&aAction)) {
    Continue(aId, delay, [this, row = *write](submission& aOne, instant aNow) {
      return aOne.OnWritten(mPlatform.WriteRow(row), aNow);
    });
  } else if (const wait_action* wait = std::get_if<wait_action>(&aAction)) {
    Continue(aId,
             wait->mUntil - mSimulation.Now(),
             [](submission& aOne, instant aNow) { return aOne.OnTimer(aNow); });
  } else {
    const submission_outcome& outcome = std::get<submission_outcome>(aAction);
    ++mOutcomes.at(static_cast<std::size_t>(outcome.mKind));
    mOracle.OnSubmitted(mEditors.at(aId).mChangeId, outcome);
    mEditors.erase(aId);
  }
}

} // namespace laburnumdyke
