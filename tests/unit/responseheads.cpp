// Tests of which heads of responses a host can interpret.
#include "connection/responsehead.h"
#include "request/call.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricot;

class ResponseHeadsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResponseHeadsTest);
    CPPUNIT_TEST(statusesOfHttpAreUnderstood);
    CPPUNIT_TEST(chunksAreTheOnlyTransferCoding);
    CPPUNIT_TEST(linesThatBeginWithABlankAreFound);
    CPPUNIT_TEST(otherHostsPassOnFinalStatusesOnly);
    CPPUNIT_TEST(statusLineIsSafeInLogs);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a status without a meaning, and against one of HTTP that is refused: servers
    /// may use those that no standard names.
    void statusesOfHttpAreUnderstood()
    {
        for (unsigned status = 0; status <= 999; ++status) {
            HttpHead head;
            head.m_status = status;
            const bool isOfHttp = status >= 100 && status < 600;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(status), isOfHttp,
                                         headDefect(head).empty());
        }
    }

    /// Guards against a body of coded bytes, and against chunks that are refused.
    void chunksAreTheOnlyTransferCoding()
    {
        HttpHead head;
        addField(head.m_fields, "Content-Encoding", "gzip"); // concerns the body, not its transfer
        addField(head.m_fields, "transfer-encoding", "Chunked");
        CPPUNIT_ASSERT_EQUAL(std::string(), headDefect(head));
        addField(head.m_fields, "Transfer-Encoding", "gzip");
        CPPUNIT_ASSERT(!headDefect(head).empty());
    }

    /// Guards against a folded line that is overlooked, and against blanks elsewhere that are taken
    /// for one.
    void linesThatBeginWithABlankAreFound()
    {
        CPPUNIT_ASSERT(hasFoldedLine("HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\nE: f"));
        CPPUNIT_ASSERT(hasFoldedLine("HTTP/1.1 200 OK\r\nA: b\r\n\tC: d"));
        CPPUNIT_ASSERT(!hasFoldedLine("HTTP/1.1 200 OK \r\nA: b \r\nC:\td\r\nE:"));
    }

    /// Guards against a status that a host of an older build passes on between hosts.
    void otherHostsPassOnFinalStatusesOnly()
    {
        for (const unsigned status : {0U, 99U, 100U, 199U, 600U, 1000U, 65535U}) {
            wire::ForwardHeadT head;
            head.status = static_cast<std::uint16_t>(status);
            const auto read = readForwardHead(head);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), !ok(read));
            CPPUNIT_ASSERT(std::get<Failure>(read).m_run == RunState::Unknown);
        }
        wire::ForwardHeadT head;
        head.status = 404;
        CPPUNIT_ASSERT_EQUAL(404U, std::get<HttpHead>(readForwardHead(head)).m_status);
    }

    /// Guards against log lines that a server can forge or make long.
    void statusLineIsSafeInLogs()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 000 a?b?"),
                             statusLineText("HTTP/1.1 000 a\nb\x80\r\nX: y\r\n\r\n"));
        CPPUNIT_ASSERT(statusLineText("HTTP/1.1 000 " + std::string(10'000, 'x')).size() < 200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseHeadsTest);
