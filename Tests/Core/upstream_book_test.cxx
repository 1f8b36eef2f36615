// The directory of upstreams under late, lapsed and repeated rows.

#include "Core/upstream_book.h"

#include <catch2/catch.hpp>

namespace almondmoor {

namespace {

    upstream_statement statement(const std::string& id, std::int64_t startedAt, bool isLeaving = false)
    {
        upstream_statement it;
        it.entry.id = id;
        it.entry.address = "10.0.0.1:" + std::to_string(8000 + startedAt);
        it.entry.service = "orders";
        it.entry.isLeaving = isLeaving;
        it.startedAtUnixMs = startedAt;
        return it;
    }

    constexpr instant begin { std::chrono::hours(1) };

} // namespace

TEST_CASE("a statement of an earlier start is dropped", "[book]")
{
    upstream_book book(book_settings {});
    CHECK(book.state(statement("u", 5)));
    CHECK_FALSE(book.state(statement("u", 4, true)));
    CHECK(book.directory().at("u").address == "10.0.0.1:8005");
    CHECK_FALSE(book.directory().at("u").isLeaving);
    CHECK(book.state(statement("u", 6)));
    CHECK(book.directory().at("u").address == "10.0.0.1:8006");
}

TEST_CASE("a row that is removed in calm is gone at once", "[book]")
{
    upstream_book book(book_settings {});
    book.state(statement("u", 1));
    CHECK(book.removeAll({ "u" }, begin));
    CHECK(book.directory().empty());
}

TEST_CASE("rows that lapsed while the store was away stay for a grace", "[book]")
{
    const book_settings settings;
    upstream_book book(settings);
    book.state(statement("back", 1));
    book.state(statement("gone", 1));
    book.state(statement("leaving", 1, true));
    book.noteStoreBack(begin);
    CHECK(book.keepOnly({}, begin + std::chrono::milliseconds(1)));
    // One that was leaving has left; the others may have lapsed.
    CHECK(book.directory().size() == 2);
    book.state(statement("back", 1));
    CHECK_FALSE(book.expire(begin + settings.lapseGrace / 2));
    CHECK(book.expire(begin + settings.lapseGrace));
    CHECK(book.directory().count("back") == 1);
    CHECK(book.directory().count("gone") == 0);
}

TEST_CASE("upstreams that left while a host was cut off are gone as soon as it learns of it", "[book]")
{
    upstream_book book(book_settings {});
    for (int index = 0; index < 12; ++index)
        book.state(statement("u" + std::to_string(index), 1));
    book.noteStoreBack(begin);
    CHECK(book.removeAll({ "u0", "u1" }, begin));
    CHECK(book.directory().size() == 10);
    CHECK(book.directory().count("u0") == 0);
}

} // namespace almondmoor
