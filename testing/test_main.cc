// The one Catch2 main that every test program links.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
