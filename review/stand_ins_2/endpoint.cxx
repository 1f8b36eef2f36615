#include "endpoint.h"

#include <chrono>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr int acceptMs = 20;
    constexpr int idleMs = 10'000;
    constexpr double beatSeconds = 1.5;
    constexpr auto downTime = std::chrono::milliseconds(2000);
    constexpr auto workTime = std::chrono::milliseconds(60);
    constexpr auto settleTime = std::chrono::milliseconds(20);
    constexpr std::size_t brokenBodyBytes = 300;

    std::string answerHead(const std::string& statusLine, const http_message& request, const std::string& more)
    {
        return "HTTP/1.1 " + statusLine + "\r\nX-Almondmoor-Request-Id: " + request.header("x-almondmoor-request-id") + "\r\n" + more + "\r\n";
    }

} // namespace

endpoint::endpoint(metadata_store& store, std::string service, std::string id, run_handler handler)
    : m_store(store)
    , m_service(std::move(service))
    , m_id(std::move(id))
    , m_handler(std::move(handler))
    , m_port(freePort())
    , m_thread([this] { run(); })
{
}

endpoint::~endpoint()
{
    m_isStopping = true;
    m_thread.join();
    resetConnections();
    while (m_running > 0)
        std::this_thread::sleep_for(settleTime);
}

void endpoint::beat()
{
    m_store.write("servers", "", m_id, serverEntry(m_port, m_service, m_born, ++m_sequence));
}

void endpoint::run()
{
    while (!m_isStopping) {
        const int listener = listenOn(m_port);
        m_born = unixMilliseconds();
        m_sequence = 0;
        m_isUp = listener >= 0;
        double nextBeat = 0;
        while (isUp()) {
            if (secondsSinceStart() >= nextBeat) {
                beat();
                nextBeat = secondsSinceStart() + beatSeconds;
            }
            const int descriptor = acceptWithin(listener, acceptMs);
            if (descriptor < 0)
                continue;
            ++m_running;
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
        if (listener >= 0)
            ::close(listener);
        resetConnections();
        const double upAgainAt = secondsSinceStart() + std::chrono::duration<double>(downTime).count();
        while (!m_isStopping && secondsSinceStart() < upAgainAt)
            std::this_thread::sleep_for(settleTime);
    }
}

void endpoint::resetConnections()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [descriptor, it] : m_connections) {
        const linger noLinger { 1, 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

void endpoint::serve(int descriptor)
{
    {
        connection caller(descriptor);
        caller.setReadTimeout(idleMs);
        {
            const std::lock_guard lock(m_mutex);
            m_connections[descriptor] = &caller;
        }
        http_message request;
        bool isKept = true;
        while (isKept && isUp() && caller.read(request))
            isKept = handle(caller, request);
        const std::lock_guard lock(m_mutex);
        m_connections.erase(descriptor);
        if (!m_isUp)
            caller.reset();
    }
    --m_running;
}

bool endpoint::handle(connection& caller, const http_message& request)
{
    if (request.header("x-almondmoor-expect-instance") != m_id) {
        const std::string refusal = answerHead("421 Misdirected Request", request, "X-Almondmoor-Not-Executed: 1\r\nX-Almondmoor-Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n");
        return caller.send(refusal);
    }
    const run_plan plan = m_handler(*this, request);
    std::this_thread::sleep_for(workTime);
    const std::string signature = "X-Almondmoor-Server-Signature: " + m_id + "." + request.header("x-almondmoor-request-id") + "\r\n";
    if (plan == run_plan::Answer)
        return isUp() && caller.send(answerHead("200 OK", request, signature + "Content-Length: 3\r\n") + "ok\n");
    if (plan == run_plan::CrashWhileAnswering) {
        caller.send(answerHead("200 OK", request, signature + "Content-Length: 1000\r\n") + std::string(brokenBodyBytes, 'x'));
        std::this_thread::sleep_for(settleTime);
    }
    m_isUp = false;
    return false;
}

} // namespace review
