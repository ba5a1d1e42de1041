#include "gypsumfall/base/base.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <system_error>

namespace gypsumfall {
namespace {

// Guards against an error kind without a table row, or with its row at the
// wrong index: rows are looked up by the value of the kind.
TEST_CASE("every error kind has its own row in order") {
  std::set<std::string_view> names;
  int value = 0;
  for (const ErrorTableEntry& row : ErrorTable()) {
    CHECK(static_cast<int>(row.kind) == ++value);
    CHECK(ErrorKindFromName(row.name) == row.kind);
    CHECK(row.http_status >= 400);
    names.insert(row.name);
  }
  CHECK(value == static_cast<int>(ErrorKind::kInternal));
  CHECK(names.size() == ErrorTable().size());
}

// Guards against an error that invites a retry of work that may have run.
TEST_CASE("only work that was not run is safe to retry") {
  for (const ErrorTableEntry& row : ErrorTable()) {
    if (row.safe_to_retry) CHECK(row.was_run == WasRun::kNo);
  }
}

TEST_CASE("error codes compare and print as their kind") {
  const std::error_code code = ErrorKind::kOverLimit;
  CHECK(code.category().name() == std::string("gypsumfall"));
  CHECK(code.message() == "a limit of the contract is reached");
}

// Guards against a changed hash, which would assign keys to other partitions
// after an upgrade or on another host.
TEST_CASE("hashes are stable") {
  CHECK(StableHash("") == 0xef46db3751d8e999ULL);
  CHECK(KeyDigest("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(ConstantTimeEquals("ab", "ab"));
  CHECK_FALSE(ConstantTimeEquals("ab", "ac"));
  CHECK_FALSE(ConstantTimeEquals("ab", "abc"));
}

// Guards against placing work on a host that is full in one dimension only.
TEST_CASE("resources fit only if each dimension fits") {
  const Resources capacity{MilliCores(1000), MebiBytes(100), Accelerators(1)};
  CHECK(capacity.FitsIn(capacity));
  CHECK_FALSE((capacity + Resources{MilliCores(1), {}, {}}).FitsIn(capacity));
  CHECK_FALSE((capacity + Resources{{}, MebiBytes(1), {}}).FitsIn(capacity));
  CHECK_FALSE((capacity + Resources{{}, {}, Accelerators(1)}).FitsIn(capacity));
  CHECK_FALSE((Resources{} - capacity).IsValid());
}

}  // namespace
}  // namespace gypsumfall
