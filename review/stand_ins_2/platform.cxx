#include "platform.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    using steady_clock = std::chrono::steady_clock;

    constexpr int acceptMs = 100;
    constexpr int storeReadMs = 60'000;
    constexpr int readyAttempts = 100;
    constexpr auto readyPause = std::chrono::milliseconds(100);
    constexpr double graceSeconds = 6;
    constexpr auto exitPause = std::chrono::milliseconds(10);
    constexpr int hexadecimal = 16;
    constexpr int decimal = 10;
    constexpr unsigned base64Bits = 6;
    constexpr unsigned byteBits = 8;
    constexpr unsigned lowBits = 0x3f;
    constexpr unsigned lowByte = 0xff;
    constexpr std::string_view base64Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string base64(const std::string& bytes)
    {
        std::string text;
        unsigned bits = 0;
        unsigned held = 0;
        for (const char byte : bytes) {
            bits = (bits << byteBits) | static_cast<unsigned char>(byte);
            held += byteBits;
            while (held >= base64Bits) {
                held -= base64Bits;
                text += base64Letters[(bits >> held) & lowBits];
            }
        }
        if (held > 0)
            text += base64Letters[(bits << (base64Bits - held)) & lowBits];
        while (text.size() % 4 != 0)
            text += '=';
        return text;
    }

    std::string fromBase64(const std::string& text)
    {
        std::string bytes;
        unsigned bits = 0;
        unsigned held = 0;
        for (const char letter : text) {
            const auto value = base64Letters.find(letter);
            if (value == std::string_view::npos)
                break;
            bits = (bits << base64Bits) | static_cast<unsigned>(value);
            held += base64Bits;
            if (held < byteBits)
                continue;
            held -= byteBits;
            bytes += static_cast<char>((bits >> held) & lowByte);
        }
        return bytes;
    }

    std::string percentDecoded(const std::string& text)
    {
        std::string decoded;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] != '%') {
                decoded += text[index];
                continue;
            }
            decoded += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, hexadecimal));
            index += 2;
        }
        return decoded;
    }

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        auto start = target.find('?');
        while (start != std::string::npos) {
            const auto end = target.find('&', start + 1);
            const std::string pair = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
            const auto equals = pair.find('=');
            if (equals != std::string::npos)
                query[pair.substr(0, equals)] = percentDecoded(pair.substr(equals + 1));
            start = end;
        }
        return query;
    }

    // Returns the texts that follow a field's name in a JSON text.
    std::vector<std::string> textsOf(const std::string& json, const std::string& field)
    {
        std::vector<std::string> texts;
        const std::string mark = "\"" + field + "\":\"";
        for (auto at = json.find(mark); at != std::string::npos; at = json.find(mark, at + 1)) {
            const auto start = at + mark.size();
            std::string text = json.substr(start, json.find('"', start) - start);
            // JSON may write a slash as \/.
            for (auto slash = text.find("\\/"); slash != std::string::npos; slash = text.find("\\/"))
                text.erase(slash, 1);
            texts.push_back(std::move(text));
        }
        return texts;
    }

    const steady_clock::time_point startedAt = steady_clock::now();

} // namespace

std::string joined(std::initializer_list<std::string_view> texts)
{
    std::string all;
    for (const std::string_view text : texts)
        all += text;
    return all;
}

double secondsSinceStart()
{
    return std::chrono::duration<double>(steady_clock::now() - startedAt).count();
}

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

case_record::case_record(const std::string& path)
    : m_descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

case_record::~case_record()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

void case_record::add(const std::string& line)
{
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f s  ", secondsSinceStart());
    const std::string text = std::string(time.data()) + line + "\n";
    const std::lock_guard lock(m_mutex);
    [[maybe_unused]] const auto written = ::write(m_descriptor, text.data(), text.size());
}

metadata_store::metadata_store(case_record& record)
    : m_record(record)
    , m_listener(listenOn(m_port))
    , m_acceptor([this] { acceptCalls(); })
{
}

metadata_store::~metadata_store()
{
    m_isStopping = true;
    m_changed.notify_all();
    m_acceptor.join();
    ::close(m_listener);
}

std::uint64_t metadata_store::write(const std::string& table, const std::string& part, const std::string& key, const std::string& value)
{
    std::uint64_t version = 0;
    {
        const std::lock_guard lock(m_mutex);
        version = ++m_version;
        m_tables[table][{ part, key }] = { value, version };
    }
    m_changed.notify_all();
    return version;
}

void metadata_store::acceptCalls()
{
    while (!m_isStopping) {
        const int descriptor = acceptWithin(m_listener, acceptMs);
        if (descriptor >= 0)
            std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void metadata_store::serve(int descriptor)
{
    connection caller(descriptor);
    caller.setReadTimeout(storeReadMs);
    http_message request;
    while (!m_isStopping && caller.read(request)) {
        const std::string body = answer(request);
        if (!caller.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

std::string metadata_store::answer(const http_message& request)
{
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/rows-tx")
        return transact(request.body);
    return path == "/rows-feed" ? changesAfter(queryOf(target)) : rowsFrom(queryOf(target));
}

std::string metadata_store::page(const std::string& table, const std::vector<std::pair<std::pair<std::string, std::string>, stored_row>>& rows) const
{
    std::string text = "{\"rows\":[";
    for (const auto& [name, row] : rows) {
        text += text.back() == '[' ? "" : ",";
        text += R"({"table_name":")" + table + R"(","part":")" + name.first + R"(","key":")" + name.second + R"(","value":")" + base64(row.value) + R"(","api_version":)" + std::to_string(row.version) + "}";
    }
    const auto nowMs = static_cast<std::uint64_t>(secondsSinceStart() * 1000);
    return text + R"(],"has_more":false,"api_version":)" + std::to_string(m_version) + R"(,"now_ms":)" + std::to_string(nowMs) + "}";
}

std::string metadata_store::rowsFrom(const std::map<std::string, std::string>& query)
{
    const auto part = query.find("part");
    const auto table = query.find("table_name");
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::pair<std::string, std::string>, stored_row>> rows;
    for (const auto& entry : m_tables[table->second]) {
        if (entry.first.first == (part == query.end() ? std::string() : part->second))
            rows.emplace_back(entry);
    }
    return page(table->second, rows);
}

std::string metadata_store::changesAfter(const std::map<std::string, std::string>& query)
{
    const std::string& table = query.find("table_name")->second;
    const auto after = std::strtoull(query.find("after")->second.c_str(), nullptr, decimal);
    const auto wait = query.find("wait_ms");
    const auto waitMs = std::chrono::milliseconds(wait == query.end() ? 0 : std::strtol(wait->second.c_str(), nullptr, decimal));
    std::unique_lock lock(m_mutex);
    std::map<std::uint64_t, std::pair<std::pair<std::string, std::string>, stored_row>> changed;
    const auto collect = [&] {
        for (const auto& entry : m_tables[table]) {
            if (entry.second.version > after)
                changed.insert_or_assign(entry.second.version, entry);
        }
        return !changed.empty() || m_isStopping;
    };
    m_changed.wait_for(lock, waitMs, collect);
    std::vector<std::pair<std::pair<std::string, std::string>, stored_row>> rows;
    rows.reserve(changed.size());
    for (const auto& [version, entry] : changed)
        rows.push_back(entry);
    return page(table, rows);
}

std::string metadata_store::transact(const std::string& body)
{
    const auto tables = textsOf(body, "table_name");
    const auto parts = textsOf(body, "part");
    const auto keys = textsOf(body, "key");
    const auto values = textsOf(body, "value");
    // The program under test writes single rows without a condition.
    for (std::size_t index = 0; index < values.size(); ++index) {
        write(tables.at(index), parts.at(index), keys.at(index), fromBase64(values[index]));
        m_record.add("store: row " + tables[index] + "/" + keys[index] + " written by the system");
    }
    const std::lock_guard lock(m_mutex);
    return R"({"api_version":)" + std::to_string(m_version) + R"(,"now_ms":1})";
}

proxy_process::proxy_process(const std::string& name, std::uint16_t storePort, case_record& record)
    : m_record(record)
    , m_name(name)
    , m_storePort(storePort)
    , m_front(freePort())
    , m_readiness(freePort())
    , m_peer(freePort())
    , m_metrics(freePort())
{
    start(true);
}

void proxy_process::start(bool isFirstStart)
{
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const char* path = std::getenv("PATH");
    // As deploy/system.toml sets them for a machine of a small site.
    std::vector<std::string> settings {
        std::string("PATH=") + (path ? path : "/usr/bin:/bin"),
        "ALMONDMOOR_HOST_NAME=" + m_name,
        "ALMONDMOOR_DATA_CENTRE=lag-ikeja",
        "ALMONDMOOR_REGIONS=lag-ikeja=lagos",
        "ALMONDMOOR_GUEST_ADDRESS=" + address(m_front),
        "ALMONDMOOR_READINESS_ADDRESS=" + address(m_readiness),
        "ALMONDMOOR_PEER_ADDRESS=" + address(m_peer),
        "ALMONDMOOR_METRICS_ADDRESS=" + address(m_metrics),
        "ALMONDMOOR_STORE=" + address(m_storePort),
        "ALMONDMOOR_STOP_GRACE_S=6",
        "ALMONDMOOR_FLEET_RETRY_RATIO=0.2",
        "ALMONDMOOR_FLEET_RETRY_SLACK=62",
        "ALMONDMOOR_QUOTA_SLACK=20",
        "ALMONDMOOR_QUOTA_OVERAGE=0.1",
        "ALMONDMOOR_QUOTA_WINDOW_S=5",
        "ALMONDMOOR_COLD_OVERAGE=",
        "ALMONDMOOR_COLD_SLACK=",
        std::string("ALMONDMOOR_FIRST_START=") + (isFirstStart ? "true" : "false"),
        "ALMONDMOOR_MEMORY_MB=260",
        "ALMONDMOOR_GUEST_CONNECTIONS=2000",
        "ALMONDMOOR_CONNECT_TIMEOUT_MS=200",
    };
    std::vector<char*> environment;
    environment.reserve(settings.size() + 1);
    for (std::string& setting : settings)
        environment.push_back(setting.data());
    environment.push_back(nullptr);
    std::string program = "target/Source/almondmoor";
    std::string command = "proxy";
    std::array<char*, 3> arguments { program.data(), command.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    if (::posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments.data(), environment.data()) != 0)
        m_process = -1;
    posix_spawn_file_actions_destroy(&actions);
    m_record.add("platform: starts " + m_name);
}

proxy_process::~proxy_process()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void proxy_process::restart()
{
    m_record.add("platform: SIGTERM to " + m_name);
    ::kill(m_process, SIGTERM);
    const double killAt = secondsSinceStart() + graceSeconds;
    while (::waitpid(m_process, nullptr, WNOHANG) == 0) {
        if (secondsSinceStart() >= killAt)
            ::kill(m_process, SIGKILL);
        std::this_thread::sleep_for(exitPause);
    }
    start(false);
}

bool proxy_process::waitUntilReady() const
{
    for (int attempt = 0; m_process > 0 && attempt < readyAttempts; ++attempt) {
        connection probe;
        http_message response;
        if (probe.connectTo(m_readiness) && probe.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") && probe.readHead(response) && response.status() == 200)
            return true;
        std::this_thread::sleep_for(readyPause);
    }
    return false;
}

std::string serverEntry(std::uint16_t port, const std::string& service, std::uint64_t born, std::uint64_t sequence)
{
    return R"({"address":"127.0.0.1:)" + std::to_string(port) + R"(","info":{"service":")" + service + R"(","version":"v1","zone":"lag-ikeja","slots":3},"status":{"state":"ready","sequence":)" + std::to_string(sequence)
        + R"(,"cold_remaining_ms":0},"born":)" + std::to_string(born) + "}";
}

} // namespace review
