#include "key_guard.h"

#include "http_head.h"

#include <Poco/DigestEngine.h>
#include <Poco/Exception.h>
#include <Poco/RandomStream.h>
#include <Poco/SHA2Engine.h>
#include <Poco/URI.h>
#include <absl/strings/escaping.h>
#include <absl/strings/strip.h>

namespace almondmoor {

namespace {

    constexpr std::size_t secretBytes = 32;

    std::string percentDecoded(const std::string& text)
    {
        try {
            std::string result;
            Poco::URI::decode(text, result, false);
            return result;
        } catch (const Poco::Exception&) {
            return text;
        }
    }

    bool contains(const std::string& text, const std::string& secret)
    {
        return text.find(secret) != std::string::npos || percentDecoded(text).find(secret) != std::string::npos;
    }

} // namespace

std::string hashSecret(std::string_view secret)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(secret.data(), secret.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string generateSecret()
{
    Poco::RandomInputStream random;
    std::string bytes(secretBytes, '\0');
    random.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    return absl::WebSafeBase64Escape(bytes);
}

std::string credentialSecret(const Poco::Net::HTTPRequest& request, std::string_view scheme)
{
    const std::string value = request.get("Authorization", "");
    const bool hasScheme = value.size() > scheme.size() && value[scheme.size()] == ' ' && toLower(value.substr(0, scheme.size())) == toLower(scheme);
    return hasScheme ? value.substr(scheme.size() + 1) : std::string();
}

std::string bearerSecret(const Poco::Net::HTTPRequest& request)
{
    return credentialSecret(request, "Bearer");
}

bool containsSecret(const Poco::Net::HTTPRequest& request, const std::string& secret)
{
    if (secret.empty())
        return false;
    if (contains(request.getURI(), secret))
        return true;
    for (const auto& [name, value] : request) {
        if (contains(name, secret))
            return true;
        if (toLower(name) != "authorization" && contains(value, secret))
            return true;
    }
    return false;
}

bool secret_scanner::scan(std::string_view piece)
{
    m_pending.append(piece);
    if (!m_secret.empty())
        m_isFound = m_isFound || m_pending.find(m_secret) != std::string::npos;
    return m_isFound;
}

std::string secret_scanner::takeSafeBytes(bool isEnd)
{
    const std::size_t withheldCount = isEnd || m_secret.empty() ? 0 : std::min(m_pending.size(), m_secret.size() - 1);
    std::string safe = m_pending.substr(0, m_pending.size() - withheldCount);
    m_pending.erase(0, safe.size());
    return safe;
}

} // namespace almondmoor
