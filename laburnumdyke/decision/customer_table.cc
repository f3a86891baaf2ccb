// An attacker cannot choose digests, so neither the hash map's buckets nor its
// comparisons reveal anything about stored keys.
#include "laburnumdyke/decision/customer_table.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace laburnumdyke {

namespace {

std::uint64_t
FingerprintOf(const std::vector<std::string>& aKeys)
{
  std::uint64_t fingerprint = aKeys.size();
  for (const std::string& key : aKeys) {
    fingerprint = XXH3_64bits_withSeed(key.data(), key.size(), fingerprint);
  }
  return fingerprint;
}

} // namespace

std::vector<std::string>
FindCustomerFaults(const std::vector<customer_spec>& aCustomers)
{
  std::vector<std::string> faults;
  std::set<customer_id> names;
  std::map<std::string_view, const std::string*> holders; // by key
  for (const customer_spec& customer : aCustomers) {
    const std::string& name = customer.mName.mValue;
    if (name.empty()) {
      faults.emplace_back("a customer has no name");
    } else if (!names.insert(customer.mName).second) {
      faults.push_back("customer " + name + " is listed twice");
    }
    for (const std::string& key : customer.mKeys) {
      if (key.empty()) {
        faults.push_back("a key of customer " + name + " is empty");
        continue;
      }
      auto held = holders.try_emplace(key, &name);
      if (!held.second) {
        const std::string& holder = *held.first->second;
        faults.push_back("a key of customer " + name +
                         (holder == name
                            ? " is given twice"
                            : " is also given to customer " + holder));
      }
    }
  }
  return faults;
}

customer_table::customer_table(std::vector<customer_spec> aCustomers,
                               const customer_table* aPrevious)
  : mCustomers(std::move(aCustomers))
{
  std::size_t keyCount = 0;
  for (const customer_spec& customer : mCustomers) {
    keyCount += customer.mKeys.size();
  }
  mByDigest.reserve(keyCount);
  for (std::size_t i = 0; i < mCustomers.size(); ++i) {
    customer_spec& customer = mCustomers[i];
    std::uint64_t fingerprint = FingerprintOf(customer.mKeys);
    std::shared_ptr<const key_set>& keys = mKeySets[customer.mName.mValue];
    if (aPrevious != nullptr) {
      auto known = aPrevious->mKeySets.find(customer.mName.mValue);
      bool isUnchanged = known != aPrevious->mKeySets.end() &&
                         known->second->mFingerprint == fingerprint;
      keys = isUnchanged ? known->second : nullptr;
    }
    if (!keys) {
      keys = MakeKeySet(customer.mKeys, fingerprint);
    }
    mLongestKey = std::max(mLongestKey, keys->mLongest);
    for (const digest& one : keys->mDigests) {
      mByDigest[one] = i;
    }
    customer.mKeys.clear();
    customer.mKeys.shrink_to_fit();
  }
}

std::shared_ptr<const customer_table::key_set>
customer_table::MakeKeySet(const std::vector<std::string>& aKeys,
                           std::uint64_t aFingerprint)
{
  std::shared_ptr<key_set> keys = std::make_shared<key_set>();
  keys->mFingerprint = aFingerprint;
  for (const std::string& key : aKeys) {
    keys->mLongest = std::max(keys->mLongest, key.size());
    keys->mDigests.push_back(DigestOf(key));
  }
  return keys;
}

customer_table::digest
customer_table::DigestOf(std::string_view aKey)
{
  digest result{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         result.data());
  return result;
}

const customer_spec*
customer_table::Find(std::string_view aKey) const
{
  if (aKey.empty() || aKey.size() > mLongestKey) {
    return nullptr;
  }
  auto found = mByDigest.find(DigestOf(aKey));
  return found == mByDigest.end() ? nullptr : &mCustomers[found->second];
}

} // namespace laburnumdyke
