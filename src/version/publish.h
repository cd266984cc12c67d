// Publishing of configurations on the platform. Each version is an object that is written once
// and never changed; a conditional update of the head object then puts the version in force.
#pragma once

#include "process/platform.h"

namespace apricot {

constexpr const char *configHeadKey = "config/head";
constexpr const char *machineListKey = "machines/list";

std::string versionKey(const std::string &id);

/// The head object: which version is in force.
struct ConfigHead
{
    std::uint64_t m_objectVersion = 0; // of the head object itself; 0: nothing published yet
    std::uint64_t m_number = 0;        // of the configuration in force
    std::string m_id;                  // of its version object
};

asio::awaitable<Result<ConfigHead>> readHead(PlatformClient client);
Result<ConfigHead> parseHead(const ObjectRead &read);
asio::awaitable<Result<Configuration>> readVersion(PlatformClient client, std::string id);

/// The published configurations, newest first: from the head back along their parents, at most
/// `limit` of them.
asio::awaitable<Result<std::vector<Configuration>>> readHistory(PlatformClient client,
                                                                std::size_t limit);

struct PublishInput
{
    std::vector<PublishedFile> m_files; // to add or replace
    std::vector<std::string> m_removed; // names of files to remove
    std::string m_publisher;
    std::uint64_t m_base = 0; // number of the version that the operator edited; 0: the newest
};

enum class PublishOutcome : std::uint8_t {
    Accepted,
    NotAccepted, // conflict with another publisher, or faults in the files; nothing changed
    NotKnown,    // the platform didn't answer; `apricotctl status --id` with m_id shows it later
};

struct PublishReport
{
    PublishOutcome m_outcome = PublishOutcome::NotAccepted;
    std::uint64_t m_number = 0;      // valid if Accepted
    std::string m_id;                // of the new version; valid unless NotAccepted
    std::string m_reason;            // valid unless Accepted
    std::vector<FileFault> m_faults; // in the files; empty unless NotAccepted
};

/// Publishes the input on top of the newest version, so that files which others published meanwhile
/// are kept. A file that was changed since the base is a conflict, and the report names the
/// publisher of the newest version. When the answer to the update of the head is lost, the outcome
/// isn't guessed: the same update is repeated, which can't take effect twice, until it is confirmed
/// or the id of the version is found among the ancestors of the head. If neither happens within a
/// fixed number of attempts, the outcome is NotKnown.
asio::awaitable<PublishReport> publish(PlatformClient client, PublishInput input);

} // namespace apricot
