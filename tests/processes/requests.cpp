// Process tests of the guarantees for requests to apricotd: one load for concurrent requests, at
// most one run for a booking, no response of another request and no truncated response taken for
// complete.
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

bool isCompleteDraft(const Reply &reply, const std::string &id, int tokens)
{
    return reply.m_whole && reply.m_status == 200 && count(reply.m_body, "event: token") == tokens
        && count(reply.m_body, "event: done") == 1
        && count(reply.m_body, "id: " + id + "/") == tokens + 1;
}

/// Runs the work on several threads at once; each call gets the index of its thread.
void inParallel(int threads, const std::function<void(int)> &work)
{
    std::vector<std::thread> running;
    running.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i)
        running.emplace_back(work, i);
    for (std::thread &thread : running)
        thread.join();
}

/// Index of the host that is the home of the model.
std::size_t homeOf(const Fleet &fleet, const std::string &model)
{
    const json::value addressResponse
        = fetchJson(fleet.m_hosts[0].m_listenAddress, "/v1/address?service=tasting&model=" + model);
    const auto name
        = json::value_to<std::string>(addressResponse.at("addresses").as_array()[0].at("host"));
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
    CPPUNIT_TEST(concurrentRequestsOnManyHostsCauseOneLoad);
    CPPUNIT_TEST(crossedAndTruncatedResponsesNeverReachCallers);
    CPPUNIT_TEST(responseWithoutAStatusReachesNoCaller);
    CPPUNIT_TEST(bookingsRunAtMostOnceDespiteHostAndConnectionFailures);
    CPPUNIT_TEST(failedRetryDoesNotReportNotRun);
    CPPUNIT_TEST(plannedStopFailsNoRequest);
    CPPUNIT_TEST(responseTruncatedByKilledHomeIsReportedBroken);
    CPPUNIT_TEST(requestsAreServedWhileHomeIsSuspended);
    CPPUNIT_TEST(callerDisconnectCancelsStream);
    CPPUNIT_TEST(invalidRequestsAreRefusedAsNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a load for each host: 100 callers request a model at nine hosts at once, while
    // no replica of it is loaded. The owner of the cell must combine the hosts' demand into one
    // load.
    void concurrentRequestsOnManyHostsCauseOneLoad()
    {
        Fleet fleet;
        startFleet(fleet, 9, {{}, {}}, 0);
        constexpr int callers = 100;
        std::atomic<int> complete = 0;
        inParallel(callers, [&](int i) {
            const std::string id = "burst-" + std::to_string(i);
            const Process &host = fleet.m_hosts[static_cast<std::size_t>(i) % 9];
            if (isCompleteDraft(draft(host.m_listenAddress, id, 4, longDeadline), id, 4))
                ++complete;
        });
        CPPUNIT_ASSERT_EQUAL(callers, complete.load());
        CPPUNIT_ASSERT_EQUAL(1, loadsOf(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    // Guards against a response that reaches the wrong caller or passes for complete. The engine
    // first sends responses with the id of another request, then truncates streams; each time the
    // request must be retried. A booking can't be retried, so the caller must read that its run
    // state is unknown.
    void crossedAndTruncatedResponsesNeverReachCallers()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 1);
        CPPUNIT_ASSERT(isCompleteDraft(
            draft(fleet.m_hosts[0].m_listenAddress, "first", 4, longDeadline), "first", 4));
        setFault(fleet.m_engines[0], "mode=cross&count=2");
        for (int i = 0; i < 4; ++i) {
            const std::string id = "crossed-" + std::to_string(i);
            const Reply reply
                = draft(fleet.m_hosts[static_cast<std::size_t>(i) % 3].m_listenAddress, id, 4,
                        longDeadline);
            CPPUNIT_ASSERT_MESSAGE(reply.m_body, isCompleteDraft(reply, id, 4));
        }
        setFault(fleet.m_engines[0], "mode=cut&count=2&after=2");
        const Reply cut = draft(fleet.m_hosts[0].m_listenAddress, "cut", 6, longDeadline);
        CPPUNIT_ASSERT_MESSAGE(cut.m_body, isCompleteDraft(cut, "cut", 6));
        setFault(fleet.m_services[0], "mode=cross&count=1");
        const Reply crossed = book(fleet.m_hosts[0].m_listenAddress,
                                   issueTicket(fleet.m_hosts[0].m_listenAddress), "crossed-book");
        CPPUNIT_ASSERT_EQUAL(502U, crossed.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), crossed.m_run);
    }

    // Guards against a caller that gets the status 000 of a service in trouble, directly or by way
    // of the host that issued the ticket. The booking ran, so nobody may say that it did not.
    void responseWithoutAStatusReachesNoCaller()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 1);
        setFault(fleet.m_services[0], "mode=no-status");
        const Endpoint issuer = fleet.m_hosts[0].m_listenAddress;
        for (const Process &host : fleet.m_hosts) {
            const std::string id = "no-status-" + host.m_name;
            const Reply reply = book(host.m_listenAddress, issueTicket(issuer), id);
            CPPUNIT_ASSERT_EQUAL(502U, reply.m_status);
            CPPUNIT_ASSERT_EQUAL(std::string("unknown"), reply.m_run);
            CPPUNIT_ASSERT_EQUAL(1, runsAt(fleet.m_services[0], id));
        }
    }

    // Guards against a booking that runs twice, and against one that ran and is reported as
    // not-run. Both can happen when a connection to the service breaks after or before the request
    // ran, or when the host that issued the ticket is killed and the caller repeats the request at
    // another host.
    void bookingsRunAtMostOnceDespiteHostAndConnectionFailures()
    {
        Fleet fleet;
        startFleet(fleet, 4, {{}}, 1);
        constexpr int bookings = 200;
        constexpr int callers = 10;
        std::vector<std::vector<Reply>> replies(bookings);
        std::atomic<int> started = 0;
        std::thread faultThread([&] {
            const auto reached = [&](int bookingCount) {
                return eventually([&] { return started >= bookingCount; }, {20'000});
            };
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
                ++started;
                const std::string id = "booking-" + std::to_string(i);
                const auto first = static_cast<std::size_t>(i) % 4;
                const std::string ticket = issueTicket(fleet.m_hosts[first].m_listenAddress);
                if (ticket.empty())
                    continue;
                // Until it succeeds, the caller repeats the request with the same ticket at the
                // next host, three times at most.
                for (std::size_t attempt = 0; attempt < 3; ++attempt) {
                    const Reply reply
                        = book(fleet.m_hosts[(first + attempt) % 4].m_listenAddress, ticket, id);
                    replies[static_cast<std::size_t>(i)].push_back(reply);
                    if (reply.m_whole && reply.m_status == 200)
                        break;
                }
            }
        });
        faultThread.join();
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
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        id + " ran but was reported as not-run: " + reply.m_body, 0, runs);
            }
        }
        CPPUNIT_ASSERT_MESSAGE("most bookings are served", served > bookings / 2);
    }

    // Guards against a failed retry that hides the run of the first attempt: the service runs the
    // request, then dies before it responds. The connection for the retry is refused, which alone
    // would mean not-run, but the request did run.
    void failedRetryDoesNotReportNotRun()
    {
        Fleet fleet;
        startFleet(fleet, 1, {{}}, 1);
        setFault(fleet.m_services[0], "mode=die-after&count=1");
        const Reply reply
            = send(fleet.m_hosts[0].m_listenAddress, "POST", "/v1/services/bookings/lookup",
                   {{"Request-Id", "retried"}}, "{}", {5'000});
        CPPUNIT_ASSERT(reply.m_whole && reply.m_status != 200);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.m_body, std::string("unknown"), reply.m_run);
    }

    // Guards against requests that fail while a host stops as planned: one of three hosts gets
    // SIGTERM under load. It must serve its requests to the end and disappear from address
    // responses early enough that no caller connects to it after it has stopped.
    void plannedStopFailsNoRequest()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 1);
        CPPUNIT_ASSERT(isCompleteDraft(
            draft(fleet.m_hosts[0].m_listenAddress, "warm", 2, longDeadline), "warm", 2));
        std::atomic<bool> stop = false;
        std::atomic<int> answered = 0;
        std::atomic<int> failed = 0;
        std::thread load([&] {
            inParallel(12, [&](int caller) {
                for (int i = 0; !stop; ++i) {
                    // Each request uses an address from a new response, so no caller keeps one
                    // longer than its keep_ms.
                    const std::string id
                        = "stop-" + std::to_string(caller) + "-" + std::to_string(i);
                    const json::value addressResponse
                        = fetchJson(fleet.m_hosts[1].m_listenAddress,
                                    "/v1/address?service=tasting&model=tasting-notes");
                    const auto &addresses = addressResponse.at("addresses").as_array();
                    const auto &chosen
                        = addresses[static_cast<std::size_t>(caller) % addresses.size()];
                    const auto address
                        = parseEndpoint(json::value_to<std::string>(chosen.at("address")));
                    isCompleteDraft(draft(*address, id, 20, longDeadline), id, 20) ? ++answered
                                                                                   : ++failed;
                }
            });
        });
        const bool loadStarted = eventually([&] { return answered > 50; }, {20'000});
        signalProcess(fleet.m_hosts[0], SIGTERM);
        const int code = waitExit(fleet.m_hosts[0]);
        const int before = answered;
        const bool loadContinued = eventually([&] { return answered > before + 50; }, {20'000});
        stop = true;
        load.join();
        CPPUNIT_ASSERT(loadStarted && loadContinued);
        CPPUNIT_ASSERT_EQUAL(0, code);
        CPPUNIT_ASSERT_EQUAL(0, failed.load());
    }

    // Guards against a truncated stream that passes for complete: the caller is connected to
    // another host, which relays the stream of the model's home, and the home is killed in the
    // middle of it.
    void responseTruncatedByKilledHomeIsReportedBroken()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 0);
        CPPUNIT_ASSERT(isCompleteDraft(
            draft(fleet.m_hosts[0].m_listenAddress, "warm", 2, longDeadline), "warm", 2));
        const std::size_t home = homeOf(fleet, "tasting-notes");
        const std::size_t other = (home + 1) % 3;
        Reply reply;
        std::thread caller([&] {
            reply = draft(fleet.m_hosts[other].m_listenAddress, "hard", 400, longDeadline);
        });
        const auto runs = [&] { return runsAt(fleet.m_engines[0], "hard") > 0; };
        const bool started = eventually(runs, {5'000});
        signalProcess(fleet.m_hosts[home], SIGKILL);
        caller.join();
        CPPUNIT_ASSERT(started);
        // Either the stream is complete, or it ends with an event that says that it is broken.
        const bool reportedCorrectly = isCompleteDraft(reply, "hard", 400)
            || (!reply.m_whole && count(reply.m_body, "event: broken") == 1
                && count(reply.m_body, "event: done") == 0);
        CPPUNIT_ASSERT_MESSAGE(reply.m_body.substr(0, 300), reportedCorrectly);
        const auto served = [&] {
            return isCompleteDraft(
                draft(fleet.m_hosts[other].m_listenAddress, "after", 4, longDeadline), "after", 4);
        };
        CPPUNIT_ASSERT(served());
    }

    // Guards against requests that wait for a host which accepts connections but does not respond:
    // the model's home is suspended with SIGSTOP. Other requests must be served without it. A
    // booking whose ticket that host issued can't be served, and its run state must be reported as
    // unknown; it must not run twice when the host resumes.
    void requestsAreServedWhileHomeIsSuspended()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 1);
        CPPUNIT_ASSERT(isCompleteDraft(
            draft(fleet.m_hosts[0].m_listenAddress, "warm", 2, longDeadline), "warm", 2));
        const std::size_t home = homeOf(fleet, "tasting-notes");
        const std::string ticket = issueTicket(fleet.m_hosts[home].m_listenAddress);
        const Endpoint other = fleet.m_hosts[(home + 1) % 3].m_listenAddress;
        signalProcess(fleet.m_hosts[home], SIGSTOP);
        const bool complete = isCompleteDraft(draft(other, "frozen", 4, longDeadline), "frozen", 4);
        const Reply booking = book(other, ticket, "frozen-book");
        signalProcess(fleet.m_hosts[home], SIGCONT);
        CPPUNIT_ASSERT(complete);
        CPPUNIT_ASSERT_MESSAGE(booking.m_body, booking.m_run == "unknown");
        // The resumed host, which issued the ticket, may still run the request that was forwarded
        // to it. The repeated request must then not run a second time.
        const auto answered = [&] {
            return book(fleet.m_hosts[home].m_listenAddress, ticket, "frozen-book").m_whole;
        };
        CPPUNIT_ASSERT(eventually(answered, {6'000}));
        CPPUNIT_ASSERT(runsAt(fleet.m_services[0], "frozen-book") <= 1);
    }

    // Guards against generation that continues for a caller who has disconnected: each of two hosts
    // gets a request for 3000 tokens, and the caller disconnects after 300 ms.
    void callerDisconnectCancelsStream()
    {
        Fleet fleet;
        startFleet(fleet, 2, {{}}, 0);
        CPPUNIT_ASSERT(isCompleteDraft(
            draft(fleet.m_hosts[0].m_listenAddress, "warm", 2, longDeadline), "warm", 2));
        for (const Process &host : fleet.m_hosts)
            send(host.m_listenAddress, "POST", "/v1/services/tasting/draft?model=tasting-notes", {},
                 "{\"max_tokens\":3000}", {300}); // disconnects in the middle of the stream
        const auto cancelled = [&] {
            return fetchJson(fleet.m_engines[0].m_listenAddress, "/standin/books")
                       .at("cancelled")
                       .to_number<int>()
                == 2;
        };
        CPPUNIT_ASSERT(eventually(cancelled, {5'000}));
    }

    // Guards against an invalid request that is run, or refused without a clear status: each must
    // get its status and the run state not-run.
    void invalidRequestsAreRefusedAsNotRun()
    {
        Fleet fleet;
        startFleet(fleet, 1, {{}}, 1);
        const Endpoint host = fleet.m_hosts[0].m_listenAddress;
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
