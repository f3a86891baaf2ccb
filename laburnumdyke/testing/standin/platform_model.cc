// The list lags by keeping each instance's changes for kMaxListLag; a read
// takes the last change at or before the moment that it shows. Stale reads
// take a copy of the rows when they are switched on: test tables are small.
#include "laburnumdyke/testing/standin/platform_model.h"

#include <openssl/evp.h>

#include <array>
#include <utility>

namespace laburnumdyke {

std::string_view
ToString(listed_state aState)
{
  return aState == listed_state::Live ? "live" : "leaving";
}

std::optional<listed_state>
ParseListedState(std::string_view aText)
{
  for (listed_state state : { listed_state::Live, listed_state::Leaving }) {
    if (aText == ToString(state)) {
      return state;
    }
  }
  return std::nullopt;
}

std::optional<table_row>
platform_model::Read(const row_key& aKey)
{
  mCounters.mReads++;
  const rows& seen = mFaults.mStaleReads ? mStaleRows : mRows;
  auto found = seen.find(aKey);
  if (found == seen.end()) {
    return std::nullopt;
  }
  return found->second;
}

write_result
platform_model::Write(const row_key& aKey,
                      std::uint64_t aRevision,
                      std::string aValue)
{
  auto found = mRows.find(aKey);
  table_row present = found == mRows.end() ? table_row{} : found->second;
  if (present.mRevision != aRevision) {
    mCounters.mConflicts++;
    return { false, present };
  }
  mCounters.mWrites++;
  table_row& row = mRows[aKey];
  row = { aRevision + 1, std::move(aValue) };
  return { true, row };
}

bool
platform_model::PutObject(const std::string& aHash, std::string aBytes)
{
  if (Sha256Hex(aBytes) != aHash) {
    return false;
  }
  mCounters.mWrites++;
  mObjects[aHash] = std::move(aBytes);
  return true;
}

const std::string*
platform_model::GetObject(const std::string& aHash)
{
  mCounters.mReads++;
  auto found = mObjects.find(aHash);
  return found == mObjects.end() ? nullptr : &found->second;
}

void
platform_model::PutInstance(instant aNow, listed_instance aInstance)
{
  std::string name = aInstance.mName;
  Record(aNow, name, { aNow, std::move(aInstance) });
}

void
platform_model::RemoveInstance(instant aNow, const std::string& aName)
{
  Record(aNow, aName, { aNow, std::nullopt });
}

std::vector<listed_instance>
platform_model::Instances(instant aNow)
{
  mCounters.mListReads++;
  instant moment = aNow - mFaults.mListLag;
  std::vector<listed_instance> result;
  for (const std::pair<const std::string, std::vector<change>>& each :
       mInstances) {
    const change* seen = nullptr;
    for (const change& candidate : each.second) {
      if (candidate.mSince <= moment) {
        seen = &candidate;
      }
    }
    if (seen && seen->mInstance) {
      result.push_back(*seen->mInstance);
    }
  }
  return result;
}

void
platform_model::SetFaults(const platform_faults& aFaults)
{
  if (aFaults.mStaleReads && !mFaults.mStaleReads) {
    mStaleRows = mRows;
  }
  mFaults = aFaults;
}

bool
platform_model::TakeLostWriteAnswer()
{
  return TakeLost(mFaults.mLoseWriteAnswers);
}

bool
platform_model::TakeLostObjectAnswer()
{
  return TakeLost(mFaults.mLoseObjectAnswers);
}

void
platform_model::Record(instant aNow, const std::string& aName, change aChange)
{
  std::vector<change>& changes = mInstances[aName];
  while (changes.size() > 1 && changes[1].mSince + kMaxListLag < aNow) {
    changes.erase(changes.begin());
  }
  changes.push_back(std::move(aChange));
}

bool
platform_model::TakeLost(std::uint64_t& aLeft)
{
  if (aLeft == 0) {
    return false;
  }
  aLeft--;
  mCounters.mLostAnswers++;
  return true;
}

std::string
Sha256Hex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(
    aBytes.data(), aBytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string text;
  for (unsigned int i = 0; i < size; i++) {
    text.push_back(kDigits[digest[i] >> 4]);
    text.push_back(kDigits[digest[i] & 15]);
  }
  return text;
}

} // namespace laburnumdyke
