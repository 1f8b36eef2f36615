// Tests how changes of the upstreams' table, read from the store, reach the directory that requests use.

#include "Proxy/proxy_fixture.h"

#include <absl/strings/str_cat.h>
#include <deque>
#include <string>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned upstreamCount = 4;
    // Longer than the time for which entries that lapsed during an outage are kept.
    constexpr duration gracePeriod = 2200ms;

    enum class change_kind {
        Written,
        Removed
    };

    // One change of the table, in the order of the versions.
    struct row_change {
        unsigned upstream;
        change_kind kind;
    };

    constexpr change_kind written = change_kind::Written;
    constexpr change_kind gone = change_kind::Removed;

    // A host that follows the table without a store.
    class followed_directory {
    public:
        followed_directory()
            : m_runtime(proxy_settings {}, wire_names {})
        {
            apply({ { 0, written }, { 1, written }, { 2, written }, { 3, written } }, true, false);
        }

        void apply(const std::vector<row_change>& changes, bool isFullTable, bool isFirstAfterOutage)
        {
            table_update update;
            update.isFullTable = isFullTable;
            update.isFirstAfterOutage = isFirstAfterOutage;
            for (const row_change& it : changes)
                update.rows.push_back({ absl::StrCat("u", it.upstream), "", ++m_version, it.kind == change_kind::Removed });
            update.position.version = m_version;
            m_runtime.applyUpstreams(update, [](const stored_row& row, instant) -> absl::StatusOr<upstream_record> {
                upstream_record record;
                record.entry = { row.key, "127.0.0.1:1", "orders", "z1", 3, false };
                return record;
            });
        }

        // Returns the numbers of the upstreams that get requests.
        std::vector<unsigned> usedUpstreams()
        {
            m_runtime.tick();
            std::vector<unsigned> used;
            for (unsigned upstream = 0; upstream < upstreamCount; ++upstream) {
                if (m_runtime.withCore([&](dispatch_core& core) { return core.acceptsNewRequests(absl::StrCat("u", upstream), {}, presentInstant()); }))
                    used.push_back(upstream);
            }
            return used;
        }

    private:
        proxy_runtime m_runtime;
        std::uint64_t m_version = 0;
    };

    using upstream_list = std::vector<unsigned>;

    const upstream_list allUpstreams { 0, 1, 2, 3 };

} // namespace

// Guards against upstreams that lapsed while the store was away, came back before a host read both changes in one update,
// and were forgotten two seconds later.
TEST_CASE("the last change of an upstream in an update counts", "[directory]")
{
    struct row {
        const char* name;
        bool isFirstAfterOutage;
        std::vector<row_change> changes;
        upstream_list usedAtOnce;
        upstream_list usedLater;
    };
    const std::vector<row> rows {
        { "all lapse and are back after an outage", true, { { 0, gone }, { 1, gone }, { 2, gone }, { 3, gone }, { 0, written }, { 1, written }, { 2, written }, { 3, written } }, allUpstreams, allUpstreams },
        { "all lapse and one is not back yet", true, { { 0, gone }, { 1, gone }, { 2, gone }, { 3, gone }, { 0, written }, { 1, written }, { 2, written } }, allUpstreams, { 0, 1, 2 } },
        { "all lapse and none is back yet", true, { { 0, gone }, { 1, gone }, { 2, gone }, { 3, gone } }, allUpstreams, {} },
        { "one is removed and written without an outage", false, { { 1, gone }, { 1, written } }, allUpstreams, allUpstreams },
        { "one is written and removed", false, { { 1, written }, { 1, gone } }, { 0, 2, 3 }, { 0, 2, 3 } },
        { "one is removed", false, { { 1, gone } }, { 0, 2, 3 }, { 0, 2, 3 } },
    };
    std::deque<followed_directory> directories(rows.size());
    const instant begin = presentInstant();
    for (std::size_t index = 0; index < rows.size(); ++index) {
        INFO(rows[index].name);
        directories[index].apply(rows[index].changes, false, rows[index].isFirstAfterOutage);
        CHECK(directories[index].usedUpstreams() == rows[index].usedAtOnce);
    }
    while (presentInstant() < begin + gracePeriod)
        std::this_thread::yield();
    for (std::size_t index = 0; index < rows.size(); ++index) {
        INFO(rows[index].name);
        CHECK(directories[index].usedUpstreams() == rows[index].usedLater);
    }
}

} // namespace almondmoor
