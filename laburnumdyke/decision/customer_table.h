// Customers and the keys by which their requests are recognised.
//
// Usage:
//   customer_table customers(specs, previousTable);
//   const customer_spec* customer = customers.Find(key);
//
// The table holds SHA-256 digests instead of keys: a look-up is one digest and
// one hash-map access, however many keys there are, and its time tells nothing
// about the keys held but the length of the longest one: no longer text is
// digested. A table is immutable. A new version takes over the digests of
// customers whose keys have not changed.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumdyke {

// Requests that a customer may send through all instances together.
struct quota_spec
{
  double mRate = 0;  // requests per second; 0: unlimited
  double mBurst = 0; // requests in addition

  bool IsLimited() const { return mRate > 0; }
  bool operator==(const quota_spec&) const = default;
};

struct customer_spec
{
  customer_id mName;
  std::vector<std::string> mKeys; // empty in a table
  // Takes precedence over the priority of the route.
  std::optional<std::uint32_t> mPriority;
  quota_spec mQuota;
  std::vector<region_id> mHomes; // regions that may serve it; empty: all
};

// Returns all that makes the customers invalid: names and keys that are empty
// or given twice. Empty if they are valid. Keys may have any length; the limit
// on headers bounds those that callers can send. The texts name customers and
// never a key.
std::vector<std::string>
FindCustomerFaults(const std::vector<customer_spec>& aCustomers);

class customer_table
{
public:
  // aCustomers must be valid. aPrevious, which may be null, is the table that
  // this one replaces.
  explicit customer_table(std::vector<customer_spec> aCustomers,
                          const customer_table* aPrevious = nullptr);

  // Returns null if no customer holds the key, or if it is empty. The result is
  // valid as long as the table.
  const customer_spec* Find(std::string_view aKey) const;

  const std::vector<customer_spec>& All() const { return mCustomers; }
  std::size_t KeyCount() const { return mByDigest.size(); }

private:
  using digest = std::array<std::uint8_t, 32>;

  struct digest_hash
  {
    std::size_t operator()(const digest& aDigest) const
    {
      std::size_t value = 0;
      std::memcpy(&value, aDigest.data(), sizeof value);
      return value;
    }
  };

  // The keys of one customer.
  struct key_set
  {
    std::uint64_t mFingerprint = 0; // of the keys and their order
    std::size_t mLongest = 0;       // bytes of the longest key
    std::vector<digest> mDigests;
  };

  static digest DigestOf(std::string_view aKey);
  static std::shared_ptr<const key_set> MakeKeySet(
    const std::vector<std::string>& aKeys,
    std::uint64_t aFingerprint);

  std::vector<customer_spec> mCustomers;
  // By customer; shared between versions.
  std::unordered_map<std::string, std::shared_ptr<const key_set>> mKeySets;
  std::unordered_map<digest, std::size_t, digest_hash> mByDigest;
  std::size_t mLongestKey = 0; // bytes
};

} // namespace laburnumdyke
