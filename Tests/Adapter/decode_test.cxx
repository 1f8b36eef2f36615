// Rows of the users' platform, well-formed and not.

#include "decode.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <array>
#include <catch2/catch.hpp>

namespace almondmoor::users_platform {

namespace {

    constexpr instant now { std::chrono::hours(1) };

    const std::string goodUpstream = R"({"address":"10.128.0.9:8080","info":{"service":"huvo","version":"v1","zone":"lag-ikeja","slots":3},)"
                                     R"("status":{"state":"ready","sequence":4,"cold_remaining_ms":500},"born":1700000000000})";

    const std::string goodPlan = R"({"version":7,"routes":{"r1":{"host":"a.example","prefix":"/l/","kind":"safe","timeout_ms":1500,"target_latency_ms":600,)"
                                 R"("priority":2,"traffic_split":[{"service":"old","weight":90},{"service":"new","weight":10}],"max_attempts":2,"public":false},)"
                                 R"("r2":{"host":"a.example","prefix":"/p/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":600,"priority":1,"service":"old","max_attempts":1,"public":true}},)"
                                 R"("services":{"old":{"health_check_path":"/health","max_connections":390,"protocol":"h1","tls":false},"new":{"health_check_path":"/health"}},)"
                                 R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
                                 R"("tenants":{"kaje":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":78,"burst":78}}})";

} // namespace

TEST_CASE("an upstream's row is decoded", "[decode]")
{
    const auto it = decodeUpstream("i-1", goodUpstream, now);
    REQUIRE(it.ok());
    CHECK(it->entry.id == "i-1");
    CHECK(it->entry.address == "10.128.0.9:8080");
    CHECK(it->entry.service == "huvo");
    CHECK(it->entry.dataCentre == "lag-ikeja");
    CHECK(it->entry.slots == 3);
    CHECK_FALSE(it->entry.isLeaving);
    CHECK(it->entry.coldUntil == now + std::chrono::milliseconds(500));
    CHECK(it->startedAtUnixMs == 1700000000000);
}

TEST_CASE("a malformed row names no upstream", "[decode]")
{
    struct row {
        const char* from;
        const char* to;
    };
    const std::array<row, 12> rows { {
        { "\"10.128.0.9:8080\"", "17" },
        { "\"10.128.0.9:8080\"", "\"nowhere\"" },
        { "\"service\":\"huvo\",", "" },
        { "\"huvo\"", "5" },
        { "\"slots\":3", "\"slots\":\"3\"" },
        { "\"slots\":3", "\"slots\":0" },
        { "\"slots\":3", "\"slots\":true" },
        { "\"ready\"", "\"asleep\"" },
        { "\"ready\"", "1" },
        { "1700000000000", "\"yesterday\"" },
        { "\"status\":", "\"condition\":" },
        { "{\"address\"", "[{\"address\"" },
    } };
    for (const row& it : rows) {
        const std::string json = absl::StrReplaceAll(goodUpstream, { { it.from, it.to } });
        INFO(json);
        REQUIRE(json != goodUpstream);
        CHECK_FALSE(decodeUpstream("i-1", json, now).ok());
    }
    CHECK_FALSE(decodeUpstream("i-1", "\xff\xfe", now).ok());
    CHECK_FALSE(decodeUpstream("i-1", "", now).ok());
}

TEST_CASE("a plan is decoded whole", "[decode]")
{
    const auto plan = decodePlan(goodPlan);
    REQUIRE(plan.ok());
    CHECK(plan->version == 7);
    const route_config* split = plan->findRoute("a.example", "/l/1");
    REQUIRE(split);
    CHECK(split->isIdempotent);
    CHECK_FALSE(split->isPublic);
    CHECK(split->maxAttempts == 2);
    CHECK(split->timeout == std::chrono::milliseconds(1500));
    CHECK(split->targetLatency == std::chrono::milliseconds(600));
    REQUIRE(split->parts.size() == 2);
    CHECK(split->parts[1].service == "new");
    CHECK(split->parts[1].weight == 10);
    const route_config* open = plan->findRoute("a.example", "/p/1");
    REQUIRE(open);
    CHECK(open->isPublic);
    CHECK_FALSE(open->isIdempotent);
    REQUIRE(plan->findTeam("k2"));
    CHECK(plan->findTeam("k2")->name == "kaje");
    CHECK(plan->findTeam("k2")->ratePerSecond == 78);
    CHECK(plan->limits.maxBodyBytes == 1000);
    CHECK(plan->limits.idleTimeout == std::chrono::seconds(15));
}

TEST_CASE("a malformed plan is refused with the field that is wrong", "[decode]")
{
    struct row {
        const char* from;
        const char* to;
        const char* named;
    };
    const std::array<row, 5> rows { {
        { "\"version\":7", "\"version\":\"seven\"", "version" },
        { "\"kind\":\"safe\"", "\"kind\":\"perhaps\"", "perhaps" },
        { "\"prefix\":\"/l/\"", "\"prefix\":3", "prefix" },
        { "\"weight\":90", "\"weight\":-1", "weight" },
        { "\"routes\":", "\"ways\":", "routes" },
    } };
    for (const row& it : rows) {
        const std::string json = absl::StrReplaceAll(goodPlan, { { it.from, it.to } });
        INFO(json);
        const auto plan = decodePlan(json);
        REQUIRE_FALSE(plan.ok());
        CHECK(std::string(plan.status().message()).find(it.named) != std::string::npos);
    }
}

} // namespace almondmoor::users_platform
