// Unit test of the log: it drops lines whose output would block, and reports how many.
#include "process/log.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

using namespace apricot;

namespace {

/// Redirects standard output to a non-blocking pipe while it exists.
struct PipedOutput
{
    PipedOutput()
    {
        std::cout.flush();
        CPPUNIT_ASSERT_EQUAL(0, pipe2(m_ends.data(), O_NONBLOCK));
        m_output = dup(STDOUT_FILENO);
        dup2(m_ends[1], STDOUT_FILENO);
    }
    ~PipedOutput()
    {
        std::cout.flush();
        std::cout.clear();
        dup2(m_output, STDOUT_FILENO);
        for (const int end : {m_ends[0], m_ends[1], m_output})
            close(end);
    }
    PipedOutput(const PipedOutput &) = delete;
    PipedOutput &operator=(const PipedOutput &) = delete;

    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> bytes = {};
        for (ssize_t got = 0; (got = read(m_ends[0], bytes.data(), bytes.size())) > 0;)
            text.append(bytes.data(), static_cast<std::size_t>(got));
        return text;
    }

    std::array<int, 2> m_ends = {};
    int m_output = -1;
};

} // namespace

class LogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(fullOutputDropsLinesAndCountsThem);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against I/O threads that block on logging. That happens when the reader of standard
    /// output stalls and the pipe is full: lines must then be dropped whole, and the next line that
    /// is written must count them.
    void fullOutputDropsLinesAndCountsThem()
    {
        startLog("test");
        std::string after;
        {
            const PipedOutput output;
            constexpr int lines = 1'000;
            for (int line = 0; line < lines; ++line)
                logEvent("filling", {{"text", std::string(200, 'x')}});
            const std::string first = output.readAll();
            // The buffer of the pipe holds less than all lines, and no line is truncated.
            CPPUNIT_ASSERT(first.size() < lines * 200UL);
            CPPUNIT_ASSERT(first.ends_with("\n"));
            logEvent("after", {});
            after = output.readAll();
        }
        CPPUNIT_ASSERT(after.find("event=after dropped=") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
