#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "gypsumfall/http/http.h"

namespace gypsumfall {
namespace {

// Guards against ids with reserved characters that address another resource.
TEST_CASE("percent encoding round-trips every byte") {
  std::string all;
  for (int c = 0; c < 256; ++c) all += static_cast<char>(c);
  CHECK(PercentDecode(PercentEncode(all)) == all);
  CHECK(PercentEncode("a/b c") == "a%2Fb%20c");
  for (const char* bad : {"%", "a%2", "%zz", "%2g"}) {
    CHECK(PercentDecode(bad) == std::nullopt);
  }
}

// Guards against matching a parameter whose name only ends with the given name.
TEST_CASE("query values are found by their whole name") {
  const HttpRequest request{.query = "xwait=1&wait=5%2B&flag&wait=6"};
  CHECK(request.QueryValue("wait") == "5+");
  CHECK(request.QueryValue("flag") == "");
  CHECK(request.QueryValue("ait") == std::nullopt);
}

// Guards against an invalid JSON body if the error detail contains quotes.
TEST_CASE("error responses are JSON with kind, message and was_run") {
  const HttpResponse response =
      ErrorResponse(ErrorKind::kOverLimit, "rate \"5/s\"\n");
  CHECK(response.status == 429);
  CHECK(response.body ==
        R"({"error":{"kind":"over_limit","message":)"
        R"("a limit of the contract is reached: rate \"5/s\"\n"},)"
        R"("was_run":"no"})");
}

}  // namespace
}  // namespace gypsumfall
