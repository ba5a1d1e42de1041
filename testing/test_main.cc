// Catch2 main function shared by all test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
