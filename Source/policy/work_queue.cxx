#include "policy/work_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "policy/priority_class.h"

namespace medlaryoke::policy {

namespace {

/// Requests for which service beyond the floor counts towards the floor. With 0 urgent work met
/// its target 2 to 5 points less often in a batch flood.
constexpr double floor_debt_items = 4;

/// Part of the first token target after which a request in the queue is late: the rest is needed
/// for the way and the prompt.
constexpr double fresh_part = 0.8;

struct item_position {
    unsigned priority = 0;
    organisation_queue* organisation = nullptr;
    std::list<waiting_item>::iterator item;
};

bool has_deadline(const work_item& item)
{
    return item.deadline != time_point{};
}

} // namespace

class work_queue::implementation {
public:
    explicit implementation(work_queue_options options) : options_(std::move(options))
    {
        this->set_priorities(this->options_.priorities);
    }

    std::vector<work_item> push(work_item item, time_point now)
    {
        this->collect_expired(now);
        this->collect_late(now);
        auto& group = this->class_of(item.priority);
        auto& queue = find_or_add(group, item.organisation);
        unlink_organisation(group, queue);
        queue.share = item.share;
        if (queue.empty()) {
            queue.start_tag = earliest_start(group, queue);
        }
        queue.queued_cost += item.cost;
        queue.fresh_cost += item.cost;
        if (has_deadline(item)) {
            this->deadlines_.emplace(item.deadline, item.id);
        }
        const auto id = item.id;
        const auto priority = item.priority;
        queue.fresh.push_back({std::move(item), now});
        this->positions_[id] = {priority, &queue, std::prev(queue.fresh.end())};
        if (group.rule.first_token_target > duration::zero()) {
            group.becoming_late.emplace_back(now, id);
        }
        ++group.size;
        link_organisation(group, queue);
        std::vector<work_item> refused;
        while (this->positions_.size() > this->options_.max_items) {
            refused.push_back(this->evict());
        }
        return refused;
    }

    std::optional<work_item> pop(time_point now, room left)
    {
        this->collect_expired(now);
        this->collect_late(now);
        auto* group = this->choose_class(left);
        if (group == nullptr) {
            return std::nullopt;
        }
        const auto& next = choose_item(*group, now);
        this->account_floors(*group, next.cost);
        auto item = this->take(next.id);
        auto& queue = find_or_add(*group, item.organisation);
        group->virtual_time = std::max(group->virtual_time, queue.start_tag);
        unlink_organisation(*group, queue);
        queue.start_tag += item.cost / item.share;
        link_organisation(*group, queue);
        forget_idle(*group);
        return item;
    }

    std::vector<work_item> expire(time_point now)
    {
        this->collect_expired(now);
        return std::exchange(this->expired_, {});
    }

    bool remove(std::uint64_t id)
    {
        if (!this->positions_.contains(id)) {
            return false;
        }
        this->take(id);
        return true;
    }

    void charge(unsigned priority, const std::string& organisation, double cost, double share)
    {
        auto& group = this->class_of(priority);
        auto& queue = find_or_add(group, organisation);
        unlink_organisation(group, queue);
        if (share > 0) {
            queue.share = share;
        }
        const auto base = earliest_start(group, queue);
        const auto bound = group.virtual_time + this->options_.max_debt / queue.share;
        queue.start_tag = std::max(base, std::min(base + cost / queue.share, bound));
        link_organisation(group, queue);
    }

    void set_priorities(std::vector<priority_rule> priorities)
    {
        double sum = 0;
        for (const auto& it : priorities) {
            sum += it.floor;
        }
        for (auto& [order, group] : this->classes_) {
            group.rule = priority_rule{.order = order};
        }
        for (auto& it : priorities) {
            it.floor /= std::max(sum, 1.0);
            this->class_of(it.order).rule = it;
        }
        this->options_.priorities = std::move(priorities);
    }

    double cost_ahead(unsigned priority, const std::string& organisation, double share) const
    {
        const auto found = this->classes_.find(priority);
        if (found == this->classes_.end() || found->second.size == 0) {
            return 0;
        }
        const auto& group = found->second;
        double own = 0;
        double start = group.virtual_time;
        auto shares = group.fresh_shares;
        const auto it = group.organisations.find(organisation);
        if (it != group.organisations.end()) {
            own = it->second.fresh_cost;
            start = earliest_start(group, it->second);
            shares -= it->second.fresh.empty() ? 0 : it->second.share;
        }
        // Until its turn comes the others are served at their shares, if they have that much.
        const auto lead = std::max(0.0, start - group.virtual_time) + own / share;
        return own + std::min(lead * shares, group.fresh_cost - own);
    }

    double more_urgent_cost(unsigned priority) const
    {
        double sum = 0;
        for (const auto& [order, group] : this->classes_) {
            sum += order < priority ? group.queued_cost : 0;
        }
        return sum;
    }

    std::size_t size() const { return this->positions_.size(); }

private:
    priority_class& class_of(unsigned priority)
    {
        auto& group = this->classes_[priority];
        group.burst = this->options_.burst;
        return group;
    }

    /// Removes one item; shares and floors are not charged.
    work_item take(std::uint64_t id)
    {
        const auto it = this->positions_.find(id);
        const auto position = it->second;
        this->positions_.erase(it);
        auto& group = this->classes_[position.priority];
        auto& queue = *position.organisation;
        unlink_organisation(group, queue);
        work_item item = std::move(position.item->item);
        queue.queued_cost -= item.cost;
        queue.fresh_cost -= position.item->late ? 0 : item.cost;
        (position.item->late ? queue.late : queue.fresh).erase(position.item);
        --group.size;
        link_organisation(group, queue);
        if (has_deadline(item)) {
            this->deadlines_.erase({item.deadline, item.id});
        }
        if (group.size == 0) {
            group.floor_credit = std::min(group.floor_credit, 0.0);
            group.queued_cost = 0;
            group.fresh_cost = 0;
            group.fresh_shares = 0;
            group.becoming_late.clear();
        }
        return item;
    }

    /// A floor is also a floor of places in the queue: without waiting requests it would be void.
    work_item evict()
    {
        for (auto it = this->classes_.rbegin(); it != this->classes_.rend(); ++it) {
            auto& group = it->second;
            const auto kept = group.rule.floor * static_cast<double>(this->options_.max_items);
            if (group.size > 0 && static_cast<double>(group.size) > kept) {
                const auto* victim = group.by_backlog.rbegin()->queue;
                const auto& items = victim->late;
                return this->take((items.empty() ? victim->fresh.back() : items.front()).item.id);
            }
        }
        return this->take(this->positions_.begin()->first);
    }

    priority_class* choose_class(room left)
    {
        priority_class* owed = nullptr;
        priority_class* urgent = nullptr;
        for (auto& [order, group] : this->classes_) {
            if (group.size == 0) {
                continue;
            }
            if (urgent == nullptr) {
                urgent = &group;
            }
            if (group.floor_credit > 0 &&
                (owed == nullptr || group.floor_credit > owed->floor_credit)) {
                owed = &group;
            }
        }
        if (owed == nullptr && left == room::scarce && urgent != &this->classes_.begin()->second) {
            return nullptr;
        }
        return owed != nullptr ? owed : urgent;
    }

    /// Every priority with waiting work earns its floor of the cost served; the served one pays.
    /// Service beyond the floor counts for a few requests only, so that the floor holds soon after
    /// the start of a flood. If it did not count at all, a priority that gets far more than its
    /// floor would still take turns before urgent work.
    void account_floors(priority_class& served, double cost)
    {
        for (auto& [order, group] : this->classes_) {
            if (group.size > 0) {
                group.floor_credit += group.rule.floor * cost;
            }
        }
        const auto least = std::min(served.floor_credit, -floor_debt_items * cost);
        served.floor_credit = std::max(served.floor_credit - cost, least);
    }

    void collect_expired(time_point now)
    {
        while (!this->deadlines_.empty() && this->deadlines_.begin()->first <= now) {
            this->expired_.push_back(this->take(this->deadlines_.begin()->second));
        }
    }

    void collect_late(time_point now)
    {
        for (auto& [order, group] : this->classes_) {
            const auto target =
                std::chrono::duration<double, std::nano>(group.rule.first_token_target);
            const auto patience = std::chrono::duration_cast<duration>(target * fresh_part);
            auto& next = group.becoming_late;
            while (patience > duration::zero() && !next.empty() &&
                   now - next.front().first > patience) {
                const auto found = this->positions_.find(next.front().second);
                next.pop_front();
                if (found != this->positions_.end()) {
                    make_late(group, found->second);
                }
            }
        }
    }

    static void make_late(priority_class& group, const item_position& position)
    {
        auto& queue = *position.organisation;
        unlink_organisation(group, queue);
        position.item->late = true;
        queue.fresh_cost -= position.item->item.cost;
        queue.late.splice(queue.late.end(), queue.fresh, position.item);
        link_organisation(group, queue);
    }

    work_queue_options options_;
    std::map<unsigned, priority_class> classes_;
    std::unordered_map<std::uint64_t, item_position> positions_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_;
    std::vector<work_item> expired_;
};

work_queue::work_queue(work_queue_options options)
    : impl_(std::make_unique<implementation>(std::move(options)))
{
}

work_queue::work_queue(work_queue&&) noexcept = default;
work_queue& work_queue::operator=(work_queue&&) noexcept = default;
work_queue::~work_queue() = default;

std::vector<work_item> work_queue::push(work_item item, time_point now)
{
    return this->impl_->push(std::move(item), now);
}

std::optional<work_item> work_queue::pop(time_point now, room left)
{
    return this->impl_->pop(now, left);
}

std::vector<work_item> work_queue::expire(time_point now)
{
    return this->impl_->expire(now);
}

bool work_queue::remove(std::uint64_t id)
{
    return this->impl_->remove(id);
}

void work_queue::charge(unsigned priority, const std::string& organisation, double cost,
                        double share)
{
    this->impl_->charge(priority, organisation, cost, share);
}

void work_queue::set_priorities(std::vector<priority_rule> priorities)
{
    this->impl_->set_priorities(std::move(priorities));
}

double work_queue::cost_ahead(unsigned priority, const std::string& organisation,
                              double share) const
{
    return this->impl_->cost_ahead(priority, organisation, share);
}

double work_queue::more_urgent_cost(unsigned priority) const
{
    return this->impl_->more_urgent_cost(priority);
}

std::size_t work_queue::size() const
{
    return this->impl_->size();
}

} // namespace medlaryoke::policy
