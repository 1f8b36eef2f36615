#include "http_wire.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr std::size_t pieceBytes = std::size_t { 64 } * 1024;
    constexpr int backlog = 256;
    constexpr int hexadecimal = 16;
    constexpr int decimal = 10;

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        return text;
    }

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void setNoDelay(int descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

} // namespace

std::string http_message::header(const std::string& lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

std::string http_message::word(std::size_t index) const
{
    std::istringstream words(startLine);
    std::string word;
    for (std::size_t count = 0; count <= index; ++count) {
        word.clear();
        words >> word;
    }
    return word;
}

int http_message::status() const
{
    return static_cast<int>(std::strtol(word(1).c_str(), nullptr, decimal));
}

bool connection::connectTo(std::uint16_t port)
{
    close();
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (m_descriptor < 0 || ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        return false;
    setNoDelay(m_descriptor);
    return true;
}

void connection::setReadTimeout(int milliseconds) const
{
    timeval time {};
    time.tv_sec = milliseconds / 1000;
    time.tv_usec = static_cast<suseconds_t>(milliseconds % 1000) * 1000;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool connection::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::receiveMore()
{
    std::array<char, pieceBytes> piece {};
    const ssize_t count = ::recv(m_descriptor, piece.data(), piece.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(piece.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::takeLine(std::string& line)
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!receiveMore())
            return false;
        end = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool connection::takeBytes(std::size_t count, std::string& bytes)
{
    while (m_buffer.size() < count) {
        if (!receiveMore())
            return false;
    }
    bytes.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

bool connection::readHead(http_message& message)
{
    message = {};
    if (!takeLine(message.startLine))
        return false;
    std::string line;
    while (takeLine(line)) {
        if (line.empty())
            return true;
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const auto start = line.find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line.substr(0, colon))] = start == std::string::npos ? std::string() : line.substr(start);
    }
    return false;
}

bool connection::readBody(http_message& message)
{
    if (lowerCase(message.header("transfer-encoding")) != "chunked")
        return takeBytes(std::strtoul(message.header("content-length").c_str(), nullptr, decimal), message.body);
    std::string line;
    while (takeLine(line)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, hexadecimal);
        if (size > 0 && !takeBytes(size, message.body))
            return false;
        if (!takeLine(line))
            return false;
        if (size == 0)
            return true;
    }
    return false;
}

void connection::reset()
{
    const linger noLinger { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
    close();
}

void connection::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

int listenOn(std::uint16_t& port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof(address);
    const bool isBound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size) == 0 && ::listen(descriptor, backlog) == 0
        && ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!isBound) {
        ::close(descriptor);
        return -1;
    }
    port = ntohs(address.sin_port);
    return descriptor;
}

std::uint16_t freePort()
{
    // Outgoing connections take their ports from higher numbers.
    constexpr unsigned firstPort = 20'000;
    constexpr unsigned portCount = 12'000;
    static std::atomic<unsigned> next { static_cast<unsigned>(::getpid()) * 41 };
    for (unsigned attempt = 0; attempt < portCount; ++attempt) {
        auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        const int descriptor = listenOn(port);
        if (descriptor < 0)
            continue;
        ::close(descriptor);
        return port;
    }
    return 0;
}

int acceptWithin(int listener, int milliseconds)
{
    pollfd entry { listener, POLLIN, 0 };
    if (::poll(&entry, 1, milliseconds) <= 0)
        return -1;
    const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0)
        setNoDelay(descriptor);
    return descriptor;
}

} // namespace review
