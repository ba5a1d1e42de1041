#include "gypsumfall/evacuation/evacuation.h"

#include <catch2/catch.hpp>
#include <string>

namespace gypsumfall {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr int kWorkers = 200;

// Returns how many of the workers of the data centre are open.
int CountOpen(const EvacuationSet& set, const char* data_centre, Time now) {
  int open = 0;
  for (int i = 0; i < kWorkers; ++i) {
    if (set.IsOpen(WorkerId("w" + std::to_string(i)), DataCentreId(data_centre),
                   now)) {
      ++open;
    }
  }
  return open;
}

EvacuationSet KnownSet() {
  EvacuationSet set({.max_age = seconds(4)});
  set.Confirm(kStart);
  return set;
}

// Guards against starts before the first read and after reads have failed for
// so long that a closure may have been missed.
TEST_CASE("nothing is open unless what is closed is known") {
  EvacuationSet set({.max_age = seconds(4)});
  CHECK(CountOpen(set, "a", kStart) == 0);
  set.Confirm(kStart);
  CHECK(CountOpen(set, "a", kStart) == kWorkers);
  CHECK(CountOpen(set, "a", kStart + milliseconds(3999)) == kWorkers);
  CHECK(CountOpen(set, "a", kStart + seconds(4)) == 0);
  // A read that was sent earlier does not make the latest one older.
  set.Confirm(kStart + seconds(3));
  set.Confirm(kStart + seconds(1));
  CHECK(set.IsKnown(kStart + seconds(6)));
}

// Guards against all workers that return at once.
TEST_CASE("the workers of a data centre return gradually") {
  EvacuationSet set = KnownSet();
  CHECK(set.Close(DataCentreId("a")));
  CHECK_FALSE(set.Close(DataCentreId("a")));
  CHECK(CountOpen(set, "a", kStart) == 0);
  CHECK(CountOpen(set, "b", kStart) == kWorkers);
  CHECK(set.Reopen(DataCentreId("a"), kStart));
  CHECK_FALSE(set.Reopen(DataCentreId("a"), kStart + seconds(1)));
  int last = -1;
  for (int i = 0; i <= 30; ++i) {
    const int open = CountOpen(set, "a", kStart + milliseconds(100) * i);
    CHECK(open >= last);
    CHECK(open == Approx(kWorkers * i / 30.0).margin(kWorkers / 10.0));
    last = open;
  }
  CHECK(last == kWorkers);
  // Also when the time of the return has been forgotten.
  set.Confirm(kStart + seconds(3));
  CHECK(CountOpen(set, "a", kStart + seconds(3)) == kWorkers);
}

// Guards against a removal that only a full read shows, and against a data
// centre that returns while it is closed again.
TEST_CASE("a full read closes what it has and opens what it has not") {
  EvacuationSet set = KnownSet();
  using Changes = std::vector<EvacuationChange>;
  const DataCentreId a("a");
  const DataCentreId b("b");
  CHECK(set.Replace({a}, kStart) == Changes{{a, true}});
  CHECK(set.Replace({a}, kStart).empty());
  CHECK(set.Replace({b}, kStart) == Changes{{a, false}, {b, true}});
  CHECK(set.closed() == std::set<DataCentreId>{b});
  const Time later = kStart + milliseconds(2000);
  CHECK(CountOpen(set, "a", later) > 0);
  CHECK(CountOpen(set, "b", later) == 0);
  CHECK(set.Close(a));
  CHECK(CountOpen(set, "a", later) == 0);
  // The return begins anew.
  CHECK(set.Reopen(a, later));
  CHECK(CountOpen(set, "a", later) < kWorkers / 10);
}

}  // namespace
}  // namespace gypsumfall
