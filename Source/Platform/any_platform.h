// Forwards calls to the implementation of the platform's services that was chosen at start: memory_platform or
// http_platform.

#pragma once

#include "Platform/http_platform.h"
#include "Platform/memory_platform.h"

#include <memory>
#include <variant>

namespace almondmoor {

class any_platform {
public:
    explicit any_platform(std::shared_ptr<memory_platform> service)
        : m_service(std::move(service))
    {
    }
    explicit any_platform(std::shared_ptr<http_platform> service)
        : m_service(std::move(service))
    {
    }

    read_result readRows(const std::vector<std::string>& keys)
    {
        return std::visit([&](auto& service) { return service->readRows(keys); }, m_service);
    }
    call_result<no_value> commit(const table_transaction& transaction)
    {
        return std::visit([&](auto& service) { return service->commit(transaction); }, m_service);
    }
    call_result<no_value> putObject(const std::string& name, const std::string& content)
    {
        return std::visit([&](auto& service) { return service->putObject(name, content); }, m_service);
    }
    call_result<std::optional<std::string>> getObject(const std::string& name)
    {
        return std::visit([&](auto& service) { return service->getObject(name); }, m_service);
    }
    call_result<std::vector<listed_host>> listHosts()
    {
        return std::visit([](auto& service) { return service->listHosts(); }, m_service);
    }

private:
    std::variant<std::shared_ptr<memory_platform>, std::shared_ptr<http_platform>> m_service;
};

static_assert(platform_service<any_platform>);

} // namespace almondmoor
