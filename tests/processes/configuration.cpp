// Publishing and convergence, leaving servers, with real processes.
#include "processes/fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <thread>

using namespace fleet;

namespace {

constexpr Millis inForceLimit = {4'000}; // "within seconds", the users' letter
constexpr Millis leavingLimit = {3'000}; // "after a few seconds"

int numberAt(const Process &host)
{
    const json::value status = fetchJson(host.m_admin, "/status");
    return status.as_object().contains("configuration")
        ? status.at("configuration").to_number<int>()
        : -1;
}

bool allAt(const Fleet &fleet, int number)
{
    for (const Process &host : fleet.m_hosts) {
        if (host.m_pid != 0 && numberAt(host) != number)
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
    CPPUNIT_TEST(acceptedIsInForceEverywhereAndStays);
    CPPUNIT_TEST(racingPublishersGetOneTruth);
    CPPUNIT_TEST(lostAnswersAreReportedTruthfully);
    CPPUNIT_TEST(watchesThatEndAtOnceMakeNoStorm);
    CPPUNIT_TEST(leavingServerGetsNoNewWork);
    CPPUNIT_TEST(badFilesNameFileLineAndField);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedIsInForceEverywhereAndStays()
    {
        Fleet fleet;
        startFleet(fleet, 5, {{}}, 0);
        const std::string file = writeFile(fleet, "more.yaml", serviceText("more"));
        CPPUNIT_ASSERT_EQUAL(0, control(fleet, {"publish", file}).m_code);
        CPPUNIT_ASSERT(eventually([&] { return allAt(fleet, 2); }, inForceLimit));
        // A host that starts with the platform away learns it from the others.
        signalProcess(fleet.m_hosts[4], SIGKILL);
        setFault(fleet.m_platform, "mode=down");
        startProcess(fleet.m_hosts[4], fleet);
        CPPUNIT_ASSERT(eventually([&] { return numberAt(fleet.m_hosts[4]) == 2; }, {8'000}));
        CPPUNIT_ASSERT(allAt(fleet, 2));
    }

    /// Tried on the users' machines: a store that answered each watch at once was asked 100,000
    /// times in a minute.
    void watchesThatEndAtOnceMakeNoStorm()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 0);
        const auto watches = [&] {
            return fetchJson(fleet.m_platform.m_main, "/standin/counts")
                .as_object()
                .at("watches")
                .to_number<int>();
        };
        setFault(fleet.m_platform, "mode=hasty");
        const int before = watches();
        std::this_thread::sleep_for(std::chrono::seconds(2));
        constexpr int mostEach = 2'000 / 250 + 1;               // the shortest pause is 250 ms
        CPPUNIT_ASSERT(watches() - before <= 2 * 2 * mostEach); // hosts, documents
    }

    void racingPublishersGetOneTruth()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 0);
        const std::string one = writeFile(fleet, "one.yaml", serviceText("one"));
        const std::string two = writeFile(fleet, "two.yaml", serviceText("two"));
        ToolResult first;
        ToolResult second;
        std::thread racer([&] { first = control(fleet, {"publish", one, "--by", "ann"}); });
        second = control(fleet, {"publish", two, "--by", "bob"});
        racer.join();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(first.m_output, 0, first.m_code);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(second.m_output, 0, second.m_code);
        CPPUNIT_ASSERT(eventually([&] { return allAt(fleet, 3); }, inForceLimit));
        // The same file from the same base: one winner, and a refusal that names it.
        const std::string mine = writeFile(fleet, "mine.yaml", serviceText("one") + "# mine\n");
        const std::string yours = writeFile(fleet, "yours.yaml", serviceText("one") + "# yours\n");
        std::thread clash([&] {
            first = control(fleet, {"publish", mine, "--by", "ann", "--base", "3"});
        });
        second = control(fleet, {"publish", yours, "--by", "bob", "--base", "3"});
        clash.join();
        CPPUNIT_ASSERT_EQUAL(1, first.m_code + second.m_code);
        const ToolResult &loser = first.m_code == 0 ? second : first;
        const std::string winner = first.m_code == 0 ? "ann" : "bob";
        CPPUNIT_ASSERT_MESSAGE(loser.m_output, loser.m_output.find(winner) != std::string::npos);
    }

    void lostAnswersAreReportedTruthfully()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 0);
        const std::string file = writeFile(fleet, "more.yaml", serviceText("more"));
        setFault(fleet.m_platform, "mode=lose-answer&count=3");
        const ToolResult result = control(fleet, {"publish", file});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.m_output, 0, result.m_code);
        CPPUNIT_ASSERT(eventually([&] { return allAt(fleet, 2); }, inForceLimit));
        setFault(fleet.m_platform, "mode=down");
        CPPUNIT_ASSERT(control(fleet, {"publish", file}).m_code != 0);
    }

    void leavingServerGetsNoNewWork()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 2);
        const auto lookups = [&](const std::string &prefix) {
            for (int i = 0; i < 30; ++i)
                send(fleet.m_hosts[static_cast<std::size_t>(i) % 3].m_main, "POST",
                     "/v1/services/bookings/lookup", {{"Request-Id", prefix + std::to_string(i)}},
                     "{}", {3'000});
            int runs = 0;
            const json::value books = fetchJson(fleet.m_services[0].m_main, "/standin/books");
            for (const auto &entry : books.at("runs").as_object())
                runs += std::string(entry.key()).starts_with(prefix) ? 1 : 0;
            return runs;
        };
        CPPUNIT_ASSERT(lookups("before-") > 0);
        send(fleet.m_platform.m_main, "PUT", "/objects/machines/list", {},
             R"({"machines":{"booking-1":"leaving"}})", {2'000});
        int round = 0;
        const auto quiet = [&] { return lookups("leaving-" + std::to_string(round++) + "-") == 0; };
        CPPUNIT_ASSERT(eventually(quiet, leavingLimit));
        CPPUNIT_ASSERT_EQUAL(0, lookups("later-"));
    }

    void badFilesNameFileLineAndField()
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
        CPPUNIT_ASSERT_EQUAL(1, result.m_code);
        for (const char *part : {"bad.yaml:1: service:", "bad.yaml:3: work[0].urgency:",
                                 "bad.yaml:6: models[0].memory-mb:",
                                 "bad.yaml:7: models[0].colour: is not a known key"})
            CPPUNIT_ASSERT_MESSAGE(result.m_output,
                                   result.m_output.find(part) != std::string::npos);
        CPPUNIT_ASSERT(allAt(fleet, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
