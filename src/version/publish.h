// Publishing: one immutable object for a version, then a conditional update of the head.
#pragma once

#include "process/platform.h"

namespace apricot {

constexpr const char *configHeadKey = "config/head";
constexpr const char *machineListKey = "machines/list";

std::string versionKey(const std::string &id);

/// Where the head points.
struct ConfigHead
{
    std::uint64_t m_objectVersion = 0; // of the head object; 0: none yet
    std::uint64_t m_number = 0;
    std::string m_id;
};

asio::awaitable<Result<ConfigHead>> readHead(PlatformClient client);
Result<ConfigHead> parseHead(const ObjectRead &read);
asio::awaitable<Result<Configuration>> readVersion(PlatformClient client, std::string id);

/// The published configurations, newest first, at most that many.
asio::awaitable<Result<std::vector<Configuration>>> readHistory(PlatformClient client,
                                                                std::size_t most);

struct PublishInput
{
    std::vector<PublishedFile> m_files; // to add or replace
    std::vector<std::string> m_removed; // names of files to take out
    std::string m_publisher;
    std::uint64_t m_base = 0; // number the operator edited from; 0: the newest
};

enum class PublishOutcome : std::uint8_t {
    Accepted,
    NotAccepted, // clash or faults; nothing changed
    NotKnown,    // the platform gave no answer; m_id tells later
};

struct PublishReport
{
    PublishOutcome m_outcome = PublishOutcome::NotAccepted;
    std::uint64_t m_number = 0; // valid if Accepted
    std::string m_id;
    std::string m_reason; // valid unless Accepted
    std::vector<FileFault> m_faults;
};

/// Unrelated files of others are kept; a file that another publisher changed since the base is a
/// clash, and the report names that publisher. Never guesses after a lost answer: it repeats the
/// same update, which can't take effect twice, or finds its id among the ancestors of the head.
asio::awaitable<PublishReport> publish(PlatformClient client, PublishInput input);

} // namespace apricot
