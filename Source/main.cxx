// The program 'almondmoor'. Its first argument selects the command to run.

#include "adapter.h"
#include "ctl_command.h"
#include "explain_command.h"
#include "load_command.h"
#include "serve_command.h"
#include "settings.h"

#include <array>
#include <iostream>
#include <string_view>

namespace {

constexpr int usageStatus = 2;

int runHelp(int, char**)
{
    std::cout << "almondmoor serve [SETTINGS]            run one entry host\n"
                 "almondmoor proxy [SETTINGS]            run one entry host on the users' platform\n"
                 "almondmoor ctl [SETTINGS] [COMMAND]    send a command, or a session from standard input\n"
                 "almondmoor load [SETTINGS]             send requests at a fixed rate and report\n"
                 "almondmoor explain ID [FILE ...]       tell one request's story from log lines\n"
                 "almondmoor help                        show this text\n"
                 "almondmoor --version                   show the version\n\n"
                 "Each setting is also an environment variable: --host_name is ALMONDMOOR_HOST_NAME.\n"
              << almondmoor::describeSettings();
    return 0;
}

int runVersion(int, char**)
{
    std::cout << "almondmoor " ALMONDMOOR_VERSION "\n";
    return 0;
}

int runProxyOnPlatform(int argumentCount, char** arguments)
{
    return almondmoor::runProxy(argumentCount, arguments, almondmoor::users_platform::platformAdapter());
}

struct command_row {
    std::string_view name;
    int (*run)(int, char**);
};

constexpr std::array<command_row, 8> commands { {
    { "serve", almondmoor::runServe },
    { "proxy", runProxyOnPlatform },
    { "ctl", almondmoor::runCtl },
    { "load", almondmoor::runLoad },
    { "explain", almondmoor::runExplain },
    { "help", runHelp },
    { "--help", runHelp },
    { "--version", runVersion },
} };

} // namespace

int main(int argumentCount, char** arguments)
{
    const std::string_view name = argumentCount > 1 ? arguments[1] : "";
    for (const auto& row : commands) {
        if (row.name == name)
            return row.run(argumentCount - 1, arguments + 1);
    }
    std::cerr << "almondmoor: '" << name << "' is no command; 'almondmoor help' lists them\n";
    return usageStatus;
}
