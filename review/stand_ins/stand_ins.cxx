// Implements the shared stand-ins.

#include "stand_ins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iomanip>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

    constexpr std::size_t pieceBytes = std::size_t { 64 } * 1024;
    constexpr double storeCallSeconds = 0.004;
    constexpr double serverIdleSeconds = 120;

    const instant programStart = clock_type::now();

    sockaddr_in loopback(unsigned port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    const sockaddr* generic(const sockaddr_in& address)
    {
        const void* pointer = &address;
        return static_cast<const sockaddr*>(pointer);
    }

    int remainingMs(instant deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock_type::now()).count();
        return static_cast<int>(std::clamp<std::int64_t>(left + 1, 0, 600'000));
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        return text;
    }

    std::string base64(const std::string& bytes)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t index = 0; index < bytes.size(); index += 3) {
            std::uint32_t group = 0;
            const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
            for (std::size_t offset = 0; offset < 3; ++offset)
                group = (group << 8U) | (offset < count ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
            for (std::size_t offset = 0; offset < 4; ++offset)
                out += offset <= count ? digits[(group >> (18U - 6U * offset)) & 63U] : '=';
        }
        return out;
    }

    std::string fromBase64(const std::string& text)
    {
        std::string out;
        std::uint32_t group = 0;
        unsigned bits = 0;
        for (const char it : text) {
            const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
            const char* found = it == '\0' ? nullptr : std::strchr(digits, it);
            if (!found)
                continue;
            group = (group << 6U) | static_cast<std::uint32_t>(found - digits);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                out += static_cast<char>((group >> bits) & 255U);
            }
        }
        return out;
    }

    // Returns a text field of a flat JSON text. The rows that hosts write hold no escapes.
    std::string textField(const std::string& json, const std::string& name)
    {
        const auto key = json.find("\"" + name + "\":");
        if (key == std::string::npos)
            return {};
        const auto begin = json.find('"', key + name.size() + 3);
        const auto end = json.find('"', begin + 1);
        std::string value = json.substr(begin + 1, end - begin - 1);
        value.erase(std::remove(value.begin(), value.end(), '\\'), value.end());
        return value;
    }

    std::string parameter(const std::string& target, const std::string& name)
    {
        for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
                const auto begin = at + 2 + name.size();
                return target.substr(begin, target.find('&', begin) - begin);
            }
        }
        return {};
    }

} // namespace

double secondsNow()
{
    return std::chrono::duration<double>(clock_type::now() - programStart).count();
}

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

instant after(double seconds)
{
    return clock_type::now() + std::chrono::duration_cast<clock_type::duration>(std::chrono::duration<double>(seconds));
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

unsigned freePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    void* pointer = &address;
    unsigned port = 0;
    if (::bind(descriptor, generic(address), sizeof(address)) == 0 && ::getsockname(descriptor, static_cast<sockaddr*>(pointer), &size) == 0)
        port = ntohs(address.sin_port);
    ::close(descriptor);
    return port;
}

int listenOn(unsigned port, int receiveBufferBytes)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (receiveBufferBytes > 0)
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    const sockaddr_in address = loopback(port);
    if (::bind(descriptor, generic(address), sizeof(address)) != 0 || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

int acceptFrom(int listener)
{
    const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (descriptor >= 0) {
        const int one = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    return descriptor;
}

int connectTo(unsigned port, double timeoutSeconds)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = loopback(port);
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (::connect(descriptor, generic(address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    pollfd entry { descriptor, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&entry, 1, remainingMs(after(timeoutSeconds))) <= 0 || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

bool connection::send(const std::string& bytes, instant deadline, bool stopsAtInput)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        pollfd entry { m_descriptor, static_cast<short>(POLLOUT | (stopsAtInput ? POLLIN : 0)), 0 };
        if (::poll(&entry, 1, remainingMs(deadline)) <= 0 || (entry.revents & (POLLERR | POLLHUP)) != 0)
            return false;
        if (stopsAtInput && (entry.revents & POLLIN) != 0)
            return false;
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, std::min(pieceBytes, bytes.size() - sent), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN)
            return false;
        sent += static_cast<std::size_t>(std::max<ssize_t>(0, count));
    }
    return true;
}

bool connection::fill(instant deadline)
{
    pollfd entry { m_descriptor, POLLIN, 0 };
    if (m_descriptor < 0 || ::poll(&entry, 1, remainingMs(deadline)) <= 0)
        return false;
    std::string piece(pieceBytes, '\0');
    const ssize_t count = ::recv(m_descriptor, piece.data(), piece.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(piece, 0, static_cast<std::size_t>(count));
    return true;
}

bool connection::readHead(std::string& head, instant deadline)
{
    while (m_buffer.find("\r\n\r\n") == std::string::npos) {
        if (!fill(deadline))
            return false;
    }
    const auto length = m_buffer.find("\r\n\r\n") + 4;
    head = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
}

bool connection::readBytes(std::size_t count, std::string& bytes, instant deadline)
{
    while (m_buffer.size() < count) {
        if (!fill(deadline))
            return false;
    }
    bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

bool connection::readSome(std::string& bytes, instant deadline)
{
    if (m_buffer.empty() && !fill(deadline))
        return false;
    bytes = std::move(m_buffer);
    m_buffer.clear();
    return true;
}

void connection::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

void connection::reset()
{
    const linger noWait { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &noWait, sizeof(noWait));
    close();
}

std::string headerOf(const std::string& head, const std::string& name)
{
    const std::string lowerHead = lower(head);
    const auto at = lowerHead.find("\r\n" + lower(name) + ":");
    if (at == std::string::npos)
        return {};
    auto begin = at + name.size() + 3;
    while (begin < head.size() && head[begin] == ' ')
        ++begin;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

int statusOf(const std::string& head)
{
    return head.size() > 12 ? std::atoi(head.c_str() + 9) : 0;
}

store::store()
    : m_port(freePort())
{
    const int listener = listenOn(m_port);
    std::thread([this, listener] {
        while (true) {
            const int descriptor = acceptFrom(listener);
            if (descriptor >= 0)
                std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }).detach();
}

void store::write(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = { value, ++m_version, false };
    m_changed.notify_all();
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = { "", ++m_version, true };
    m_changed.notify_all();
}

std::string store::rowsOf(const std::string& table, std::uint64_t after, bool withRemoved)
{
    std::map<std::uint64_t, std::string> changed;
    std::string all;
    for (const auto& [key, it] : m_tables[table]) {
        if (it.version <= after || (it.isRemoved && !withRemoved))
            continue;
        std::ostringstream out;
        out << R"({"table_name":")" << table << R"(","part":"","key":")" << key << R"(","api_version":)" << it.version;
        if (it.isRemoved)
            out << R"(,"deleted":true})";
        else
            out << R"(,"value":")" << base64(it.value) << "\"}";
        (withRemoved ? changed[it.version] : all) += (!withRemoved && !all.empty() ? "," : "") + out.str();
    }
    for (const auto& [version, text] : changed)
        all += (all.empty() ? "" : ",") + text;
    return all;
}

std::string store::answer(const std::string& target, const std::string& body, int& status)
{
    std::unique_lock lock(m_mutex);
    std::string rows;
    if (target.rfind("/rows-get", 0) == 0) {
        rows = rowsOf(parameter(target, "table_name"), 0, false);
    } else if (target.rfind("/rows-feed", 0) == 0) {
        const std::string table = parameter(target, "table_name");
        const std::uint64_t from = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const double wait = std::strtod(parameter(target, "wait_ms").c_str(), nullptr) / 1000;
        m_changed.wait_until(lock, review::after(wait), [&] { rows = rowsOf(table, from, true); return !rows.empty(); });
    } else if (target.rfind("/rows-tx", 0) == 0) {
        m_tables[textField(body, "table_name")][textField(body, "key")] = { fromBase64(textField(body, "value")), ++m_version, false };
        m_changed.notify_all();
    } else {
        status = 404;
    }
    std::ostringstream out;
    out << R"({"rows":[)" << rows << R"(],"has_more":false,"api_version":)" << m_version << R"(,"now_ms":)" << static_cast<std::int64_t>(secondsNow() * 1000) << "}";
    return out.str();
}

void store::serve(int descriptor)
{
    connection caller(descriptor);
    std::string head;
    while (caller.readHead(head, review::after(serverIdleSeconds))) {
        std::string body;
        if (!caller.readBytes(std::strtoul(headerOf(head, "Content-Length").c_str(), nullptr, 10), body, review::after(serverIdleSeconds)))
            return;
        const auto first = head.find(' ');
        const std::string target = head.substr(first + 1, head.find(' ', first + 1) - first - 1);
        int status = 200;
        const std::string text = answer(target, body, status);
        sleepSeconds(storeCallSeconds);
        std::ostringstream out;
        out << "HTTP/1.1 " << status << " Said\r\nContent-Type: application/json\r\nContent-Length: " << text.size() << "\r\n\r\n"
            << text;
        if (!caller.send(out.str(), review::after(serverIdleSeconds)))
            return;
    }
}

proxy_process::proxy_process(std::string name, std::string zone, std::string regions, unsigned storePort)
    : m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_regions(std::move(regions))
    , m_storePort(storePort)
{
    for (unsigned index = 0; index < 4; ++index)
        m_ports.push_back(freePort());
}

proxy_process::~proxy_process()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGCONT);
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

bool proxy_process::start()
{
    const auto address = [](unsigned port) { return "127.0.0.1:" + std::to_string(port); };
    const char* path = std::getenv("PATH");
    const std::vector<std::string> environment { std::string("PATH=") + (path ? path : ""), "ALMONDMOOR_HOST_NAME=" + m_name, "ALMONDMOOR_DATA_CENTRE=" + m_zone,
        "ALMONDMOOR_REGIONS=" + m_regions, "ALMONDMOOR_GUEST_ADDRESS=" + address(m_ports[0]), "ALMONDMOOR_READINESS_ADDRESS=" + address(m_ports[1]),
        "ALMONDMOOR_PEER_ADDRESS=" + address(m_ports[2]), "ALMONDMOOR_METRICS_ADDRESS=" + address(m_ports[3]), "ALMONDMOOR_STORE=" + address(m_storePort),
        "ALMONDMOOR_STOP_GRACE_S=6", "ALMONDMOOR_FLEET_RETRY_RATIO=0.2", "ALMONDMOOR_FLEET_RETRY_SLACK=58", "ALMONDMOOR_QUOTA_SLACK=20",
        "ALMONDMOOR_QUOTA_OVERAGE=0.1", "ALMONDMOOR_QUOTA_WINDOW_S=5", "ALMONDMOOR_FIRST_START=true", "ALMONDMOOR_GUEST_CONNECTIONS=2000",
        "ALMONDMOOR_CONNECT_TIMEOUT_MS=200" };
    const char* program = std::getenv("ALMONDMOOR_PROGRAM");
    const std::string command = program ? program : "target/Source/almondmoor";
    m_process = ::fork();
    if (m_process != 0)
        return m_process > 0;
    // The process must not outlive a script that is ended early.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::vector<char*> variables;
    variables.reserve(environment.size() + 1);
    for (const std::string& it : environment)
        variables.push_back(const_cast<char*>(it.c_str()));
    variables.push_back(nullptr);
    std::string role = "proxy";
    std::vector<char*> arguments { const_cast<char*>(command.c_str()), role.data(), nullptr };
    const int null = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    ::dup2(null, STDOUT_FILENO);
    ::execve(command.c_str(), arguments.data(), variables.data());
    ::_exit(127);
}

bool proxy_process::isReady() const
{
    connection check(connectTo(m_ports[1], 1));
    std::string head;
    return check.isOpen() && check.send("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", after(1)) && check.readHead(head, after(1)) && statusOf(head) == 200;
}

bool proxy_process::waitUntilReady(double seconds) const
{
    const instant deadline = after(seconds);
    while (clock_type::now() < deadline) {
        if (isReady())
            return true;
        sleepSeconds(0.05);
    }
    return false;
}

void proxy_process::signal(int number) const
{
    ::kill(m_process, number);
}

bool proxy_process::hasEnded()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process <= 0;
}

std::string endpointRow(const std::string& service, const std::string& zone, unsigned port, unsigned slots, unsigned sequence, const std::string& state)
{
    std::ostringstream out;
    out << R"({"address":"127.0.0.1:)" << port << R"(","info":{"service":")" << service << R"(","version":"v1","zone":")" << zone << R"(","slots":)" << slots
        << R"(},"status":{"state":")" << state << R"(","sequence":)" << sequence << R"(,"cold_remaining_ms":0},"born":1764900000000})";
    return out.str();
}

std::string manifest(unsigned version, const std::string& service, unsigned timeoutMs)
{
    const auto route = [&](const std::string& name) {
        std::ostringstream out;
        out << "\"" << name << R"(":{"host":"a.example","prefix":"/)" << name << R"(/","kind":")" << name << R"(","timeout_ms":)" << timeoutMs
            << R"(,"target_latency_ms":800,"priority":1,"service":")" << service << R"(","max_attempts":2,"public":false})";
        return out.str();
    };
    std::ostringstream out;
    out << R"({"version":)" << version << R"(,"routes":{)" << route("safe") << "," << route("unsafe") << R"(},"services":{")" << service
        << R"(":{"health_check_path":"/health","max_connections":330,"protocol":"h1","tls":false}},)"
        << R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        << R"("tenants":{"shop":{"api_keys":["sesame-sesame-sesame"],"priority":1,"rate_per_s":0,"burst":0}}})";
    return out.str();
}

void recorder::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << secondsNow() << " " << text << std::endl;
}

} // namespace review
