#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gypsumfall/contract/contract.h"

namespace gypsumfall {
namespace {

Contract Make(const std::string& customer, std::uint64_t version,
              const std::string& key = "key") {
  Contract contract;
  contract.customer = CustomerId(customer);
  contract.version = ContractVersion(version);
  contract.key_digests = {KeyDigest(key)};
  return contract;
}

// Guards I9: a change that is in force never reverts.
TEST_CASE("versions never go back under reordered and repeated applies") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    std::vector<Contract> changes;
    for (std::uint64_t version = 0; version < 20; ++version) {
      for (const std::string customer : {"a", "b", "c"}) {
        const std::string key = "key" + std::to_string(version);
        changes.insert(changes.end(), 1 + random() % 3,
                       Make(customer, version, key));
      }
    }
    std::shuffle(changes.begin(), changes.end(), random);
    ContractBook book;
    std::map<CustomerId, ContractVersion> highest;
    for (const Contract& change : changes) {
      const bool newer = change.version > highest[change.customer];
      REQUIRE(book.Apply(change) == newer);
      if (newer) highest[change.customer] = change.version;
      REQUIRE(book.VersionOf(change.customer) == highest[change.customer]);
      const ContractPtr held = book.Find(change.customer);
      if (newer) REQUIRE(*held == change);
    }
    REQUIRE(book.size() == 3);
    REQUIRE(book.VersionOf(CustomerId("b")) == ContractVersion(19));
  }
}

// Guards against a late poll that makes the host fetch or skip changes.
TEST_CASE("the revision never goes back") {
  ContractBook book;
  book.AdvanceRevision(ContractRevision(5));
  book.AdvanceRevision(ContractRevision(3));
  CHECK(book.revision() == ContractRevision(5));
}

// Guards against access with another customer's, an old or an empty key.
TEST_CASE("callers are authenticated by customer and key") {
  ContractBook book;
  book.Apply(Make("a", 1, "old-key"));
  Contract contract = Make("a", 2, "key-a");
  contract.key_digests.push_back(KeyDigest("second-key-a"));
  book.Apply(contract);
  book.Apply(Make("b", 1, "key-b"));
  const auto authenticated = [&](const char* customer, const char* key) {
    const auto found = book.Authenticate(CustomerId(customer), key);
    if (!found) CHECK(found.error().kind == ErrorKind::kUnauthenticated);
    return found.has_value() && (*found)->customer == CustomerId(customer);
  };
  CHECK(authenticated("a", "key-a"));
  CHECK(authenticated("a", "second-key-a"));
  CHECK(authenticated("b", "key-b"));
  for (const char* key : {"key-b", "old-key", "", "KEY-A"}) {
    INFO(key);
    CHECK_FALSE(authenticated("a", key));
  }
  CHECK_FALSE(authenticated("c", "key-a"));
  CHECK_FALSE(authenticated("", ""));
  CHECK_FALSE(authenticated("b", KeyDigest("key-b").c_str()));
}

// Guards against work in flight that changes limits halfway.
TEST_CASE("a contract that was looked up stays as it was") {
  ContractBook book;
  book.Apply(Make("a", 1));
  const ContractPtr held = book.Find(CustomerId("a"));
  book.Apply(Make("a", 2));
  CHECK(held->version == ContractVersion(1));
  CHECK(book.All().front()->version == ContractVersion(2));
}

}  // namespace
}  // namespace gypsumfall
