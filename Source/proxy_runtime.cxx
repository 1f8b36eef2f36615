#include "proxy_runtime.h"

#include "Core/error.h"
#include "logging.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <random>

namespace almondmoor {

namespace {

    constexpr duration startPeriod = std::chrono::seconds(2);

    std::uint64_t drawSeed(std::uint64_t configured)
    {
        return configured ? configured : std::random_device {}();
    }

    // Later starts of a host get greater numbers, by the wall clock.
    std::uint64_t drawIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

} // namespace

proxy_runtime::proxy_runtime(const proxy_settings& settings, wire_names wire)
    : m_settings(settings)
    , m_wire(std::move(wire))
    , m_seed(drawSeed(settings.seed))
    , m_incarnation(drawIncarnation())
    , m_upstreams(settings.connectTimeout, settings.usualIdleLimit)
    , m_startedAt(presentInstant())
    , m_book(upstream_registry_settings {})
    , m_core(settings.dispatch, settings.hostName, settings.dataCentre, settings.regions, m_seed)
{
}

std::shared_ptr<const serving_config> proxy_runtime::plan() const
{
    const std::lock_guard lock(m_planMutex);
    return m_plan;
}

void proxy_runtime::adoptPlan(serving_config next)
{
    const auto adopted = std::make_shared<const serving_config>(std::move(next));
    {
        const std::lock_guard lock(m_planMutex);
        if (m_plan && m_plan->version >= adopted->version)
            return;
        m_plan = adopted;
    }
    withCore([&](dispatch_core& it) { it.applyConfig(*adopted, presentInstant()); });
    m_published.notify_all();
    m_metrics.add(event::ChangesApplied);
    if (m_onLimits)
        m_onLimits(adopted->limits);
    logInfo(absl::StrCat("event=plan version=", adopted->version, " hosts=", adopted->routesByHost.size(), " teams=", adopted->teams.size()));
}

void proxy_runtime::applyUpstreams(const table_update& update, const statement_decoder& decode)
{
    const instant now = presentInstant();
    const std::lock_guard lock(m_feedMutex);
    if (update.wasAway)
        m_book.recordStoreRecovery(now);
    std::vector<std::string> present;
    std::vector<std::string> removed;
    for (const stored_row& row : update.rows) {
        if (row.isRemoved) {
            removed.push_back(row.key);
            logInfo(absl::StrCat("event=upstream-removed upstream=", row.key, " version=", row.version));
            continue;
        }
        present.push_back(row.key);
        const auto statement = decode(row, now);
        if (!statement.ok()) {
            m_metrics.add(event::UpstreamRowsRejected);
            logWarning(absl::StrCat("event=upstream-row-refused upstream=", row.key, " version=", row.version, " error=\"", errorMessage(statement.status()), "\""));
            removed.push_back(row.key);
            continue;
        }
        const directory_entry& entry = statement->entry;
        // A whole reading is one event; single changes are told one by one.
        if (m_book.apply(*statement) && !update.isWhole)
            logInfo(absl::StrCat("event=upstream upstream=", row.key, " version=", row.version, " service=", entry.service, " address=", entry.address, " data_centre=", entry.dataCentre, " leaving=", entry.isLeaving ? "yes" : "no"));
    }
    m_book.removeAll(removed, now);
    if (update.isWhole) {
        m_book.keepOnly(present, now);
        logInfo(absl::StrCat("event=upstreams count=", m_book.directory().size(), " version=", update.version));
    }
    publishDirectory(now);
}

void proxy_runtime::publishDirectory(instant now)
{
    withCore([&](dispatch_core& it) { it.applyDirectory(m_book.directory(), now); });
    {
        const std::lock_guard lock(m_planMutex);
        m_hasDirectory = true;
    }
    m_published.notify_all();
}

void proxy_runtime::adoptRoster(const host_roster& roster)
{
    const auto isNear = [this](const auto& it) { return it.second.dataCentre == m_settings.dataCentre; };
    const auto near = std::count_if(roster.begin(), roster.end(), isNear);
    withCore([&](dispatch_core& it) { it.setFleetSize(static_cast<unsigned>(near), static_cast<unsigned>(roster.size())); });
    logInfo(absl::StrCat("event=roster hosts=", roster.size(), " neighbours=", near));
}

void proxy_runtime::tick()
{
    const instant now = presentInstant();
    {
        const std::lock_guard lock(m_feedMutex);
        if (m_book.expire(now))
            publishDirectory(now);
    }
    const auto idle = withCore([&](dispatch_core& it) {
        it.tick(now);
        return it.takeIdleUpstreams(now);
    });
    for (const idle_upstream& it : idle)
        noteIdle(it);
    if (!idle.empty())
        announce(update_urgency::High);
    m_upstreams.closeIdle();
}

void proxy_runtime::noteIdle(const idle_upstream& it)
{
    m_metrics.add(event::IdleUpstreamsDetected);
    const auto idleMs = std::chrono::duration_cast<std::chrono::milliseconds>(it.idleFor).count();
    logInfo(absl::StrCat("event=upstream-idle upstream=", it.id, " service=", it.service, " idle_ms=", idleMs, " in_flight=", it.inFlight, " avoided=", it.isAvoided ? "yes" : "no",
        absl::StrFormat(" failing=%.2f slowness=%.2f failure_s=%.2f excess_s=%.2f excess_unrepeatable_s=%.2f", it.failingProbability, it.slowness, it.failureLatency, it.idempotentExcessCost, it.otherExcessCost)));
}

void proxy_runtime::announce(update_urgency urgency) const
{
    if (m_announcer)
        m_announcer(urgency);
}

bool proxy_runtime::isStarting() const
{
    return presentInstant() - m_startedAt < startPeriod;
}

std::shared_ptr<const serving_config> proxy_runtime::waitUntilReady(instant deadline)
{
    std::unique_lock lock(m_planMutex);
    const auto left = std::max(duration::zero(), deadline - presentInstant());
    m_published.wait_for(lock, left, [this] { return m_plan && m_hasDirectory; });
    return m_plan;
}

bool proxy_runtime::isReady() const
{
    return m_phase == stop_phase::Running && m_hasDirectory && plan();
}

void proxy_runtime::setPhase(stop_phase phase)
{
    m_phase = phase;
    logInfo(absl::StrCat("event=stop phase=", std::string(nameIn(stopPhaseNames, phase))));
}

} // namespace almondmoor
