// Keys of client accounts: which account a request belongs to, and whether this host can still
// tell.
#include "accounts/accounts.h"

#include <algorithm>

namespace apricot {

namespace {

/// Reserved below the time for which a key may be accepted, for a clock that is read late.
constexpr Millis confirmationMargin = {150};
/// Age of the confirmation up to which a key that isn't known counts as unknown.
constexpr Millis unknownKeyAge = {2'000};
constexpr int lowestPriority = 9;
constexpr int routePriorities = 3; // ranks of routes that are told apart within one account rank

} // namespace

AccountId accountIdOf(const AccountName &name)
{
    return {stableHash(name.m_text)};
}

void addAccount(AccountTable &table, Account account, const std::vector<std::string> &keys)
{
    const AccountId id = accountIdOf(account.m_name);
    for (const std::string &key : keys) {
        if (!key.empty())
            table.m_keys.emplace(key, id);
    }
    table.m_accounts.emplace(id, std::move(account));
}

const Account *findAccount(const AccountTable &table, AccountId id)
{
    const auto found = table.m_accounts.find(id);
    return found == table.m_accounts.end() ? nullptr : &found->second;
}

void confirmKeys(KeyConfirmation &confirmation, Millis at)
{
    confirmation.m_confirmedAt = std::max(confirmation.m_confirmedAt, at);
}

bool applyConfirmation(KeyConfirmation &confirmation, const ConfirmationReply &reply,
                       std::uint64_t versionInForce)
{
    if (versionInForce < reply.m_version)
        return false;
    confirmKeys(confirmation, reply.m_askedAt - std::max(reply.m_age, Millis{0}));
    return true;
}

KeyDecision checkKey(const AccountTable &table, const KeyConfirmation &confirmation,
                     const KeyCheck &check)
{
    if (!table.m_required || check.m_publicRoute)
        return {};
    const Millis age = check.m_arrivedAt - confirmation.m_confirmedAt;
    const bool mustConfirm = check.m_confirmWithin > Millis{0};
    if (mustConfirm && age >= check.m_confirmWithin - confirmationMargin)
        return {KeyVerdict::Unverifiable, nullptr};
    const auto key = table.m_keys.find(check.m_key);
    if (key != table.m_keys.end())
        return {KeyVerdict::Accepted, findAccount(table, key->second)};
    if (mustConfirm && age >= unknownKeyAge && !check.m_key.empty())
        return {KeyVerdict::Unverifiable, nullptr};
    return {KeyVerdict::Unknown, nullptr};
}

int combinedPriority(const Account *account, int routePriority)
{
    if (!account || !account->m_priority)
        return std::clamp(routePriority, 0, lowestPriority);
    const int withinAccount = std::clamp(routePriority, 0, routePriorities - 1);
    return std::clamp(*account->m_priority * routePriorities + withinAccount, 0, lowestPriority);
}

} // namespace apricot
