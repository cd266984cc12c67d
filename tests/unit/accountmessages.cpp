// Tests of the messages between hosts on limits of client accounts, on a manual clock with the
// other host played by a socket: replies and returns may be late, come twice, or overtake each
// other.
#include "process/accountgate.h"
#include "testgateway.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricot;

namespace {

constexpr std::uint64_t account = 77;
constexpr double cost = 40;
constexpr double burst = 100;

wire::BeatT messageFrom(const char *host)
{
    wire::BeatT message;
    message.host = host;
    message.brief = true;
    return message;
}

/// The configuration has one account with a limit.
struct AccountPlay : TestGateway
{
    AccountPlay()
    {
        auto routes = std::make_shared<RouteTable>();
        routes->m_version = 1;
        Account limited;
        limited.m_limit = {10, burst, true, 200};
        routes->m_accounts.m_accounts[{account}] = limited;
        m_gateway->m_routes = routes;
        begin(*m_gateway, "receive_heartbeats", receiveHeartbeats(*m_gateway));
    }

    /// All messages that the gateway sent up to now, and those with which it answers what the other
    /// host has sent: datagrams between two sockets keep their order.
    std::vector<wire::BeatT> messages()
    {
        wire::BeatT last = messageFrom("h1");
        last.confirmation_ask = 99;
        send(last);
        std::vector<wire::BeatT> all;
        bool complete = false;
        CPPUNIT_ASSERT(runUntil([&] {
            for (wire::BeatT &message : m_peer->received()) {
                complete |= message.confirmation_reply != nullptr;
                all.push_back(std::move(message));
            }
            return complete;
        }));
        return all;
    }

    int returns()
    {
        int count = 0;
        for (const wire::BeatT &message : messages())
            count += message.quota_return ? 1 : 0;
        return count;
    }
};

/// A host that asks the lease holder, which is the other host.
struct AskingPlay : AccountPlay
{
    AskingPlay()
    {
        m_gateway->m_holder = {"h1"};
        m_gateway->m_holderHeartbeatAt = now(*m_gateway);
        begin(*m_gateway, "ask", ask());
    }

    asio::awaitable<void> ask()
    {
        m_grant = co_await askForQuota(*m_gateway, {account}, cost);
        m_done = true;
    }

    /// Waits until the question has been sent so many times.
    void awaitAsks(int count)
    {
        CPPUNIT_ASSERT(runUntil([&] {
            for (const wire::BeatT &message : m_peer->received()) {
                if (message.quota_ask) {
                    m_number = message.quota_ask->number;
                    m_asks += 1;
                }
            }
            return m_asks >= count;
        }));
    }

    void awaitEnd()
    {
        CPPUNIT_ASSERT(runUntil([&] { return m_done; }));
    }

    void reply(bool decided, bool granted)
    {
        wire::BeatT message = messageFrom("h1");
        message.quota_reply = std::make_unique<wire::QuotaReplyT>();
        message.quota_reply->number = m_number;
        message.quota_reply->decided = decided;
        message.quota_reply->granted = granted;
        send(message);
    }

    bool isGranted() const { return m_grant && m_grant->m_reply.m_granted; }

    std::optional<QuotaGrant> m_grant;
    bool m_done = false;
    std::uint64_t m_number = 0;
    int m_asks = 0;
};

/// The lease holder, which the other host asks.
struct HoldingPlay : AccountPlay
{
    HoldingPlay()
    {
        confirmLease(m_gateway->m_lease, m_gateway->m_leaseTiming, {{"h0"}, "run", 1}, 1,
                     now(*m_gateway), now(*m_gateway));
        beginLedger(*m_gateway);
        m_gateway->m_clock.m_now = m_gateway->m_clock.m_now + Millis{1'000}; // the bucket has 10
        askAs(1, 0);                                                         // creates it
        m_gateway->m_accounts->m_ledger.m_buckets[{account}].m_level = burst;
    }

    /// Asks for a request of that cost; returns whether it was granted.
    bool askAs(std::uint64_t number, double requestCost)
    {
        wire::BeatT message = messageFrom("h1");
        message.quota_ask = std::make_unique<wire::QuotaAskT>();
        message.quota_ask->number = number;
        message.quota_ask->account = account;
        message.quota_ask->cost = requestCost;
        send(message);
        bool granted = false;
        for (const wire::BeatT &reply : messages())
            granted |= reply.quota_reply && reply.quota_reply->granted;
        return granted;
    }

    void giveBack(std::uint64_t number)
    {
        wire::BeatT message = messageFrom("h1");
        message.quota_return = std::make_unique<wire::QuotaReturnT>();
        message.quota_return->number = number;
        send(message);
        messages();
    }

    double level() { return m_gateway->m_accounts->m_ledger.m_buckets[{account}].m_level; }
};

} // namespace

class AccountMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AccountMessagesTest);
    CPPUNIT_TEST(grantIsNotGivenBackByTheReplyToItsRepeatedQuestion);
    CPPUNIT_TEST(refusalAfterAGrantChangesNothing);
    CPPUNIT_TEST(grantThatComesTooLateIsGivenBackOnce);
    CPPUNIT_TEST(grantAfterAnotherHostDidntDecideIsGivenBackOnce);
    CPPUNIT_TEST(returnThatComesTwiceCountsOnce);
    CPPUNIT_TEST(questionThatComesAfterTheReturnTakesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an account that uses a grant twice: the holder answers both questions of a
    /// request late, and the second reply passed for a grant that nobody takes.
    void grantIsNotGivenBackByTheReplyToItsRepeatedQuestion()
    {
        AskingPlay play;
        play.awaitAsks(2);
        play.reply(true, true);
        play.awaitEnd();
        CPPUNIT_ASSERT(play.isGranted());
        play.reply(true, true);
        play.reply(true, true); // the network may repeat a datagram
        CPPUNIT_ASSERT_EQUAL(0, play.returns());
    }

    /// Guards against a grant that is lost or taken twice as two holders reply to one question.
    void refusalAfterAGrantChangesNothing()
    {
        AskingPlay play;
        play.awaitAsks(1);
        play.reply(true, true);
        play.reply(false, false);
        play.reply(true, true);
        play.awaitEnd();
        CPPUNIT_ASSERT(play.isGranted());
        CPPUNIT_ASSERT_EQUAL(0, play.returns());
    }

    /// Guards against an account that loses what was granted to requests that were refused, and
    /// against a grant that is returned more than once.
    void grantThatComesTooLateIsGivenBackOnce()
    {
        AskingPlay play;
        play.awaitEnd();
        CPPUNIT_ASSERT(!play.m_grant);
        play.awaitAsks(2);
        play.reply(true, true);
        play.reply(true, true);
        CPPUNIT_ASSERT_EQUAL(1, play.returns());
    }

    /// Guards against the same where the first reply came from a host that had lost the lease.
    void grantAfterAnotherHostDidntDecideIsGivenBackOnce()
    {
        AskingPlay play;
        play.awaitAsks(1);
        play.reply(false, false);
        play.awaitEnd();
        CPPUNIT_ASSERT(!play.m_grant);
        play.reply(false, false);
        play.reply(true, true);
        play.reply(true, true);
        CPPUNIT_ASSERT_EQUAL(1, play.returns());
    }

    /// Guards against an account that is credited twice for one request, as a datagram came twice.
    void returnThatComesTwiceCountsOnce()
    {
        HoldingPlay play;
        CPPUNIT_ASSERT(play.askAs(5, cost));
        CPPUNIT_ASSERT_EQUAL(burst - cost, play.level());
        play.giveBack(5);
        play.giveBack(5);
        CPPUNIT_ASSERT_EQUAL(burst, play.level());
    }

    /// Guards against a grant that nobody takes or returns: the repetition of a question arrives
    /// after the return of its grant.
    void questionThatComesAfterTheReturnTakesNothing()
    {
        HoldingPlay play;
        CPPUNIT_ASSERT(play.askAs(5, cost));
        play.giveBack(5);
        CPPUNIT_ASSERT(!play.askAs(5, cost));
        play.giveBack(5);
        CPPUNIT_ASSERT_EQUAL(burst, play.level());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountMessagesTest);
