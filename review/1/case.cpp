// ONE: two holders order with one fencing token. A host that the store turns away hears of the
// release of a lease whose record it never saw, and then takes the lease with the same token.
#include "../common/hosts.h"

using namespace bed;

namespace {

std::atomic<int> requests = 0;

/// One request for a model that isn't loaded most of the time, at one host after the other.
void request(Bed &bed)
{
    const int number = requests++;
    Host &host = *bed.m_hosts[static_cast<std::size_t>(number) % bed.m_hosts.size()];
    const ConnPtr conn = connectTo(host.m_caller);
    if (!conn)
        return;
    const std::string id = "q" + std::to_string(number);
    const std::string model = "m" + std::to_string((number / 3) % 6);
    record().line("request " + id + " for " + model + " sent to host " + host.m_name);
    const auto answer = exchange(
        *conn,
        "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n"
        "Apricotdyke-Request-Id: "
            + id + "\r\nApricotdyke-Model: " + model
            + "\r\nApricotdyke-Token-Count: 100,10\r\n"
              "Apricotdyke-Prompt-Prefix: 1:50,"
            + std::to_string(number + 16) + ":50\r\nApricotdyke-Deadline-Ms: 12000\r\n\r\nhi",
        nowMs() + 12'000);
    record().line("request " + id + " answered "
                  + (answer ? std::to_string(answer->status()) : std::string("not at all")));
}

/// The first breach of the rule in the orders at one server; empty: none.
std::string breach(Server &server)
{
    constexpr std::int64_t leaseMs = 3'000;
    const std::lock_guard lock(server.m_mutex);
    std::map<std::uint64_t, std::string> holders; // by fencing token
    std::uint64_t highest = 0;
    const Arrival *last = nullptr;
    for (const Arrival &order : server.m_orders) {
        const std::string fence = std::to_string(order.m_fence);
        const auto [known, added] = holders.try_emplace(order.m_fence, order.m_holder);
        if (!added && known->second != order.m_holder)
            return "two holders with fence " + fence + ": " + known->second + " and "
                + order.m_holder + " at " + std::to_string(order.m_at);
        if (order.m_fence < highest)
            return "fence " + fence + " after " + std::to_string(highest);
        if (last && last->m_holder != order.m_holder && order.m_at - last->m_at < leaseMs)
            return "holders take turns within lease_ms";
        highest = std::max(highest, order.m_fence);
        last = &order;
    }
    return {};
}

} // namespace

int main(int, char **argv)
{
    static Bed bed;
    prepare(bed, argv);
    Server *server = addServer(bed, "writer", true);
    if (!server || !addServer(bed, "desk", false) || !addHosts(bed, 3))
        finish(bed, 2, "an address can't be used");
    for (const auto &host : bed.m_hosts)
        startHost(bed, *host);
    for (const auto &host : bed.m_hosts) {
        if (!waitUntil(10'000, [&] { return isReady(*host); }))
            finish(bed, 2, "host " + host->m_name + " isn't ready");
    }
    if (!waitUntil(15'000, [] { return !leaseHolder(bed).empty(); }))
        finish(bed, 2, "no host took the lease");
    std::thread([] {
        while (true) {
            std::thread([] { request(bed); }).detach();
            sleepMs(100);
        }
    }).detach();
    sleepMs(3'000);
    if (!bed.m_trouble) {
        sleepMs(25'000);
        const std::string found = breach(*server);
        finish(bed, found.empty() ? 0 : 1, found.empty() ? "the rule held" : found);
    }

    // Roles: `first` holds the lease now, `second` will hold it next, and the store will turn
    // `third` away meanwhile.
    const std::string first = leaseHolder(bed);
    std::vector<std::string> others;
    for (const auto &host : bed.m_hosts) {
        if (host->m_name != first)
            others.push_back(host->m_name);
    }
    Host &firstHost = bed.host(first);
    Host &secondHost = bed.host(others.at(1));
    Host &thirdHost = bed.host(others.at(0));

    // A rolling restart: first `second`.
    const std::int64_t secondTermAt = nowMs();
    signalHost(secondHost, SIGTERM, "SIGTERM");
    awaitEnd(secondHost, secondTermAt);
    const std::int64_t refusedAt = nowMs();
    record().line("the store turns host " + thirdHost.m_name + " away");
    bed.m_store.refuse(thirdHost.m_name, true);
    sleepMs(100);
    startHost(bed, secondHost);
    if (!waitUntil(3'000, [&] { return isReady(secondHost); }))
        finish(bed, 2, "host " + secondHost.m_name + " isn't ready again");
    sleepMs(300);

    // Then the holder, which releases the lease, so that `second` takes it.
    const std::int64_t firstTermAt = nowMs();
    signalHost(firstHost, SIGTERM, "SIGTERM");
    if (!waitUntil(6'000, [&] { return leaseHolder(bed) == secondHost.m_name; }))
        finish(bed, 2, "host " + secondHost.m_name + " didn't take the lease");
    record().line("host " + secondHost.m_name + " has the lease");
    sleepMs(1'000);

    // Then `second` again. The store serves `third` again before the lease can be taken.
    const std::int64_t secondTermAgainAt = nowMs();
    signalHost(secondHost, SIGTERM, "SIGTERM");
    sleepMs(1'500);
    bed.m_store.refuse(thirdHost.m_name, false);
    record().line("the store serves host " + thirdHost.m_name + " again after "
                  + std::to_string(nowMs() - refusedAt) + " ms");
    awaitEnd(firstHost, firstTermAt);
    startHost(bed, firstHost);
    awaitEnd(secondHost, secondTermAgainAt);
    startHost(bed, secondHost);
    sleepMs(4'000);
    const std::string found = breach(*server);
    finish(bed, found.empty() ? 0 : 1, found.empty() ? "the rule held" : found);
}
