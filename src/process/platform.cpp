// HTTP client of the platform's object store.
#include "process/platform.h"

namespace apricot {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnchanged = 304; // a watch ended without a newer version
constexpr unsigned statusMissing = 404;
constexpr unsigned statusConflict = 412;

std::uint64_t versionOf(const HttpResponse &response)
{
    const std::string text = fieldOf(response.m_head.m_fields, "Object-Version");
    return text.empty() ? 0 : std::stoull(text);
}

void count(const PlatformClient &client, std::string_view call, bool answered)
{
    if (client.m_metrics)
        countPlatformCall(*client.m_metrics, call, answered);
}

ObjectRead objectOf(const HttpResponse &response)
{
    return {versionOf(response), response.m_body, false};
}

ObjectRead unchanged(std::uint64_t version)
{
    return {version, {}, true};
}

WriteOutcome outcomeOf(const HttpResponse &response)
{
    if (response.m_head.m_status == statusOk)
        return WriteOutcome::Written;
    if (response.m_head.m_status == statusConflict)
        return WriteOutcome::Conflict;
    return WriteOutcome::Refused;
}

} // namespace

asio::awaitable<Result<ObjectRead>> readObject(PlatformClient client, std::string key,
                                               std::uint64_t newerThan, Millis wait)
{
    HttpRequest request;
    request.m_target = "/objects/" + key;
    if (wait.m_count > 0)
        request.m_target += "?newer-than=" + std::to_string(newerThan)
            + "&wait-ms=" + std::to_string(wait.m_count);
    Failure failure
        = makeFailure(ErrorKind::PlatformUnavailable, "no platform address is configured", {1'000});
    for (const Endpoint &endpoint : client.m_endpoints) {
        auto response
            = co_await fetchHttp(*client.m_pool, endpoint, request, client.m_timeout + wait);
        count(client, wait.m_count > 0 ? "watch" : "read", ok(response));
        if (!ok(response)) {
            failure.m_detail = std::get<Failure>(response).m_detail;
            continue;
        }
        const auto &answer = std::get<HttpResponse>(response);
        const unsigned status = answer.m_head.m_status;
        if (status == statusOk)
            co_return objectOf(answer);
        if (status == statusUnchanged)
            co_return unchanged(versionOf(answer));
        if (status == statusMissing)
            // If the object was deleted, a watcher keeps the version that it has.
            co_return newerThan > 0 ? unchanged(0) : ObjectRead();
        failure.m_detail = "the platform answered with status " + std::to_string(status);
    }
    co_return failure;
}

asio::awaitable<ObjectWrite> writeObject(PlatformClient client, std::string key, std::string value,
                                         std::uint64_t overVersion)
{
    HttpRequest request;
    request.m_method = "PUT";
    request.m_target = "/objects/" + key;
    addField(request.m_fields, "If-Version", std::to_string(overVersion));
    request.m_body = std::move(value);
    for (const Endpoint &endpoint : client.m_endpoints) {
        auto response = co_await fetchHttp(*client.m_pool, endpoint, request, client.m_timeout);
        count(client, "write", ok(response));
        if (ok(response)) {
            const auto &answer = std::get<HttpResponse>(response);
            co_return ObjectWrite{outcomeOf(answer), versionOf(answer)};
        }
        // Once bytes were sent, the write may have been applied, so no other address is tried.
        if (std::get<Failure>(response).m_run != RunState::NotRun)
            co_return ObjectWrite{WriteOutcome::Lost, 0};
    }
    co_return ObjectWrite{WriteOutcome::Refused, 0};
}

} // namespace apricot
