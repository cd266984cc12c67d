// A client sends a request whose body has a transfer coding that the gateway doesn't know, and
// whose bytes look like a request. See the claim.txt of the case.
#include "trial.h"

using namespace trial;

namespace {

constexpr int gatewayCount = 3;
constexpr int serverCount = 2;
constexpr int attempts = 10;           // requests of the client, over all gateways
constexpr std::int64_t answerMs = 800; // for which the client reads

const char *const configuration = R"({"version":3,
"routes":[{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1}],
"services":[{"name":"desk","health_path":"/health","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}})";

/// What the servers ran: bodies by the id of the request.
struct Ran
{
    std::mutex m_mutex;
    std::map<std::string, std::string> m_bodies;
};

/// Starts a server that runs each booking, and returns its entry in the store.
std::string startServer(Listener &listener, const std::string &id, const std::string &ip, Ran &ran)
{
    Address address = {ip, 0};
    listener.start(address, [&ran, id](int fd) {
        Reader reader = {fd, {}};
        Message request;
        while (reader.head(request) && reader.body(request)) {
            const std::string requestId = field(request, "Apricotdyke-Request-Id");
            {
                const std::lock_guard lock(ran.m_mutex);
                ran.m_bodies[requestId] = request.m_body;
            }
            note("server %s runs request %s, '%s', body of %zu bytes", id.c_str(),
                 requestId.c_str(), request.m_start.c_str(), request.m_body.size());
            const std::string fields = "Apricotdyke-Request-Id: " + requestId
                + "\r\nApricotdyke-Server-Stamp: s-" + id + "\r\n";
            if (!sendAll(fd, answerText(200, fields, "booked")))
                return;
        }
    });
    return R"({"service":"desk","address":")" + toText(address)
        + R"(","zone":"north","version":"v1","slots":6,"state":"ready","cold_ms":0,"born":1,)"
        + R"("seq":1})";
}

std::string fieldsFor(const std::string &id)
{
    return "Host: desk.example\r\nApricotdyke-Request-Id: " + id
        + "\r\nApricotdyke-Deadline-Ms: 1500\r\n";
}

/// Reads all answers that come on the connection.
std::string readAnswers(int fd)
{
    Reader reader = {fd, {}, nowMs() + answerMs};
    std::string statuses;
    Message answer;
    while (reader.head(answer) && reader.body(answer))
        statuses += (statuses.empty() ? "" : ", ") + answer.m_start.substr(9, 3);
    return statuses.empty() ? "none" : statuses;
}

} // namespace

int main()
{
    begin();
    const std::string network = networkOfRun();
    Store store;
    store.start(network + "1");
    store.put("config", "main", configuration);
    Ran ran;
    std::vector<Listener> servers(serverCount);
    for (int number = 0; number < serverCount; ++number) {
        const std::string id = "i-" + std::to_string(number + 1);
        store.put("servers", id,
                  startServer(servers[static_cast<std::size_t>(number)], id,
                              network + std::to_string(31 + number), ran));
    }
    std::vector<Gateway> gateways(gatewayCount);
    for (int number = 0; number < gatewayCount; ++number) {
        Gateway &gateway = gateways[static_cast<std::size_t>(number)];
        gateway.prepare("front-" + std::to_string(number + 1),
                        network + std::to_string(11 + number));
        gateway.start(store.m_address);
    }
    for (const Gateway &gateway : gateways) {
        if (!waitUntil([&] { return isReady(gateway); }, 10'000))
            giveUp(gateways, gateway.m_name + " isn't ready before traffic starts");
    }
    std::map<std::string, std::string> sent; // bodies by the id of the request
    std::set<std::string> inside;            // ids in bodies, which no client sent as requests
    int answered = 0;
    for (int number = 0; number < attempts; ++number) {
        const Gateway &gateway = gateways[static_cast<std::size_t>(number) % gateways.size()];
        const std::string id = newId();
        const std::string insideId = newId();
        const std::string body
            = requestText("POST", "/book/other", fieldsFor(insideId), "a booking of nobody");
        sent[id] = body;
        inside.insert(insideId);
        const std::string framing = hasTrouble()
            ? std::string("Transfer-Encoding: gzip\r\n")
            : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        const int fd = connectTo(gateway.m_front, 1'000);
        if (fd < 0)
            giveUp(gateways, "no connection to " + gateway.m_name);
        sendAll(fd, "POST /book/own HTTP/1.1\r\n" + fieldsFor(id) + framing + "\r\n" + body);
        const std::string statuses = readAnswers(fd);
        close(fd);
        answered += statuses == "none" ? 0 : 1;
        note("request %s to %s, its body of %zu bytes holds request %s; statuses of answers: %s",
             id.c_str(), gateway.m_name.c_str(), body.size(), insideId.c_str(), statuses.c_str());
    }
    if (answered == 0)
        giveUp(gateways, "no request was answered");
    int smuggled = 0;
    int changed = 0;
    const std::lock_guard lock(ran.m_mutex);
    for (const auto &[id, body] : ran.m_bodies) {
        smuggled += inside.contains(id) ? 1 : 0;
        changed += sent.contains(id) && sent[id] != body ? 1 : 0;
    }
    finish(gateways, smuggled > 0 || changed > 0,
           "UNASKED: of " + std::to_string(attempts) + " requests, " + std::to_string(smuggled)
               + " had one inside that a server ran, and " + std::to_string(changed)
               + " ran with another body");
}
