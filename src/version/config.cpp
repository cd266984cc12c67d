// Configurations: parses and checks the operators' files, converts a configuration to and from the
// JSON stored on the platform, and looks up its parts.
#include "apricot.h"
#include "version/yamlreader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace apricot {

namespace json = boost::json;

namespace {

constexpr IntBounds memoryBounds = {1, 10'000'000}; // MiB
constexpr IntBounds versionBounds = {1, 1'000'000'000};
constexpr IntBounds replicaBounds = {1, 1'000};
constexpr IntBounds timeBounds = {1, 86'400'000}; // ms
constexpr IntBounds countBounds = {1, 10'000};

WorkKind readWork(YamlMap &map)
{
    WorkKind work;
    work.m_name.m_text = readName(map, "name", true);
    work.m_urgency
        = static_cast<Urgency>(readChoice(map, "urgency", {"urgent", "normal", "can-wait"}));
    if (!hasKey(map, "urgency"))
        work.m_urgency = Urgency::Normal;
    work.m_idempotent = readBool(map, "idempotent", false);
    work.m_deadline.m_count = readInt(map, "deadline-ms", work.m_deadline.m_count, timeBounds);
    checkKeys(map);
    return work;
}

AdapterSpec readAdapter(YamlMap &map)
{
    AdapterSpec adapter;
    adapter.m_name.m_text = readName(map, "name", true);
    adapter.m_version = static_cast<int>(readInt(map, "version", 1, versionBounds));
    adapter.m_memory.m_count = readInt(map, "memory-mb", adapter.m_memory.m_count, memoryBounds);
    checkKeys(map);
    return adapter;
}

ModelSpec readModel(YamlMap &map)
{
    ModelSpec model;
    model.m_name.m_text = readName(map, "name", true);
    model.m_version = static_cast<int>(readInt(map, "version", 1, versionBounds));
    if (!hasKey(map, "memory-mb"))
        addFault(map, "memory-mb", "is missing");
    model.m_memory.m_count = readInt(map, "memory-mb", 1, memoryBounds);
    model.m_maxReplicas = static_cast<int>(readInt(map, "max-replicas", 1, replicaBounds));
    model.m_keepAlive.m_count
        = readInt(map, "keep-alive-ms", model.m_keepAlive.m_count, timeBounds);
    model.m_loadTime.m_count = readInt(map, "load-ms", model.m_loadTime.m_count, timeBounds);
    for (YamlMap &adapter : readMaps(map, "adapters"))
        model.m_adapters.push_back(readAdapter(adapter));
    checkKeys(map);
    return model;
}

ServerSpec readServer(YamlMap &map)
{
    ServerSpec server;
    server.m_name.m_text = readName(map, "name", true);
    server.m_endpoint = readEndpoint(map, "address", true);
    server.m_dataCentre.m_text = readName(map, "data-centre", true);
    server.m_service.m_text = readName(map, "service", false);
    server.m_cell.m_text = readName(map, "cell", false);
    server.m_checksFencingToken = readBool(map, "checks-fence", false);
    server.m_resumesStreams = readBool(map, "resumes", false);
    server.m_leaving = readBool(map, "leaving", false);
    for (const std::int64_t memory : readInts(map, "accelerators-mb", memoryBounds))
        server.m_accelerators.push_back({memory});
    const bool plain = !server.m_service.m_text.empty();
    if (plain == !server.m_cell.m_text.empty())
        addFault(map, "cell", "a server has either a cell or a service");
    if (plain == !server.m_accelerators.empty())
        addFault(map, "accelerators-mb", "must be set for a server in a cell, and only there");
    checkKeys(map);
    return server;
}

template<typename T>
void checkUniqueNames(const YamlMap &map, const std::string &key, const std::vector<T> &items)
{
    std::set<std::string> seen;
    for (const T &item : items) {
        if (!seen.insert(item.m_name.m_text).second)
            addFault(map, key, "'" + item.m_name.m_text + "' occurs twice");
    }
}

ServiceSpec readService(YamlMap &map)
{
    ServiceSpec service;
    service.m_name.m_text = readName(map, "service", true);
    service.m_kind = static_cast<ServiceKind>(readChoice(map, "kind", {"model", "plain"}));
    for (YamlMap &work : readMaps(map, "work"))
        service.m_work.push_back(readWork(work));
    for (YamlMap &model : readMaps(map, "models"))
        service.m_models.push_back(readModel(model));
    if (service.m_work.empty())
        addFault(map, "work", "at least one kind of work is needed");
    if ((service.m_kind == ServiceKind::Plain) != service.m_models.empty())
        addFault(map, "models", "a model service has models, a plain service has none");
    checkUniqueNames(map, "work", service.m_work);
    checkUniqueNames(map, "models", service.m_models);
    checkKeys(map);
    return service;
}

StoreLimits readStore(YamlMap &map)
{
    StoreLimits store;
    store.m_loadsPerSecond = readReal(map, "loads-per-second", store.m_loadsPerSecond, 0);
    store.m_maxConcurrentLoads
        = static_cast<int>(readInt(map, "loads-at-once", store.m_maxConcurrentLoads, countBounds));
    store.m_maxConcurrentAdapterLoads = static_cast<int>(
        readInt(map, "adapters-at-once", store.m_maxConcurrentAdapterLoads, countBounds));
    checkKeys(map);
    return store;
}

PlanWeights readWeights(YamlMap &map)
{
    PlanWeights weights;
    weights.m_coldStart = readReal(map, "cold-start", weights.m_coldStart, 0);
    weights.m_idle = readReal(map, "idle", weights.m_idle, 0);
    checkKeys(map);
    return weights;
}

void readDeployment(YamlMap &map, Configuration &into)
{
    readName(map, "deployment", true);
    if (auto store = readMap(map, "store"))
        into.m_store = readStore(*store);
    if (auto weights = readMap(map, "weights"))
        into.m_weights = readWeights(*weights);
    for (YamlMap &server : readMaps(map, "servers"))
        into.m_servers.push_back(readServer(server));
    checkUniqueNames(map, "servers", into.m_servers);
    checkKeys(map);
}

const std::string &pathOf(const Configuration &configuration, const std::string &fileName)
{
    static const std::string none = "?";
    for (const PublishedFile &file : configuration.m_files) {
        if (file.m_name == fileName)
            return file.m_path;
    }
    return none;
}

/// True if an accelerator of the model's cell is large enough for it.
bool fitsSomewhere(const Configuration &configuration, const ModelSpec &model)
{
    const CellName cell = cellOfModel(configuration, model.m_name);
    for (const ServerSpec &server : configuration.m_servers) {
        if (server.m_cell != cell || cell.m_text.empty())
            continue;
        for (const Megabytes memory : server.m_accelerators) {
            if (memory >= model.m_memory)
                return true;
        }
    }
    return false;
}

/// Faults of a service that show only together with the other files. `models` holds the names of
/// the models seen so far.
void checkService(const Configuration &configuration, const ServiceSpec &service,
                  std::set<std::string> &models, std::vector<FileFault> &faults)
{
    const std::string &path = pathOf(configuration, "service:" + service.m_name.m_text);
    for (const ModelSpec &model : service.m_models) {
        const std::string field = "models." + model.m_name.m_text;
        if (!models.insert(model.m_name.m_text).second)
            faults.push_back({path, 1, field, "another service has a model of the same name"});
        if (!fitsSomewhere(configuration, model))
            faults.push_back(
                {path, 1, field + ".memory-mb", "no accelerator of its cell is large enough"});
    }
    if (service.m_kind != ServiceKind::Plain)
        return;
    const bool served
        = std::any_of(configuration.m_servers.begin(), configuration.m_servers.end(),
                      [&](const ServerSpec &server) { return server.m_service == service.m_name; });
    if (!served)
        faults.push_back({path, 1, "service", "no server of the deployment provides this service"});
}

/// Copies what was parsed from the same file in the known configuration. False if the file's text
/// differs, so that it must be parsed.
bool reuseParsedFile(const PublishedFile &file, const Configuration &known, Configuration &into)
{
    const bool same
        = std::any_of(known.m_files.begin(), known.m_files.end(), [&](const PublishedFile &other) {
              return other.m_name == file.m_name && other.m_text == file.m_text;
          });
    if (!same)
        return false;
    if (file.m_name == "deployment") {
        into.m_servers = known.m_servers;
        into.m_store = known.m_store;
        into.m_weights = known.m_weights;
    } else {
        const std::string name = file.m_name.substr(file.m_name.find(':') + 1);
        const ServiceSpec *service = findService(known, {name});
        if (!service)
            return false;
        into.m_services.push_back(*service);
    }
    into.m_files.push_back(file);
    return true;
}

} // namespace

std::string toText(const FileFault &fault)
{
    std::string text = fault.m_path + ":" + std::to_string(fault.m_line) + ": ";
    if (!fault.m_field.empty())
        text += fault.m_field + ": ";
    return text + fault.m_message;
}

std::vector<FileFault> readPublishedFile(PublishedFile file, Configuration &configuration)
{
    YamlFile yaml;
    yaml.m_path = file.m_path;
    YamlMap map = openYaml(yaml, file.m_text);
    if (!yaml.m_faults.empty())
        return yaml.m_faults;
    if (hasKey(map, "deployment")) {
        file.m_name = "deployment";
        readDeployment(map, configuration);
    } else if (hasKey(map, "service")) {
        const ServiceSpec service = readService(map);
        file.m_name = "service:" + service.m_name.m_text;
        configuration.m_services.push_back(service);
    } else {
        return {{file.m_path, 1, "", "the file must have a key 'service' or 'deployment'"}};
    }
    for (const PublishedFile &other : configuration.m_files) {
        if (other.m_name == file.m_name)
            yaml.m_faults.push_back(
                {file.m_path, 1, "",
                 "'" + file.m_name + "' is defined in " + other.m_path + " too"});
    }
    configuration.m_files.push_back(std::move(file));
    return yaml.m_faults;
}

std::vector<FileFault> validateConfiguration(const Configuration &configuration)
{
    std::vector<FileFault> faults;
    std::set<std::string> models;
    for (const ServiceSpec &service : configuration.m_services)
        checkService(configuration, service, models, faults);
    return faults;
}

std::string writeConfiguration(const Configuration &configuration)
{
    json::object object;
    object["number"] = configuration.m_number;
    object["id"] = configuration.m_id;
    object["parent"] = configuration.m_parent;
    object["publisher"] = configuration.m_publisher;
    json::array files;
    for (const PublishedFile &file : configuration.m_files)
        files.push_back({{"name", file.m_name}, {"path", file.m_path}, {"text", file.m_text}});
    object["files"] = std::move(files);
    json::object cells;
    for (const ModelCell &entry : configuration.m_modelCells)
        cells[entry.m_model.m_text] = entry.m_cell.m_text;
    object["model_cells"] = std::move(cells);
    return json::serialize(object);
}

Result<Configuration> parseConfiguration(std::string_view text, const Configuration *known)
{
    try {
        const json::object object
            = json::parse(json::string_view(text.data(), text.size())).as_object();
        Configuration configuration;
        configuration.m_number = object.at("number").to_number<std::uint64_t>();
        configuration.m_id = json::value_to<std::string>(object.at("id"));
        configuration.m_parent = json::value_to<std::string>(object.at("parent"));
        configuration.m_publisher = json::value_to<std::string>(object.at("publisher"));
        for (const auto &entry : object.at("model_cells").as_object()) {
            const std::string model(entry.key());
            const auto cell = json::value_to<std::string>(entry.value());
            configuration.m_modelCells.push_back({{model}, {cell}});
        }
        for (const json::value &value : object.at("files").as_array()) {
            PublishedFile file;
            file.m_path = json::value_to<std::string>(value.at("path"));
            file.m_text = json::value_to<std::string>(value.at("text"));
            file.m_name = json::value_to<std::string>(value.at("name"));
            if (known && reuseParsedFile(file, *known, configuration))
                continue;
            const auto faults = readPublishedFile(std::move(file), configuration);
            if (!faults.empty())
                return makeFailure(ErrorKind::BadRequest, toText(faults.front()));
        }
        return configuration;
    } catch (const std::exception &error) {
        return makeFailure(ErrorKind::BadRequest, error.what());
    }
}

void assignCells(Configuration &configuration)
{
    for (const ServiceSpec &service : configuration.m_services) {
        for (const ModelSpec &model : service.m_models) {
            const auto known = std::any_of(
                configuration.m_modelCells.begin(), configuration.m_modelCells.end(),
                [&](const ModelCell &entry) { return entry.m_model == model.m_name; });
            const CellName cell = cellOfModel(configuration, model.m_name);
            if (!known && !cell.m_text.empty())
                configuration.m_modelCells.push_back({model.m_name, cell});
        }
    }
}

const ServiceSpec *findService(const Configuration &configuration, const ServiceName &name)
{
    for (const ServiceSpec &service : configuration.m_services) {
        if (service.m_name == name)
            return &service;
    }
    return nullptr;
}

const WorkKind *findWork(const ServiceSpec &service, const WorkName &name)
{
    for (const WorkKind &work : service.m_work) {
        if (work.m_name == name)
            return &work;
    }
    return nullptr;
}

const ModelSpec *findModel(const ServiceSpec &service, const ModelName &name)
{
    for (const ModelSpec &model : service.m_models) {
        if (model.m_name == name)
            return &model;
    }
    return nullptr;
}

const ModelSpec *findModel(const Configuration &configuration, const ModelName &name)
{
    for (const ServiceSpec &service : configuration.m_services) {
        const ModelSpec *model = findModel(service, name);
        if (model)
            return model;
    }
    return nullptr;
}

const ServerSpec *findServer(const Configuration &configuration, const ServerName &name)
{
    for (const ServerSpec &server : configuration.m_servers) {
        if (server.m_name == name)
            return &server;
    }
    return nullptr;
}

const AdapterSpec *findAdapter(const ModelSpec &model, const AdapterName &name)
{
    for (const AdapterSpec &adapter : model.m_adapters) {
        if (adapter.m_name == name)
            return &adapter;
    }
    return nullptr;
}

std::vector<CellName> cellsOf(const Configuration &configuration)
{
    std::set<CellName> cells;
    for (const ServerSpec &server : configuration.m_servers) {
        if (!server.m_cell.m_text.empty())
            cells.insert(server.m_cell);
    }
    return {cells.begin(), cells.end()};
}

CellName cellOfModel(const Configuration &configuration, const ModelName &model)
{
    const std::vector<CellName> cells = cellsOf(configuration);
    for (const ModelCell &entry : configuration.m_modelCells) {
        if (entry.m_model == model
            && std::find(cells.begin(), cells.end(), entry.m_cell) != cells.end())
            return entry.m_cell;
    }
    CellName best;
    std::uint64_t bestScore = 0;
    for (const CellName &cell : cells) {
        const std::uint64_t score = stableHash(model.m_text + "@" + cell.m_text);
        if (best.m_text.empty() || score > bestScore) {
            best = cell;
            bestScore = score;
        }
    }
    return best;
}

} // namespace apricot
