#include "StandIns/severable_relay.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <array>

namespace almondmoor {

namespace {

    const Poco::Timespan pollTimeout(0, 5'000);
    const Poco::Timespan connectTimeout(1, 0);
    constexpr std::size_t pieceBytes = std::size_t { 64 } * 1024;

} // namespace

severable_relay::severable_relay(const std::string& address, const std::string& target)
    : m_target(target)
    , m_listener(Poco::Net::SocketAddress(address))
    , m_thread([this] { run(); })
{
}

severable_relay::~severable_relay()
{
    m_isStopping = true;
    m_thread.join();
}

void severable_relay::run()
{
    while (!m_isStopping) {
        Poco::Net::Socket::SocketList readable { m_listener };
        for (const connection& it : m_connections) {
            if (!it.isSilent)
                readable.insert(readable.end(), { it.caller, it.target });
        }
        Poco::Net::Socket::SocketList writable;
        Poco::Net::Socket::SocketList failed;
        Poco::Net::Socket::select(readable, writable, failed, pollTimeout);
        if (m_isSeverDue.exchange(false))
            severOpenConnections();
        const auto isReadable = [&readable](const Poco::Net::Socket& socket) { return std::find(readable.begin(), readable.end(), socket) != readable.end(); };
        for (connection& it : m_connections) {
            if (!it.isSilent && isReadable(it.caller))
                pass(it.caller, it.target, it);
            if (!it.isSilent && !it.isEnded && isReadable(it.target))
                pass(it.target, it.caller, it);
        }
        std::erase_if(m_connections, [](const connection& it) { return it.isEnded; });
        if (isReadable(m_listener))
            accept();
    }
}

void severable_relay::accept()
{
    connection it;
    it.caller = m_listener.acceptConnection();
    ++m_accepted;
    try {
        it.target.connect(Poco::Net::SocketAddress(m_target), connectTimeout);
        m_connections.push_back(std::move(it));
    } catch (const Poco::Exception&) {
        // The caller's connection ends with this function.
    }
}

void severable_relay::severOpenConnections()
{
    for (connection& it : m_connections) {
        m_silent += it.isSilent ? 0 : 1;
        it.isSilent = true;
    }
}

void severable_relay::pass(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to, connection& it)
{
    try {
        std::array<char, pieceBytes> piece;
        const int received = from.receiveBytes(piece.data(), static_cast<int>(piece.size()));
        it.isEnded = received <= 0;
        for (int sent = 0; sent < received;)
            sent += to.sendBytes(piece.data() + sent, received - sent);
    } catch (const Poco::Exception&) {
        it.isEnded = true;
    }
}

} // namespace almondmoor
