// Implements the calls of the metadata store: reading a table by pages, waiting for changes, and transactions.

#include "StandIns/stand_in_store.h"

#include "http_body.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <sstream>
#include <thread>

namespace almondmoor {

namespace {

    constexpr duration ioTimeout = std::chrono::seconds(30);
    constexpr int okStatus = 200;
    constexpr int forbiddenStatus = 403;
    constexpr int goneStatus = 410;
    constexpr int preconditionFailedStatus = 412;
    constexpr std::size_t maxRowsPerPage = 500;

    std::string toJson(const Poco::JSON::Object& object)
    {
        std::ostringstream out;
        object.stringify(out);
        return out.str();
    }

} // namespace

stand_in_store::stand_in_store(const std::string& address)
{
    const listener_settings settings { address, 64, 1024, ioTimeout, ioTimeout };
    m_listener = std::make_unique<http_listener>(
        settings, [this](http_exchange& exchange) { return serve(exchange); }, listener_callbacks { [] {}, [] {}, [](bool) {} });
    m_listener->start();
}

stand_in_store::~stand_in_store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_listener->stop();
}

void stand_in_store::setFaults(const store_faults& faults)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
    }
    m_changed.notify_all();
}

void stand_in_store::write(const std::string& table, const std::string& key, const std::string& value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tables[table][key] = { value, ++m_version, false };
    }
    m_changed.notify_all();
}

void stand_in_store::remove(const std::string& table, const std::string& key)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tables[table][key] = { "", ++m_version, true };
    }
    m_changed.notify_all();
}

void stand_in_store::compact()
{
    {
        const std::lock_guard lock(m_mutex);
        m_oldestHistoryVersion = ++m_version;
        for (auto& [name, rows] : m_tables)
            std::erase_if(rows, [](const auto& it) { return it.second.isRemoved; });
    }
    m_changed.notify_all();
}

void stand_in_store::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copiedTables = m_tables;
    m_copiedVersion = m_version;
}

void stand_in_store::comeBackFromCopy()
{
    {
        const std::lock_guard lock(m_mutex);
        m_tables = m_copiedTables;
        m_version = m_copiedVersion;
        ++m_era;
    }
    m_changed.notify_all();
}

std::string stand_in_store::value(const std::string& table, const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end() || !rows->second.count(key))
        return {};
    return rows->second.at(key).value;
}

std::size_t stand_in_store::callCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

bool stand_in_store::waitForCalls(std::size_t count, duration timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [&] { return m_calls >= count; });
}

std::string stand_in_store::rowsBody(const std::vector<std::pair<std::string, row>>& rows, const std::string& table, bool hasMore) const
{
    Poco::JSON::Array array;
    for (const auto& [key, it] : rows) {
        Poco::JSON::Object object;
        object.set("table_name", table);
        object.set("part", "");
        object.set("key", key);
        object.set("api_version", it.version);
        if (it.isRemoved)
            object.set("deleted", true);
        else
            object.set("value", absl::Base64Escape(it.value));
        array.add(object);
    }
    Poco::JSON::Object body;
    body.set("rows", array);
    body.set("has_more", hasMore);
    body.set("api_version", m_version);
    body.set("now_ms", 1);
    return toJson(body);
}

int stand_in_store::readRows(const std::map<std::string, std::string>& query, std::string& body)
{
    const std::string& table = query.at("table_name");
    const std::string from = query.count("from") ? query.at("from") : "";
    const std::size_t size = query.count("page_size") ? std::min<std::size_t>(maxRowsPerPage, std::stoul(query.at("page_size"))) : maxRowsPerPage;
    std::vector<std::pair<std::string, row>> rows;
    bool hasMore = false;
    for (const auto& [key, it] : m_tables[table]) {
        if (key < from || it.isRemoved)
            continue;
        hasMore = rows.size() == size;
        if (hasMore)
            break;
        rows.emplace_back(key, it);
    }
    body = rowsBody(rows, table, hasMore);
    return okStatus;
}

int stand_in_store::readChanges(const std::map<std::string, std::string>& query, std::string& body)
{
    const std::string& table = query.at("table_name");
    const std::uint64_t after = std::stoull(query.at("after"));
    if (after < m_oldestHistoryVersion || after > m_version)
        return goneStatus;
    std::map<std::uint64_t, std::pair<std::string, row>> changed;
    for (const auto& [key, it] : m_tables[table]) {
        if (it.version > after)
            changed[it.version] = { key, it };
    }
    std::vector<std::pair<std::string, row>> rows;
    rows.reserve(changed.size());
    for (auto& [version, it] : changed)
        rows.push_back(it);
    body = rowsBody(rows, table, false);
    return okStatus;
}

int stand_in_store::transact(const std::string& text, std::string& body)
{
    Poco::JSON::Parser parser;
    const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    const auto expected = object->getArray("expected");
    for (unsigned index = 0; expected && index < expected->size(); ++index) {
        const auto it = expected->getObject(index);
        const auto& rows = m_tables[it->getValue<std::string>("table_name")];
        const auto found = rows.find(it->getValue<std::string>("key"));
        const std::uint64_t currentVersion = found == rows.end() || found->second.isRemoved ? 0 : found->second.version;
        if (currentVersion != it->getValue<Poco::UInt64>("api_version"))
            return preconditionFailedStatus;
    }
    const auto writes = object->getArray("writes");
    ++m_version;
    for (unsigned index = 0; writes && index < writes->size(); ++index) {
        const auto it = writes->getObject(index);
        const auto table = it->getValue<std::string>("table_name");
        if (table == "op" || table == "servers")
            return forbiddenStatus;
        std::string value;
        absl::Base64Unescape(it->getValue<std::string>("value"), &value);
        m_tables[table][it->getValue<std::string>("key")] = { value, m_version, false };
    }
    body = absl::StrCat("{\"api_version\":", m_version, ",\"now_ms\":1}");
    return okStatus;
}

connection_disposition stand_in_store::sendResponse(http_exchange& exchange, int status, const std::string& body) const
{
    const std::string text = absl::StrCat("HTTP/1.1 ", status, " Said\r\nStore-Era: ", m_era.load(), "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    return exchange.stream.send(text, presentInstant() + ioTimeout).ok() ? connection_disposition::Keep : connection_disposition::Close;
}

connection_disposition stand_in_store::serve(http_exchange& exchange)
{
    std::string received;
    body_reader reader(exchange.stream, exchange.framing);
    while (!reader.isAtEnd()) {
        const auto piece = reader.next(presentInstant() + ioTimeout);
        if (!piece.ok())
            return connection_disposition::Close;
        received += *piece;
    }
    const Poco::URI uri(exchange.request.getURI());
    std::map<std::string, std::string> query;
    for (const auto& [name, value] : uri.getQueryParameters())
        query[name] = value;
    const std::string caller = exchange.stream.socket().peerAddress().host().toString();

    std::unique_lock lock(m_mutex);
    ++m_calls;
    m_changed.notify_all();
    const std::string& path = uri.getPath();
    if (path == "/rows-feed" && m_faults.refusalStatus == 0 && query.count("wait_ms")) {
        const std::uint64_t after = std::stoull(query["after"]);
        const std::string table = query["table_name"];
        const auto hasUpdates = [&] {
            for (const auto& [key, it] : m_tables[table]) {
                if (it.version > after)
                    return true;
            }
            return m_isStopping || m_faults.refusalStatus != 0 || m_faults.isSilent || m_faults.resetsConnections || after < m_oldestHistoryVersion || after > m_version;
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(std::stoul(query["wait_ms"])), hasUpdates);
    }
    const store_faults faults = m_faults;
    if (faults.isSilent) {
        m_changed.wait(lock, [this] { return m_isStopping || !m_faults.isSilent; });
        return connection_disposition::Close;
    }
    if (faults.resetsConnections || (!faults.allowedCallers.empty() && !faults.allowedCallers.count(caller)))
        return connection_disposition::Abort;
    if (faults.refusalStatus != 0)
        return sendResponse(exchange, faults.refusalStatus, "{\"error\":\"refused\"}");
    std::string body = "{}";
    int status = 404;
    if (path == "/rows-get")
        status = readRows(query, body);
    else if (path == "/rows-feed")
        status = readChanges(query, body);
    else if (path == "/rows-tx")
        status = transact(received, body);
    const bool isLost = path == "/rows-tx" && m_faults.lostResponses > 0;
    if (isLost)
        --m_faults.lostResponses;
    lock.unlock();
    m_changed.notify_all();
    if (isLost)
        return connection_disposition::Close;
    if (faults.delay > duration::zero())
        std::this_thread::sleep_for(faults.delay);
    return sendResponse(exchange, status, body);
}

} // namespace almondmoor
