#include "Core/gray_router.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace almondmoor {

namespace {

    constexpr unsigned tierCount = 3;

    unsigned tierOf(const std::string& own, const std::string& other)
    {
        if (own == other)
            return 0;
        return regionOf(own) == regionOf(other) ? 1 : 2;
    }

} // namespace

std::string regionOf(const std::string& dataCentre)
{
    return dataCentre.substr(0, dataCentre.rfind('-'));
}

void gray_router::applyConfiguration(const configuration& newConfiguration, instant now)
{
    m_health.applyConfiguration(newConfiguration, now);
    m_upstreamsByService.clear();
    std::erase_if(m_loads, [&newConfiguration](const auto& entry) { return !newConfiguration.upstreams().count(entry.first) && entry.second.inFlight == 0; });
    for (const auto& [address, row] : newConfiguration.upstreams()) {
        const auto [entry, isNew] = m_loads.try_emplace(address);
        if (isNew)
            entry->second.limit = row.slots;
        entry->second.tier = m_settings.preferNear ? tierOf(m_dataCentre, row.dataCentre) : 0;
        m_upstreamsByService[row.service].push_back(address);
    }
}

bool gray_router::hasUpstream(const std::string& service) const
{
    const auto found = m_upstreamsByService.find(service);
    return found != m_upstreamsByService.end() && std::any_of(found->second.begin(), found->second.end(), [this](const auto& upstream) { return acceptsNewRequests(upstream); });
}

bool gray_router::acceptsNewRequests(const std::string& upstream) const
{
    const upstream_health_row* row = m_health.find(upstream);
    return row && row->duty == upstream_duty::Serving && row->state != upstream_state::Ejected;
}

bool gray_router::isEjected(const std::string& upstream) const
{
    const upstream_health_row* row = m_health.find(upstream);
    return row && row->state == upstream_state::Ejected;
}

double gray_router::freeCapacity(const std::string& upstream, const load_row& load) const
{
    const upstream_health_row* row = m_health.find(upstream);
    if (!row || !acceptsNewRequests(upstream))
        return 0;
    const double limit = std::max(m_settings.minLimit, load.limit * row->weight);
    return std::max(0.0, limit - load.inFlight);
}

std::optional<std::string> gray_router::pick(const std::string& service, const std::set<std::string>& tried, instant now, std::mt19937_64& random)
{
    auto chosen = pickAmong(service, tried, true, now, random);
    return chosen ? chosen : pickAmong(service, tried, false, now, random);
}

std::optional<std::string> gray_router::pickAmong(const std::string& service, const std::set<std::string>& tried, bool skipsAvoided, instant now, std::mt19937_64& random)
{
    const auto found = m_upstreamsByService.find(service);
    if (found == m_upstreamsByService.end())
        return std::nullopt;
    std::array<std::vector<const std::string*>, tierCount> tiers;
    std::array<std::vector<double>, tierCount> weights;
    for (const std::string& upstream : found->second) {
        const load_row& load = m_loads.at(upstream);
        const bool isAvoided = skipsAvoided && now < load.avoidedUntil;
        if (isAvoided || tried.count(upstream) || freeCapacity(upstream, load) <= 0)
            continue;
        const upstream_health_row* row = m_health.find(upstream);
        tiers[load.tier].push_back(&upstream);
        weights[load.tier].push_back(row->weight * row->slots);
    }
    const auto tier = std::find_if(tiers.begin(), tiers.end(), [](const auto& it) { return !it.empty(); });
    if (tier == tiers.end())
        return std::nullopt;
    const auto& tierWeights = weights[static_cast<std::size_t>(tier - tiers.begin())];
    std::discrete_distribution<std::size_t> draw(tierWeights.begin(), tierWeights.end());
    const auto relativeLoad = [this](const std::string& upstream) {
        const load_row& load = m_loads.at(upstream);
        return (load.inFlight + 1) / load.limit;
    };
    const std::string& first = *(*tier)[draw(random)];
    const std::string& second = *(*tier)[draw(random)];
    const std::string& chosen = relativeLoad(second) < relativeLoad(first) ? second : first;
    ++m_loads.at(chosen).inFlight;
    return chosen;
}

void gray_router::cancelPick(const std::string& upstream)
{
    const auto found = m_loads.find(upstream);
    if (found != m_loads.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

void gray_router::recordConnectResult(load_row& load, attempt_result result, instant now) const
{
    if (result != attempt_result::Unreachable) {
        load.failedConnects = 0;
        return;
    }
    if (++load.failedConnects < m_settings.failedConnectThreshold)
        return;
    const unsigned doublings = std::min(load.failedConnects - m_settings.failedConnectThreshold, 10U);
    load.avoidedUntil = now + std::min(m_settings.initialAvoidanceTime * (1 << doublings), m_settings.maxAvoidanceTime);
}

void gray_router::finish(const std::string& upstream, attempt_result result, instant now)
{
    const auto found = m_loads.find(upstream);
    if (found == m_loads.end())
        return;
    load_row& load = found->second;
    cancelPick(upstream);
    recordConnectResult(load, result, now);
    const upstream_health_row* row = m_health.find(upstream);
    if (result == attempt_result::Shed)
        load.limit = std::max(m_settings.minLimit, load.limit * m_settings.shedFactor);
    else if (result == attempt_result::Good && row)
        load.limit = std::min<double>(row->slots, load.limit + 1 / std::max(load.limit, 1.0));
}

void gray_router::recordSample(const std::string& host, const std::string& dataCentre, const attempt_sample& sample, instant now)
{
    m_health.recordSample(host, dataCentre, sample, now);
}

unsigned gray_router::freeSlots(const std::string& service) const
{
    const auto found = m_upstreamsByService.find(service);
    if (found == m_upstreamsByService.end())
        return 0;
    double total = 0;
    for (const std::string& upstream : found->second)
        total += std::ceil(freeCapacity(upstream, m_loads.at(upstream)));
    return static_cast<unsigned>(total);
}

} // namespace almondmoor
