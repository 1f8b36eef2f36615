#include "proxy_runtime.h"

#include "Core/error.h"
#include "Core/homes.h"
#include "logging.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string_view>

namespace almondmoor {

namespace {

    constexpr duration startupPeriod = std::chrono::seconds(2);
    constexpr duration startupCheckInterval = std::chrono::milliseconds(20);

    std::uint64_t chooseSeed(std::uint64_t configured)
    {
        return configured ? configured : std::random_device {}();
    }

    // Taken from the wall clock, in milliseconds, so that later starts of a host get higher
    // numbers.
    std::uint64_t newIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

} // namespace

proxy_runtime::proxy_runtime(const proxy_settings& settings, wire_names wire)
    : m_settings(settings)
    , m_wire(std::move(wire))
    , m_seed(chooseSeed(settings.seed))
    , m_incarnation(newIncarnation())
    , m_memory(memory_budget::maxBytesFor(settings.memoryBytes))
    , m_upstreams(settings.connectTimeout, settings.defaultUpstreamIdleTimeout)
    , m_startedAt(presentInstant())
    , m_registry(upstream_registry_settings {})
    , m_core(settings.dispatch, settings.hostName, settings.dataCentre, settings.regions, m_seed)
{
}

std::shared_ptr<const serving_config> proxy_runtime::config() const
{
    const std::lock_guard lock(m_configMutex);
    return m_config;
}

void proxy_runtime::applyConfig(serving_config next)
{
    const auto newConfig = std::make_shared<const serving_config>(std::move(next));
    {
        const std::lock_guard lock(m_configMutex);
        if (m_config && m_config->version >= newConfig->version)
            return;
        m_config = newConfig;
    }
    withCore([&](dispatch_core& it) { it.applyConfig(*newConfig, presentInstant()); });
    m_published.notify_all();
    m_metrics.add(event::ChangesApplied);
    if (m_onLimits)
        m_onLimits(newConfig->limits);
    logRemarks(*newConfig);
    logInfo(absl::StrCat("event=plan version=", newConfig->version, " hosts=", newConfig->routesByHost.size(), " teams=", newConfig->teams.size()));
}

void proxy_runtime::logRemarks(const serving_config& config) const
{
    for (const std::string& remark : config.remarks)
        logWarning(absl::StrCat("event=plan-remark version=", config.version, " detail=\"", remark, "\""));
    std::set<std::string> known;
    for (const auto& [dataCentre, region] : m_settings.regions)
        known.insert(region);
    for (const std::string& region : unknownRegions(config, known))
        logWarning(absl::StrCat("event=plan-remark version=", config.version, " detail=\"no data centre is known in region '", region, "'\""));
}

void proxy_runtime::applyUpstreams(const table_update& update, const upstream_decoder& decode)
{
    const instant now = presentInstant();
    const std::lock_guard lock(m_registryMutex);
    if (update.isFirstAfterOutage)
        m_registry.recordStoreRecovery(now);
    // An update may hold several changes of one row, e.g. its removal and its return. The removals go first, all of them,
    // since their number tells an outage, and then the rows whose last change is not a removal.
    std::map<std::string_view, const stored_row*> lastChanges;
    std::vector<std::string> removed;
    for (const stored_row& row : update.rows) {
        lastChanges[row.key] = &row;
        if (!row.isRemoved)
            continue;
        removed.push_back(row.key);
        logInfo(absl::StrCat("event=upstream-removed upstream=", row.key, " version=", row.version));
    }
    m_registry.removeAll(removed, now);
    std::vector<std::string> present;
    std::vector<std::string> rejected;
    for (const stored_row& row : update.rows) {
        if (row.isRemoved || lastChanges[row.key] != &row)
            continue;
        present.push_back(row.key);
        auto record = decode(row, now);
        if (record.ok())
            record->entry.rowVersion = row.version;
        if (!applyUpstream(row, record, update, now))
            rejected.push_back(row.key);
    }
    m_registry.removeAll(rejected, now);
    if (update.isFullTable) {
        if (update.isRewound)
            m_registry.keepOnlyFromCopy(present, now);
        else
            m_registry.keepOnly(present, now);
        logInfo(absl::StrCat("event=upstreams count=", m_registry.directory().size(), " version=", update.position.version));
    }
    publishDirectory(now);
}

bool proxy_runtime::applyUpstream(const stored_row& row, const absl::StatusOr<upstream_record>& record, const table_update& update, instant now)
{
    if (!record.ok()) {
        m_metrics.add(event::UpstreamRowsRejected);
        logWarning(absl::StrCat("event=upstream-row-refused upstream=", row.key, " version=", row.version, " error=\"", errorMessage(record.status()), "\""));
        return false;
    }
    const directory_entry& entry = record->entry;
    const bool isApplied = update.isRewound ? m_registry.applyFromCopy(*record, now) : m_registry.apply(*record);
    if (isApplied && !update.isFullTable)
        logInfo(absl::StrCat("event=upstream upstream=", row.key, " version=", row.version, " service=", entry.service, " address=", entry.address, " data_centre=", entry.dataCentre, " leaving=", entry.isLeaving ? "yes" : "no"));
    return true;
}

void proxy_runtime::publishDirectory(instant now)
{
    withCore([&](dispatch_core& it) { it.applyDirectory(m_registry.directory(), now); });
    updateEvacuationGauges();
    {
        const std::lock_guard lock(m_configMutex);
        m_hasDirectory = true;
    }
    m_published.notify_all();
}

void proxy_runtime::applyEvacuations(const evacuation_update& update)
{
    const auto events = withCore([&](dispatch_core& it) { return it.applyEvacuations(update, presentInstant()); });
    if (events.empty())
        return;
    updateEvacuationGauges();
    for (const evacuation_event& it : events)
        logEvacuation(it);
}

void proxy_runtime::logEvacuation(const evacuation_event& it) const
{
    const std::string fields = absl::StrCat(" data_centre=", absl::CHexEscape(it.dataCentre), " version=", it.version, " known=", m_settings.regions.count(it.dataCentre) ? "yes" : "no");
    if (!it.isEnded) {
        logInfo(absl::StrCat("event=evacuation-in-force", fields, " upstreams=", m_metrics.value(gauge::UpstreamsEvacuated)));
        return;
    }
    const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(it.age).count();
    logInfo(absl::StrCat("event=evacuation-ended", fields, " age_ms=", ageMs));
}

void proxy_runtime::updateEvacuationGauges()
{
    const auto [dataCentres, upstreams] = withCore([](dispatch_core& it) { return std::pair(it.evacuatedDataCentres(), it.evacuatedUpstreams()); });
    m_metrics.set(gauge::DataCentresEvacuated, dataCentres);
    m_metrics.set(gauge::UpstreamsEvacuated, upstreams);
}

void proxy_runtime::recordAnnouncement(const directory_entry& upstream, const upstream_announcement& announcement, const std::string& requestId)
{
    withCore([&](dispatch_core& it) { it.recordAnnouncement({ upstream.id, upstream.startedAtUnixMs }, announcement, presentInstant()); });
    if (announcement.pause)
        m_metrics.add(event::UpstreamPauses);
    if (!announcement.isLeaving)
        return;
    m_metrics.add(event::UpstreamsAnnouncedLeaving);
    m_upstreams.discard(upstream.address);
    logInfo(absl::StrCat("event=upstream-leaving upstream=", upstream.id, " id=", requestId, " source=answer"));
}

void proxy_runtime::applyMembership(const fleet_membership& membership)
{
    const auto isNeighbour = [this](const auto& it) { return it.second.dataCentre == m_settings.dataCentre; };
    const auto neighbours = std::count_if(membership.begin(), membership.end(), isNeighbour);
    host_map members;
    for (const auto& [name, entry] : membership)
        members[name] = entry.dataCentre;
    withCore([&](dispatch_core& it) {
        it.setFleetSize(static_cast<unsigned>(neighbours), static_cast<unsigned>(membership.size()));
        it.setMembers(members, presentInstant());
    });
    logInfo(absl::StrCat("event=roster hosts=", membership.size(), " neighbours=", neighbours));
}

void proxy_runtime::tick()
{
    const instant now = presentInstant();
    {
        const std::lock_guard lock(m_registryMutex);
        if (m_registry.expire(now))
            publishDirectory(now);
    }
    const auto idle = withCore([&](dispatch_core& it) {
        it.tick(now);
        return it.takeIdleUpstreams(now);
    });
    for (const idle_upstream& it : idle)
        recordIdleUpstream(it);
    recordColdUpstreams(now);
    recordQuarantines(now);
    if (!idle.empty())
        scheduleReport(update_urgency::High);
    m_upstreams.closeIdle();
    m_metrics.set(gauge::MemoryHeldBytes, m_memory.heldBytes());
    m_metrics.set(gauge::MemoryLimitBytes, m_memory.maxBytes());
}

void proxy_runtime::recordColdUpstreams(instant now)
{
    std::vector<cold_change> changes;
    const std::size_t count = withCore([&](dispatch_core& it) {
        changes = it.takeColdChanges();
        return it.coldUpstreams(now);
    });
    m_metrics.setColdUpstreams(count);
    for (const cold_change& it : changes)
        logInfo(absl::StrCat("event=upstream-cold upstream=", it.upstream, " state=", std::string(nameIn(coldStateNames, it.state)), " count=", count));
}

void proxy_runtime::recordQuarantines(instant now)
{
    std::vector<quarantine_change> changes;
    const std::size_t count = withCore([&](dispatch_core& it) {
        changes = it.takeQuarantineChanges();
        return it.quarantinedRequests(now);
    });
    m_metrics.set(gauge::RequestsQuarantined, count);
    for (const quarantine_change& it : changes)
        logInfo(absl::StrCat("event=quarantine fingerprint=", absl::Hex(it.fingerprint), " source=", std::string(nameIn(quarantineSourceNames, it.source)), " age_ms=", wholeMilliseconds(it.age), " count=", count));
}

void proxy_runtime::recordIdleUpstream(const idle_upstream& it)
{
    m_metrics.add(event::IdleUpstreamsDetected);
    const auto idleMs = std::chrono::duration_cast<std::chrono::milliseconds>(it.idleFor).count();
    logInfo(absl::StrCat("event=upstream-idle upstream=", it.id, " service=", it.service, " idle_ms=", idleMs, " in_flight=", it.inFlight, " avoided=", it.isAvoided ? "yes" : "no",
        absl::StrFormat(" failing=%.2f slowness=%.2f failure_s=%.2f excess_s=%.2f excess_unrepeatable_s=%.2f", it.failingProbability, it.slowness, it.failureLatency, it.idempotentExcessCost, it.otherExcessCost)));
}

void proxy_runtime::scheduleReport(update_urgency urgency) const
{
    if (m_reportScheduler)
        m_reportScheduler(urgency);
}

bool proxy_runtime::isStarting() const
{
    return presentInstant() - m_startedAt < startupPeriod;
}

std::shared_ptr<const serving_config> proxy_runtime::waitUntilReady(instant deadline)
{
    // A fiber must not block its thread, so it looks again at short intervals.
    if (fiber_loop* loop = fiber_loop::current()) {
        while (!(m_hasDirectory && config()) && presentInstant() < deadline)
            loop->sleepUntil(std::min(deadline, presentInstant() + startupCheckInterval));
        return config();
    }
    std::unique_lock lock(m_configMutex);
    const auto remaining = std::max(duration::zero(), deadline - presentInstant());
    m_published.wait_for(lock, remaining, [this] { return m_config && m_hasDirectory; });
    return m_config;
}

bool proxy_runtime::isReady() const
{
    return m_phase == stop_phase::Running && m_hasDirectory && config();
}

void proxy_runtime::setPhase(stop_phase phase)
{
    m_phase = phase;
    logInfo(absl::StrCat("event=stop phase=", std::string(nameIn(stopPhaseNames, phase))));
}

} // namespace almondmoor
