#include "policy/rebalance_decision.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <numeric>
#include <utility>

namespace medlaryoke::policy {

namespace {

using namespace std::chrono_literals;

constexpr double newest_weight = 0.5; // of the newest observation in the exponential moving average
// A placement is useful until the popularity has moved by this distance.
constexpr double max_useful_distance = 0.25;
constexpr duration initial_horizon = 10min;
constexpr duration min_horizon = 30s;
constexpr duration max_horizon = 6h;
constexpr double min_drift = 1e-6; // avoids a division by zero

std::vector<double> normalised(const std::vector<double>& loads)
{
    const auto total = std::accumulate(loads.begin(), loads.end(), 0.0);
    auto result = loads;
    if (total > 0) {
        std::ranges::for_each(result, [total](double& it) { it /= total; });
    }
    return result;
}

/// @return half the L1 distance, between 0 and 1 for normalised loads
double distance(const std::vector<double>& left, const std::vector<double>& right)
{
    return std::transform_reduce(left.begin(), left.end(), right.begin(), 0.0, std::plus{},
                                 [](double a, double b) { return std::abs(a - b) / 2; });
}

duration scale(duration value, double factor)
{
    return duration(std::llround(static_cast<double>(value.count()) * factor));
}

} // namespace

rebalance_decision::rebalance_decision(rebalance_costs costs, improvement_limits limits)
    : costs_(costs), limits_(limits), horizon_(initial_horizon)
{
}

void rebalance_decision::observe(std::span<const std::vector<double>> loads, duration interval)
{
    double drift = 0;
    const bool is_first = this->loads_.size() != loads.size();
    this->loads_.resize(loads.size());
    for (std::size_t layer = 0; layer < loads.size(); ++layer) {
        const auto newest = normalised(loads[layer]);
        auto& smoothed = this->loads_[layer];
        if (is_first) {
            smoothed = newest;
            continue;
        }
        const auto before = smoothed;
        std::ranges::transform(smoothed, newest, smoothed.begin(), [](double old, double value) {
            return old + newest_weight * (value - old);
        });
        drift += distance(before, smoothed) / static_cast<double>(loads.size());
    }
    if (!is_first) {
        const auto useful_intervals = max_useful_distance / std::max(drift, min_drift);
        const auto seconds = std::chrono::duration<double>(interval).count() * useful_intervals;
        const auto limit = std::chrono::duration<double>(max_horizon).count();
        const auto bounded = std::chrono::duration<double>(std::min(seconds, limit));
        this->horizon_ =
            std::clamp(std::chrono::duration_cast<duration>(bounded), min_horizon, max_horizon);
    }
}

rebalance_result rebalance_decision::decide(std::span<const layer_placement> current) const
{
    rebalance_map result;
    double skew_saved = 0;
    for (std::size_t layer = 0; layer < current.size(); ++layer) {
        if (layer >= this->loads_.size()) {
            result.layers.push_back(current[layer]);
            continue;
        }
        const auto plan =
            expert_placement::improve(current[layer], this->loads_[layer], this->limits_);
        skew_saved += (plan.skew_before - plan.skew_after) / static_cast<double>(current.size());
        result.experts_to_load += plan.experts_to_load;
        result.layers.push_back(plan.placement);
    }
    const auto bytes = result.experts_to_load * this->costs_.bytes_per_expert;
    const auto load_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(bytes / this->costs_.store_bytes_per_second));
    // The time of the expert layers in each step is proportional to the skew, so the saving is a
    // fraction of the horizon.
    result.predicted_saving = scale(this->horizon_, skew_saved * this->costs_.expert_time_fraction);
    result.predicted_cost =
        scale(load_time, this->costs_.loading_slowdown_fraction) + this->costs_.switch_pause;
    if (result.experts_to_load == 0 || result.predicted_saving <= result.predicted_cost) {
        return keep_map{result.predicted_saving, result.predicted_cost};
    }
    return result;
}

} // namespace medlaryoke::policy
