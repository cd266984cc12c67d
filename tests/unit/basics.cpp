// Endpoint parsing, and the table of error kinds.
#include "apricot.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricot;

class BasicsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BasicsTest);
    CPPUNIT_TEST(endpointsAreIpAndPort);
    CPPUNIT_TEST(errorTableListsEveryKindInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against accepting DNS names, which endpoints must not hold, and ports that are out of
    /// range or followed by other text.
    void endpointsAreIpAndPort()
    {
        CPPUNIT_ASSERT(parseEndpoint("127.0.0.1:80").has_value());
        for (const char *bad : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                                "127.0.0.1:8x", ":80", ""})
            CPPUNIT_ASSERT_MESSAGE(bad, !parseEndpoint(bad).has_value());
    }

    /// Guards against a kind that was added without its row: the table is indexed by ErrorKind.
    void errorTableListsEveryKindInOrder()
    {
        const auto last = static_cast<std::size_t>(ErrorKind::Overloaded);
        CPPUNIT_ASSERT_EQUAL(last + 1, errorTable().size());
        for (std::size_t i = 0; i <= last; ++i)
            CPPUNIT_ASSERT_EQUAL(i, static_cast<std::size_t>(errorTable()[i].m_kind));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BasicsTest);
