#include "ctl_command.h"

#include "Core/error.h"
#include "settings.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <cstdlib>
#include <iostream>
#include <string>

namespace almondmoor {

namespace {

    constexpr int usageStatus = 2;
    constexpr int refusedStatus = 1;
    constexpr int timeoutSeconds = 15;

    // Sends one line. Returns whether it was carried out.
    bool sendLine(const client_settings& settings, const std::string& line)
    {
        try {
            Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(settings.operatorAddress) };
            session.setTimeout(Poco::Timespan(timeoutSeconds, 0));
            session.setKeepAlive(false);
            Poco::Net::HTTPRequest request("POST", "/command", Poco::Net::HTTPMessage::HTTP_1_1);
            request.set("Authorization", "Bearer " + settings.operatorKey);
            const char* user = std::getenv("USER");
            request.set("Almondmoor-Author", user ? user : "operator");
            request.setContentLength(static_cast<std::streamsize>(line.size()));
            session.sendRequest(request) << line << std::flush;
            Poco::Net::HTTPResponse response;
            std::string text;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
            std::cout << text << std::flush;
            return response.getStatus() < 300;
        } catch (const Poco::Exception& error) {
            std::cout << "unknown: no answer from " << settings.operatorAddress << ": " << error.displayText()
                      << "; 'show changes' tells whether a change was made\n";
            return false;
        }
    }

    bool sendSession(const client_settings& settings)
    {
        bool isAllDone = true;
        std::string line;
        while (std::getline(std::cin, line)) {
            if (line.find_first_not_of(" \t") == std::string::npos)
                continue;
            std::cout << "> " << line << "\n";
            isAllDone = sendLine(settings, line) && isAllDone;
        }
        return isAllDone;
    }

} // namespace

int runCtl(int argumentCount, char** arguments)
{
    client_settings settings;
    const auto status = readClientSettings(&argumentCount, &arguments, settings);
    if (!status.ok()) {
        std::cerr << "almondmoor: " << errorMessage(status) << "\n";
        return usageStatus;
    }
    if (argumentCount < 2)
        return sendSession(settings) ? 0 : refusedStatus;
    std::string line;
    for (int index = 1; index < argumentCount; ++index)
        line += std::string(index > 1 ? " " : "") + arguments[index];
    return sendLine(settings, line) ? 0 : refusedStatus;
}

} // namespace almondmoor
