// Provides main() for all test programs.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
