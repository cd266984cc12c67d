// Publishes configurations, and reads published versions and their history.
#include "version/publish.h"

#include "process/node.h"

#include <algorithm>
#include <boost/json.hpp>

namespace apricot {

namespace json = boost::json;

namespace {

constexpr int maxAttempts = 12;
constexpr Millis attemptPause = {250};
constexpr std::size_t ancestorLimit = 64; // versions, counted back from the head

const PublishedFile *findFile(const Configuration &configuration, const std::string &name)
{
    for (const PublishedFile &file : configuration.m_files) {
        if (file.m_name == name)
            return &file;
    }
    return nullptr;
}

std::string textOf(const Configuration &configuration, const std::string &name)
{
    const PublishedFile *file = findFile(configuration, name);
    return file ? file->m_text : "";
}

/// Sets the names of the files, which are known only after parsing them. Returns their faults.
std::vector<FileFault> setFileNames(std::vector<PublishedFile> &files)
{
    Configuration parsed;
    std::vector<FileFault> faults;
    for (const PublishedFile &file : files) {
        const auto found = readPublishedFile(file, parsed);
        faults.insert(faults.end(), found.begin(), found.end());
    }
    if (faults.empty())
        files = parsed.m_files;
    return faults;
}

/// Makes the next configuration: the base, with the input's files added, replaced and removed.
/// Returns the faults of the result.
std::vector<FileFault> mergeFiles(const Configuration &base, const PublishInput &input,
                                  Configuration &next)
{
    std::vector<PublishedFile> files;
    for (const PublishedFile &file : base.m_files) {
        const bool removed
            = std::count(input.m_removed.begin(), input.m_removed.end(), file.m_name) > 0;
        const bool replaced
            = std::any_of(input.m_files.begin(), input.m_files.end(),
                          [&](const PublishedFile &added) { return added.m_name == file.m_name; });
        if (!removed && !replaced)
            files.push_back(file);
    }
    files.insert(files.end(), input.m_files.begin(), input.m_files.end());
    std::vector<FileFault> faults;
    for (const PublishedFile &file : files) {
        const auto found = readPublishedFile(file, next);
        faults.insert(faults.end(), found.begin(), found.end());
    }
    next.m_modelCells = base.m_modelCells;
    assignCells(next);
    const auto crossFileFaults = validateConfiguration(next);
    faults.insert(faults.end(), crossFileFaults.begin(), crossFileFaults.end());
    return faults;
}

/// Files that the input changes and that differ between the two configurations.
std::vector<std::string> conflictingFiles(const Configuration &base, const Configuration &newer,
                                          const PublishInput &input)
{
    std::vector<std::string> names = input.m_removed;
    for (const PublishedFile &file : input.m_files)
        names.push_back(file.m_name);
    std::erase_if(
        names, [&](const std::string &name) { return textOf(base, name) == textOf(newer, name); });
    return names;
}

asio::awaitable<Result<Configuration>> readBase(PlatformClient client, ConfigHead head)
{
    if (head.m_number == 0)
        co_return Configuration{};
    co_return co_await readVersion(client, head.m_id);
}

/// Whether a version is the head or one of its ancestors.
asio::awaitable<Result<bool>> isInHistory(PlatformClient client, std::string id)
{
    auto history = co_await readHistory(client, ancestorLimit);
    if (!ok(history))
        co_return std::get<Failure>(history);
    const auto &versions = std::get<std::vector<Configuration>>(history);
    co_return std::any_of(versions.begin(), versions.end(),
                          [&](const Configuration &version) { return version.m_id == id; });
}

PublishReport refused(std::string reason)
{
    PublishReport report;
    report.m_reason = std::move(reason);
    return report;
}

std::string headText(const Configuration &configuration)
{
    return json::serialize(
        json::object{{"number", configuration.m_number}, {"id", configuration.m_id}});
}

/// Overtaken: another publisher updated the head first. NotKnown: the platform didn't answer.
enum class HeadUpdate : std::uint8_t { Accepted, Overtaken, NotKnown };

/// Points the head at the version by a conditional update over the head that was read. After a lost
/// answer the update is repeated: it can't take effect twice, and on a conflict the history tells
/// whether it took effect before.
asio::awaitable<HeadUpdate> moveHead(PlatformClient client, ConfigHead from, Configuration next)
{
    bool everSent = false;
    for (int i = 0; i < maxAttempts; ++i) {
        const ObjectWrite write
            = co_await writeObject(client, configHeadKey, headText(next), from.m_objectVersion);
        if (write.m_outcome == WriteOutcome::Written)
            co_return HeadUpdate::Accepted;
        if (write.m_outcome == WriteOutcome::Conflict) {
            const auto inHistory = co_await isInHistory(client, next.m_id);
            if (ok(inHistory))
                co_return std::get<bool>(inHistory) ? HeadUpdate::Accepted : HeadUpdate::Overtaken;
        }
        everSent = everSent || write.m_outcome == WriteOutcome::Lost;
        co_await sleepFor(attemptPause);
    }
    co_return HeadUpdate::NotKnown;
}

/// Writes the version object. Its key has a random id of its own, so a conflict means that an
/// earlier attempt wrote it, although the answer was lost.
asio::awaitable<bool> writeVersion(PlatformClient client, Configuration next)
{
    const std::string text = writeConfiguration(next);
    for (int i = 0; i < maxAttempts; ++i) {
        const ObjectWrite write = co_await writeObject(client, versionKey(next.m_id), text, 0);
        const bool stored
            = write.m_outcome == WriteOutcome::Written || write.m_outcome == WriteOutcome::Conflict;
        if (stored)
            co_return true;
        co_await sleepFor(attemptPause);
    }
    co_return false;
}

/// One attempt on top of the newest version. Nothing: another publisher updated the head during the
/// attempt, so it has to be repeated.
asio::awaitable<std::optional<PublishReport>> publishOnce(PlatformClient client,
                                                          const PublishInput &input,
                                                          std::optional<Configuration> &baseVersion)
{
    const auto head = co_await readHead(client);
    if (!ok(head))
        co_return refused("the platform can't be reached: " + std::get<Failure>(head).m_detail);
    const ConfigHead from = std::get<ConfigHead>(head);
    auto read = co_await readBase(client, from);
    if (!ok(read))
        co_return refused("the newest version can't be read: " + std::get<Failure>(read).m_detail);
    const Configuration newest = std::get<Configuration>(std::move(read));
    if (!baseVersion)
        baseVersion = newest;
    const std::vector<std::string> conflicting = conflictingFiles(*baseVersion, newest, input);
    if (!conflicting.empty())
        co_return refused(
            "'" + conflicting.front()
            + "' has changed since the base version; the newest version was published by "
            + newest.m_publisher + " as number " + std::to_string(newest.m_number));
    Configuration next;
    const auto faults = mergeFiles(newest, input, next);
    if (!faults.empty()) {
        PublishReport report = refused("the files have faults");
        report.m_faults = faults;
        co_return report;
    }
    next.m_number = newest.m_number + 1;
    next.m_id = toHex(randomId());
    next.m_parent = newest.m_id;
    next.m_publisher = input.m_publisher;
    if (!co_await writeVersion(client, next))
        co_return refused("the version object could not be written to the platform");
    const HeadUpdate update = co_await moveHead(client, from, next);
    if (update == HeadUpdate::Overtaken)
        co_return std::nullopt;
    PublishReport report;
    report.m_id = next.m_id;
    report.m_number = next.m_number;
    report.m_outcome = PublishOutcome::Accepted;
    if (update == HeadUpdate::NotKnown) {
        report.m_outcome = PublishOutcome::NotKnown;
        report.m_reason = "the platform did not answer; check with `apricotctl status --id "
            + next.m_id + "` later";
    }
    co_return report;
}

/// The version with that number, which the operator edited. Nothing for number 0.
asio::awaitable<Result<std::optional<Configuration>>> readNumbered(PlatformClient client,
                                                                   std::uint64_t number)
{
    std::optional<Configuration> found;
    if (number == 0)
        co_return found;
    auto history = co_await readHistory(client, ancestorLimit);
    if (!ok(history))
        co_return std::get<Failure>(history);
    for (const Configuration &version : std::get<std::vector<Configuration>>(history)) {
        if (version.m_number == number)
            found = version;
    }
    if (!found)
        co_return makeFailure(ErrorKind::BadRequest,
                              "the base version is not among the recent versions");
    co_return found;
}

} // namespace

std::string versionKey(const std::string &id)
{
    return "config/versions/" + id;
}

Result<ConfigHead> parseHead(const ObjectRead &read)
{
    ConfigHead head;
    head.m_objectVersion = read.m_version;
    if (read.m_version == 0)
        return head;
    try {
        const json::value value = json::parse(read.m_value);
        head.m_number = value.at("number").to_number<std::uint64_t>();
        head.m_id = json::value_to<std::string>(value.at("id"));
        return head;
    } catch (const std::exception &error) {
        return makeFailure(ErrorKind::Internal,
                           std::string("the config head can't be parsed: ") + error.what());
    }
}

asio::awaitable<Result<ConfigHead>> readHead(PlatformClient client)
{
    const auto read = co_await readObject(client, configHeadKey, 0, {});
    if (!ok(read))
        co_return std::get<Failure>(read);
    co_return parseHead(std::get<ObjectRead>(read));
}

asio::awaitable<Result<Configuration>> readVersion(PlatformClient client, std::string id)
{
    const auto read = co_await readObject(client, versionKey(id), 0, {});
    if (!ok(read))
        co_return std::get<Failure>(read);
    if (std::get<ObjectRead>(read).m_version == 0)
        co_return makeFailure(ErrorKind::Internal, "version object " + id + " is missing");
    co_return parseConfiguration(std::get<ObjectRead>(read).m_value);
}

asio::awaitable<Result<std::vector<Configuration>>> readHistory(PlatformClient client,
                                                                std::size_t limit)
{
    const auto head = co_await readHead(client);
    if (!ok(head))
        co_return std::get<Failure>(head);
    std::vector<Configuration> history;
    std::string id = std::get<ConfigHead>(head).m_id;
    while (!id.empty() && history.size() < limit) {
        auto version = co_await readVersion(client, id);
        if (!ok(version))
            co_return std::get<Failure>(version);
        history.push_back(std::get<Configuration>(std::move(version)));
        id = history.back().m_parent;
    }
    co_return history;
}

asio::awaitable<PublishReport> publish(PlatformClient client, PublishInput input)
{
    const auto faults = setFileNames(input.m_files);
    if (!faults.empty()) {
        PublishReport report = refused("the files have faults");
        report.m_faults = faults;
        co_return report;
    }
    auto base = co_await readNumbered(client, input.m_base);
    if (!ok(base))
        co_return refused(std::get<Failure>(base).m_detail);
    auto baseVersion = std::get<std::optional<Configuration>>(base);
    for (int i = 0; i < maxAttempts; ++i) {
        const auto report = co_await publishOnce(client, input, baseVersion);
        if (report)
            co_return *report;
    }
    co_return refused("other publishers updated the configuration during each attempt; try again");
}

} // namespace apricot
