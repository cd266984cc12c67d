// main() of the daemons apricotd and apricotgw: parses the command line, reads the settings file
// named by --settings, and runs the daemon only if the file has no faults.
#pragma once

#include "apricot.h"

#include <cxxopts.hpp>
#include <iostream>

namespace apricot {

constexpr int exitUsageError = 2; // --settings is missing, or the settings file is faulty

/// Reads the settings file and calls `run` with the settings and the path; returns the exit code.
/// If `read` returns faults instead of settings, prints them to standard error and runs nothing.
template<typename Read, typename Run>
int checkAndRun(const std::string &path, Read read, Run run)
{
    const auto settings = read(path);
    if (const auto *faults = std::get_if<std::vector<FileFault>>(&settings)) {
        for (const FileFault &fault : *faults)
            std::cerr << toText(fault) << "\n";
        return exitUsageError;
    }
    return run(std::get<0>(settings), path);
}

/// Implements main(). Exit codes: 0 after a planned stop or --help, 1 after a failure at run time
/// or if the command line can't be parsed, 2 if --settings is missing or the settings file is
/// faulty.
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
            return arguments.count("help") > 0 ? 0 : exitUsageError;
        }
        return checkAndRun(arguments["settings"].as<std::string>(), read, run);
    } catch (const std::exception &error) {
        std::cerr << name << ": " << error.what() << "\n";
        return 1;
    }
}

} // namespace apricot
