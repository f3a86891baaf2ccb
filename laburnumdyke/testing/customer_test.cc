// Customers: the table of keys, the age up to which it may be relied on, and
// the gate that both make.
#include "laburnumdyke/decision/customer_gate.h"
#include "laburnumdyke/decision/customer_table.h"
#include "laburnumdyke/decision/knowledge_age.h"

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

customer_spec
Customer(const std::string& aName, std::vector<std::string> aKeys)
{
  customer_spec customer;
  customer.mName = { aName };
  customer.mKeys = std::move(aKeys);
  return customer;
}

constexpr std::uint64_t kVersion = 7; // in force

const std::string kLongKey = "secret" + std::string(16000, 'x');

std::string
NameOf(const customer_table& aTable, const std::string& aKey)
{
  const customer_spec* customer = aTable.Find(aKey);
  return customer == nullptr ? "" : customer->mName.mValue;
}

} // namespace

TEST_GROUP(CustomerTable){};

TEST(CustomerTable, EachKeyFindsItsCustomerAndNoOtherTextDoes)
{
  customer_table table(
    { Customer("a", { "k1", "k2" }), Customer("b", { "k3" }) });
  STRCMP_EQUAL("a", NameOf(table, "k1").c_str());
  STRCMP_EQUAL("a", NameOf(table, "k2").c_str());
  STRCMP_EQUAL("b", NameOf(table, "k3").c_str());
  for (const std::string& unknown : { std::string(),
                                      std::string("k"),
                                      std::string("k1 "),
                                      std::string("K1"),
                                      std::string("a"),
                                      std::string(300, 'k') }) {
    CHECK_TEXT(table.Find(unknown) == nullptr, unknown.c_str());
  }
  CHECK(table.All().at(0).mKeys.empty()); // no key is kept
}

// Guards against a bound on keys that callers don't have, and against one that
// is lost with the digests that a new version takes over.
TEST(CustomerTable, KeysMayHaveAnyLength)
{
  customer_table first({ Customer("a", { "k1", kLongKey }) });
  STRCMP_EQUAL("a", NameOf(first, kLongKey).c_str());
  STRCMP_EQUAL("", NameOf(first, kLongKey + "x").c_str());
  customer_table second(
    { Customer("a", { "k1", kLongKey }), Customer("b", { "k2" }) }, &first);
  STRCMP_EQUAL("a", NameOf(second, kLongKey).c_str());
  customer_table third({ Customer("b", { "k2" }) }, &second);
  STRCMP_EQUAL("", NameOf(third, kLongKey).c_str());
}

// Guards against a version that takes digests over for keys that have changed:
// a revoked key would stay in force.
TEST(CustomerTable, ANewVersionHasItsOwnKeysOnly)
{
  customer_table first(
    { Customer("a", { "k1", "k2" }), Customer("b", { "k3" }) });
  customer_table second({ Customer("a", { "k2" }),
                          Customer("b", { "k3" }),
                          Customer("c", { "k1" }) },
                        &first);
  STRCMP_EQUAL("c", NameOf(second, "k1").c_str());
  STRCMP_EQUAL("a", NameOf(second, "k2").c_str());
  STRCMP_EQUAL("b", NameOf(second, "k3").c_str());
  customer_table third({ Customer("b", { "k3" }) }, &second);
  LONGS_EQUAL(1, third.KeyCount());
  CHECK(third.Find("k1") == nullptr && third.Find("k2") == nullptr);
}

TEST(CustomerTable, RandomVersionsAgreeWithAScan)
{
  std::mt19937 random(7);
  std::uniform_int_distribution<int> owner(-1, 4);
  std::unique_ptr<customer_table> previous;
  for (int version = 0; version < 50; ++version) {
    std::vector<customer_spec> customers;
    std::vector<int> owners;
    for (int i = 0; i < 5; ++i) {
      customers.push_back(Customer("c" + std::to_string(i), {}));
    }
    for (int key = 0; key < 30; ++key) {
      owners.push_back(owner(random));
      if (owners.back() >= 0) {
        customers[static_cast<std::size_t>(owners.back())].mKeys.push_back(
          "key-" + std::to_string(key));
      }
    }
    std::unique_ptr<customer_table> table =
      std::make_unique<customer_table>(customers, previous.get());
    for (int key = 0; key < 30; ++key) {
      int expected = owners[static_cast<std::size_t>(key)];
      std::string name = NameOf(*table, "key-" + std::to_string(key));
      STRCMP_EQUAL(expected < 0 ? "" : ("c" + std::to_string(expected)).c_str(),
                   name.c_str());
    }
    previous = std::move(table);
  }
}

TEST(CustomerTable, FaultsAreNamedWithoutTheKey)
{
  CHECK(FindCustomerFaults({ Customer("a", { "k1", kLongKey }),
                             Customer("b", { kLongKey + "2" }),
                             Customer("c", {}) })
          .empty());
  const std::vector<customer_spec> rows[] = {
    { Customer("", { "secret" }) },
    { Customer("a", { "secret" }), Customer("a", {}) },
    { Customer("a", { "secret" }), Customer("b", { "secret" }) },
    { Customer("a", { "secret", "secret" }) },
    { Customer("a", { "" }) },
    { Customer("a", { kLongKey }), Customer("b", { kLongKey }) },
  };
  for (const std::vector<customer_spec>& row : rows) {
    std::vector<std::string> faults = FindCustomerFaults(row);
    LONGS_EQUAL(1, faults.size());
    CHECK(faults.at(0).find("secret") == std::string::npos);
  }
}

TEST_GROUP(KnowledgeAge)
{
  const boot_instant mStart{ 50s };
  knowledge_age mAge;
};

TEST(KnowledgeAge, NothingIsKnownBeforeAnAnswerAndAReading)
{
  CHECK_FALSE(mAge.At(mStart).has_value());
  mAge.RecordCurrent(kVersion, 7s);
  CHECK_FALSE(mAge.At(mStart).has_value());
  mAge.RecordAnswer(mStart, 7s);
  CHECK(mAge.At(mStart) == 0ms);
}

TEST(KnowledgeAge, ItGrowsWithTimeAndIsNeverTooSmall)
{
  // The platform stamped its answer some time after the request was sent.
  mAge.RecordAnswer(mStart, 7s);
  mAge.RecordCurrent(kVersion, 7s);
  std::optional<std::chrono::milliseconds> age = mAge.At(mStart + 4s);
  CHECK(age.has_value() && *age >= 4000ms && *age <= 4010ms);
}

TEST(KnowledgeAge, ALateAnswerDoesNotMakeItYounger)
{
  // Sent at the platform's time 7 s, but on its way for 3 s: the platform's
  // clock reads 10 s when it arrives.
  mAge.RecordAnswer(mStart, 7s);
  mAge.RecordAnswer(mStart, 10s);
  mAge.RecordCurrent(kVersion, 10s);
  CHECK(mAge.At(mStart + 3s) <= 5ms);
  CHECK(*mAge.At(mStart + 5s) >= 2000ms);
}

TEST(KnowledgeAge, APeersWordCountsByThePlatformsClock)
{
  mAge.RecordAnswer(mStart, 100s);
  mAge.RecordCurrent(kVersion, 100s);
  CHECK(*mAge.At(mStart + 3s) >= 3000ms);
  mAge.RecordCurrent(kVersion, 102s); // from a peer
  CHECK(*mAge.At(mStart + 3s) >= 1000ms && *mAge.At(mStart + 3s) <= 1010ms);
  mAge.RecordCurrent(kVersion, 101s); // an older word changes nothing
  CHECK(*mAge.At(mStart + 3s) <= 1010ms);
}

// Guards against a version that is taken for the latest although a later one,
// which can't be read, is known: keys that it revokes would stay in force.
TEST(KnowledgeAge, AnOutdatedVersionIsNotDated)
{
  mAge.RecordAnswer(mStart, 7s);
  mAge.RecordVersion(kVersion - 1);
  mAge.RecordCurrent(kVersion, 7s);
  CHECK_FALSE(mAge.IsOutdated(kVersion));
  mAge.RecordVersion(kVersion + 1);
  mAge.RecordVersion(kVersion);
  CHECK(mAge.IsOutdated(kVersion));
  mAge.RecordAnswer(mStart + 4s, 11s);
  mAge.RecordCurrent(kVersion, 11s);
  CHECK(*mAge.At(mStart + 4s) >= 4000ms);
  mAge.Reset(); // the versions are not the platform's
  mAge.RecordAnswer(mStart + 5s, 1s);
  mAge.RecordCurrent(kVersion, 1s);
  CHECK_FALSE(mAge.At(mStart + 5s).has_value());
  mAge.RecordCurrent(kVersion + 1, 1s);
  CHECK(mAge.At(mStart + 5s) == 0ms);
}

// Random delays in both directions: the bound must never be below the true age.
TEST(KnowledgeAge, TheBoundHoldsForAnyDelays)
{
  std::mt19937 random(3);
  std::uniform_int_distribution<int> delay(0, 900);
  for (int run = 0; run < 200; ++run) {
    knowledge_age age;
    boot_instant now = mStart; // local; the platform's clock is 1 s + now
    platform_time current{ 0 };
    for (int i = 0; i < 20; ++i) {
      boot_instant sent = now;
      now += std::chrono::milliseconds(delay(random));
      platform_time stamp =
        1s + std::chrono::duration_cast<platform_time>(now.time_since_epoch());
      now += std::chrono::milliseconds(delay(random));
      age.RecordAnswer(sent, stamp);
      age.RecordCurrent(kVersion, stamp);
      current = stamp;
      platform_time platformNow =
        1s + std::chrono::duration_cast<platform_time>(now.time_since_epoch());
      CHECK(age.At(now).has_value());
      CHECK(*age.At(now) >= platformNow - current);
    }
  }
}

TEST_GROUP(CustomerGate){
  static route_table Routes(bool aPublic,
                            std::vector<customer_spec> aCustomers){
    routing_document document;
document.mVersion = 1;
route_spec route;
route.mHost = "a.example";
route.mPrefix = "/x/";
route.mPublic = aPublic;
document.mRoutes = { route };
document.mCustomers = std::move(aCustomers);
return route_table(document);
}

static gate_decision
Check(const route_table& aRoutes,
      const std::string& aKey,
      std::optional<std::chrono::milliseconds> aAge = 0ms,
      std::chrono::milliseconds aMaxAge = 4s)
{
  return CheckKey(
    aRoutes, *aRoutes.Find("a.example", "/x/1"), aKey, aAge, aMaxAge);
}
}
;

TEST(CustomerGate, AKeyIsNeededOnRoutesThatAreNotPublic)
{
  route_table routes = Routes(false, { Customer("a", { "k" }) });
  gate_decision decision = Check(routes, "k");
  CHECK(decision.mRefusal == refusal_reason::None);
  STRCMP_EQUAL("a", decision.mCustomer->mName.mValue.c_str());
  CHECK(Check(routes, "").mRefusal == refusal_reason::UnknownCustomer);
  CHECK(Check(routes, "x").mRefusal == refusal_reason::UnknownCustomer);
  route_table open = Routes(true, { Customer("a", { "k" }) });
  CHECK(Check(open, "").mRefusal == refusal_reason::None);
  CHECK(Check(open, "", std::nullopt).mRefusal == refusal_reason::None);
}

TEST(CustomerGate, KeysAreRefusedOnceTheyMayHaveBeenRevoked)
{
  route_table routes = Routes(false, { Customer("a", { "k" }) });
  CHECK(Check(routes, "k", 4000ms).mRefusal == refusal_reason::None);
  CHECK(Check(routes, "k", 4001ms).mRefusal == refusal_reason::StaleCustomers);
  CHECK(Check(routes, "k", std::nullopt).mRefusal ==
        refusal_reason::StaleCustomers);
  // An unknown key may have been added meanwhile, so it isn't denied.
  CHECK(Check(routes, "x", 4001ms).mRefusal == refusal_reason::StaleCustomers);
  // Without a bound, the last known keys are accepted.
  CHECK(Check(routes, "k", std::nullopt, 0ms).mRefusal == refusal_reason::None);
}
