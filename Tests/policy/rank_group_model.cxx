#include "policy/rank_group_model.h"

#include <algorithm>
#include <variant>

namespace medlaryoke::policy {

order_result rank_group_model::handle_order(unsigned rank, std::uint64_t token,
                                            std::uint64_t order_epoch, const rank_order& order)
{
    auto& it = this->ranks[rank];
    if (this->checks_tokens_ && token < it.token) {
        return order_result::fenced;
    }
    it.token = std::max(it.token, token);
    if (order_epoch != this->epoch) {
        return order_result::conflict;
    }
    return std::visit([&](const auto& body) { return this->execute(it, body); }, order);
}

rank_report rank_group_model::report(unsigned rank) const
{
    const auto& it = this->ranks[rank];
    rank_report result;
    result.epoch = this->epoch;
    result.step = this->step;
    result.map_version = it.map;
    result.prepared_version = it.prepared;
    result.held_step = it.held;
    result.rank = rank;
    if (it.armed) {
        result.armed_version = it.armed->version;
    }
    return result;
}

bool rank_group_model::begin_step()
{
    const auto next = this->step + 1;
    for (const auto& it : this->ranks) {
        if (it.held && *it.held <= next) {
            ++this->held_steps;
            return true;
        }
    }
    this->held_steps = 0;
    this->step = next;
    for (auto& it : this->ranks) {
        if (it.armed && it.armed->step <= next) {
            it.map = it.armed->version;
            it.armed.reset();
            it.prepared.reset();
        }
    }
    return std::ranges::all_of(
        this->ranks, [this](const auto& it) { return it.map == this->ranks.front().map; });
}

void rank_group_model::start_epoch()
{
    ++this->epoch;
    for (auto& it : this->ranks) {
        it = {it.token, 0, 0, {}, {}, {}};
    }
}

order_result rank_group_model::execute(rank_state& it, const prepare_order& order)
{
    if (it.armed || order.map->version <= it.highest_version) {
        return order_result::conflict;
    }
    it.highest_version = order.map->version;
    it.prepared = order.map->version;
    return order_result::done;
}

order_result rank_group_model::execute(rank_state& it, const arm_order& order)
{
    if (it.armed && it.armed->version == order.version && it.armed->step == order.step) {
        return order_result::done;
    }
    if (it.prepared != order.version || order.step <= this->step) {
        return order_result::conflict;
    }
    it.armed = order;
    return order_result::done;
}

order_result rank_group_model::execute(rank_state& it, const disarm_order& order)
{
    if (it.map == order.version) {
        return order_result::conflict;
    }
    if (it.armed && it.armed->version == order.version) {
        it.armed.reset();
    }
    return order_result::done;
}

order_result rank_group_model::execute(rank_state& it, const hold_order& order)
{
    if (it.held == order.step) {
        return order_result::done;
    }
    if (it.held || order.step <= this->step) {
        return order_result::conflict;
    }
    it.held = order.step;
    return order_result::done;
}

order_result rank_group_model::execute(rank_state& it, const release_hold_order& order)
{
    if (it.held == order.step) {
        it.held.reset();
    }
    return order_result::done;
}

std::vector<rank_report> rank_group_model::reports() const
{
    std::vector<rank_report> result;
    for (unsigned rank = 0; rank < this->ranks.size(); ++rank) {
        result.push_back(this->report(rank));
    }
    return result;
}

} // namespace medlaryoke::policy
