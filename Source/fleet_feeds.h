// The feeds by which a proxying host follows three tables of the platform's store: the
// operators' table, the upstreams and the membership of the fleet.
//
// One host of a data centre reads the store for all. It follows the upstreams by long
// polling, reads the other two tables when the store's version shows that another row
// changed, and relays what it read to its neighbours. A host that receives reports from no
// reader reads by itself. A host that cannot reach the store continues with the state that
// it has and with what its neighbours relay.

#pragma once

#include "Core/error.h"
#include "Core/reader_choice.h"
#include "logging.h"
#include "neighbour_link.h"
#include "proxy_runtime.h"
#include "store_reader.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace almondmoor {

// The tables of the platform's store, and the functions that open the store and decode its
// rows.
template <table_store Store>
struct feed_source {
    std::string configTable;
    std::string configKey;
    // A row of configTable whose key is this prefix and the name of a data centre orders its
    // evacuation, whatever its value is. Empty if there are no such rows.
    std::string evacuationKeyPrefix;
    std::string upstreamTable;
    // Each host writes its own row.
    std::string membershipTable;
    std::function<Store()> openStore;
    std::function<absl::StatusOr<serving_config>(const std::string& value)> decodeConfig;
    proxy_runtime::upstream_decoder decodeUpstream;
};

template <table_store Store>
class fleet_feeds {
public:
    fleet_feeds(proxy_runtime& runtime, neighbour_link& link, feed_source<Store> source)
        : m_runtime(runtime)
        , m_link(link)
        , m_source(std::move(source))
        , m_readerChoice(reader_settings {}, runtime.settings().hostName)
        , m_reader(makeFollowers())
        , m_requestSchedule({}, presentInstant(), runtime.seed())
    {
    }

    ~fleet_feeds() { stop(); }

    fleet_feeds(const fleet_feeds&) = delete;
    fleet_feeds& operator=(const fleet_feeds&) = delete;

    void start()
    {
        m_link.setReadingHandlers(
            { [this](const std::string& host, const auto& confirmation) { recordNeighbourReport(host, confirmation); },
                [this](const table_reading& it) { applyReading(it); },
                [this] { return ownConfirmation(); },
                [this](followed_table table, const store_position& known) { return m_reader[table].fullTable(known); },
                [this](instant now) {
                    updateConfirmationAge(now);
                    requestTables(now);
                } });
        m_thread = std::thread([this] { run(); });
    }

    // Stops the thread after its current call to the store. The caller must stop the link
    // first, because the link calls the feeds.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_wake.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    using follower = table_follower<Store>;

    // Changes of upstreams come in bursts, so one read can cover several. The interval is
    // short because hosts must stop using an upstream within seconds after it announced
    // that it is leaving.
    static constexpr duration upstreamReadInterval = std::chrono::milliseconds(700);
    // Neighbours relay changes within this time; a change that is still missing afterwards
    // was lost.
    static constexpr duration relayTimeout = std::chrono::milliseconds(60);
    // Minimum time between two attempts to reach the store while a neighbour reaches it.
    static constexpr duration retryIntervalWithOtherReader = std::chrono::seconds(2);
    static constexpr duration maxWait = std::chrono::seconds(1);
    static constexpr duration retryDelay = std::chrono::milliseconds(200);
    // Time after the first reads within which the neighbours' first reports arrive.
    static constexpr duration initialWait = std::chrono::milliseconds(600);

    typename store_reader<Store>::follower_array makeFollowers()
    {
        // Indexed by followed_table.
        return { makeFollower(followed_table::ServingConfig, { .table = m_source.configTable }, [this](const table_update& it) { applyOperatorRows(it); }),
            makeFollower(followed_table::Upstreams, { .table = m_source.upstreamTable, .delayAfterChanges = upstreamReadInterval }, [this](const table_update& it) { m_runtime.applyUpstreams(it, m_source.decodeUpstream); }),
            makeFollower(followed_table::Membership, { .table = m_source.membershipTable }, [this](const table_update& it) { applyMembershipRows(it); }) };
    }

    std::unique_ptr<follower> makeFollower(followed_table table, follower_settings settings, std::function<void(const table_update&)> updated)
    {
        const std::string name = settings.table;
        follower_events events;
        events.onUpdate = [this, table, updated = std::move(updated)](const table_update& update) {
            if (update.isRewound)
                recordRewind(table, update);
            updated(update);
        };
        events.onChangesRead = [this, table](const table_update& update) { m_link.relayReading({ table, update }); };
        events.onStoreLost = [this, name](store_result result, const absl::Status& error) {
            m_runtime.counters().add(event::StoreReadFailures);
            logWarning(absl::StrCat("event=store-lost table=", name, " end=", std::string(nameIn(storeResultNames, result)), " error=\"", errorMessage(error), "\""));
        };
        events.onStoreRegained = [name] { logInfo(absl::StrCat("event=store-regained table=", name)); };
        const std::uint64_t seed = m_runtime.seed() + static_cast<std::uint64_t>(table);
        return std::make_unique<follower>(m_source.openStore(), std::move(settings), std::move(events), seed);
    }

    // Tells operators that the store came back from an older copy, and in how many rows.
    void recordRewind(followed_table table, const table_update& update)
    {
        m_runtime.counters().set(gauge::StoreEra, update.position.era);
        logWarning(absl::StrCat("event=store-rewound table=", std::string(nameIn(followedTableNames, table)), positionFields(update.position), " rows=", update.rows.size()));
        // A host that does not read the store may have to write its entry again.
        if (table == followed_table::Membership)
            wakeUp();
    }

    void run()
    {
        readAllTables();
        duration delay = initialWait;
        while (waitForUpdates(delay))
            delay = runOnce();
    }

    // Reads all tables once, and makes this host known to the others.
    void readAllTables()
    {
        m_reader.readAtStart();
        if (m_mustWriteOwnEntry)
            writeOwnEntry();
        // Hosts that join at the same time may miss each other's entries. The reader finds
        // these with its first read.
        withReaderChoice([](reader_choice& it) { it.setFirstReadAt(presentInstant() + initialWait); });
    }

    void applyReading(const table_reading& reading)
    {
        if (!m_reader[reading.table].applyNeighbourUpdate(reading.update))
            return;
        logInfo(absl::StrCat("event=table-relayed table=", std::string(nameIn(followedTableNames, reading.table)), " full=", reading.update.isFullTable ? "yes" : "no",
            " after=", reading.update.after.version, positionFields(reading.update.position)));
        if (reading.isForDataCentre)
            m_link.relayReading({ reading.table, reading.update });
    }

    // Asks other hosts for tables that neither the store nor a neighbour that reads it provides.
    void requestTables(instant now)
    {
        const table_positions positions = m_reader.knownPositions();
        const bool lacksTable = std::any_of(positions.begin(), positions.end(), [](const store_position& it) { return it.version == 0; });
        const table_request_schedule::knowledge known { lacksTable, m_lastConfirmedAt, m_runtime.withCore([](dispatch_core& it) { return it.knownNeighbours(); }) };
        const table_source source = m_requestSchedule.next(known, now);
        if (source == table_source::None)
            return;
        // A host that starts may know only neighbours, from their reports, or only hosts of other data centres.
        if (!m_link.requestTables(source, positions))
            m_link.requestTables(source == table_source::Neighbour ? table_source::OtherDataCentre : table_source::Neighbour, positions);
    }

    // Updates the gauge and logs when this host begins and ceases to rely on tables that no reader confirms.
    void updateConfirmationAge(instant now)
    {
        const auto neighbour = withReaderChoice([now](reader_choice& it) { return it.latestReader(now); });
        const auto own = ownConfirmation();
        if (own || neighbour)
            m_lastConfirmedAt = std::max({ m_lastConfirmedAt, own ? own->respondedAt : distantPast, neighbour ? neighbour->confirmation.respondedAt : distantPast });
        const auto ageMs = m_lastConfirmedAt == distantPast ? 0 : wholeMilliseconds(now - m_lastConfirmedAt);
        m_runtime.counters().set(gauge::StoreConfirmationAgeMs, static_cast<std::uint64_t>(ageMs));
        const bool isConfirmed = own || neighbour;
        if (isConfirmed == m_isConfirmed || m_lastConfirmedAt == distantPast)
            return;
        m_isConfirmed = isConfirmed;
        logInfo(absl::StrCat("event=store-confirmation state=", isConfirmed ? "fresh" : "expired", " age_ms=", ageMs));
    }

    // Waits for the given time or until a neighbour reports an update. Returns false when
    // the feeds must stop.
    bool waitForUpdates(duration wait)
    {
        std::unique_lock lock(m_mutex);
        m_wake.wait_for(lock, wait, [this] { return m_isStopping || m_hasUpdates; });
        m_hasUpdates = false;
        return !m_isStopping;
    }

    // Reads the store if this host is the reader; otherwise reads what the neighbours failed
    // to relay. Returns the time to wait before the next call.
    duration runOnce()
    {
        if (m_mustWriteOwnEntry)
            writeOwnEntry();
        const instant now = presentInstant();
        const auto neighbour = withReaderChoice([&](reader_choice& it) {
            it.setCandidate(m_runtime.phase() == stop_phase::Running);
            return it.latestReader(now);
        });
        const bool isReader = withReaderChoice([now](reader_choice& it) { return it.shouldRead(now); });
        recordReaderRole(isReader, neighbour);
        // After a failed read, this host retries less often while a neighbour reaches the
        // store.
        const bool isRetryDelayed = neighbour && now < m_retryAt;
        if (isReader && !isRetryDelayed)
            return readStore(neighbour.has_value());
        const duration delay = neighbour ? readMissingChanges(*neighbour) : maxWait;
        instant readAt = withReaderChoice([now](reader_choice& it) { return it.nextReadAt(now); });
        // The retry is delayed only while a neighbour reads.
        if (isRetryDelayed)
            readAt = std::max(readAt, std::min(m_retryAt, withReaderChoice([&](reader_choice& it) { return it.expiryOf(neighbour->confirmation); })));
        return std::clamp<duration>(std::min(delay, readAt - now), std::chrono::milliseconds(1), maxWait);
    }

    void recordReaderRole(bool isReader, const std::optional<reader_choice::reading_neighbour>& neighbour)
    {
        if (isReader == m_isReader)
            return;
        m_isReader = isReader;
        const auto age = neighbour ? std::chrono::duration_cast<std::chrono::milliseconds>(presentInstant() - neighbour->confirmation.respondedAt).count() : -1;
        logInfo(absl::StrCat("event=reader reads=", isReader ? "yes" : "no", " neighbour_confirmed_ms_ago=", age));
    }

    // Reads the store as the reader of this data centre. Returns the time to wait before the
    // next read.
    duration readStore(bool hasOtherReader)
    {
        const duration wait = withReaderChoice([this](reader_choice& it) { return it.allowedWait(m_readDelay, presentInstant()); });
        const store_reading reading = wait > duration::zero() ? m_reader.poll(wait) : m_reader.readInTurn();
        m_readDelay = reading.delay;
        if (!reading.succeeded) {
            withReaderChoice([](reader_choice& it) { it.recordOwnFailure(); });
            m_retryAt = presentInstant() + retryIntervalWithOtherReader;
            return hasOtherReader ? retryDelay : reading.delay;
        }
        withReaderChoice([&](reader_choice& it) { it.recordOwnConfirmation(reading.respondedAt); });
        m_link.scheduleReport(update_urgency::High);
        return reading.delay;
    }

    // Gets the tables whose latest changes a neighbour knows and this host does not. After
    // relayTimeout without these changes it asks that neighbour for the tables, and after
    // another relayTimeout it reads the store. Returns the time to wait before the next
    // check.
    duration readMissingChanges(const reader_choice::reading_neighbour& neighbour)
    {
        const instant now = presentInstant();
        std::vector<followed_table> behind;
        for (const auto& [table, name] : followedTableNames) {
            if (m_reader[table].isBehind(neighbour.confirmation.lastChanges[static_cast<std::size_t>(table)]))
                behind.push_back(table);
        }
        if (behind.empty()) {
            m_catchUp = {};
            return maxWait;
        }
        if (m_catchUp.waitingSince == distantPast)
            m_catchUp.waitingSince = now;
        if (now - m_catchUp.waitingSince < relayTimeout)
            return m_catchUp.waitingSince + relayTimeout - now;
        if (!m_catchUp.hasAskedNeighbour) {
            for (const followed_table table : behind)
                m_link.requestTable(neighbour.host, table);
            m_catchUp = { now, true };
            return relayTimeout;
        }
        m_catchUp = {};
        duration delay {};
        for (const followed_table table : behind)
            delay = std::max(delay, m_reader.read(table, duration::zero()).delay);
        return delay;
    }

    void recordNeighbourReport(const std::string& host, const std::optional<store_confirmation>& confirmation)
    {
        const instant now = presentInstant();
        const bool isUpdate = withReaderChoice([&](reader_choice& it) {
            const auto before = it.latestReader(now);
            it.recordNeighbour(host, confirmation, now);
            const auto after = it.latestReader(now);
            return before.has_value() != after.has_value() || (after && after->confirmation.lastChanges != before->confirmation.lastChanges);
        });
        if (!isUpdate)
            return;
        wakeUp();
    }

    // Ends waitForUpdates().
    void wakeUp()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_hasUpdates = true;
        }
        m_wake.notify_all();
    }

    std::optional<store_confirmation> ownConfirmation()
    {
        const auto confirmedAt = withReaderChoice([](reader_choice& it) { return it.ownConfirmation(presentInstant()); });
        if (m_runtime.phase() != stop_phase::Running || !confirmedAt)
            return std::nullopt;
        return store_confirmation { *confirmedAt, m_reader.lastChanges() };
    }

    template <typename Function>
    auto withReaderChoice(Function&& function)
    {
        const std::lock_guard lock(m_readerChoiceMutex);
        return function(m_readerChoice);
    }

    // The evacuations are applied first: a host that starts must not serve a request before it
    // knows them.
    void applyOperatorRows(const table_update& update)
    {
        applyEvacuationRows(update);
        applyConfigRows(update);
    }

    void applyEvacuationRows(const table_update& update)
    {
        const std::string& prefix = m_source.evacuationKeyPrefix;
        if (prefix.empty())
            return;
        // The copy from which a store came back may lack an order that stands. The operators write it again.
        evacuation_update evacuations { update.isFullTable && !update.isRewound, {} };
        for (const stored_row& row : update.rows) {
            if (row.key.size() > prefix.size() && row.key.compare(0, prefix.size(), prefix) == 0)
                evacuations.changes.push_back({ row.key.substr(prefix.size()), row.version, row.isRemoved });
        }
        if (evacuations.isFullTable || !evacuations.changes.empty())
            m_runtime.applyEvacuations(evacuations);
    }

    void applyConfigRows(const table_update& update)
    {
        for (const stored_row& row : update.rows) {
            if (row.key != m_source.configKey || row.isRemoved)
                continue;
            auto config = m_source.decodeConfig(row.value);
            if (config.ok()) {
                m_runtime.applyConfig(*std::move(config));
                continue;
            }
            m_runtime.counters().add(event::ServingConfigsRejected);
            logError(absl::StrCat("event=plan-refused version=", row.version, " error=\"", errorMessage(config.status()), "\""));
        }
    }

    membership_entry ownEntry() const { return { m_runtime.settings().peerAddress, m_runtime.settings().dataCentre }; }

    void applyMembershipRows(const table_update& update)
    {
        // The copy from which a store came back may lack members, which write their rows again.
        if (update.isFullTable && !update.isRewound)
            m_membership.clear();
        for (const stored_row& row : update.rows) {
            const auto entry = row.isRemoved ? std::nullopt : decodeMembershipEntry(row.value);
            if (entry)
                m_membership[row.key] = *entry;
            else
                m_membership.erase(row.key);
        }
        const std::string& own = m_runtime.settings().hostName;
        const auto ownRow = std::find_if(update.rows.rbegin(), update.rows.rend(), [&own](const stored_row& row) { return row.key == own; });
        const bool hasOwnRow = ownRow != update.rows.rend();
        if (hasOwnRow)
            m_mustWriteOwnEntry = ownRow->isRemoved || decodeMembershipEntry(ownRow->value) != ownEntry();
        else if (update.isFullTable)
            m_mustWriteOwnEntry = true;
        m_membership[own] = ownEntry();
        m_runtime.applyMembership(m_membership);
        m_link.applyMembership(m_membership);
    }

    void writeOwnEntry()
    {
        const auto written = m_source.openStore().writeRow(m_source.membershipTable, m_runtime.settings().hostName, encodeMembershipEntry(ownEntry()));
        m_mustWriteOwnEntry = written.result != store_result::Done;
        if (m_mustWriteOwnEntry)
            logWarning(absl::StrCat("event=roster-write-failed end=", std::string(nameIn(storeResultNames, written.result)), " error=\"", errorMessage(written.error), "\""));
    }

    proxy_runtime& m_runtime;
    neighbour_link& m_link;
    feed_source<Store> m_source;
    std::mutex m_readerChoiceMutex;
    reader_choice m_readerChoice;
    store_reader<Store> m_reader;
    // Guarded by the mutex of the membership's follower, which is held during its events.
    fleet_membership m_membership;
    std::atomic<bool> m_mustWriteOwnEntry { false };
    // How far this host got with changes that it lacks and a neighbour knows.
    struct catch_up {
        // When it began to wait for the present step.
        instant waitingSince = distantPast;
        bool hasAskedNeighbour = false;
    };

    // Only m_thread uses the following four members.
    bool m_isReader = false;
    duration m_readDelay {};
    instant m_retryAt = distantPast;
    catch_up m_catchUp;
    // Only the link's thread uses these three.
    table_request_schedule m_requestSchedule;
    instant m_lastConfirmedAt = distantPast;
    bool m_isConfirmed = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_hasUpdates = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace almondmoor
