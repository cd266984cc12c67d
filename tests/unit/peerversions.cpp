// Tests of API keys while the store lacks a version of the configuration that other hosts have, on
// a manual clock with the other host played by a socket.
#include "process/accountgate.h"
#include "testgateway.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricot;

namespace {

/// A host that has version 2 of a configuration with a key, and reads it in the second era of the
/// store. The other host is in the register.
struct VersionPlay : TestGateway
{
    VersionPlay()
    {
        setVersion(2);
        m_gateway->m_settings.m_keyCheckWithin = {5'000};
        m_gateway->m_registerRead = true;
        m_gateway->m_serverTableLoaded = true;
        m_gateway->m_storeEra = 2;
        begin(*m_gateway, "receive_heartbeats", receiveHeartbeats(*m_gateway));
    }

    void setVersion(std::uint64_t version)
    {
        auto routes = std::make_shared<RouteTable>();
        routes->m_version = version;
        routes->m_accounts.m_required = true;
        addAccount(routes->m_accounts, {{"bakers"}, {}, {}}, {"key"});
        m_gateway->m_routes = routes;
    }

    /// The store answers a read that begins now.
    void read() { recordConfigurationRead(*m_gateway, 1, now(*m_gateway)); }

    void advance(Millis time) { m_gateway->m_clock.m_now = m_gateway->m_clock.m_now + time; }

    bool isKeyAccepted() const
    {
        const KeyCheck check = {"key", false, {5'000}, now(*m_gateway)};
        const KeyConfirmation &confirmation = m_gateway->m_accounts->m_confirmation;
        return checkKey(m_gateway->m_routes->m_accounts, confirmation, check).m_verdict
            == KeyVerdict::Accepted;
    }

    bool isSurveyDone() const
    {
        return m_gateway->m_accounts->m_peerVersions.m_survey.m_doneInEra == m_gateway->m_storeEra;
    }

    /// Waits for a question for the confirmation and replies that the other host has that version.
    void replyWithVersion(std::uint64_t version)
    {
        std::uint64_t number = 0;
        CPPUNIT_ASSERT(runUntil([&] {
            for (const wire::BeatT &heartbeat : m_peer->received())
                number = std::max(number, heartbeat.confirmation_ask);
            return number > 0;
        }));
        wire::BeatT reply;
        reply.host = "h1";
        reply.brief = true;
        reply.confirmation_reply = std::make_unique<wire::ConfirmationReplyT>();
        reply.confirmation_reply->number = number;
        reply.confirmation_reply->version = version;
        reply.confirmation_reply->age_ms = 1'000'000;
        send(reply);
    }

    /// Completes the survey of this era with the reply of the other host.
    void survey(std::uint64_t version)
    {
        surveyVersionsIfDue(*m_gateway);
        replyWithVersion(version);
        CPPUNIT_ASSERT(runUntil([&] { return isSurveyDone(); }));
    }
};

} // namespace

class PeerVersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerVersionsTest);
    CPPUNIT_TEST(noReadConfirmsKeysBeforeTheOtherHostsReplied);
    CPPUNIT_TEST(noReadConfirmsKeysWhileAnotherHostHasANewerVersion);
    CPPUNIT_TEST(newerVersionHeardLaterWithdrawsTheConfirmation);
    CPPUNIT_TEST(newVersionThatIsHeardFirstWithdrawsNothing);
    CPPUNIT_TEST(hostsThatAreGoneHoldNoKeysBack);
    CPPUNIT_TEST(hostThatIsNotKnownYetGetsAReply);
    CPPUNIT_TEST(startingHostIsReadyOnceItHasTheVersionOfTheOthers);
    CPPUNIT_TEST(startingHostIsReadyInTheEndIfTheVersionNeverComes);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a withdrawn key that runs at a host that starts after the store came back
    /// from a copy: its first read must not confirm what the other hosts know to be outdated.
    void noReadConfirmsKeysBeforeTheOtherHostsReplied()
    {
        VersionPlay play;
        play.read();
        CPPUNIT_ASSERT(!play.isKeyAccepted());
        play.survey(2);
        CPPUNIT_ASSERT(play.isKeyAccepted());
    }

    /// Guards against the same with each further read, until the version has been written again.
    void noReadConfirmsKeysWhileAnotherHostHasANewerVersion()
    {
        VersionPlay play;
        play.survey(3);
        for (int reads = 0; reads < 3; ++reads) {
            play.read();
            CPPUNIT_ASSERT(!play.isKeyAccepted());
            play.advance({1'000});
        }
        play.setVersion(4);
        play.read();
        CPPUNIT_ASSERT(play.isKeyAccepted());
    }

    /// Guards against the same where the host with the newer version didn't reply in time: the next
    /// read that lacks the version withdraws what was confirmed.
    void newerVersionHeardLaterWithdrawsTheConfirmation()
    {
        VersionPlay play;
        play.survey(2);
        play.read();
        CPPUNIT_ASSERT(play.isKeyAccepted());
        wire::BeatT heartbeat;
        heartbeat.host = "h1";
        heartbeat.routes = 3;
        play.send(heartbeat);
        CPPUNIT_ASSERT(play.runUntil([&] { return isBehindPeers(*play.m_gateway); }));
        play.advance({10});
        play.read();
        CPPUNIT_ASSERT(!play.isKeyAccepted());
    }

    /// Guards against keys that are refused at each change of the configuration: a version that
    /// another host has first may be on its way.
    void newVersionThatIsHeardFirstWithdrawsNothing()
    {
        VersionPlay play;
        play.survey(2);
        play.read();
        const Millis began = now(*play.m_gateway);
        play.advance({10});
        hearVersion(*play.m_gateway, 3);
        recordConfigurationRead(*play.m_gateway, 1, began);
        CPPUNIT_ASSERT(play.isKeyAccepted());
        play.advance({10});
        play.setVersion(3);
        play.read();
        CPPUNIT_ASSERT(play.isKeyAccepted());
    }

    /// Guards against hosts that accept no keys because the register names one that is gone.
    void hostsThatAreGoneHoldNoKeysBack()
    {
        VersionPlay play;
        play.read();
        surveyVersionsIfDue(*play.m_gateway);
        CPPUNIT_ASSERT(play.runUntil([&] { return play.isSurveyDone(); }));
        CPPUNIT_ASSERT(play.isKeyAccepted());
    }

    /// Guards against a survey in vain: hosts whose watches were cut off by the store's return
    /// haven't read the entry of the host that starts.
    void hostThatIsNotKnownYetGetsAReply()
    {
        VersionPlay play;
        play.m_gateway->m_peers.clear();
        wire::BeatT ask;
        ask.host = "h1";
        ask.brief = true;
        ask.confirmation_ask = 7;
        play.send(ask);
        bool replied = false;
        CPPUNIT_ASSERT(play.runUntil([&] {
            for (const wire::BeatT &heartbeat : play.m_peer->received()) {
                const auto &reply = heartbeat.confirmation_reply;
                replied |= reply && reply->number == 7 && reply->version == 2;
            }
            return replied;
        }));
    }

    /// Guards against callers who are sent to a host that must refuse their keys, or that serves
    /// them by an older configuration than the others.
    void startingHostIsReadyOnceItHasTheVersionOfTheOthers()
    {
        VersionPlay play;
        play.m_gateway->m_startedAt = now(*play.m_gateway);
        holdBackForVersions(*play.m_gateway);
        CPPUNIT_ASSERT(!isReady(*play.m_gateway));
        play.survey(3);
        play.read();
        CPPUNIT_ASSERT(!isReady(*play.m_gateway));
        play.setVersion(3);
        noteVersionInForce(*play.m_gateway);
        CPPUNIT_ASSERT(isReady(*play.m_gateway));
        play.advance({10});
        hearVersion(*play.m_gateway, 4);
        play.read();
        CPPUNIT_ASSERT(isReady(*play.m_gateway)); // it isn't starting any more
    }

    /// Guards against hosts that never serve public routes, and against withdrawn keys that run
    /// with time.
    void startingHostIsReadyInTheEndIfTheVersionNeverComes()
    {
        VersionPlay play;
        play.m_gateway->m_startedAt = now(*play.m_gateway);
        holdBackForVersions(*play.m_gateway);
        play.survey(3);
        play.read();
        play.advance({9'900});
        CPPUNIT_ASSERT(!isReady(*play.m_gateway));
        play.advance({200});
        play.read();
        CPPUNIT_ASSERT(isReady(*play.m_gateway));
        CPPUNIT_ASSERT(!play.isKeyAccepted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerVersionsTest);
