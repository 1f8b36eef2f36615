// Budgets that bound retries and hedges to a part of first attempts, so that an
// outage cannot multiply its own load.

#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace almondmoor {

struct retry_budget_settings {
    // Retries allowed per first attempt.
    double ratio = 0.1;
    // Retries that may be saved up.
    double most = 10;
    // Retries allowed before any first attempt.
    double first = 1;
};

// One budget for each name: a team or a service.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings)
        : m_settings(settings)
    {
    }

    // Changes the limits. Balances above the new limit are cut.
    void setLimits(retry_budget_settings settings)
    {
        m_settings = settings;
        for (auto& [name, balance] : m_balances)
            balance = std::min(balance, settings.most);
    }

    // Counts a first attempt.
    void noteFirstAttempt(const std::string& name)
    {
        double& balance = balanceOf(name);
        balance = std::min(m_settings.most, balance + m_settings.ratio);
    }

    bool mayRetry(const std::string& name) const
    {
        const auto found = m_balances.find(name);
        return (found == m_balances.end() ? m_settings.first : found->second) >= 1;
    }

    // Takes one retry from the budget. The caller has asked mayRetry().
    void takeRetry(const std::string& name) { balanceOf(name) -= 1; }

private:
    double& balanceOf(const std::string& name) { return m_balances.try_emplace(name, m_settings.first).first->second; }

    retry_budget_settings m_settings;
    std::map<std::string, double> m_balances;
};

} // namespace almondmoor
