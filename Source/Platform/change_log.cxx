// Conversion of configuration changes to JSON and back.

#include "Platform/change_log.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace almondmoor {

std::string serializeChange(const change& newChange)
{
    Poco::JSON::Object object;
    object.set("id", newChange.id);
    object.set("version", newChange.version);
    object.set("author", newChange.author);
    object.set("acceptedAtUnixMs", newChange.acceptedAtUnixMs);
    object.set("command", newChange.command);
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
