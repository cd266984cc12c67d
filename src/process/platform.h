// Calls to the platform's object API. docs/OUTSIDE.md gives the protocol.
#pragma once

#include "apricot.h"
#include "connection/http.h"
#include "process/metrics.h"

namespace apricot {

struct PlatformClient
{
    std::vector<Endpoint> m_endpoints; // tried in order
    Millis m_timeout = {1'000};        // of one call
    HttpPool *m_pool = nullptr;
    Metrics *m_metrics = nullptr; // may be null
};

struct ObjectRead
{
    std::uint64_t m_version = 0; // 0: there is no such object
    std::string m_value;
    bool m_unchanged = false; // a watch that ran out
};

/// The object, once it is newer than a version or the wait ran out.
asio::awaitable<Result<ObjectRead>> readObject(PlatformClient client, std::string key,
                                               std::uint64_t newerThan, Millis wait);

enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict, // another version is there
    Refused,  // not applied: unreachable before anything was sent, or over the rate
    Lost,     // no answer: it may have been applied, or may be yet
};

struct ObjectWrite
{
    WriteOutcome m_outcome = WriteOutcome::Refused;
    std::uint64_t m_version = 0; // new one if Written
};

/// A conditional update: only over that version; 0: only if there is none.
asio::awaitable<ObjectWrite> writeObject(PlatformClient client, std::string key, std::string value,
                                         std::uint64_t overVersion);

} // namespace apricot
