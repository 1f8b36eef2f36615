// Sends commands to a host's operator port over HTTP.

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

    constexpr int usageExitStatus = 2;
    constexpr int refusedExitStatus = 1;
    constexpr int timeoutSeconds = 15;

    // Sends one command and prints the reply. Returns whether the reply's HTTP status is below 300.
    bool sendLine(const ctl_settings& settings, const std::string& line)
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

    // Sends each line that is not blank, also after a failure. Returns whether all succeeded.
    bool sendStandardInput(const ctl_settings& settings)
    {
        bool allSucceeded = true;
        std::string line;
        while (std::getline(std::cin, line)) {
            if (line.find_first_not_of(" \t") == std::string::npos)
                continue;
            std::cout << "> " << line << "\n";
            allSucceeded = sendLine(settings, line) && allSucceeded;
        }
        return allSucceeded;
    }

} // namespace

int runCtl(int argumentCount, char** arguments)
{
    ctl_settings settings;
    const auto status = readCtlSettings(&argumentCount, &arguments, settings);
    if (!status.ok()) {
        std::cerr << "almondmoor: " << errorMessage(status) << "\n";
        return usageExitStatus;
    }
    if (argumentCount < 2)
        return sendStandardInput(settings) ? 0 : refusedExitStatus;
    std::string line;
    for (int index = 1; index < argumentCount; ++index)
        line += std::string(index > 1 ? " " : "") + arguments[index];
    return sendLine(settings, line) ? 0 : refusedExitStatus;
}

} // namespace almondmoor
