// The platform's table and object store in the randomised run: the stand-in's
// model with outages, slowness, lost and late writes and stale reads.
//
// Texts are parsed once for all instances.
#pragma once

#include "laburnumdyke/decision/document_chunks.h"
#include "laburnumdyke/decision/submission.h"
#include "laburnumdyke/testing/soak/oracle.h"
#include "laburnumdyke/testing/soak/simulation.h"
#include "laburnumdyke/testing/standin/platform_model.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace laburnumdyke {

// A document with what names it.
struct known_document
{
  std::uint64_t mVersion = 0;
  std::string mHash;
  object_map mObjects;
  std::shared_ptr<const document> mDocument;
};

class platform_mock
{
public:
  platform_mock(simulation& aSimulation, oracle& aOracle);

  // Nothing in an outage; revision 0 where there is no row.
  std::optional<row_snapshot> ReadRow();
  // The objects of a document, joined or apart.
  std::optional<std::string> ReadDocument(const std::string& aHash);
  bool StoreDocument(const std::string& aText);
  write_answer WriteRow(const write_row_action& aWrite);

  // The document that a row names; nothing in an outage.
  std::optional<known_document> Fetch(const config_row& aRow);

  duration Delay();

  void SetOutage(bool aOutage);
  void SetSlow(bool aSlow);
  void SetStale(bool aStale);
  void LoseWriteAnswers(std::uint64_t aCount);
  // Since when no fault is in force.
  instant HealthySince() const { return mHealthySince; }
  bool IsHealthy() const { return mFaults == 0; }
  bool IsInOutage() const { return mSet.mOutage; }

private:
  void Count(int aChange);
  bool Assemble(document_assembly& aAssembly, const std::string& aHash);
  bool Apply(const write_row_action& aWrite);

  simulation& mSimulation;
  oracle& mOracle;
  platform_model mModel;
  platform_faults mSet;
  bool mSlow = false;
  int mFaults = 0;
  instant mHealthySince{};
  std::unordered_map<std::string, known_document> mParsed;
};

} // namespace laburnumdyke
