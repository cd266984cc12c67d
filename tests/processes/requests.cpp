// Promises about requests, brought to the test with real processes.
#include "processes/fleet.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <thread>

using namespace fleet;

namespace {

constexpr Millis longDeadline = {8'000};

int count(const std::string &text, const std::string &part)
{
    int found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

bool isWholeDraft(const Reply &reply, const std::string &id, int tokens)
{
    return reply.m_whole && reply.m_status == 200 && count(reply.m_body, "event: token") == tokens
        && count(reply.m_body, "event: done") == 1
        && count(reply.m_body, "id: " + id + "/") == tokens + 1;
}

/// Runs the work on many threads at once; the work gets its index.
void inParallel(int threads, const std::function<void(int)> &work)
{
    std::vector<std::thread> running;
    running.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i)
        running.emplace_back(work, i);
    for (std::thread &thread : running)
        thread.join();
}

std::size_t homeOf(const Fleet &fleet, const std::string &model)
{
    const json::value told
        = fetchJson(fleet.m_hosts[0].m_main, "/v1/address?service=tasting&model=" + model);
    const auto name = json::value_to<std::string>(told.at("addresses").as_array()[0].at("host"));
    std::size_t home = 0;
    while (fleet.m_hosts[home].m_name != name)
        ++home;
    return home;
}

std::string issueTicket(const Endpoint &host)
{
    const Reply reply = send(host, "POST", "/v1/tickets", {}, "", {2'000});
    if (!reply.m_whole || reply.m_status != 200)
        return {};
    return json::value_to<std::string>(json::parse(reply.m_body).at("ticket"));
}

Reply book(const Endpoint &host, const std::string &ticket, const std::string &id)
{
    return send(host, "POST", "/v1/services/bookings/book",
                {{"Request-Id", id}, {"Ticket", ticket}}, "{}", {6'000});
}

} // namespace

class RequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestsTest);
    CPPUNIT_TEST(burstAtManyHostsLoadsOnce);
    CPPUNIT_TEST(crossedAndCutAnswersReachNobodyElse);
    CPPUNIT_TEST(bookingsRunAtMostOnceThroughKillsAndCuts);
    CPPUNIT_TEST(retriedRequestIsNotCalledUnrun);
    CPPUNIT_TEST(plannedStopCutsNoRequest);
    CPPUNIT_TEST(killedHomeIsNeverPassedAsWhole);
    CPPUNIT_TEST(frozenHomeHoldsUpNobodyForLong);
    CPPUNIT_TEST(callerLeavingCancelsTheStream);
    CPPUNIT_TEST(badRequestsGetClearErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void burstAtManyHostsLoadsOnce()
    {
        Fleet fleet;
        startFleet(fleet, 9, {{}, {}}, 0);
        constexpr int callers = 100;
        std::atomic<int> whole = 0;
        inParallel(callers, [&](int i) {
            const std::string id = "burst-" + std::to_string(i);
            const Process &host = fleet.m_hosts[static_cast<std::size_t>(i) % 9];
            if (isWholeDraft(draft(host.m_main, id, 4, longDeadline), id, 4))
                ++whole;
        });
        CPPUNIT_ASSERT_EQUAL(callers, whole.load());
        CPPUNIT_ASSERT_EQUAL(1, loadsOf(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    void crossedAndCutAnswersReachNobodyElse()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 1);
        CPPUNIT_ASSERT(
            isWholeDraft(draft(fleet.m_hosts[0].m_main, "first", 4, longDeadline), "first", 4));
        setFault(fleet.m_engines[0], "mode=cross&count=2");
        for (int i = 0; i < 4; ++i) {
            const std::string id = "crossed-" + std::to_string(i);
            const Reply reply
                = draft(fleet.m_hosts[static_cast<std::size_t>(i) % 3].m_main, id, 4, longDeadline);
            CPPUNIT_ASSERT_MESSAGE(reply.m_body, isWholeDraft(reply, id, 4));
        }
        setFault(fleet.m_engines[0], "mode=cut&count=2&after=2");
        const Reply cut = draft(fleet.m_hosts[0].m_main, "cut", 6, longDeadline);
        CPPUNIT_ASSERT_MESSAGE(cut.m_body, isWholeDraft(cut, "cut", 6));
        setFault(fleet.m_services[0], "mode=cross&count=1");
        const Reply crossed
            = book(fleet.m_hosts[0].m_main, issueTicket(fleet.m_hosts[0].m_main), "crossed-book");
        CPPUNIT_ASSERT_EQUAL(502U, crossed.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), crossed.m_run);
    }

    void bookingsRunAtMostOnceThroughKillsAndCuts()
    {
        Fleet fleet;
        startFleet(fleet, 4, {{}}, 1);
        constexpr int bookings = 200;
        constexpr int callers = 10;
        std::vector<std::vector<Reply>> replies(bookings);
        std::atomic<int> begun = 0;
        std::thread trouble([&] {
            const auto reached
                = [&](int many) { return eventually([&] { return begun >= many; }, {20'000}); };
            reached(40);
            setFault(fleet.m_services[0], "mode=cut-after&count=10");
            reached(80);
            signalProcess(fleet.m_hosts[2], SIGKILL);
            setFault(fleet.m_services[0], "mode=cut-before&count=10");
            reached(120);
            signalProcess(fleet.m_hosts[3], SIGKILL);
            startProcess(fleet.m_hosts[2], fleet);
            setFault(fleet.m_services[0], "mode=slow&count=5&ms=300");
        });
        inParallel(callers, [&](int caller) {
            for (int i = caller; i < bookings; i += callers) {
                ++begun;
                const std::string id = "booking-" + std::to_string(i);
                const auto first = static_cast<std::size_t>(i) % 4;
                const std::string ticket = issueTicket(fleet.m_hosts[first].m_main);
                if (ticket.empty())
                    continue;
                // A caller that hears nothing tries again, anywhere, with the same ticket.
                for (std::size_t again = 0; again < 3; ++again) {
                    const Reply reply = book(fleet.m_hosts[(first + again) % 4].m_main, ticket, id);
                    replies[static_cast<std::size_t>(i)].push_back(reply);
                    if (reply.m_whole && reply.m_status == 200)
                        break;
                }
            }
        });
        trouble.join();
        int served = 0;
        for (int i = 0; i < bookings; ++i) {
            const std::string id = "booking-" + std::to_string(i);
            const int runs = runsAt(fleet.m_services[0], id);
            CPPUNIT_ASSERT_MESSAGE(id, runs <= 1);
            for (const Reply &reply : replies[static_cast<std::size_t>(i)]) {
                if (reply.m_whole && reply.m_status == 200) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, runs);
                    ++served;
                }
                if (reply.m_whole && reply.m_run == "not-run")
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(id + " was called not run: " + reply.m_body, 0,
                                                 runs);
            }
        }
        CPPUNIT_ASSERT_MESSAGE("most bookings are served", served > bookings / 2);
    }

    void retriedRequestIsNotCalledUnrun()
    {
        Fleet fleet;
        startFleet(fleet, 1, {{}}, 1);
        // It runs, then the service dies: the retry is refused, but the request did run.
        setFault(fleet.m_services[0], "mode=die-after&count=1");
        const Reply reply = send(fleet.m_hosts[0].m_main, "POST", "/v1/services/bookings/lookup",
                                 {{"Request-Id", "retried"}}, "{}", {5'000});
        CPPUNIT_ASSERT(reply.m_whole && reply.m_status != 200);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.m_body, std::string("unknown"), reply.m_run);
    }

    void plannedStopCutsNoRequest()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 1);
        CPPUNIT_ASSERT(
            isWholeDraft(draft(fleet.m_hosts[0].m_main, "warm", 2, longDeadline), "warm", 2));
        std::atomic<bool> stop = false;
        std::atomic<int> answered = 0;
        std::atomic<int> cut = 0;
        std::thread load([&] {
            inParallel(12, [&](int caller) {
                for (int i = 0; !stop; ++i) {
                    // A caller keeps an address for as long as it was told, then asks again.
                    const std::string id
                        = "stop-" + std::to_string(caller) + "-" + std::to_string(i);
                    const json::value told = fetchJson(
                        fleet.m_hosts[1].m_main, "/v1/address?service=tasting&model=tasting-notes");
                    const auto &addresses = told.at("addresses").as_array();
                    const auto &chosen
                        = addresses[static_cast<std::size_t>(caller) % addresses.size()];
                    const auto address
                        = parseEndpoint(json::value_to<std::string>(chosen.at("address")));
                    isWholeDraft(draft(*address, id, 20, longDeadline), id, 20) ? ++answered
                                                                                : ++cut;
                }
            });
        });
        const bool underWay = eventually([&] { return answered > 50; }, {20'000});
        signalProcess(fleet.m_hosts[0], SIGTERM);
        const int code = waitExit(fleet.m_hosts[0]);
        const int before = answered;
        const bool goesOn = eventually([&] { return answered > before + 50; }, {20'000});
        stop = true;
        load.join();
        CPPUNIT_ASSERT(underWay && goesOn);
        CPPUNIT_ASSERT_EQUAL(0, code);
        CPPUNIT_ASSERT_EQUAL(0, cut.load());
    }

    void killedHomeIsNeverPassedAsWhole()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 0);
        CPPUNIT_ASSERT(
            isWholeDraft(draft(fleet.m_hosts[0].m_main, "warm", 2, longDeadline), "warm", 2));
        const std::size_t home = homeOf(fleet, "tasting-notes");
        const std::size_t other = (home + 1) % 3;
        Reply reply;
        std::thread caller(
            [&] { reply = draft(fleet.m_hosts[other].m_main, "hard", 400, longDeadline); });
        const auto runs = [&] { return runsAt(fleet.m_engines[0], "hard") > 0; };
        const bool started = eventually(runs, {5'000});
        signalProcess(fleet.m_hosts[home], SIGKILL);
        caller.join();
        CPPUNIT_ASSERT(started);
        // The stream went through the home: it is broken off and says so, never passed as whole.
        const bool honest = isWholeDraft(reply, "hard", 400)
            || (!reply.m_whole && count(reply.m_body, "event: broken") == 1
                && count(reply.m_body, "event: done") == 0);
        CPPUNIT_ASSERT_MESSAGE(reply.m_body.substr(0, 300), honest);
        const auto served = [&] {
            return isWholeDraft(draft(fleet.m_hosts[other].m_main, "after", 4, longDeadline),
                                "after", 4);
        };
        CPPUNIT_ASSERT(served());
    }

    void frozenHomeHoldsUpNobodyForLong()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 1);
        CPPUNIT_ASSERT(
            isWholeDraft(draft(fleet.m_hosts[0].m_main, "warm", 2, longDeadline), "warm", 2));
        const std::size_t home = homeOf(fleet, "tasting-notes");
        const std::string ticket = issueTicket(fleet.m_hosts[home].m_main);
        const Endpoint other = fleet.m_hosts[(home + 1) % 3].m_main;
        signalProcess(fleet.m_hosts[home], SIGSTOP);
        const bool whole = isWholeDraft(draft(other, "frozen", 4, longDeadline), "frozen", 4);
        const Reply booking = book(other, ticket, "frozen-book");
        signalProcess(fleet.m_hosts[home], SIGCONT);
        CPPUNIT_ASSERT(whole);
        CPPUNIT_ASSERT_MESSAGE(booking.m_body, booking.m_run == "unknown");
        // Woken, the issuer may find the request that reached it; never does it run twice.
        const auto answered
            = [&] { return book(fleet.m_hosts[home].m_main, ticket, "frozen-book").m_whole; };
        CPPUNIT_ASSERT(eventually(answered, {6'000}));
        CPPUNIT_ASSERT(runsAt(fleet.m_services[0], "frozen-book") <= 1);
    }

    void callerLeavingCancelsTheStream()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 0);
        CPPUNIT_ASSERT(
            isWholeDraft(draft(fleet.m_hosts[0].m_main, "warm", 2, longDeadline), "warm", 2));
        for (const Process &host : fleet.m_hosts)
            send(host.m_main, "POST", "/v1/services/tasting/draft?model=tasting-notes", {},
                 "{\"max_tokens\":3000}", {300}); // hangs up in the middle
        const auto cancelled = [&] {
            return fetchJson(fleet.m_engines[0].m_main, "/standin/books")
                       .at("cancelled")
                       .to_number<int>()
                == 2;
        };
        CPPUNIT_ASSERT(eventually(cancelled, {5'000}));
    }

    void badRequestsGetClearErrors()
    {
        Fleet fleet;
        startFleet(fleet, 1, {{}}, 1);
        const Endpoint host = fleet.m_hosts[0].m_main;
        const auto status = [&](const std::string &target, const std::vector<HttpField> &fields,
                                const std::string &body) {
            const Reply reply = send(host, "POST", target, fields, body, {3'000});
            CPPUNIT_ASSERT_MESSAGE(target, reply.m_whole);
            CPPUNIT_ASSERT_MESSAGE(reply.m_body, count(reply.m_body, "\"run\":\"not-run\"") == 1);
            return reply.m_status;
        };
        const std::string good = "/v1/services/tasting/draft?model=tasting-notes";
        CPPUNIT_ASSERT_EQUAL(404U, status("/nothing", {}, ""));
        CPPUNIT_ASSERT_EQUAL(404U, status("/v1/services/none/draft", {}, ""));
        CPPUNIT_ASSERT_EQUAL(404U, status("/v1/services/tasting/none", {}, ""));
        CPPUNIT_ASSERT_EQUAL(404U, status("/v1/services/tasting/draft?model=none", {}, ""));
        CPPUNIT_ASSERT_EQUAL(404U, status(good + "&adapter=none", {}, ""));
        CPPUNIT_ASSERT_EQUAL(400U, status(good, {{"Deadline-Ms", "soon"}}, ""));
        CPPUNIT_ASSERT_EQUAL(400U, status(good, {{"Request-Id", "a b"}}, ""));
        CPPUNIT_ASSERT_EQUAL(400U, status(good, {{"Ticket", "x"}}, ""));
        CPPUNIT_ASSERT_EQUAL(413U, status(good, {}, std::string(2 << 20, 'x')));
        CPPUNIT_ASSERT_EQUAL(503U, status(good, {{"Deadline-Ms", "50"}}, "{}"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestsTest);
