// Process tests of publishing: a configuration reaches all hosts, concurrent publishers, faults of
// the platform, faulty files, and servers that the machine list marks as leaving.
#include "processes/fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <thread>

using namespace fleet;

namespace {

constexpr Millis convergenceTimeout = {4'000}; // requirement: in force on all hosts within seconds
constexpr Millis leavingTimeout = {3'000};     // requirement: no new requests after a few seconds

/// Number of the configuration in force on a host; -1 if the host doesn't answer.
int configurationNumberAt(const Process &host)
{
    const json::value status = fetchJson(host.m_admin, "/status");
    return status.as_object().contains("configuration")
        ? status.at("configuration").to_number<int>()
        : -1;
}

bool allHostsAt(const Fleet &fleet, int number)
{
    for (const Process &host : fleet.m_hosts) {
        if (host.m_pid != 0 && configurationNumberAt(host) != number)
            return false;
    }
    return true;
}

std::string serviceText(const std::string &name)
{
    return "service: " + name + "\nwork:\n  - {name: draft, idempotent: true}\nmodels:\n"
        + "  - {name: " + name + "-model, memory-mb: 1000}\n";
}

} // namespace

class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(publishedConfigurationReachesAllHosts);
    CPPUNIT_TEST(concurrentPublishersConflictOnlyOnTheSameFile);
    CPPUNIT_TEST(lostAnswersDoNotChangeThePublishOutcome);
    CPPUNIT_TEST(watchesThatEndAtOnceAreRateLimited);
    CPPUNIT_TEST(leavingServerGetsNoNewRequests);
    CPPUNIT_TEST(publishNamesFileLineAndFieldOfEachFault);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hosts that keep an old configuration: those that run when it is published,
    /// and one that starts while the platform is unavailable and can learn it only from other
    /// hosts.
    void publishedConfigurationReachesAllHosts()
    {
        Fleet fleet;
        startFleet(fleet, 5, {{}}, 0);
        const std::string file = writeFile(fleet, "more.yaml", serviceText("more"));
        CPPUNIT_ASSERT_EQUAL(0, control(fleet, {"publish", file}).m_exitCode);
        CPPUNIT_ASSERT(eventually([&] { return allHostsAt(fleet, 2); }, convergenceTimeout));
        signalProcess(fleet.m_hosts[4], SIGKILL);
        setFault(fleet.m_platform, "mode=down");
        startProcess(fleet.m_hosts[4], fleet);
        CPPUNIT_ASSERT(
            eventually([&] { return configurationNumberAt(fleet.m_hosts[4]) == 2; }, {8'000}));
        CPPUNIT_ASSERT(allHostsAt(fleet, 2));
    }

    /// Guards against a tight loop of watches. It was observed with a store that ended each watch
    /// at once: it received 100,000 requests in a minute.
    void watchesThatEndAtOnceAreRateLimited()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 0);
        const auto watches = [&] {
            return fetchJson(fleet.m_platform.m_listenAddress, "/standin/counts")
                .as_object()
                .at("watches")
                .to_number<int>();
        };
        setFault(fleet.m_platform, "mode=hasty");
        const int before = watches();
        std::this_thread::sleep_for(std::chrono::seconds(2));
        constexpr int maxWatchesEach = 2'000 / 250 + 1;               // allows one each 250 ms
        CPPUNIT_ASSERT(watches() - before <= 2 * 2 * maxWatchesEach); // 2 hosts, 2 documents
    }

    /// Guards against a lost update when two operators publish at once. Different files must both
    /// be kept. Of two changes to the same file from the same base one must be refused, and the
    /// refusal must name the other publisher.
    void concurrentPublishersConflictOnlyOnTheSameFile()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 0);
        const std::string one = writeFile(fleet, "one.yaml", serviceText("one"));
        const std::string two = writeFile(fleet, "two.yaml", serviceText("two"));
        ToolResult first;
        ToolResult second;
        std::thread otherPublisher([&] {
            first = control(fleet, {"publish", one, "--by", "ann"});
        });
        second = control(fleet, {"publish", two, "--by", "bob"});
        otherPublisher.join();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(first.m_output, 0, first.m_exitCode);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(second.m_output, 0, second.m_exitCode);
        CPPUNIT_ASSERT(eventually([&] { return allHostsAt(fleet, 3); }, convergenceTimeout));
        const std::string mine = writeFile(fleet, "mine.yaml", serviceText("one") + "# mine\n");
        const std::string yours = writeFile(fleet, "yours.yaml", serviceText("one") + "# yours\n");
        std::thread conflicting([&] {
            first = control(fleet, {"publish", mine, "--by", "ann", "--base", "3"});
        });
        second = control(fleet, {"publish", yours, "--by", "bob", "--base", "3"});
        conflicting.join();
        CPPUNIT_ASSERT_EQUAL(1, first.m_exitCode + second.m_exitCode);
        const ToolResult &loser = first.m_exitCode == 0 ? second : first;
        const std::string winner = first.m_exitCode == 0 ? "ann" : "bob";
        CPPUNIT_ASSERT_MESSAGE(loser.m_output, loser.m_output.find(winner) != std::string::npos);
    }

    /// Guards against a wrong report when the platform applies an update but its answer is lost.
    /// The publisher must find out that it took effect, and must not report success while the
    /// platform is down.
    void lostAnswersDoNotChangeThePublishOutcome()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 0);
        const std::string file = writeFile(fleet, "more.yaml", serviceText("more"));
        setFault(fleet.m_platform, "mode=lose-answer&count=3");
        const ToolResult result = control(fleet, {"publish", file});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.m_output, 0, result.m_exitCode);
        CPPUNIT_ASSERT(eventually([&] { return allHostsAt(fleet, 2); }, convergenceTimeout));
        setFault(fleet.m_platform, "mode=down");
        CPPUNIT_ASSERT(control(fleet, {"publish", file}).m_exitCode != 0);
    }

    /// Guards against requests to a server that the platform's machine list marks as leaving: they
    /// must stop within seconds and not resume.
    void leavingServerGetsNoNewRequests()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 2);
        const auto lookups = [&](const std::string &prefix) {
            for (int i = 0; i < 30; ++i)
                send(fleet.m_hosts[static_cast<std::size_t>(i) % 3].m_listenAddress, "POST",
                     "/v1/services/bookings/lookup", {{"Request-Id", prefix + std::to_string(i)}},
                     "{}", {3'000});
            int runs = 0;
            const json::value records
                = fetchJson(fleet.m_services[0].m_listenAddress, "/standin/books");
            for (const auto &entry : records.at("runs").as_object())
                runs += std::string(entry.key()).starts_with(prefix) ? 1 : 0;
            return runs;
        };
        CPPUNIT_ASSERT(lookups("before-") > 0);
        send(fleet.m_platform.m_listenAddress, "PUT", "/objects/machines/list", {},
             R"({"machines":{"booking-1":"leaving"}})", {2'000});
        int round = 0;
        const auto noneSent
            = [&] { return lookups("leaving-" + std::to_string(round++) + "-") == 0; };
        CPPUNIT_ASSERT(eventually(noneSent, leavingTimeout));
        CPPUNIT_ASSERT_EQUAL(0, lookups("later-"));
    }

    /// Guards against faults that an operator can't locate, and against publishing a faulty file:
    /// the version in force must stay.
    void publishNamesFileLineAndFieldOfEachFault()
    {
        Fleet fleet;
        startFleet(fleet, 1, {{}}, 0);
        const std::string bad = writeFile(fleet, "bad.yaml", R"(service: tasting two
work:
  - {name: draft, urgency: soon}
models:
  - name: big
    memory-mb: -4
    colour: red
)");
        const ToolResult result = control(fleet, {"publish", bad});
        CPPUNIT_ASSERT_EQUAL(1, result.m_exitCode);
        for (const char *part : {"bad.yaml:1: service:", "bad.yaml:3: work[0].urgency:",
                                 "bad.yaml:6: models[0].memory-mb:",
                                 "bad.yaml:7: models[0].colour: is not a known key"})
            CPPUNIT_ASSERT_MESSAGE(result.m_output,
                                   result.m_output.find(part) != std::string::npos);
        CPPUNIT_ASSERT(allHostsAt(fleet, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
