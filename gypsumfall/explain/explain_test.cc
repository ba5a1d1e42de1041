#include "gypsumfall/explain/explain.h"

#include <catch2/catch.hpp>
#include <string>

namespace gypsumfall {
namespace {

Decision DecisionAbout(const std::string& subject, const std::string& what) {
  return {Time(seconds(1)), subject, what, "reason", EntryHostId("a")};
}

// Guards against unbounded memory use, and against a lookup that returns
// decisions on other subjects once old ones are dropped.
TEST_CASE("a full log drops the oldest decision and counts it") {
  DecisionLog log(3);
  for (int i = 0; i < 7; ++i) {
    log.Add(DecisionAbout(i % 2 == 0 ? "even" : "odd", std::to_string(i)));
  }
  CHECK(log.size() == 3);
  CHECK(log.dropped() == 4);
  REQUIRE(log.Find("even").size() == 2);
  CHECK(log.Find("even")[0].what == "4");
  CHECK(log.Find("even")[1].what == "6");
  REQUIRE(log.Find("odd").size() == 1);
  CHECK(log.Find("odd")[0].what == "5");
  CHECK(log.Find("none").empty());
  REQUIRE(log.Newest(2).size() == 2);
  CHECK(log.Newest(2)[0].what == "6");
  CHECK(log.Newest(9).size() == 3);
}

}  // namespace
}  // namespace gypsumfall
