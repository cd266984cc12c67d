// Client of the platform's object store: versioned reads, watches and conditional writes over
// HTTP. docs/OUTSIDE.md gives the protocol.
#pragma once

#include "apricot.h"
#include "connection/http.h"
#include "process/metrics.h"

namespace apricot {

struct PlatformClient
{
    std::vector<Endpoint> m_endpoints; // tried in order
    Millis m_timeout = {1'000};        // time allowed for one call; a watch adds its wait time
    HttpPool *m_pool = nullptr;
    Metrics *m_metrics = nullptr; // may be null
};

/// Result of a read or a watch.
struct ObjectRead
{
    std::uint64_t m_version = 0; // 0: the object doesn't exist
    std::string m_value;
    bool m_unchanged = false; // true: a watch ended without a newer version
};

/// Reads an object. With a wait above 0 this is a watch: it completes as soon as the object's
/// version is above `newerThan`, or with m_unchanged after the wait.
asio::awaitable<Result<ObjectRead>> readObject(PlatformClient client, std::string key,
                                               std::uint64_t newerThan, Millis wait);

enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict, // the store holds another version
    Refused,  // not applied: the store refused it (e.g. over the rate limit), or nothing was sent
    Lost,     // no answer: it may have been applied, or may still be
};

struct ObjectWrite
{
    WriteOutcome m_outcome = WriteOutcome::Refused;
    std::uint64_t m_version = 0; // the new version, valid if Written
};

/// Writes the object only if its version is `overVersion`; 0: only if it doesn't exist.
asio::awaitable<ObjectWrite> writeObject(PlatformClient client, std::string key, std::string value,
                                         std::uint64_t overVersion);

} // namespace apricot
