// Retry budgets. They limit retries and hedged requests to a fraction of the first attempts, so that an outage
// does not multiply the load.

#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace almondmoor {

struct retry_budget_settings {
    // Retries earned per first attempt.
    double ratio = 0.1;
    // Maximum number of retries that can be accumulated.
    double maxBalance = 10;
    // Number of retries available before any first attempt.
    double initialBalance = 1;
};

// Holds one budget per name, which is a team or a service.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings)
        : m_settings(settings)
    {
    }

    // Changes the limits and reduces balances that exceed the new maximum.
    void setLimits(retry_budget_settings settings)
    {
        m_settings = settings;
        for (auto& [name, balance] : m_balances)
            balance = std::min(balance, settings.maxBalance);
    }

    // Records a first attempt, which adds to the budget.
    void recordFirstAttempt(const std::string& name)
    {
        double& balance = balanceOf(name);
        balance = std::min(m_settings.maxBalance, balance + m_settings.ratio);
    }

    bool canRetry(const std::string& name) const
    {
        const auto found = m_balances.find(name);
        return (found == m_balances.end() ? m_settings.initialBalance : found->second) >= 1;
    }

    // Removes one retry from the budget. The caller must have checked canRetry().
    void takeRetry(const std::string& name) { balanceOf(name) -= 1; }

private:
    double& balanceOf(const std::string& name) { return m_balances.try_emplace(name, m_settings.initialBalance).first->second; }

    retry_budget_settings m_settings;
    std::map<std::string, double> m_balances;
};

} // namespace almondmoor
