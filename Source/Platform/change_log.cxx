#include "Platform/change_log.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace almondmoor {

std::string writeChange(const change& it)
{
    Poco::JSON::Object object;
    object.set("id", it.id);
    object.set("version", it.version);
    object.set("author", it.author);
    object.set("acceptedAtUnixMs", it.acceptedAtUnixMs);
    object.set("command", it.command);
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

change parseChange(const std::string& text)
{
    const auto object = Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    return change { object->getValue<std::string>("id"), object->getValue<config_version>("version"), object->getValue<std::string>("author"),
        object->getValue<std::int64_t>("acceptedAtUnixMs"), object->getValue<std::string>("command") };
}

} // namespace almondmoor
