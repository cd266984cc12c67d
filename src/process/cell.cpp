// The record of a cell: its owner, and the slots of models that are loaded or possibly loaded. An
// order is sent only after it was written to the record, and every order attempt keeps its memory
// reserved until the attempt is resolved. spec/cell.pml models the same steps.
#include "apricot.h"

#include <algorithm>
#include <boost/json.hpp>

namespace apricot {

namespace json = boost::json;

namespace {

Slot *findSlot(CellRecord &record, std::uint64_t slotId)
{
    for (Slot &slot : record.m_slots) {
        if (slot.m_id == slotId)
            return &slot;
    }
    return nullptr;
}

json::object writeAttempt(const OrderAttempt &attempt)
{
    json::object object;
    object["sender"] = attempt.m_id.m_sender.m_value;
    object["number"] = attempt.m_id.m_number;
    object["kind"] = static_cast<int>(attempt.m_kind);
    object["epoch"] = attempt.m_epoch.m_value;
    object["host"] = attempt.m_host.m_text;
    return object;
}

json::object writeSlot(const Slot &slot)
{
    json::object object;
    object["id"] = slot.m_id;
    object["model"] = slot.m_model.m_text;
    object["adapter"] = slot.m_adapter.m_text;
    object["version"] = slot.m_version;
    object["server"] = slot.m_server.m_text;
    object["accelerator"] = slot.m_accelerator;
    object["memory_mb"] = slot.m_memory.m_count;
    object["phase"] = static_cast<int>(slot.m_phase);
    json::array attempts;
    for (const OrderAttempt &attempt : slot.m_attempts)
        attempts.push_back(writeAttempt(attempt));
    object["copies"] = std::move(attempts);
    return object;
}

OrderAttempt readAttempt(const json::value &value)
{
    OrderAttempt attempt;
    attempt.m_id.m_sender.m_value = value.at("sender").to_number<std::uint64_t>();
    attempt.m_id.m_number = value.at("number").to_number<std::uint64_t>();
    attempt.m_kind = static_cast<OrderKind>(value.at("kind").to_number<int>());
    attempt.m_epoch.m_value = value.at("epoch").to_number<std::uint64_t>();
    attempt.m_host.m_text = json::value_to<std::string>(value.at("host"));
    return attempt;
}

Slot readSlot(const json::value &value)
{
    Slot slot;
    slot.m_id = value.at("id").to_number<std::uint64_t>();
    slot.m_model.m_text = json::value_to<std::string>(value.at("model"));
    slot.m_adapter.m_text = json::value_to<std::string>(value.at("adapter"));
    slot.m_version = value.at("version").to_number<int>();
    slot.m_server.m_text = json::value_to<std::string>(value.at("server"));
    slot.m_accelerator = value.at("accelerator").to_number<int>();
    slot.m_memory.m_count = value.at("memory_mb").to_number<std::int64_t>();
    slot.m_phase = static_cast<SlotPhase>(value.at("phase").to_number<int>());
    for (const json::value &attempt : value.at("copies").as_array())
        slot.m_attempts.push_back(readAttempt(attempt));
    return slot;
}

} // namespace

std::string writeCellRecord(const CellRecord &record)
{
    json::object object;
    object["cell"] = record.m_cell.m_text;
    object["epoch"] = record.m_epoch.m_value;
    object["owner_host"] = record.m_ownerHost.m_text;
    object["owner"] = record.m_owner.m_value;
    object["last_update"] = record.m_lastUpdate;
    object["next_slot"] = record.m_nextSlot;
    json::array slots;
    for (const Slot &slot : record.m_slots)
        slots.push_back(writeSlot(slot));
    object["slots"] = std::move(slots);
    return json::serialize(object);
}

Result<CellRecord> parseCellRecord(std::string_view text)
{
    try {
        const json::value value = json::parse(json::string_view(text.data(), text.size()));
        CellRecord record;
        record.m_cell.m_text = json::value_to<std::string>(value.at("cell"));
        record.m_epoch.m_value = value.at("epoch").to_number<std::uint64_t>();
        record.m_ownerHost.m_text = json::value_to<std::string>(value.at("owner_host"));
        record.m_owner.m_value = value.at("owner").to_number<std::uint64_t>();
        record.m_lastUpdate = value.at("last_update").to_number<std::uint64_t>();
        record.m_nextSlot = value.at("next_slot").to_number<std::uint64_t>();
        for (const json::value &slot : value.at("slots").as_array())
            record.m_slots.push_back(readSlot(slot));
        return record;
    } catch (const std::exception &error) {
        return makeFailure(ErrorKind::Internal,
                           std::string("the cell's record can't be parsed: ") + error.what());
    }
}

Megabytes freeMemory(const CellRecord &record, const ServerSpec &server, int accelerator)
{
    if (accelerator < 0 || static_cast<std::size_t>(accelerator) >= server.m_accelerators.size())
        return {0};
    Megabytes left = server.m_accelerators[static_cast<std::size_t>(accelerator)];
    for (const Slot &slot : record.m_slots) {
        if (slot.m_server == server.m_name && slot.m_accelerator == accelerator)
            left = left - slot.m_memory;
    }
    return left;
}

int possibleReplicas(const CellRecord &record, const ModelName &model)
{
    return static_cast<int>(
        std::count_if(record.m_slots.begin(), record.m_slots.end(), [&](const Slot &slot) {
            return slot.m_model == model && slot.m_adapter.m_text.empty();
        }));
}

Result<std::uint64_t> reserveLoad(CellRecord &record, const LoadRequest &request,
                                  const ServerSpec &server)
{
    if (freeMemory(record, server, request.m_accelerator) < request.m_memory)
        return makeFailure(ErrorKind::NoCapacity,
                           "not enough free memory on " + server.m_name.m_text);
    const bool isModel = request.m_adapter.m_text.empty();
    if (isModel && possibleReplicas(record, request.m_model) >= request.m_maxReplicas)
        return makeFailure(
            ErrorKind::NoCapacity,
            "max-replicas is reached, counting all that may be loaded on any server");
    for (const Slot &slot : record.m_slots) {
        if (slot.m_server == request.m_server && slot.m_model == request.m_model
            && slot.m_adapter == request.m_adapter)
            return makeFailure(ErrorKind::NoCapacity,
                               "the model or adapter may already be loaded on this server");
    }
    Slot slot;
    slot.m_id = record.m_nextSlot++;
    slot.m_model = request.m_model;
    slot.m_adapter = request.m_adapter;
    slot.m_version = request.m_version;
    slot.m_server = request.m_server;
    slot.m_accelerator = request.m_accelerator;
    slot.m_memory = request.m_memory;
    slot.m_attempts.push_back(
        {request.m_order, OrderKind::Load, record.m_epoch, record.m_ownerHost});
    record.m_slots.push_back(slot);
    return slot.m_id;
}

Result<std::uint64_t> recordUnload(CellRecord &record, std::uint64_t slotId, OrderId order)
{
    const Slot *found = findSlot(record, slotId);
    if (!found)
        return makeFailure(ErrorKind::Conflict, "the record has no slot of this id");
    const Slot target = *found;
    const auto isAffected = [&](const Slot &slot) {
        const bool isItsAdapter = target.m_adapter.m_text.empty()
            && slot.m_server == target.m_server && slot.m_model == target.m_model;
        return slot.m_id == slotId || isItsAdapter;
    };
    for (const Slot &slot : record.m_slots) {
        if (isAffected(slot) && (slot.m_phase != SlotPhase::Loaded || !slot.m_attempts.empty()))
            return makeFailure(
                ErrorKind::Conflict,
                "the slot or an adapter's slot isn't loaded or has an unresolved order");
    }
    for (Slot &slot : record.m_slots) {
        if (!isAffected(slot))
            continue;
        slot.m_phase = SlotPhase::Unloading;
        slot.m_attempts.push_back({order, OrderKind::Unload, record.m_epoch, record.m_ownerHost});
    }
    return slotId;
}

bool resolveAttempt(CellRecord &record, OrderId order, ReportedState reported)
{
    std::vector<std::uint64_t> resolved;
    for (Slot &slot : record.m_slots) {
        const auto removed = std::erase_if(
            slot.m_attempts, [&](const OrderAttempt &attempt) { return attempt.m_id == order; });
        if (removed > 0)
            resolved.push_back(slot.m_id);
    }
    for (const std::uint64_t slotId : resolved)
        reconcileSlot(record, slotId, reported);
    return !resolved.empty();
}

void reconcileSlot(CellRecord &record, std::uint64_t slotId, ReportedState reported)
{
    Slot *slot = findSlot(record, slotId);
    if (!slot || !slot->m_attempts.empty())
        return;
    if (reported == ReportedState::Loaded)
        slot->m_phase = SlotPhase::Loaded;
    if (reported == ReportedState::Absent)
        std::erase_if(record.m_slots, [&](const Slot &s) { return s.m_id == slotId; });
}

void takeOver(CellRecord &record, const HostName &host, Incarnation incarnation)
{
    ++record.m_epoch.m_value;
    record.m_ownerHost = host;
    record.m_owner = incarnation;
}

std::string brokenInvariant(const CellRecord &record, const Configuration &configuration)
{
    for (const ServerSpec &server : configuration.m_servers) {
        for (std::size_t i = 0; i < server.m_accelerators.size(); ++i) {
            if (freeMemory(record, server, static_cast<int>(i)) < Megabytes{0})
                return "memory of " + server.m_name.m_text + " is overcommitted";
        }
    }
    for (const ServiceSpec &service : configuration.m_services) {
        for (const ModelSpec &model : service.m_models) {
            if (possibleReplicas(record, model.m_name) > model.m_maxReplicas)
                return "too many replicas of " + model.m_name.m_text;
        }
    }
    return {};
}

} // namespace apricot
