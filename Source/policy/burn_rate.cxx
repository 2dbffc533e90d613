#include "policy/burn_rate.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <tuple>
#include <utility>

namespace medlaryoke::policy {

namespace {

using std::chrono::milliseconds;

/// The last sample of one incarnation.
struct incarnation_state {
    sample_time last;
    std::map<service_key, counter_values> counters;
};

const std::string& name_for_view(const service_key& key, burn_view view)
{
    switch (view) {
    case burn_view::priority:
        return key.priority;
    case burn_view::organisation:
        return key.organisation;
    case burn_view::target:
        break;
    }
    return key.target;
}

std::uint64_t requests_of(const counter_values& values)
{
    return std::accumulate(values.begin(), values.end(), std::uint64_t{0}) -
           values.at(static_cast<std::size_t>(service_counter::cancelled));
}

std::uint64_t misses_of(const counter_values& values)
{
    return requests_of(values) -
           values.at(static_cast<std::size_t>(service_counter::within_target));
}

} // namespace

void request_sums::add(const counter_values& values, double fraction)
{
    std::ranges::transform(values, this->values_, this->values_.begin(),
                           [fraction](std::uint64_t it, double sum) {
                               return sum + static_cast<double>(it) * fraction;
                           });
}

double request_sums::missed() const
{
    return std::accumulate(miss_causes.begin(), miss_causes.end(), 0.0,
                           [this](double sum, service_counter it) { return sum + (*this)[it]; });
}

double request_sums::total() const
{
    return this->missed() + (*this)[service_counter::within_target];
}

std::optional<double> burn_window::rate() const
{
    return this->allowed_misses > 0 ? std::optional(this->budgeted_misses / this->allowed_misses)
                                    : std::nullopt;
}

std::optional<double> burn_row::attained() const
{
    const auto total = this->period.sums.total();
    return total > 0 ? std::optional(this->period.sums[service_counter::within_target] / total)
                     : std::nullopt;
}

std::optional<double> burn_row::budget_left() const
{
    const auto used = this->period.rate();
    return used ? std::optional(1 - *used) : std::nullopt;
}

std::optional<double> burn_row::target() const
{
    return this->budgeted_requests > 0
               ? std::optional(1 - this->period.allowed_misses / this->budgeted_requests)
               : std::nullopt;
}

burn_rate::burn_rate(std::vector<counter_snapshot> snapshots,
                     std::map<std::string, double> attainments)
    : attainments_(std::move(attainments))
{
    const auto identity = [](const counter_snapshot& it) {
        return std::tie(it.instance, it.time, it.incarnation);
    };
    std::ranges::stable_sort(snapshots, {}, identity);
    const auto repeated = std::ranges::unique(snapshots, {}, identity);
    snapshots.erase(repeated.begin(), repeated.end());
    this->snapshot_count_ = snapshots.size();
    if (!snapshots.empty()) {
        const auto [earliest, latest] = std::ranges::minmax(snapshots, {}, &counter_snapshot::time);
        this->first_ = earliest.time;
        this->last_ = latest.time;
    }
    for (auto it = snapshots.begin(); it != snapshots.end();) {
        const auto end = std::find_if(it, snapshots.end(), [&](const counter_snapshot& other) {
            return other.instance != it->instance;
        });
        this->add_instance({it, end});
        it = end;
    }
}

void burn_rate::add_instance(const std::vector<counter_snapshot>& snapshots)
{
    std::map<std::string, incarnation_state> incarnations;
    std::optional<sample_time> previous;
    for (const auto& it : snapshots) {
        const auto [state, is_new] = incarnations.try_emplace(it.incarnation);
        if (is_new && previous) {
            ++this->restarts_;
        }
        const auto from = is_new ? previous : std::optional(state->second.last);
        for (const auto& [key, values] : it.samples) {
            auto& before = state->second.counters[key];
            this->add_difference(key, from, it.time, before, values);
            before = values;
        }
        state->second.last = it.time;
        if (previous) {
            this->gaps_.push_back({it.instance, *previous, it.time});
        }
        previous = it.time;
    }
}

void burn_rate::add_difference(const service_key& key, std::optional<sample_time> from,
                               sample_time to, const counter_values& before,
                               const counter_values& after)
{
    increment result{key, from, to, after};
    const bool was_reset =
        !std::ranges::equal(before, after, std::ranges::less_equal()); // any counter decreased
    if (was_reset) {
        ++this->resets_;
    }
    else {
        std::ranges::transform(after, before, result.values.begin(), std::minus());
    }
    if (std::ranges::any_of(result.values, [](std::uint64_t it) { return it > 0; })) {
        this->increments_.push_back(std::move(result));
    }
}

double burn_rate::fraction_within(const increment& it, sample_time from, sample_time to)
{
    if (!it.from) {
        return 0;
    }
    if (*it.from == it.to) {
        return it.to > from && it.to <= to ? 1 : 0;
    }
    const auto overlap = std::min(it.to, to) - std::max(*it.from, from);
    return std::max(0.0, static_cast<double>(overlap.count())) /
           static_cast<double>((it.to - *it.from).count());
}

void burn_rate::add_to_window(burn_window& window, const increment& it, double fraction) const
{
    window.sums.add(it.values, fraction);
    const auto found = this->attainments_.find(it.key.priority);
    if (found != this->attainments_.end()) {
        window.allowed_misses +=
            static_cast<double>(requests_of(it.values)) * fraction * (1 - found->second);
        window.budgeted_misses += static_cast<double>(misses_of(it.values)) * fraction;
    }
}

std::vector<burn_row> burn_rate::table(burn_view view, const burn_windows& windows) const
{
    std::map<std::string, burn_row> rows;
    for (const auto& it : this->increments_) {
        const auto& name = name_for_view(it.key, view);
        auto& row = rows[name];
        row.name = name;
        this->add_to_window(row.period, it, 1);
        this->add_to_window(row.short_window, it,
                            fraction_within(it, this->last_ - windows.short_window, this->last_));
        this->add_to_window(row.long_window, it,
                            fraction_within(it, this->last_ - windows.long_window, this->last_));
        if (this->attainments_.contains(it.key.priority)) {
            row.budgeted_requests += static_cast<double>(requests_of(it.values));
        }
    }
    std::vector<burn_row> result;
    result.reserve(rows.size());
    std::ranges::transform(rows, std::back_inserter(result),
                           [](auto& it) { return std::move(it.second); });
    return result;
}

std::vector<std::optional<double>> burn_rate::history(const std::string& priority,
                                                      milliseconds window, std::size_t points) const
{
    std::vector<std::optional<double>> result;
    result.reserve(points);
    for (std::size_t i = 1; i <= points; ++i) {
        const auto end = this->first_ + (this->last_ - this->first_) * i / points;
        const auto at = std::chrono::time_point_cast<milliseconds>(end);
        burn_window sum;
        for (const auto& it : this->increments_) {
            const auto fraction = fraction_within(it, at - window, at);
            if (fraction > 0 && it.key.priority == priority) {
                this->add_to_window(sum, it, fraction);
            }
        }
        result.push_back(sum.rate());
    }
    return result;
}

std::vector<sample_gap> burn_rate::gaps_longer_than(milliseconds limit) const
{
    std::vector<sample_gap> result;
    std::ranges::copy_if(this->gaps_, std::back_inserter(result),
                         [limit](const sample_gap& it) { return it.to - it.from > limit; });
    return result;
}

} // namespace medlaryoke::policy
