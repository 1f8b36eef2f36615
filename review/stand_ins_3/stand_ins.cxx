#include "stand_ins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    constexpr double heartbeatS = 1.5;
    constexpr std::size_t ioBytes = 65536;
    // The kernel's buffer for what a connection has received, small as on the users' links.
    constexpr int receiveBytes = 32768;

    sockaddr_in socketAddress(const std::string& address)
    {
        const auto colon = address.find(':');
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
        return result;
    }

    void setNonBlocking(int descriptor)
    {
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    std::string base64(const std::string& text)
    {
        static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t at = 0; at < text.size(); at += 3) {
            std::uint32_t bits = 0;
            for (std::size_t index = 0; index < 3; ++index)
                bits = bits << 8U | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
            for (std::size_t index = 0; index < 4; ++index)
                out += at + index <= text.size() ? digits[bits >> (18 - 6 * index) & 63U] : '=';
        }
        return out;
    }

    std::string unbase64(const std::string& text)
    {
        static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        std::uint32_t bits = 0;
        unsigned count = 0;
        for (const char it : text) {
            const auto digit = digits.find(it);
            if (digit == std::string::npos)
                break;
            bits = bits << 6U | static_cast<std::uint32_t>(digit);
            count += 6;
            if (count >= 8) {
                count -= 8;
                out += static_cast<char>(bits >> count & 255U);
            }
        }
        return out;
    }

    std::string queryValue(const std::string& target, const std::string& name)
    {
        for (const std::string& mark : { "?" + name + "=", "&" + name + "=" }) {
            const auto start = target.find(mark);
            if (start == std::string::npos)
                continue;
            const auto value = start + mark.size();
            return target.substr(value, target.find('&', value) - value);
        }
        return {};
    }

    std::string jsonField(const std::string& object, const std::string& name)
    {
        const std::string mark = "\"" + name + "\":\"";
        const auto start = object.find(mark);
        if (start == std::string::npos)
            return {};
        std::string value = object.substr(start + mark.size(), object.find('"', start + mark.size()) - start - mark.size());
        for (auto slash = value.find('\\'); slash != std::string::npos; slash = value.find('\\'))
            value.erase(slash, 1);
        return value;
    }

    std::string headerValue(const std::string& head, const std::string& name)
    {
        const std::string mark = "\r\n" + name + ": ";
        const auto start = head.find(mark);
        if (start == std::string::npos)
            return {};
        return head.substr(start + mark.size(), head.find("\r\n", start + mark.size()) - start - mark.size());
    }

    // Sends what fits. Returns false if the connection has failed.
    bool sendSome(int descriptor, const std::string& bytes, std::size_t& sent)
    {
        while (sent < bytes.size()) {
            const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count > 0)
                sent += static_cast<std::size_t>(count);
            else
                return count < 0 && errno == EAGAIN;
        }
        return true;
    }

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

listening_socket listenOnFreePort()
{
    listening_socket result;
    result.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress("127.0.0.1:0");
    socklen_t size = sizeof(address);
    if (::bind(result.descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(result.descriptor, 1024) != 0)
        throw std::runtime_error("no free port");
    getsockname(result.descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    result.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    return result;
}

int listenAt(const std::string& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in to = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 || ::listen(descriptor, 1024) != 0)
        throw std::runtime_error("cannot listen again at " + address);
    return descriptor;
}

std::string freeAddress()
{
    const listening_socket it = listenOnFreePort();
    ::close(it.descriptor);
    return it.address;
}

int connectTo(const std::string& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = socketAddress(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

store::store()
    : m_socket(listenOnFreePort())
{
    std::thread([this] {
        for (int descriptor = ::accept4(m_socket.descriptor, nullptr, nullptr, SOCK_CLOEXEC); descriptor >= 0; descriptor = ::accept4(m_socket.descriptor, nullptr, nullptr, SOCK_CLOEXEC))
            std::thread([this, descriptor] { serve(descriptor); }).detach();
    }).detach();
}

void store::write(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = { value, ++m_version };
}

void store::serve(int descriptor)
{
    std::string buffer;
    std::vector<char> piece(ioBytes);
    while (true) {
        const auto end = buffer.find("\r\n\r\n");
        const std::string length = end == std::string::npos ? "" : headerValue(buffer.substr(0, end + 2), "Content-Length");
        const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
        if (end == std::string::npos || buffer.size() < end + 4 + bodyBytes) {
            const ssize_t count = ::recv(descriptor, piece.data(), piece.size(), 0);
            if (count <= 0)
                break;
            buffer.append(piece.data(), static_cast<std::size_t>(count));
            continue;
        }
        const auto targetStart = buffer.find(' ') + 1;
        const std::string target = buffer.substr(targetStart, buffer.find(' ', targetStart) - targetStart);
        const std::string body = answer(target, buffer.substr(end + 4, bodyBytes));
        buffer.erase(0, end + 4 + bodyBytes);
        const std::string response = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::size_t sent = 0;
        if (!sendSome(descriptor, response, sent))
            break;
    }
    ::close(descriptor);
}

std::string store::rowsBody(const std::string& table, std::uint64_t after, const std::string& from, bool isChanges)
{
    std::vector<std::pair<std::uint64_t, std::string>> rows;
    for (const auto& [key, it] : m_tables[table]) {
        if (it.version <= after || key < from)
            continue;
        std::ostringstream text;
        text << R"({"table_name":")" << table << R"(","part":"","key":")" << key << R"(","value":")" << base64(it.value) << R"(","api_version":)" << it.version << "}";
        rows.emplace_back(it.version, text.str());
    }
    if (isChanges)
        std::sort(rows.begin(), rows.end());
    std::ostringstream body;
    body << R"({"rows":[)";
    for (std::size_t index = 0; index < rows.size(); ++index)
        body << (index > 0 ? "," : "") << rows[index].second;
    body << R"(],"has_more":false,"api_version":)" << m_version << R"(,"now_ms":)" << static_cast<std::uint64_t>(now() * 1000) << "}";
    return body.str();
}

std::string store::answer(const std::string& target, const std::string& body)
{
    const std::string table = queryValue(target, "table_name");
    if (target.rfind("/rows-get", 0) == 0) {
        const std::lock_guard lock(m_mutex);
        return rowsBody(table, 0, queryValue(target, "from"), false);
    }
    if (target.rfind("/rows-feed", 0) == 0) {
        const std::uint64_t after = std::stoull(queryValue(target, "after"));
        const double until = now() + std::stod(queryValue(target, "wait_ms")) / 1000;
        while (true) {
            {
                const std::lock_guard lock(m_mutex);
                bool hasChanges = now() >= until;
                for (const auto& [key, it] : m_tables[table])
                    hasChanges = hasChanges || it.version > after;
                if (hasChanges)
                    return rowsBody(table, after, "", true);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
    const std::lock_guard lock(m_mutex);
    ++m_version;
    auto start = body.find("\"writes\"");
    for (start = body.find('{', start); start != std::string::npos; start = body.find('{', start + 1)) {
        const std::string object = body.substr(start, body.find('}', start) - start);
        m_tables[jsonField(object, "table_name")][jsonField(object, "key")] = { unbase64(jsonField(object, "value")), m_version };
    }
    return R"({"api_version":)" + std::to_string(m_version) + R"(,"now_ms":)" + std::to_string(static_cast<std::uint64_t>(now() * 1000)) + "}";
}

upstreams::upstreams(store& platform, std::string service, unsigned count, upstream_settings settings)
    : m_store(platform)
    , m_service(std::move(service))
    , m_settings(settings)
{
    for (unsigned index = 0; index < count; ++index) {
        m_upstreams.push_back({ listenOnFreePort() });
        setsockopt(m_upstreams.back().socket.descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        setNonBlocking(m_upstreams.back().socket.descriptor);
        announce(index);
    }
}

void upstreams::announce(unsigned index)
{
    upstream_row& it = m_upstreams[index];
    m_store.write("servers", "i-" + m_service + "-" + std::to_string(index),
        R"({"address":")" + it.socket.address + R"(","info":{"service":")" + m_service + R"(","version":"v1","zone":"z1","slots":)" + std::to_string(m_settings.slots)
            + R"(},"status":{"state":"ready","sequence":)" + std::to_string(++it.sequence) + R"(,"cold_remaining_ms":0},"born":)" + std::to_string(it.born) + "}");
}

bool upstreams::beginRequest(connection& it, std::size_t headBytes, double at)
{
    const std::string head = it.head.substr(0, headBytes);
    const std::string length = headerValue(head, "Content-Length");
    it.id = headerValue(head, "X-Almondmoor-Request-Id");
    it.bodyLeft = length.empty() ? 0 : std::stoull(length);
    it.isReading = true;
    it.isPoison = !m_poison.empty() && head.substr(0, head.find("\r\n")).find(m_poison) != std::string::npos;
    if (it.isPoison)
        m_poisonArrivals.push_back(at);
    it.head.erase(0, headBytes);
    const std::size_t already = std::min<std::size_t>(it.head.size(), it.bodyLeft);
    it.bodyLeft -= already;
    it.head.erase(0, already);
    it.readAt = at + m_settings.pauseS;
    upstream_row& row = m_upstreams[it.upstream];
    ++row.active;
    if (row.active > m_settings.slots + m_settings.queue) {
        ++m_sheds;
        answer(it, 503);
        return false;
    }
    return true;
}

void upstreams::answer(connection& it, int status)
{
    const std::string body(status == 200 ? m_settings.answerBytes : 0, 'b');
    it.out = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Unavailable") + "\r\nX-Almondmoor-Request-Id: " + it.id + "\r\n"
        + (status == 200 ? "X-Almondmoor-Server-Signature: signed\r\n" : "X-Almondmoor-Not-Executed: 1\r\n") + (it.bodyLeft > 0 ? "Connection: close\r\n" : "")
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    it.isReading = false;
    it.answerAt = 0;
    --m_upstreams[it.upstream].active;
}

bool upstreams::stepConnection(connection& it, double at)
{
    if (!it.out.empty()) {
        std::size_t sent = 0;
        const bool isOpen = sendSome(it.descriptor, it.out, sent);
        it.out.erase(0, sent);
        return isOpen;
    }
    if (it.answerAt > 0) {
        if (at < it.answerAt)
            return true;
        ++m_runs;
        if (it.isPoison) {
            m_upstreams[it.upstream].isDown = true;
            return true;
        }
        if (it.upstream < m_failingCount && std::uniform_real_distribution<double>(0, 1)(m_random) < m_failingShare) {
            ++m_resets;
            const linger reset { 1, 0 };
            setsockopt(it.descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            return false;
        }
        answer(it, 200);
        return true;
    }
    if (it.isReading && it.bodyLeft == 0) {
        it.answerAt = at + m_settings.workS;
        return true;
    }
    if (it.isReading && m_settings.pauseS > 0 && at < it.readAt)
        return true;
    static std::vector<char> piece(ioBytes);
    const std::size_t wanted = it.isReading ? std::min<std::size_t>({ it.bodyLeft, m_settings.pieceBytes, piece.size() }) : 2048;
    const ssize_t count = ::recv(it.descriptor, piece.data(), wanted, 0);
    if (count <= 0)
        return count < 0 && errno == EAGAIN;
    it.readAt = at + m_settings.pauseS;
    if (it.isReading) {
        it.bodyLeft -= static_cast<std::uint64_t>(count);
        return true;
    }
    it.head.append(piece.data(), static_cast<std::size_t>(count));
    const auto end = it.head.find("\r\n\r\n");
    if (end != std::string::npos)
        beginRequest(it, end + 4, at);
    return true;
}

void upstreams::setFailing(unsigned count, double share)
{
    m_failingCount = count;
    m_failingShare = share;
}

void upstreams::setPoison(std::string text, double downS)
{
    m_poison = std::move(text);
    m_downS = downS;
}

// Closes the ports of upstreams that have just crashed, and opens those of upstreams that are back.
void upstreams::restart(double at)
{
    for (unsigned index = 0; index < m_upstreams.size(); ++index) {
        upstream_row& it = m_upstreams[index];
        if (it.isDown && it.upAt == 0) {
            it.upAt = at + m_downS;
            it.active = 0;
            ::close(it.socket.descriptor);
            it.socket.descriptor = -1;
            m_crashes.push_back(at);
        } else if (it.isDown && at >= it.upAt) {
            it.isDown = false;
            it.upAt = 0;
            it.sequence = 0;
            ++it.born;
            it.socket.descriptor = listenAt(it.socket.address);
            setNonBlocking(it.socket.descriptor);
            announce(index);
        }
    }
}

void upstreams::step()
{
    const double at = now();
    restart(at);
    if (at >= m_announceAt) {
        m_announceAt = at + heartbeatS;
        for (unsigned index = 0; index < m_upstreams.size(); ++index) {
            if (!m_upstreams[index].isDown)
                announce(index);
        }
    }
    for (unsigned index = 0; index < m_upstreams.size(); ++index) {
        if (m_upstreams[index].isDown)
            continue;
        for (int descriptor = ::accept4(m_upstreams[index].socket.descriptor, nullptr, nullptr, SOCK_CLOEXEC); descriptor >= 0; descriptor = ::accept4(m_upstreams[index].socket.descriptor, nullptr, nullptr, SOCK_CLOEXEC)) {
            setNonBlocking(descriptor);
            m_connections.push_back(std::make_unique<connection>());
            m_connections.back()->descriptor = descriptor;
            m_connections.back()->upstream = index;
        }
    }
    std::erase_if(m_connections, [&](const auto& it) {
        const bool hadCrashed = m_upstreams[it->upstream].isDown;
        if (!hadCrashed && stepConnection(*it, at))
            return false;
        if (hadCrashed) {
            const linger reset { 1, 0 };
            setsockopt(it->descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        } else if (it->isReading) {
            --m_upstreams[it->upstream].active;
        }
        ::close(it->descriptor);
        return true;
    });
}

host::host(unsigned number, const store& platform, host_settings settings)
    : m_name("h" + std::to_string(number))
    , m_store(platform.address())
    , m_settings(settings)
    , m_guest(freeAddress())
    , m_readiness(freeAddress())
    , m_peer(freeAddress())
    , m_metrics(freeAddress())
{
}

host::~host()
{
    kill();
}

void host::start(bool isFirstStart)
{
    const std::vector<std::string> variables { "PATH=/usr/bin:/bin", "ALMONDMOOR_HOST_NAME=" + m_name, "ALMONDMOOR_DATA_CENTRE=z1", "ALMONDMOOR_REGIONS=z1=r1",
        "ALMONDMOOR_GUEST_ADDRESS=" + m_guest, "ALMONDMOOR_READINESS_ADDRESS=" + m_readiness, "ALMONDMOOR_PEER_ADDRESS=" + m_peer, "ALMONDMOOR_METRICS_ADDRESS=" + m_metrics,
        "ALMONDMOOR_STORE=" + m_store, "ALMONDMOOR_STOP_GRACE_S=" + std::to_string(m_settings.graceS), "ALMONDMOOR_FLEET_RETRY_RATIO=0.2", "ALMONDMOOR_FLEET_RETRY_SLACK=58",
        "ALMONDMOOR_QUOTA_SLACK=20", "ALMONDMOOR_QUOTA_OVERAGE=0.1", "ALMONDMOOR_QUOTA_WINDOW_S=5", "ALMONDMOOR_COLD_OVERAGE=", "ALMONDMOOR_COLD_SLACK=",
        std::string("ALMONDMOOR_FIRST_START=") + (isFirstStart ? "true" : "false"), "ALMONDMOOR_MEMORY_MB=" + std::to_string(m_settings.memoryMb),
        "ALMONDMOOR_GUEST_CONNECTIONS=2000", "ALMONDMOOR_CONNECT_TIMEOUT_MS=200" };
    m_process = ::fork();
    if (m_process != 0)
        return;
    // A host must not outlive this program.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (const std::string& it : variables)
        environment.push_back(const_cast<char*>(it.c_str()));
    environment.push_back(nullptr);
    const int output = ::open("/dev/null", O_WRONLY);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execle("target/Source/almondmoor", "almondmoor", "proxy", nullptr, environment.data());
    ::_exit(127);
}

void host::kill()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    m_process = -1;
}

bool host::isRunning()
{
    if (m_process <= 0)
        return false;
    if (::waitpid(m_process, nullptr, WNOHANG) == 0)
        return true;
    m_process = -1;
    return false;
}

bool host::isReady() const
{
    const int descriptor = connectTo(m_readiness);
    if (descriptor < 0)
        return false;
    const std::string request = "GET /ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
    std::size_t sent = 0;
    sendSome(descriptor, request, sent);
    const timeval timeout { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    char answer[12] {};
    const ssize_t count = ::recv(descriptor, answer, sizeof(answer), MSG_WAITALL);
    ::close(descriptor);
    return count == 12 && std::string(answer + 9, 3) == "200";
}

std::uint64_t host::privateBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("RssAnon:", 0) == 0)
            return std::stoull(line.substr(8)) * 1024;
    }
    return 0;
}

client::~client()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

void client::send(const std::string& request)
{
    m_isBusy = true;
    m_out = request;
    m_sent = 0;
    m_in.clear();
    char byte = 0;
    // The host may have closed the connection since the last answer.
    if (m_descriptor >= 0 && (::recv(m_descriptor, &byte, 1, MSG_PEEK) >= 0 || errno != EAGAIN)) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
    if (m_descriptor >= 0)
        return;
    m_descriptor = connectTo(m_address);
    if (m_descriptor < 0)
        end(0, false);
    else
        setNonBlocking(m_descriptor);
}

void client::end(int status, bool keepsOpen)
{
    m_status = status;
    m_isBusy = false;
    m_out.clear();
    if (!keepsOpen && m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

bool client::step()
{
    if (!m_isBusy)
        return true;
    const bool canSend = sendSome(m_descriptor, m_out, m_sent);
    static std::vector<char> piece(ioBytes);
    const ssize_t count = ::recv(m_descriptor, piece.data(), piece.size(), 0);
    if (count > 0)
        m_in.append(piece.data(), static_cast<std::size_t>(count));
    const auto headEnd = m_in.find("\r\n\r\n");
    if (headEnd != std::string::npos) {
        const std::string head = m_in.substr(0, headEnd + 2);
        const std::string length = headerValue(head, "Content-Length");
        if (m_in.size() >= headEnd + 4 + (length.empty() ? 0 : std::stoul(length))) {
            end(std::stoi(head.substr(9, 3)), headerValue(head, "Connection") != "close" && m_sent == m_out.size());
            return true;
        }
    }
    if (count == 0 || (count < 0 && errno != EAGAIN) || (!canSend && count < 0)) {
        end(0, false);
        return true;
    }
    return false;
}

record::record(const std::string& path)
    : m_start(now())
    , m_file(path)
{
}

void record::add(const std::string& line)
{
    std::ostringstream text;
    text.precision(2);
    text << std::fixed << now() - m_start << " s  " << line;
    m_file << text.str() << std::endl;
    std::cout << text.str() << std::endl;
}

} // namespace review
