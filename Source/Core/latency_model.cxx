#include "Core/latency_model.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    // Minimum weight of one response in an average; while there are few samples, each has a
    // larger weight.
    constexpr double minWeight = 0.02;
    // Number of samples that the first value of an average counts as.
    constexpr unsigned initialSamples = 5;

} // namespace

latency_model::latency_average latency_model::beginningWith(double seconds)
{
    return { seconds, seconds, initialSamples, 0 };
}

void latency_model::add(latency_average& average, double seconds)
{
    ++average.samples;
    const double weight = std::max(minWeight, 1.0 / average.samples);
    average.spread += weight * (std::abs(seconds - average.seconds) - average.spread);
    average.seconds += weight * (seconds - average.seconds);
}

void latency_model::record(const std::string& service, const std::string& route, duration latency)
{
    const double seconds = toSeconds(latency);
    service_row& row = m_services.try_emplace(service, service_row { beginningWith(m_initialSeconds), {}, 0 }).first->second;
    ++row.responses;
    if (!route.empty()) {
        if (row.routes.size() >= maxRoutes && !row.routes.count(route))
            row.routes.erase(std::min_element(row.routes.begin(), row.routes.end(), [](const auto& it, const auto& other) { return it.second.lastUse < other.second.lastUse; }));
        latency_average& average = row.routes.try_emplace(route, beginningWith(row.total.seconds)).first->second;
        add(average, seconds);
        average.lastUse = row.responses;
    }
    add(row.total, seconds);
}

const latency_model::latency_average* latency_model::findRoute(const std::string& service, const std::string& route) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return nullptr;
    const auto average = found->second.routes.find(route);
    return average == found->second.routes.end() ? &found->second.total : &average->second;
}

double latency_model::expectedSeconds(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? m_initialSeconds : found->second.total.seconds;
}

double latency_model::expectedSeconds(const std::string& service, const std::string& route) const
{
    const latency_average* average = findRoute(service, route);
    return average ? average->seconds : m_initialSeconds;
}

double latency_model::spreadSeconds(const std::string& service, const std::string& route) const
{
    const latency_average* average = findRoute(service, route);
    return average ? average->spread : m_initialSeconds;
}

} // namespace almondmoor
