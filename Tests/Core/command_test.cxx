// Tests of the operators' language and of the configuration that its commands build.

#include "Core/command.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace almondmoor {

namespace {

    const std::vector<std::string> canonicalCommands { "create team cooling rate 50/s burst 100 weight 2", "change team cooling rate 5/s burst 7 weight 1", "remove team cooling",
        "create key k-1 for team cooling hash abc", "withdraw key k-1", "create service refills floor 60%",
        "create upstream 10.0.0.1:80 for service refills in lagos-1 slots 4 connections 400", "drain upstream 10.0.0.1:80", "retire upstream 10.0.0.1:80",
        "restore upstream 10.0.0.1:80", "create route /refills to refills teams cooling,tents repeatable", "create route /pay to refills teams any", "create route / to refills open",
        "remove route /refills", "join host h1 incarnation 3 at 10.0.0.2:82 in lagos-1", "leave host h1 incarnation 3", "remove host h1", "drain host h1",
        "assign shards 0,5,63 on h1 incarnation 3", "assign shards 7 on h1 incarnation 3 unused" };

} // namespace

TEST_CASE("formatting a parsed command gives its canonical text", "[command]")
{
    for (const auto& text : canonicalCommands) {
        INFO(text);
        const auto parsed = parseCommand(text);
        REQUIRE(parsed.ok());
        CHECK(formatCommand(*parsed) == text);
    }
}

TEST_CASE("no word sequence crashes the parser and every error states the position of a word", "[command]")
{
    const std::vector<std::string> words { "create", "team", "key", "route", "/a", "rate", "5/s", "burst", "9", "for", "service", "in", "teams", "any", "show", "where", "=", "\x01", "1e999/s", "-3", "," };
    const bool holds = rc::check("arbitrary word sequences", [&words]() {
        std::string line;
        const auto count = *rc::gen::inRange(0, 12);
        for (int index = 0; index < count; ++index)
            line += *rc::gen::elementOf(words) + " ";
        const auto parsed = parseCommand(line);
        if (parsed.ok()) {
            const auto reparsed = parseCommand(formatCommand(*parsed));
            RC_ASSERT(reparsed.ok() || isQuery(*parsed));
        } else {
            RC_ASSERT(parsed.status().message().find("at word") != absl::string_view::npos);
        }
    });
    CHECK(holds);
}

TEST_CASE("a snapshot rebuilds the configuration", "[config]")
{
    configuration held;
    config_version version = 0;
    for (const char* text : { "create team cooling rate 50/s burst 100", "create key k-1 for team cooling hash abc", "create key k-2 for team cooling hash def", "withdraw key k-2",
             "create service refills floor 60%", "create upstream 10.0.0.1:80 for service refills in lagos-1", "drain upstream 10.0.0.1:80",
             "create route /refills to refills teams cooling repeatable", "join host h1 incarnation 3 at 10.0.0.2:82 in lagos-1", "assign shards 0,5 on h1 incarnation 3" })
        REQUIRE(held.apply(change { "c", ++version, "t", 0, text }).ok());
    const auto rebuilt = configuration::fromSnapshot(version, held.snapshotCommands());
    REQUIRE(rebuilt.ok());
    CHECK(rebuilt->snapshotCommands() == held.snapshotCommands());
    CHECK(rebuilt->version() == version);
    CHECK(rebuilt->findKey("abc") != nullptr);
    CHECK(rebuilt->findKey("def") == nullptr);
    CHECK(rebuilt->shardHomes().at(5).epoch == held.shardHomes().at(5).epoch);
}

TEST_CASE("a path takes the route with the longest matching prefix", "[config]")
{
    configuration held;
    config_version version = 0;
    for (const char* text : { "create service a", "create service b", "create route /x to a open", "create route /x/y to b open", "create route / to a open" })
        REQUIRE(held.apply(change { "c", ++version, "t", 0, text }).ok());
    struct route_case {
        const char* path;
        const char* prefix;
    };
    for (const auto& testCase : { route_case { "/x", "/x" }, { "/x/y", "/x/y" }, { "/x/y/z?q=/x", "/x/y" }, { "/x/yy", "/x" }, { "/xx", "/" }, { "/", "/" } }) {
        INFO(testCase.path);
        REQUIRE(held.findRoute(testCase.path) != nullptr);
        CHECK(held.findRoute(testCase.path)->prefix == testCase.prefix);
    }
}

} // namespace almondmoor
