// JSON forms of keys, rows, transactions and hosts. An absent row is an empty object.

#include "Platform/platform_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace almondmoor {

namespace {

    using Poco::JSON::Array;
    using Poco::JSON::Object;

    template <typename Json>
    std::string toText(const Json& json)
    {
        std::ostringstream out;
        json.stringify(out);
        return out.str();
    }

    Object::Ptr toObject(const std::string& text)
    {
        return Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
    }

    Array::Ptr toArray(const std::string& text)
    {
        return Poco::JSON::Parser().parse(text).extract<Array::Ptr>();
    }

} // namespace

std::string serializeKeys(const std::vector<std::string>& keys)
{
    Array array;
    for (const auto& key : keys)
        array.add(key);
    return toText(array);
}

std::vector<std::string> parseKeys(const std::string& text)
{
    std::vector<std::string> keys;
    // The variable keeps the array alive; a range-based for loop would not extend the temporary's lifetime.
    const auto array = toArray(text);
    for (const auto& key : *array)
        keys.push_back(key.convert<std::string>());
    return keys;
}

std::string serializeRows(const std::vector<std::optional<table_row>>& rows)
{
    Array array;
    for (const auto& row : rows) {
        Object object;
        if (row) {
            object.set("key", row->key);
            object.set("value", row->value);
            object.set("etag", row->etag);
        }
        array.add(object);
    }
    return toText(array);
}

std::vector<std::optional<table_row>> parseRows(const std::string& text)
{
    std::vector<std::optional<table_row>> rows;
    const auto array = toArray(text);
    for (std::size_t index = 0; index < array->size(); ++index) {
        const auto object = array->getObject(static_cast<unsigned>(index));
        if (!object->has("key")) {
            rows.emplace_back();
            continue;
        }
        rows.emplace_back(table_row { object->getValue<std::string>("key"), object->getValue<std::string>("value"), object->getValue<std::uint64_t>("etag") });
    }
    return rows;
}

std::string serializeTransaction(const table_transaction& transaction)
{
    Array conditions;
    for (const auto& condition : transaction.conditions) {
        Object object;
        object.set("key", condition.key);
        if (condition.etag)
            object.set("etag", *condition.etag);
        conditions.add(object);
    }
    Array writes;
    for (const auto& write : transaction.writes) {
        Object object;
        object.set("key", write.key);
        if (write.value)
            object.set("value", *write.value);
        writes.add(object);
    }
    Object object;
    object.set("conditions", conditions);
    object.set("writes", writes);
    return toText(object);
}

table_transaction parseTransaction(const std::string& text)
{
    table_transaction transaction;
    const auto object = toObject(text);
    const auto conditions = object->getArray("conditions");
    for (std::size_t index = 0; index < conditions->size(); ++index) {
        const auto item = conditions->getObject(static_cast<unsigned>(index));
        row_condition condition { item->getValue<std::string>("key"), std::nullopt };
        if (item->has("etag"))
            condition.etag = item->getValue<std::uint64_t>("etag");
        transaction.conditions.push_back(std::move(condition));
    }
    const auto writes = object->getArray("writes");
    for (std::size_t index = 0; index < writes->size(); ++index) {
        const auto item = writes->getObject(static_cast<unsigned>(index));
        row_write write { item->getValue<std::string>("key"), std::nullopt };
        if (item->has("value"))
            write.value = item->getValue<std::string>("value");
        transaction.writes.push_back(std::move(write));
    }
    return transaction;
}

std::string serializeHosts(const std::vector<listed_host>& hosts)
{
    Array array;
    for (const auto& host : hosts) {
        Object object;
        object.set("name", host.name);
        object.set("peerAddress", host.peerAddress);
        object.set("dataCentre", host.dataCentre);
        object.set("leaving", host.leaving);
        array.add(object);
    }
    return toText(array);
}

std::vector<listed_host> parseHosts(const std::string& text)
{
    std::vector<listed_host> hosts;
    const auto array = toArray(text);
    for (std::size_t index = 0; index < array->size(); ++index) {
        const auto object = array->getObject(static_cast<unsigned>(index));
        hosts.push_back(listed_host { object->getValue<std::string>("name"), object->getValue<std::string>("peerAddress"),
            object->getValue<std::string>("dataCentre"), object->getValue<bool>("leaving") });
    }
    return hosts;
}

} // namespace almondmoor
