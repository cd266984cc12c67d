// Tests of the settings of a gateway process, from its file and its environment.
#include "gateway.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace apricot;

namespace {

const char *const requiredSettings = "host: h0\ndata-centre: north\n"
                                     "caller-address: 127.0.0.1:1\nready-address: 127.0.0.1:2\n"
                                     "directory-address: 127.0.0.1:3\npeer-address: 127.0.0.1:4\n"
                                     "platform: 127.0.0.1:5\n";

/// Reads settings from a file with the required ones and `text`.
std::variant<GatewaySettings, std::vector<FileFault>> readWith(const std::string &text)
{
    const auto path = std::filesystem::temp_directory_path()
        / ("settings-" + std::to_string(getpid()) + ".yaml");
    std::ofstream(path) << requiredSettings << text;
    auto settings = readGatewaySettings(path.string());
    std::filesystem::remove(path);
    return settings;
}

} // namespace

class GatewaySettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewaySettingsTest);
    CPPUNIT_TEST(environmentStatesWhatTheFileDoesNot);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override { unsetenv("APRICOTGW_MEMORY_MB"); }

    /// Guards against a host without the limits of its machine, which only its environment states,
    /// and against a value there that is taken though it can't be read.
    void environmentStatesWhatTheFileDoesNot()
    {
        const auto memoryWith = [](const std::string &text) {
            return std::get<GatewaySettings>(readWith(text)).m_machine.m_memoryMb;
        };
        setenv("APRICOTGW_MEMORY_MB", "", 1);
        CPPUNIT_ASSERT_EQUAL(0.0, memoryWith(""));
        setenv("APRICOTGW_MEMORY_MB", "260", 1);
        CPPUNIT_ASSERT_EQUAL(260.0, memoryWith(""));
        CPPUNIT_ASSERT_EQUAL(120.0, memoryWith("memory-mb: 120\n"));
        setenv("APRICOTGW_MEMORY_MB", "much", 1);
        const auto faults = std::get<std::vector<FileFault>>(readWith(""));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("memory-mb"), faults.front().m_field);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);
