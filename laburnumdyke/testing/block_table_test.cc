// Longest-prefix match: a table of cases, then random tables and updates
// against a linear search.
#include "laburnumdyke/decision/block_table.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

bool
Contains(const client_prefix& aPrefix, const address_bytes& aAddress)
{
  for (unsigned bit = 0; bit < aPrefix.mLength; ++bit) {
    unsigned mask = 0x80u >> (bit % 8);
    if (((aPrefix.mAddress.at(bit / 8) ^ aAddress.at(bit / 8)) & mask) != 0) {
      return false;
    }
  }
  return true;
}

// The slow oracle: every block is compared.
class linear_table
{
public:
  void Set(const client_prefix& aPrefix, const domain_id& aDomain)
  {
    mBlocks[aPrefix] = aDomain;
  }

  void Remove(const client_prefix& aPrefix) { mBlocks.erase(aPrefix); }

  std::string Find(const address_bytes& aAddress) const
  {
    const std::pair<const client_prefix, domain_id>* best = nullptr;
    for (const std::pair<const client_prefix, domain_id>& one : mBlocks) {
      if (Contains(one.first, aAddress) &&
          (best == nullptr || one.first.mLength > best->first.mLength)) {
        best = &one;
      }
    }
    return best == nullptr ? "none"
                           : best->second.mValue + " " + best->first.Text();
  }

  block_map Blocks() const
  {
    block_map blocks;
    for (const std::pair<const client_prefix, domain_id>& one : mBlocks) {
      blocks[one.second].Edit().push_back(one.first);
    }
    return blocks;
  }

  std::size_t Size() const { return mBlocks.size(); }

  client_prefix Pick(std::mt19937_64& aRandom) const
  {
    auto at = mBlocks.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(aRandom() % mBlocks.size()));
    return at->first;
  }

private:
  std::map<client_prefix, domain_id> mBlocks;
};

std::string
Describe(const std::optional<block_match>& aMatch)
{
  return aMatch ? aMatch->mDomain.mValue + " " + aMatch->mPrefix.Text()
                : "none";
}

// Few distinct bytes, so that prefixes nest deeply.
client_prefix
RandomPrefix(std::mt19937_64& aRandom)
{
  bool isV4 = aRandom() % 2 == 0;
  client_prefix prefix;
  prefix.mLength =
    static_cast<std::uint8_t>(isV4 ? 96 + aRandom() % 33 : aRandom() % 129);
  std::size_t first = isV4 ? 12 : 0;
  if (isV4) {
    prefix.mAddress.at(10) = 0xff;
    prefix.mAddress.at(11) = 0xff;
  }
  for (std::size_t bit = first * 8; bit < prefix.mLength; ++bit) {
    bool isSet = aRandom() % 8 == 0;
    unsigned mask = isSet ? 0x80u >> (bit % 8) : 0u;
    prefix.mAddress.at(bit / 8) |= static_cast<std::uint8_t>(mask);
  }
  return prefix;
}

address_bytes
AddressWithin(const client_prefix& aPrefix, std::mt19937_64& aRandom)
{
  address_bytes address = aPrefix.mAddress;
  for (std::size_t bit = aPrefix.mLength; bit < 128; ++bit) {
    unsigned mask = aRandom() % 8 == 0 ? 0x80u >> (bit % 8) : 0u;
    address.at(bit / 8) |= static_cast<std::uint8_t>(mask);
  }
  return address;
}

void
CompareWithOracle(const block_table& aTable,
                  const linear_table& aOracle,
                  std::mt19937_64& aRandom,
                  int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    client_prefix around =
      aRandom() % 2 == 0 ? aOracle.Pick(aRandom) : RandomPrefix(aRandom);
    address_bytes address = AddressWithin(around, aRandom);
    CHECK_EQUAL(aOracle.Find(address), Describe(aTable.Find(address)));
  }
}

domain_id
RandomDomain(std::mt19937_64& aRandom)
{
  return { "d" + std::to_string(aRandom() % 54) };
}

} // namespace

TEST_GROUP(BlockTable){};

TEST(BlockTable, Cases)
{
  block_map blocks;
  for (const std::pair<const char*, const char*>& row :
       std::vector<std::pair<const char*, const char*>>{
         { "a", "10.0.0.0/8" },
         { "b", "10.1.0.0/16" },
         { "c", "10.1.2.3/32" },
         { "d", "2001:db8::/32" },
         { "e", "2001:db8::1/128" },
         { "f", "2001:db8:0:1::/64" } }) {
    blocks[{ row.first }].Edit().push_back(*ParsePrefix(row.second));
  }
  block_table table = block_table::Build(blocks);
  CHECK_EQUAL(6u, table.Size());
  for (const std::pair<const char*, const char*>& row :
       std::vector<std::pair<const char*, const char*>>{
         { "10.0.0.0", "a 10.0.0.0/8" },
         { "10.255.255.255", "a 10.0.0.0/8" },
         { "10.1.2.2", "b 10.1.0.0/16" },
         { "10.1.2.3", "c 10.1.2.3/32" },
         { "10.1.2.4", "b 10.1.0.0/16" },
         { "9.255.255.255", "none" },
         { "11.0.0.0", "none" },
         { "::ffff:10.1.2.3", "c 10.1.2.3/32" },
         { "2001:db8::", "d 2001:db8::/32" },
         { "2001:db8::1", "e 2001:db8::1/128" },
         { "2001:db8:0:1::9", "f 2001:db8:0:1::/64" },
         { "2001:db9::", "none" } }) {
    CHECK_EQUAL(std::string(row.second),
                Describe(table.Find(*ParseAddress(row.first))));
  }
}

TEST(BlockTable, EmptyTableMatchesNothing)
{
  CHECK_FALSE(block_table().Find(*ParseAddress("10.0.0.1")).has_value());
  CHECK_FALSE(
    block_table::Build({}).Find(*ParseAddress("2001:db8::1")).has_value());
}

TEST(BlockTable, ABlockForAllOfIpv6CoversMappedAddresses)
{
  block_table table =
    block_table::Build({ { { "all" }, { *ParsePrefix("::/0") } } });
  CHECK_EQUAL(std::string("all ::/0"),
              Describe(table.Find(*ParseAddress("10.0.0.1"))));
}

TEST(BlockTable, UpdateLeavesEarlierTableUnchanged)
{
  block_table before =
    block_table::Build({ { { "a" }, { *ParsePrefix("10.0.0.0/8") } } });
  block_table after = before.With(std::vector<block_change>{
    { *ParsePrefix("10.0.0.0/8"), domain_id{ "b" } } });
  CHECK_EQUAL(std::string("a 10.0.0.0/8"),
              Describe(before.Find(*ParseAddress("10.0.0.1"))));
  CHECK_EQUAL(std::string("b 10.0.0.0/8"),
              Describe(after.Find(*ParseAddress("10.0.0.1"))));
}

TEST(BlockTable, BuiltTableAgreesWithLinearSearch)
{
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    std::mt19937_64 random(seed);
    linear_table oracle;
    for (std::size_t i = 0; i < seed * 1500; ++i) {
      oracle.Set(RandomPrefix(random), RandomDomain(random));
    }
    block_table table = block_table::Build(oracle.Blocks());
    CHECK_EQUAL(oracle.Size(), table.Size());
    CompareWithOracle(table, oracle, random, 500);
  }
}

TEST(BlockTable, UpdatedTableAgreesWithLinearSearch)
{
  for (std::uint64_t seed = 11; seed <= 14; ++seed) {
    std::mt19937_64 random(seed);
    linear_table oracle;
    oracle.Set(*ParsePrefix("0.0.0.0/0"), { "d0" });
    block_table table = block_table::Build(oracle.Blocks());
    for (int round = 0; round < 120; ++round) {
      std::vector<block_change> changes;
      for (std::size_t i = random() % 200; i > 0; --i) {
        bool removes = random() % 3 == 0 && oracle.Size() > 1;
        client_prefix prefix =
          removes ? oracle.Pick(random) : RandomPrefix(random);
        if (removes) {
          oracle.Remove(prefix);
          changes.push_back({ prefix, std::nullopt });
        } else {
          domain_id domain = RandomDomain(random);
          oracle.Set(prefix, domain);
          changes.push_back({ prefix, domain });
        }
      }
      table = table.With(changes);
      CHECK_EQUAL(oracle.Size(), table.Size());
      CompareWithOracle(table, oracle, random, 10);
    }
    CompareWithOracle(table, oracle, random, 300);
  }
}

TEST(BlockTable, DifferenceTurnsOneMapIntoTheOther)
{
  std::mt19937_64 random(21);
  for (int round = 0; round < 20; ++round) {
    linear_table from;
    linear_table to;
    for (int i = 0; i < 400; ++i) {
      client_prefix prefix = RandomPrefix(random);
      domain_id domain = RandomDomain(random);
      from.Set(prefix, domain);
      to.Set(prefix, random() % 4 == 0 ? RandomDomain(random) : domain);
    }
    to.Remove(to.Pick(random));
    block_table table = block_table::Build(from.Blocks())
                          .With(DiffBlocks(from.Blocks(), to.Blocks()));
    CHECK_EQUAL(to.Size(), table.Size());
    CompareWithOracle(table, to, random, 50);
  }
}
