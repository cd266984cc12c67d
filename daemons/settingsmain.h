// What the daemons' main() have in common: one option, and a settings file that is checked first.
#pragma once

#include "apricot.h"

#include <cxxopts.hpp>
#include <iostream>

namespace apricot {

constexpr int badUse = 2; // exit code

/// Runs with the settings, or prints what is wrong with them. `read` gives the settings or faults.
template<typename Read, typename Run>
int checkAndRun(const std::string &path, Read read, Run run)
{
    const auto settings = read(path);
    if (const auto *faults = std::get_if<std::vector<FileFault>>(&settings)) {
        for (const FileFault &fault : *faults)
            std::cerr << toText(fault) << "\n";
        return badUse;
    }
    return run(std::get<0>(settings), path);
}

/// The whole main(): exit code 0 after a stop, 1 after a failure, 2 for bad use or a faulty file.
template<typename Read, typename Run>
int settingsMain(int argc, char **argv, const std::string &name, const std::string &purpose,
                 Read read, Run run)
{
    cxxopts::Options options(name, purpose);
    options.add_options()("settings", "this host's settings file",
                          cxxopts::value<std::string>())("help", "show this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : badUse;
        }
        return checkAndRun(arguments["settings"].as<std::string>(), read, run);
    } catch (const std::exception &error) {
        std::cerr << name << ": " << error.what() << "\n";
        return 1;
    }
}

} // namespace apricot
