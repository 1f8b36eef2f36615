// Tests of the command 'explain' with log lines of several hosts.

#include "explain_command.h"

#include <array>
#include <catch2/catch.hpp>
#include <sstream>

namespace almondmoor {

namespace {

    const std::vector<std::string> lines {
        "time=2026-01-01T00:00:01.000Z level=INFO host=h2 event=upstream-failing upstream=i-1 result=crashed",
        // Text before "time=" is ignored.
        std::string("  1.0 h1 time=2026-01-01T00:00:02.000Z level=INFO host=h1 event=request id=g7 route=r team=shop service=orders plan=4 status=502 reason=answer-lost ")
            + "total_ms=3 left_ms=997 attempts=i-1:lost:2ms:kept:near:inflight=1:failing=0.04 detail=\"the connection was reset\"",
        "time=2026-01-01T00:00:01.500Z level=WARN host=h1 event=store-lost table=op end=unknown error=\"read changes with 10.0.0.1:80: Timeout\"",
        "time=2026-01-01T00:00:03.000Z level=INFO host=h1 event=upstream-failing upstream=i-1 result=crashed",
        "no line of ours",
    };

} // namespace

TEST_CASE("the explanation of a request names the cause of its failure and what was logged before it", "[explain]")
{
    std::ostringstream out;
    REQUIRE(explainRequest("g7", lines, out));
    const std::string explanation = out.str();
    const std::array<const char*, 7> parts { "h1: status 502 (answer-lost)", "attempt 1 at i-1: lost 2ms kept near inflight=1 failing=0.04", "plan 4",
        "the connection was reset", "h2 upstream-failing result=crashed upstream=i-1", "store-lost", "Timeout" };
    for (const char* part : parts) {
        INFO(part << " in " << explanation);
        CHECK(explanation.find(part) != std::string::npos);
    }
    // Lines later than the request are left out.
    CHECK(explanation.find("00:00:03") == std::string::npos);
}

TEST_CASE("an unknown request gives no explanation and returns false", "[explain]")
{
    std::ostringstream out;
    CHECK_FALSE(explainRequest("g8", lines, out));
    CHECK(out.str().empty());
}

} // namespace almondmoor
