// Faults of one kind don't overlap: the fault plan sees to that.
#include "laburnumdyke/testing/soak/platform_mock.h"

#include <utility>

namespace laburnumdyke {

namespace {

const row_key kRow{ "config", "current" };
constexpr double kLateWrite = 0.02; // takes effect after its answer is lost

} // namespace

platform_mock::platform_mock(simulation& aSimulation, oracle& aOracle)
  : mSimulation(aSimulation)
  , mOracle(aOracle)
{
}

std::optional<row_snapshot>
platform_mock::ReadRow()
{
  if (mSet.mOutage) {
    return std::nullopt;
  }
  std::optional<table_row> row = mModel.Read(kRow);
  return row ? row_snapshot{ row->mRevision, row->mValue } : row_snapshot{};
}

bool
platform_mock::Assemble(document_assembly& aAssembly, const std::string& aHash)
{
  const std::string* manifest = mModel.GetObject(aHash);
  if (mSet.mOutage || manifest == nullptr ||
      !aAssembly.SetManifest(*manifest)) {
    return false;
  }
  for (const std::string& hash : aAssembly.Missing()) {
    const std::string* chunk = mModel.GetObject(hash);
    if (chunk == nullptr || !aAssembly.AddChunk(hash, *chunk)) {
      return false;
    }
  }
  return true;
}

std::optional<std::string>
platform_mock::ReadDocument(const std::string& aHash)
{
  document_assembly assembly(aHash);
  return Assemble(assembly, aHash) ? std::optional(assembly.Text())
                                   : std::nullopt;
}

bool
platform_mock::StoreDocument(const std::string& aText)
{
  if (mSet.mOutage) {
    return false;
  }
  bool stored = true;
  for (const object_map::value_type& one : SplitDocument(aText).mObjects) {
    stored = mModel.PutObject(one.first, *one.second) && stored;
  }
  return stored;
}

bool
platform_mock::Apply(const write_row_action& aWrite)
{
  bool written = mModel.Write(kRow, aWrite.mRevision, aWrite.mValue).mWritten;
  if (written) {
    config_row row = DecodeConfigRow(aWrite.mValue).value();
    mOracle.OnRowWritten(row.mVersion, row.mChangeId);
  }
  return written;
}

write_answer
platform_mock::WriteRow(const write_row_action& aWrite)
{
  if (mSet.mOutage) {
    return write_answer::NoAnswer;
  }
  if (mSimulation.Chance(kLateWrite)) {
    mSimulation.AtWorld(mSimulation.Between(std::chrono::milliseconds(100),
                                            std::chrono::seconds(3)),
                        event_kind::Platform,
                        [this, aWrite] { Apply(aWrite); });
    return write_answer::NoAnswer;
  }
  bool written = Apply(aWrite);
  if (written && mModel.TakeLostWriteAnswer()) {
    return write_answer::NoAnswer;
  }
  return written ? write_answer::Written : write_answer::Mismatch;
}

std::optional<known_document>
platform_mock::Fetch(const config_row& aRow)
{
  if (mSet.mOutage) {
    return std::nullopt;
  }
  known_document& known = mParsed[aRow.mContentHash];
  if (!known.mDocument) {
    document_assembly assembly(aRow.mContentHash);
    if (!Assemble(assembly, aRow.mContentHash)) {
      return std::nullopt;
    }
    document_result parsed = ParseDocument(assembly.Text());
    if (!parsed.mDocument) {
      return std::nullopt;
    }
    known.mHash = aRow.mContentHash;
    known.mObjects = assembly.Objects();
    known.mDocument =
      std::make_shared<const document>(std::move(*parsed.mDocument));
  }
  known_document result = known;
  result.mVersion = aRow.mVersion;
  return result;
}

duration
platform_mock::Delay()
{
  std::chrono::microseconds least(mSlow ? 400000 : 2000);
  return mSimulation.Between(least, least * 3);
}

void
platform_mock::Count(int aChange)
{
  mFaults += aChange;
  mHealthySince = mSimulation.Now();
}

void
platform_mock::SetOutage(bool aOutage)
{
  mSet.mOutage = aOutage;
  Count(aOutage ? 1 : -1);
}

void
platform_mock::SetSlow(bool aSlow)
{
  mSlow = aSlow;
  Count(aSlow ? 1 : -1);
}

void
platform_mock::SetStale(bool aStale)
{
  mSet.mStaleReads = aStale;
  mModel.SetFaults(mSet);
  Count(aStale ? 1 : -1);
}

void
platform_mock::LoseWriteAnswers(std::uint64_t aCount)
{
  mSet.mLoseWriteAnswers = aCount;
  mModel.SetFaults(mSet);
  mSet.mLoseWriteAnswers = 0;
}

} // namespace laburnumdyke
