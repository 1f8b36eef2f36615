// Tests of serving_config: finding routes and teams, dot segments and traffic splits.

#include "Core/serving_config.h"

#include <array>
#include <catch2/catch.hpp>
#include <map>

namespace almondmoor {

namespace {

    route_config route(const std::string& name, const std::string& host, const std::string& prefix)
    {
        route_config it;
        it.name = name;
        it.host = host;
        it.prefix = prefix;
        it.parts = { { "orders", 1 } };
        return it;
    }

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found", "[plan]")
{
    serving_config config;
    config.addRoute(route("short", "a.example", "/o/"));
    config.addRoute(route("long", "a.example", "/o/new/"));
    config.addRoute(route("other", "b.example", "/o/"));

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
        const route_config* found = config.findRoute(it.host, it.path);
        CHECK((found ? found->name : std::string()) == it.expected);
    }
}

TEST_CASE("plain and percent-encoded dot segments are detected", "[plan]")
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

TEST_CASE("requests are split among services by weight", "[plan]")
{
    route_config it = route("split", "a.example", "/o/");
    it.parts = { { "old", 90 }, { "new", 10 } };
    std::map<std::string, int> counts;
    constexpr int draws = 1000;
    for (int index = 0; index < draws; ++index)
        ++counts[chooseService(it, static_cast<double>(index) / draws)];
    CHECK(counts["old"] == 900);
    CHECK(counts["new"] == 100);
}

TEST_CASE("a key finds its team only while the team exists", "[plan]")
{
    serving_config config;
    config.teams["shop"] = { "shop", 10, 10, std::nullopt };
    config.teamByKey["k1"] = "shop";
    config.teamByKey["k2"] = "gone";
    REQUIRE(config.findTeam("k1"));
    CHECK(config.findTeam("k1")->name == "shop");
    CHECK_FALSE(config.findTeam("k2"));
    CHECK_FALSE(config.findTeam(""));
}

} // namespace almondmoor
