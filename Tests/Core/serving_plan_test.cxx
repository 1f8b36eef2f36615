// Routes, keys and parts of a serving plan.

#include "Core/serving_plan.h"

#include <array>
#include <catch2/catch.hpp>
#include <map>

namespace almondmoor {

namespace {

    plan_route route(const std::string& name, const std::string& host, const std::string& prefix)
    {
        plan_route it;
        it.name = name;
        it.host = host;
        it.prefix = prefix;
        it.parts = { { "orders", 1 } };
        return it;
    }

} // namespace

TEST_CASE("the longest prefix of a host's routes is found", "[plan]")
{
    serving_plan plan;
    plan.addRoute(route("short", "a.example", "/o/"));
    plan.addRoute(route("long", "a.example", "/o/new/"));
    plan.addRoute(route("other", "b.example", "/o/"));

    struct row {
        const char* host;
        const char* path;
        const char* expected;
    };
    const std::array<row, 7> rows { {
        { "a.example", "/o/1", "short" },
        { "a.example", "/o/new/1", "long" },
        { "a.example", "/o/new", "short" },
        { "b.example", "/o/new/1", "other" },
        { "c.example", "/o/1", "" },
        { "a.example", "/", "" },
        { "a.example", "/O/1", "" },
    } };
    for (const row& it : rows) {
        INFO(it.host << it.path);
        const plan_route* found = plan.findRoute(it.host, it.path);
        CHECK((found ? found->name : std::string()) == it.expected);
    }
}

TEST_CASE("dot segments are seen plain and percent-encoded", "[plan]")
{
    struct row {
        const char* path;
        bool expected;
    };
    const std::array<row, 14> rows { {
        { "/o/../secret/1", true },
        { "/o/./1", true },
        { "/o/..", true },
        { "/o/%2e%2e/secret/", true },
        { "/o/.%2E/secret/", true },
        { "/o%2f..%2fsecret/", true },
        { "/o/%2e", true },
        { "/o/..%5csecret", true },
        { "/o/1", false },
        { "/o/.../1", false },
        { "/o/.hidden/1", false },
        { "/o/1..2/", false },
        { "/o/a.b/c", false },
        { "/o/1?next=/../2", false },
    } };
    for (const row& it : rows) {
        INFO(it.path);
        CHECK(hasDotSegment(it.path) == it.expected);
    }
}

TEST_CASE("requests are split by weight", "[plan]")
{
    plan_route it = route("split", "a.example", "/o/");
    it.parts = { { "old", 90 }, { "new", 10 } };
    std::map<std::string, int> counts;
    constexpr int draws = 1000;
    for (int index = 0; index < draws; ++index)
        ++counts[choosePart(it, static_cast<double>(index) / draws)];
    CHECK(counts["old"] == 900);
    CHECK(counts["new"] == 100);
}

TEST_CASE("a key names its team only while the team exists", "[plan]")
{
    serving_plan plan;
    plan.teams["shop"] = { "shop", 10, 10, std::nullopt };
    plan.teamByKey["k1"] = "shop";
    plan.teamByKey["k2"] = "gone";
    REQUIRE(plan.findTeam("k1"));
    CHECK(plan.findTeam("k1")->name == "shop");
    CHECK_FALSE(plan.findTeam("k2"));
    CHECK_FALSE(plan.findTeam(""));
}

} // namespace almondmoor
