// Tests that reports between hosts keep their content, also from an older sender.

#include "neighbour.pb.h"
#include "neighbour_codec.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <variant>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr instant begin { std::chrono::hours(1) };

    neighbour_report reportWithSample(std::optional<double> relativeLatency)
    {
        neighbour_report report;
        report.host = "h1";
        report.incarnation = 1;
        report.sequence = 1;
        report.samples.push_back({ "u1", attempt_result::Good, 300ms, 0, relativeLatency });
        report.outcomes["orders"] = { 20, 3 };
        return report;
    }

    neighbour_report passedOn(const neighbour_report& report)
    {
        const auto datagram = decodeDatagram(encodeReport(report, begin), begin);
        REQUIRE(datagram);
        return std::get<neighbour_report>(*datagram);
    }

} // namespace

TEST_CASE("a report keeps lost requests and relative latencies", "[codec]")
{
    const neighbour_report report = passedOn(reportWithSample(2.5));
    CHECK(report.outcomes == std::map<std::string, service_outcomes> { { "orders", { 20, 3 } } });
    REQUIRE(report.samples.size() == 1);
    CHECK(report.samples[0].latency == 300ms);
    CHECK(report.samples[0].relativeLatency == 2.5);
}

TEST_CASE("the relative latency of an older sender is unknown, and extreme ones are bounded", "[codec]")
{
    CHECK_FALSE(passedOn(reportWithSample(std::nullopt)).samples[0].relativeLatency);
    CHECK(passedOn(reportWithSample(0.0)).samples[0].relativeLatency == 0.01);
    CHECK(passedOn(reportWithSample(1e12)).samples[0].relativeLatency == 10'000.0);
}

TEST_CASE("a quarantined request keeps its age, which an older sender does not tell", "[codec]")
{
    neighbour_report sent;
    sent.host = "h1";
    sent.quarantined = { { 77, begin - 41s }, { 78, begin } };
    constexpr duration clockDifference = 5min;
    const auto datagram = decodeDatagram(encodeReport(sent, begin), begin + clockDifference);
    REQUIRE(datagram);
    const auto& received = std::get<neighbour_report>(*datagram);
    CHECK(received.quarantined == std::vector<quarantined_request> { { 77, begin + clockDifference - 41s }, { 78, begin + clockDifference } });

    wire::Datagram older;
    older.mutable_report()->set_host("h1");
    older.mutable_report()->add_quarantined(77);
    const auto olderDatagram = decodeDatagram(older.SerializeAsString(), begin);
    REQUIRE(olderDatagram);
    CHECK(std::get<neighbour_report>(*olderDatagram).quarantined == std::vector<quarantined_request> { { 77, begin } });
}

TEST_CASE("a request for a table and the reading that answers it keep their content", "[codec]")
{
    const auto request = decodeDatagram(encodeRequest({ followed_table::Upstreams, "127.0.0.1:1", { 3, 17 } }), begin);
    REQUIRE(request);
    CHECK(std::get<table_request>(*request).table == followed_table::Upstreams);
    CHECK(std::get<table_request>(*request).address == "127.0.0.1:1");
    CHECK(std::get<table_request>(*request).known == store_position { 3, 17 });
    for (const bool isForDataCentre : { false, true }) {
        table_reading sent { followed_table::ServingConfig, { true, false, { { "plan", "2", 21, false } }, { 3, 0 }, { 3, 22 } }, isForDataCentre };
        const auto datagram = decodeDatagram(encodeReading(sent), begin);
        REQUIRE(datagram);
        const auto& reading = std::get<table_reading>(*datagram);
        CHECK(reading.isForDataCentre == isForDataCentre);
        CHECK(reading.update.isFullTable);
        CHECK(reading.update.position == store_position { 3, 22 });
        REQUIRE(reading.update.rows.size() == 1);
        CHECK(reading.update.rows[0].value == "2");
    }
}

} // namespace almondmoor
