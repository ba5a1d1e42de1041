#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gypsumfall/contract/contract.h"

namespace gypsumfall {
namespace {

Contract MakeContract(const std::string& customer, std::uint64_t version,
                      const std::string& key = "key") {
  Contract contract;
  contract.customer = CustomerId(customer);
  contract.version = ContractVersion(version);
  contract.key_digests = {KeyDigest(key)};
  return contract;
}

// Guards I9: a change that is in force is never reverted.
TEST_CASE("versions never decrease under reordered and repeated applies") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 rng(seed);
    std::vector<Contract> changes;
    for (std::uint64_t version = 0; version < 20; ++version) {
      for (const std::string customer : {"a", "b", "c"}) {
        const std::string key = "key" + std::to_string(version);
        changes.insert(changes.end(), 1 + rng() % 3,
                       MakeContract(customer, version, key));
      }
    }
    std::shuffle(changes.begin(), changes.end(), rng);
    ContractRegistry registry;
    std::map<CustomerId, ContractVersion> highest;
    for (const Contract& change : changes) {
      const bool is_newer = change.version > highest[change.customer];
      REQUIRE(registry.Apply(change) == is_newer);
      if (is_newer) highest[change.customer] = change.version;
      REQUIRE(registry.VersionOf(change.customer) == highest[change.customer]);
      const ContractPtr snapshot = registry.Find(change.customer);
      if (is_newer) REQUIRE(*snapshot == change);
    }
    REQUIRE(registry.size() == 3);
    REQUIRE(registry.VersionOf(CustomerId("b")) == ContractVersion(19));
  }
}

// Guards against a late poll result that lowers the revision, so that the host
// fetches changes again or skips some.
TEST_CASE("the revision never decreases") {
  ContractRegistry registry;
  registry.AdvanceRevision(ContractRevision(5));
  registry.AdvanceRevision(ContractRevision(3));
  CHECK(registry.revision() == ContractRevision(5));
}

// Guards against access with a revoked or empty key, or another customer's.
TEST_CASE("callers are authenticated by customer and key") {
  ContractRegistry registry;
  registry.Apply(MakeContract("a", 1, "old-key"));
  Contract contract = MakeContract("a", 2, "key-a");
  contract.key_digests.push_back(KeyDigest("second-key-a"));
  registry.Apply(contract);
  registry.Apply(MakeContract("b", 1, "key-b"));
  const auto authenticated = [&](const char* customer, const char* key) {
    const auto found = registry.Authenticate(CustomerId(customer), key);
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

// Guards against limits that change while a request is in progress.
TEST_CASE("a contract that was looked up is immutable") {
  ContractRegistry registry;
  registry.Apply(MakeContract("a", 1));
  const ContractPtr snapshot = registry.Find(CustomerId("a"));
  registry.Apply(MakeContract("a", 2));
  CHECK(snapshot->version == ContractVersion(1));
  CHECK(registry.All().front()->version == ContractVersion(2));
}

}  // namespace
}  // namespace gypsumfall
