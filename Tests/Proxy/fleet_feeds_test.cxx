// Several hosts' feeds and links in one process, before a store in memory whose
// faults differ from host to host.

#include "Serve/host_fixture.h"
#include "fleet_feeds.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr auto pollInterval = 10ms;
    constexpr duration patience = 15s;
    constexpr duration callTimeout = 500ms;

    // Rows of all tables under one version, as the platform's store keeps them.
    class shared_rows {
    public:
        void write(const std::string& table, const std::string& key, const std::string& value, bool isRemoved = false)
        {
            const std::lock_guard lock(m_mutex);
            m_rows[{ table, key }] = { key, value, ++m_version, isRemoved };
            m_changed.notify_all();
        }

        store_response read(const std::string& table, std::uint64_t after, duration wait)
        {
            std::unique_lock lock(m_mutex);
            store_response reading { store_result::Done, {}, 0, absl::OkStatus() };
            m_changed.wait_for(lock, wait, [&] {
                reading.rows = changed(table, after);
                return !reading.rows.empty();
            });
            reading.version = m_version;
            return reading;
        }

        void countCall(unsigned host)
        {
            const std::lock_guard lock(m_mutex);
            ++m_calls[host];
        }
        unsigned calls(unsigned host)
        {
            const std::lock_guard lock(m_mutex);
            return m_calls[host];
        }

        // Calls of a silenced host get no answer until their timeout.
        void silence(unsigned host)
        {
            const std::lock_guard lock(m_mutex);
            m_silenced.insert(host);
        }
        bool isSilenced(unsigned host)
        {
            const std::lock_guard lock(m_mutex);
            return m_silenced.count(host) > 0;
        }

    private:
        std::vector<stored_row> changed(const std::string& table, std::uint64_t after) const
        {
            std::vector<stored_row> rows;
            for (const auto& [place, row] : m_rows) {
                if (place.first == table && row.version > after)
                    rows.push_back(row);
            }
            return rows;
        }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::map<std::pair<std::string, std::string>, stored_row> m_rows;
        std::map<unsigned, unsigned> m_calls;
        std::set<unsigned> m_silenced;
        std::uint64_t m_version = 0;
    };

    // One host's way to the store.
    struct host_store {
        std::shared_ptr<shared_rows> rows;
        unsigned host = 0;

        store_response readTable(const std::string& table) { return readChanges(table, 0, duration::zero()); }
        store_response readChanges(const std::string& table, std::uint64_t after, duration wait)
        {
            rows->countCall(host);
            if (!rows->isSilenced(host))
                return rows->read(table, after, wait);
            std::this_thread::sleep_for(callTimeout);
            return { store_result::Unknown, {}, 0, absl::DeadlineExceededError("silent") };
        }
        store_response writeRow(const std::string& table, const std::string& key, const std::string& value)
        {
            rows->countCall(host);
            rows->write(table, key, value);
            return { store_result::Done, {}, 0, absl::OkStatus() };
        }
    };

    // One host: its runtime, link and feeds.
    struct feeding_host {
        feeding_host(const proxy_settings& settings, const std::shared_ptr<shared_rows>& rows, unsigned index)
            : runtime(settings, wire_names {})
            , link(runtime)
            , feeds(runtime, link, sourceOf(rows, index))
        {
            runtime.setAnnouncer([this](update_urgency urgency) { link.announce(urgency); });
            link.start();
            feeds.start();
        }

        // The link calls the feeds, so it ends first.
        ~feeding_host() { link.stop(); }

        feeding_host(const feeding_host&) = delete;
        feeding_host& operator=(const feeding_host&) = delete;

        static feed_source<host_store> sourceOf(const std::shared_ptr<shared_rows>& rows, unsigned index)
        {
            feed_source<host_store> source;
            source.planTable = "plans";
            source.planKey = "plan";
            source.upstreamTable = "upstreams";
            source.rosterTable = "roster";
            source.open = [rows, index] { return host_store { rows, index }; };
            source.decodePlan = [](const std::string& value) -> absl::StatusOr<serving_config> {
                serving_config plan;
                plan.version = std::stoull(value);
                return plan;
            };
            source.decodeUpstream = [](const stored_row& row, instant) -> absl::StatusOr<upstream_record> {
                upstream_record statement;
                statement.entry = { row.key, "127.0.0.1:1", "orders", "z1", 3, row.value == "leaving" };
                return statement;
            };
            return source;
        }

        bool uses(const std::string& upstream)
        {
            return runtime.withCore([&](dispatch_core& it) { return it.acceptsNewRequests(upstream); });
        }
        std::uint64_t planVersion() const { return runtime.plan() ? runtime.plan()->version : 0; }

        proxy_runtime runtime;
        neighbour_link link;
        fleet_feeds<host_store> feeds;
    };

    class feeding_fleet {
    public:
        explicit feeding_fleet(unsigned hosts)
        {
            rows->write("plans", "plan", "1");
            rows->write("upstreams", "u0", "ready");
            for (unsigned index = 0; index < hosts; ++index) {
                proxy_settings settings;
                settings.hostName = absl::StrCat("h", index);
                settings.dataCentre = "z1";
                settings.peerAddress = localAddress(index);
                settings.seed = index + 1;
                m_hosts.push_back(std::make_unique<feeding_host>(settings, rows, index));
            }
        }

        template <typename Condition>
        bool allHold(Condition condition)
        {
            return holds([&] { return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto& it) { return condition(*it); }); });
        }

        // Waits until just one host calls the store, and returns it.
        std::optional<unsigned> onlyReader()
        {
            std::optional<unsigned> reader;
            holds([&] {
                std::vector<unsigned> before;
                for (unsigned index = 0; index < m_hosts.size(); ++index)
                    before.push_back(rows->calls(index));
                std::vector<unsigned> callers;
                // Three calls of one host are three seconds without one of another.
                holds([&] {
                    callers.clear();
                    bool isLong = false;
                    for (unsigned index = 0; index < m_hosts.size(); ++index) {
                        const unsigned calls = rows->calls(index) - before[index];
                        if (calls > 0)
                            callers.push_back(index);
                        isLong = isLong || calls >= 3;
                    }
                    return isLong;
                });
                if (callers.size() == 1)
                    reader = callers[0];
                return reader.has_value();
            });
            return reader;
        }

        std::shared_ptr<shared_rows> rows = std::make_shared<shared_rows>();

    private:
        template <typename Condition>
        static bool holds(Condition condition)
        {
            const instant deadline = presentInstant() + patience;
            while (presentInstant() < deadline) {
                if (condition())
                    return true;
                std::this_thread::sleep_for(pollInterval);
            }
            return false;
        }

        std::vector<std::unique_ptr<feeding_host>> m_hosts;
    };

} // namespace

TEST_CASE("hosts of a data centre follow all tables by one reader", "[feeds]")
{
    feeding_fleet fleet(5);
    REQUIRE(fleet.allHold([](feeding_host& it) { return it.planVersion() == 1 && it.uses("u0"); }));
    REQUIRE(fleet.onlyReader());
    fleet.rows->write("upstreams", "u1", "ready");
    fleet.rows->write("plans", "plan", "2");
    CHECK(fleet.allHold([](feeding_host& it) { return it.planVersion() == 2 && it.uses("u1"); }));
    fleet.rows->write("upstreams", "u0", "leaving");
    fleet.rows->write("upstreams", "u1", "", true);
    CHECK(fleet.allHold([](feeding_host& it) { return !it.uses("u0") && !it.uses("u1"); }));
}

TEST_CASE("hosts follow on when their reader's calls get no answer, and so does that host", "[feeds]")
{
    feeding_fleet fleet(3);
    REQUIRE(fleet.allHold([](feeding_host& it) { return it.planVersion() == 1 && it.uses("u0"); }));
    const auto reader = fleet.onlyReader();
    REQUIRE(reader);
    fleet.rows->silence(*reader);
    fleet.rows->write("upstreams", "u1", "ready");
    fleet.rows->write("plans", "plan", "2");
    CHECK(fleet.allHold([](feeding_host& it) { return it.planVersion() == 2 && it.uses("u1"); }));
}

} // namespace almondmoor
