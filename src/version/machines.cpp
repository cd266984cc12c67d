// The platform's machine list: reads and writes its JSON, and looks up a machine's state.
#include "apricot.h"

#include <boost/json.hpp>

namespace apricot {

namespace json = boost::json;

namespace {

constexpr std::array<const char *, 3> stateNames = {"live", "leaving", "gone"};

} // namespace

std::string writeMachineList(const MachineList &list)
{
    json::object machines;
    for (const ListedMachine &machine : list.m_machines)
        machines[machine.m_name] = stateNames.at(static_cast<std::size_t>(machine.m_state));
    return json::serialize(json::object{{"machines", std::move(machines)}});
}

Result<MachineList> parseMachineList(std::string_view text, std::uint64_t number)
{
    try {
        const json::value value = json::parse(json::string_view(text.data(), text.size()));
        MachineList list;
        list.m_number = number;
        for (const auto &entry : value.at("machines").as_object()) {
            ListedMachine machine;
            machine.m_name = std::string(entry.key());
            const auto name = json::value_to<std::string>(entry.value());
            // A state that isn't in the table counts as live.
            for (std::size_t i = 0; i < stateNames.size(); ++i) {
                if (name == stateNames.at(i))
                    machine.m_state = static_cast<ListedState>(i);
            }
            list.m_machines.push_back(std::move(machine));
        }
        return list;
    } catch (const std::exception &error) {
        return makeFailure(ErrorKind::Internal,
                           std::string("the machine list can't be parsed: ") + error.what());
    }
}

ListedState stateOf(const MachineList &list, std::string_view name)
{
    for (const ListedMachine &machine : list.m_machines) {
        if (machine.m_name == name)
            return machine.m_state;
    }
    return ListedState::Live;
}

bool isLeaving(const ServerSpec *server, const MachineList &list)
{
    return !server || server->m_leaving
        || stateOf(list, server->m_name.m_text) != ListedState::Live;
}

} // namespace apricot
