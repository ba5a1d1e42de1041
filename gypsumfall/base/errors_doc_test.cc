#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "gypsumfall/base/base.h"

namespace gypsumfall {
namespace {

std::string MarkdownRow(const ErrorTableEntry& row) {
  std::ostringstream text;
  text << "| `" << row.name << "` | " << row.http_status << " | "
       << WasRunName(row.was_run) << " | " << (row.safe_to_retry ? "yes" : "no")
       << " | " << row.text << " |";
  return text.str();
}

// Guards against docs/errors.md differing from the error table in the code.
TEST_CASE("the documented error table is that of the code") {
  std::ifstream file(GYPSUMFALL_SOURCE_DIR "/docs/errors.md");
  REQUIRE(file.is_open());
  std::size_t documented = 0;
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with("| `")) continue;
    REQUIRE(documented < ErrorTable().size());
    CHECK(line == MarkdownRow(ErrorTable()[documented]));
    ++documented;
  }
  CHECK(documented == ErrorTable().size());
}

}  // namespace
}  // namespace gypsumfall
