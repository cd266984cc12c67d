// Test of the HTTP client against a server on loopback that responds before it has read the
// request.
#include "connection/http.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <thread>

using namespace apricot;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr Millis limit = {5'000};
constexpr std::size_t bodySize = 32UL * 1024 * 1024; // bytes; exceeds both socket buffers

/// Responds as soon as it has read the head of a request, and never reads the body. Keeps the
/// connection open until it is destroyed.
struct EarlyServer
{
    EarlyServer() : m_acceptor(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        m_thread = std::thread([this] {
            tcp::socket socket = m_acceptor.accept();
            boost::asio::streambuf head;
            boost::asio::read_until(socket, head, "\r\n\r\n");
            const std::string response = "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n";
            boost::asio::write(socket, boost::asio::buffer(response));
            m_responseRead.get_future().wait();
        });
    }
    ~EarlyServer()
    {
        m_responseRead.set_value();
        m_thread.join();
    }
    EarlyServer(const EarlyServer &) = delete;
    EarlyServer &operator=(const EarlyServer &) = delete;

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::promise<void> m_responseRead; // set once the client has the response
    std::thread m_thread;
};

HttpRequest makeLargeRequest()
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_body = std::string(bodySize, 'x');
    return request;
}

} // namespace

class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(responseBeforeLargeBodyIsReadIsAccepted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that hangs until its timeout: a server that refuses a request
    // without reading its body lets the write of the body block forever. The client must read the
    // response in the meantime, and must not put the connection back into the pool, since part of
    // the body is unsent.
    void responseBeforeLargeBodyIsReadIsAccepted()
    {
        EarlyServer server;
        boost::asio::io_context io;
        HttpPool pool;
        pool.m_io = &io;
        const HttpRequest request = makeLargeRequest();
        auto future = boost::asio::co_spawn(io, fetchHttp(pool, server.endpoint(), request, limit),
                                            boost::asio::use_future);
        io.run();
        const Result<HttpResponse> response = future.get();
        CPPUNIT_ASSERT(ok(response));
        CPPUNIT_ASSERT_EQUAL(413U, std::get<HttpResponse>(response).m_head.m_status);
        // The connection is not kept, since part of the body is unsent on it.
        CPPUNIT_ASSERT(pool.m_idle[server.endpoint()].empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
