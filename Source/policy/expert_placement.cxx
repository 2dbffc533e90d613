#include "policy/expert_placement.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <optional>
#include <queue>
#include <ranges>
#include <utility>

#include <fmt/format.h>

#include "base/error.h"

namespace medlaryoke::policy {

namespace {

// With a high exponent the power mean approximates the highest load of a rank, but still decreases
// when one of several equally loaded ranks is relieved.
constexpr double power_mean_exponent = 24;

/// @return the value to the power of power_mean_exponent
double raise_to_exponent(double value)
{
    const auto cube = value * value * value;
    const auto sixth = cube * cube;
    const auto twelfth = sixth * sixth;
    return twelfth * twelfth;
}

void check_shape(const placement_shape& shape)
{
    if (shape.ranks == 0 || shape.ranks * shape.slots_per_rank < shape.experts) {
        throw error(error_kind::invalid_argument,
                    fmt::format("{} experts do not fit into {} ranks of {} slots", shape.experts,
                                shape.ranks, shape.slots_per_rank),
                    "Raise the number of slots per rank or of ranks.");
    }
}

std::vector<unsigned> count_replicas(const layer_placement& placement)
{
    std::vector<unsigned> replicas(placement.shape.experts);
    std::ranges::for_each(placement.expert_of_slot, [&](unsigned expert) { ++replicas[expert]; });
    return replicas;
}

std::vector<double> rank_loads(const layer_placement& placement, std::span<const double> loads)
{
    const auto replicas = count_replicas(placement);
    std::vector<double> result(placement.shape.ranks);
    for (std::size_t slot = 0; slot < placement.expert_of_slot.size(); ++slot) {
        const auto expert = placement.expert_of_slot[slot];
        result[slot / placement.shape.slots_per_rank] += loads[expert] / replicas[expert];
    }
    return result;
}

/// Chooses the number of replicas of each expert so that the highest load of a replica is minimal.
std::vector<unsigned> choose_replicas(const placement_shape& shape, std::span<const double> loads)
{
    std::vector<unsigned> replicas(shape.experts, 1);
    const auto replica_load = [&](unsigned expert) { return loads[expert] / replicas[expert]; };
    const auto less = [&](unsigned a, unsigned b) { return replica_load(a) < replica_load(b); };
    const auto spare_slots = shape.ranks * shape.slots_per_rank - shape.experts;
    for (unsigned n = 0; n < spare_slots; ++n) {
        auto candidates =
            std::views::iota(0U, shape.experts) |
            std::views::filter([&](unsigned it) { return replicas[it] < shape.ranks; });
        ++replicas[*std::ranges::max_element(candidates, less)];
    }
    return replicas;
}

std::span<const unsigned> experts_of(const layer_placement& placement, std::size_t rank)
{
    const auto per_rank = placement.shape.slots_per_rank;
    return std::span(placement.expert_of_slot).subspan(rank * per_rank, per_rank);
}

std::ptrdiff_t count_common(std::span<const unsigned> left, std::span<const unsigned> right)
{
    return std::ranges::count_if(
        left, [right](unsigned it) { return std::ranges::find(right, it) != right.end(); });
}

/// Assigns the expert lists of a wanted placement to ranks so that ranks keep many of the experts
/// that they already hold: pairs with the most common experts are matched first.
layer_placement match_ranks(const layer_placement& current, const layer_placement& wanted)
{
    struct pairing {
        std::ptrdiff_t common = 0;
        std::size_t from = 0;
        std::size_t to = 0;
    };
    const std::size_t ranks = current.shape.ranks;
    std::vector<pairing> pairings;
    for (std::size_t from = 0; from < ranks; ++from) {
        for (std::size_t to = 0; to < ranks; ++to) {
            pairings.push_back(
                {count_common(experts_of(wanted, from), experts_of(current, to)), from, to});
        }
    }
    std::ranges::stable_sort(pairings, std::greater{}, &pairing::common);
    std::vector<bool> is_assigned(ranks);
    std::vector<bool> is_filled(ranks);
    layer_placement result = current;
    for (const auto& it : pairings) {
        if (is_assigned[it.from] || is_filled[it.to]) {
            continue;
        }
        is_assigned[it.from] = true;
        is_filled[it.to] = true;
        const auto target = static_cast<std::ptrdiff_t>(it.to * current.shape.slots_per_rank);
        std::ranges::copy(experts_of(wanted, it.from), result.expert_of_slot.begin() + target);
    }
    return result;
}

/// Local search in one layer. Keeps the rank loads up to date with each change of the placement.
class layer_search {
public:
    layer_search(layer_placement placement, std::span<const double> loads)
        : placement_(std::move(placement)), loads_(loads), replicas_(count_replicas(placement_)),
          rank_loads_(rank_loads(placement_, loads)),
          mean_(std::accumulate(rank_loads_.begin(), rank_loads_.end(), 0.0) /
                static_cast<double>(rank_loads_.size()))
    {
    }

    /// Puts another expert into a slot. For a swap, the expert that the slot held goes into a
    /// second slot.
    struct change {
        std::size_t slot = 0;
        unsigned expert = 0;
        std::optional<std::size_t> swapped_slot;
    };

    [[nodiscard]] const layer_placement& placement() const { return this->placement_; }

    [[nodiscard]] double skew() const
    {
        return this->mean_ > 0 ? std::ranges::max(this->rank_loads_) / this->mean_ : 1;
    }

    /// Applies the change with the highest gain per expert that must be loaded.
    /// @param limits the minimum gain
    /// @return false if no change brings the minimum gain
    bool improve_once(const improvement_limits& limits)
    {
        const auto before = this->power_mean();
        double best_gain = limits.min_gain_per_expert;
        std::optional<change> best;
        for (const auto& candidate : this->candidates()) {
            const auto cost = candidate.swapped_slot ? 2.0 : 1.0;
            const auto undo = this->apply(candidate);
            const auto gain = (before - this->power_mean()) / cost;
            this->apply(undo);
            if (gain > best_gain) {
                best_gain = gain;
                best = candidate;
            }
        }
        if (best) {
            this->apply(*best);
        }
        return best.has_value();
    }

private:
    [[nodiscard]] std::size_t rank_of(std::size_t slot) const
    {
        return slot / this->placement_.shape.slots_per_rank;
    }

    /// Power mean of the rank loads, relative to the mean load.
    [[nodiscard]] double power_mean() const
    {
        if (this->mean_ <= 0) {
            return 1;
        }
        const auto sum = std::accumulate(this->rank_loads_.begin(), this->rank_loads_.end(), 0.0,
                                         [this](double total, double load) {
                                             return total + raise_to_exponent(load / this->mean_);
                                         });
        return std::pow(sum / static_cast<double>(this->rank_loads_.size()),
                        1 / power_mean_exponent);
    }

    [[nodiscard]] bool holds(std::size_t rank, unsigned expert) const
    {
        const auto first = rank * this->placement_.shape.slots_per_rank;
        const auto slots = std::span(this->placement_.expert_of_slot)
                               .subspan(first, this->placement_.shape.slots_per_rank);
        return std::ranges::find(slots, expert) != slots.end();
    }

    /// @return changes that move an expert away from the rank with the highest load
    [[nodiscard]] std::vector<change> candidates() const
    {
        const auto hottest = static_cast<std::size_t>(std::ranges::max_element(this->rank_loads_) -
                                                      this->rank_loads_.begin());
        const auto per_rank = this->placement_.shape.slots_per_rank;
        std::vector<change> result;
        for (auto hottest_slot = hottest * per_rank; hottest_slot < (hottest + 1) * per_rank;
             ++hottest_slot) {
            const auto expert = this->placement_.expert_of_slot[hottest_slot];
            for (std::size_t slot = 0; slot < this->placement_.expert_of_slot.size(); ++slot) {
                this->add_candidates(result, hottest_slot, expert, slot);
            }
        }
        return result;
    }

    void add_candidates(std::vector<change>& result, std::size_t hottest_slot, unsigned expert,
                        std::size_t slot) const
    {
        const auto other = this->placement_.expert_of_slot[slot];
        const auto rank = this->rank_of(slot);
        if (other == expert || this->holds(rank, expert)) {
            return;
        }
        if (this->replicas_[other] > 1) {
            result.push_back({slot, expert, std::nullopt});
        }
        const auto hottest = this->rank_of(hottest_slot);
        const bool is_less_loaded = this->rank_loads_[rank] < this->rank_loads_[hottest];
        if (is_less_loaded && !this->holds(hottest, other)) {
            result.push_back({slot, expert, hottest_slot});
        }
    }

    /// Applies a change.
    /// @return the change that undoes it
    change apply(const change& it)
    {
        const auto old_expert = this->placement_.expert_of_slot[it.slot];
        this->set_slot(it.slot, it.expert);
        if (it.swapped_slot) {
            this->set_slot(*it.swapped_slot, old_expert);
        }
        return {it.slot, old_expert, it.swapped_slot};
    }

    void set_slot(std::size_t slot, unsigned expert)
    {
        auto& current = this->placement_.expert_of_slot[slot];
        this->add_load(current, -1);
        this->add_load(expert, -1);
        --this->replicas_[current];
        ++this->replicas_[expert];
        const auto removed = std::exchange(current, expert);
        this->add_load(removed, 1);
        this->add_load(expert, 1);
    }

    /// Adds the load of an expert, multiplied by a sign, to the ranks that hold it.
    void add_load(unsigned expert, double sign)
    {
        if (this->replicas_[expert] == 0) {
            return;
        }
        const auto share = sign * this->loads_[expert] / this->replicas_[expert];
        for (std::size_t slot = 0; slot < this->placement_.expert_of_slot.size(); ++slot) {
            if (this->placement_.expert_of_slot[slot] == expert) {
                this->rank_loads_[this->rank_of(slot)] += share;
            }
        }
    }

    layer_placement placement_;
    std::span<const double> loads_;
    std::vector<unsigned> replicas_;
    std::vector<double> rank_loads_;
    double mean_;
};

} // namespace

layer_placement expert_placement::place_round_robin(const placement_shape& shape)
{
    check_shape(shape);
    layer_placement result{shape,
                           std::vector<unsigned>(std::size_t{shape.ranks} * shape.slots_per_rank)};
    for (std::size_t n = 0; n < result.expert_of_slot.size(); ++n) {
        // Consecutive experts go to different ranks, so that the replicas in spare slots are not on
        // the rank of the original.
        const auto slot = (n % shape.ranks) * shape.slots_per_rank + n / shape.ranks;
        result.expert_of_slot[slot] = static_cast<unsigned>(n % shape.experts);
    }
    return result;
}

layer_placement expert_placement::repack(const placement_shape& shape,
                                         std::span<const double> loads)
{
    check_shape(shape);
    const auto replicas = choose_replicas(shape, loads);
    std::vector<unsigned> replicas_by_load;
    for (unsigned expert = 0; expert < shape.experts; ++expert) {
        replicas_by_load.insert(replicas_by_load.end(), replicas[expert], expert);
    }
    std::ranges::stable_sort(replicas_by_load, std::greater{},
                             [&](unsigned it) { return loads[it] / replicas[it]; });
    layer_placement result{shape, std::vector<unsigned>(replicas_by_load.size())};
    std::vector<unsigned> used_slots(shape.ranks);
    std::vector<double> loads_of_ranks(shape.ranks);
    const auto holds = [&](unsigned rank, unsigned expert) {
        const auto first = result.expert_of_slot.begin() + rank * shape.slots_per_rank;
        return std::find(first, first + used_slots[rank], expert) != first + used_slots[rank];
    };
    for (const auto expert : replicas_by_load) {
        // A rank that already holds the expert is only used if no other rank has a free slot.
        const auto key = [&](unsigned rank) {
            return std::pair(holds(rank, expert), loads_of_ranks[rank]);
        };
        auto free_ranks = std::views::iota(0U, shape.ranks) | std::views::filter([&](unsigned it) {
                              return used_slots[it] < shape.slots_per_rank;
                          });
        const auto rank = *std::ranges::min_element(free_ranks, {}, key);
        result.expert_of_slot[rank * shape.slots_per_rank + used_slots[rank]] = expert;
        ++used_slots[rank];
        loads_of_ranks[rank] += loads[expert] / replicas[expert];
    }
    return result;
}

placement_plan expert_placement::improve(const layer_placement& current,
                                         std::span<const double> loads,
                                         const improvement_limits& limits)
{
    layer_search search(current, loads);
    const auto skew_before = search.skew();
    while (search.skew() > limits.target_skew && search.improve_once(limits)) {
    }
    auto best = search.placement();
    auto skew_after = search.skew();
    if (skew_after > limits.repack_skew) {
        auto repacked = match_ranks(current, repack(current.shape, loads));
        const auto repacked_skew = skew(repacked, loads);
        if (repacked_skew + limits.min_repack_gain < skew_after) {
            best = std::move(repacked);
            skew_after = repacked_skew;
        }
    }
    const auto loaded = experts_to_load(current, best);
    return {.placement = std::move(best),
            .experts_to_load = loaded,
            .skew_before = skew_before,
            .skew_after = skew_after};
}

double expert_placement::skew(const layer_placement& placement, std::span<const double> loads)
{
    const auto loads_of_ranks = rank_loads(placement, loads);
    const auto total = std::accumulate(loads_of_ranks.begin(), loads_of_ranks.end(), 0.0);
    return total > 0 ? std::ranges::max(loads_of_ranks) *
                           static_cast<double>(loads_of_ranks.size()) / total
                     : 1;
}

unsigned expert_placement::experts_to_load(const layer_placement& from, const layer_placement& to)
{
    unsigned result = 0;
    for (unsigned rank = 0; rank < from.shape.ranks; ++rank) {
        const auto wanted = experts_of(to, rank);
        const auto kept = count_common(wanted, experts_of(from, rank));
        result += static_cast<unsigned>(std::ssize(wanted) - kept);
    }
    return result;
}

} // namespace medlaryoke::policy
