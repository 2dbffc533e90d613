#include "policy/burn_rate.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>
#include <tuple>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace medlaryoke::policy;

namespace {

constexpr double tolerance = 1e-6;
const std::map<std::string, double> attainments{{"urgent", 0.99}, {"batch", 0.5}};

sample_time at(std::int64_t second)
{
    return sample_time(std::chrono::seconds(second));
}

/// Entries that restart, reset counters and miss samples at random, with the sums of the requests
/// that their samples show.
struct random_entries {
    explicit random_entries(std::uint64_t seed) : random(seed)
    {
        for (int instance = 0; instance < 3; ++instance) {
            this->run_instance("entry-" + std::to_string(instance));
        }
        std::ranges::shuffle(this->snapshots, this->random);
    }

    void run_instance(const std::string& instance)
    {
        int incarnation = 0;
        counter_snapshot state{instance, "0", {}, {}};
        std::map<std::string, counter_values> unsampled;
        for (int second = 1; second <= 400; ++second) {
            const auto action = this->random() % 100;
            if (action == 0) {
                state.incarnation = std::to_string(++incarnation);
                state.samples.clear();
                unsampled.clear();
            }
            for (int i = 0; i < 4; ++i) {
                const std::string priority = this->random() % 2 == 0 ? "urgent" : "batch";
                const auto counter = this->random() % service_counter_count;
                ++state.samples[{priority, "o" + std::to_string(this->random() % 2), "g"}].at(
                    counter);
                ++unsampled[priority].at(counter);
            }
            if (action > 50) {
                state.time = at(second);
                this->snapshots.push_back(state);
                for (const auto& [priority, values] : unsampled) {
                    this->sampled[priority].add(values, 1);
                }
                unsampled.clear();
                if (this->random() % 8 == 0 && reset_would_be_visible(state)) {
                    state.samples.clear();
                    ++this->resets;
                }
            }
        }
    }

    /// A reset is invisible if a counter passes its old value before the next sample.
    static bool reset_would_be_visible(const counter_snapshot& state)
    {
        return std::ranges::all_of(state.samples,
                                   [](const auto& it) { return std::ranges::min(it.second) >= 6; });
    }

    std::mt19937_64 random;
    int resets = 0;
    std::vector<counter_snapshot> snapshots;
    std::map<std::string, request_sums> sampled;
};

/// Reference implementation that computes the number of requests for each second and counter.
struct reference_seconds {
    std::map<std::string, std::map<std::int64_t, std::array<double, service_counter_count>>>
        seconds;

    explicit reference_seconds(const std::vector<counter_snapshot>& all)
    {
        for (const auto& it : all) {
            for (const auto& [key, values] : it.samples) {
                this->spread(all, it, key, values);
            }
        }
    }

    static const counter_snapshot* last_before(const std::vector<counter_snapshot>& all,
                                               const counter_snapshot& it, bool same_incarnation)
    {
        std::map<sample_time, const counter_snapshot*> earlier;
        for (const auto& other : all) {
            const auto name = same_incarnation ? other.incarnation : it.incarnation;
            if (std::tie(other.instance, name) == std::tie(it.instance, it.incarnation)) {
                earlier[other.time] = &other;
            }
        }
        const auto end = earlier.lower_bound(it.time);
        return end == earlier.begin() ? nullptr : std::prev(end)->second;
    }

    void spread(const std::vector<counter_snapshot>& all, const counter_snapshot& it,
                const service_key& key, const counter_values& values)
    {
        const auto* same = last_before(all, it, true);
        const auto* any = last_before(all, it, false);
        const auto* start = same != nullptr ? same : any;
        if (start == nullptr) {
            return;
        }
        counter_values before{};
        if (same != nullptr && same->samples.contains(key)) {
            before = same->samples.at(key);
        }
        const bool fell = !std::ranges::equal(before, values, std::ranges::less_equal());
        const auto from =
            std::chrono::duration_cast<std::chrono::seconds>(start->time.time_since_epoch());
        const auto to =
            std::chrono::duration_cast<std::chrono::seconds>(it.time.time_since_epoch());
        for (auto second = from + 1s; second <= to; second += 1s) {
            for (std::size_t i = 0; i < service_counter_count; ++i) {
                const auto n = values.at(i) - (fell ? 0 : before.at(i));
                this->seconds[key.priority][second.count()].at(i) +=
                    static_cast<double>(n) / static_cast<double>((to - from).count());
            }
        }
    }

    double sum(const std::string& priority, service_counter counter, std::int64_t from,
               std::int64_t to)
    {
        double result = 0;
        for (auto second = from + 1; second <= to; ++second) {
            result += this->seconds[priority][second].at(static_cast<std::size_t>(counter));
        }
        return result;
    }

    double rate(const std::string& priority, std::int64_t from, std::int64_t to)
    {
        double missed = 0;
        for (const auto cause : miss_causes) {
            missed += this->sum(priority, cause, from, to);
        }
        const auto total = missed + this->sum(priority, service_counter::within_target, from, to);
        return missed / total / (1 - attainments.at(priority));
    }
};

double rate_of(const burn_window& window)
{
    return window.rate().value_or(-1);
}

void check_row(const burn_row& row, reference_seconds& reference, std::int64_t end,
               std::uint64_t seed)
{
    for (std::size_t i = 0; i < service_counter_count; ++i) {
        const auto counter = static_cast<service_counter>(i);
        cr_assert(std::abs(row.short_window.sums[counter] -
                           reference.sum(row.name, counter, end - 30, end)) < tolerance,
                  "seed %lu, %s, counter %lu", seed, row.name.c_str(), i);
    }
    cr_assert(std::abs(rate_of(row.short_window) - reference.rate(row.name, end - 30, end)) <
                  tolerance,
              "seed %lu", seed);
    cr_assert(std::abs(rate_of(row.long_window) - reference.rate(row.name, end - 200, end)) <
                  tolerance,
              "seed %lu", seed);
}

counter_snapshot make_snapshot(const std::string& incarnation, std::int64_t second,
                               counter_values values)
{
    return {"e", incarnation, at(second), {{{"urgent", "o", "g"}, values}}};
}

} // namespace

// Guards against requests that are lost, counted twice or assigned to the wrong window when entries
// restart, counters are reset or samples are missing.
Test(burn_rate, agrees_with_requests_counted_per_second)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        const random_entries entries(seed);
        reference_seconds reference(entries.snapshots);
        const burn_rate burn(entries.snapshots, attainments);
        const auto rows =
            burn.table(burn_view::priority, {.short_window = 30s, .long_window = 200s});
        cr_assert(rows.size() == 2 && burn.restarts() > 0);
        const auto end =
            std::chrono::duration_cast<std::chrono::seconds>(burn.last().time_since_epoch());
        for (const auto& row : rows) {
            check_row(row, reference, end.count(), seed);
        }
    }
}

// Guards against a period that differs from the requests that the samples show, which are all but
// those after the last sample of an incarnation.
Test(burn_rate, counts_every_request_that_a_sample_shows)
{
    int resets = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        const random_entries entries(seed);
        const burn_rate burn(entries.snapshots, attainments);
        resets += entries.resets;
        for (const auto& row : burn.table(burn_view::priority, {})) {
            for (std::size_t i = 0; i < service_counter_count; ++i) {
                const auto counter = static_cast<service_counter>(i);
                cr_assert(row.period.sums[counter] == entries.sampled.at(row.name)[counter],
                          "seed %lu, %s, counter %lu: %f instead of %f", seed, row.name.c_str(), i,
                          row.period.sums[counter], entries.sampled.at(row.name)[counter]);
            }
        }
    }
    cr_assert(resets > 0);
}

// Guards against a restart that is counted as a reset, or is missed because the new counters are
// already higher than the old ones.
Test(burn_rate, detects_a_restart_by_the_incarnation_alone)
{
    const burn_rate burn(
        {make_snapshot("b", 20, {30, 0, 0, 0, 0, 0}), make_snapshot("a", 10, {20, 0, 0, 0, 0, 0})},
        attainments);
    const auto row = burn.table(burn_view::priority, {}).at(0);
    cr_assert(row.period.sums.total() == 50);
    cr_assert(row.long_window.sums.total() == 30);
    cr_assert(burn.restarts() == 1 && burn.resets() == 0);
}

// Guards against a division by zero where the target allows no miss, and against a burn rate for
// a priority without a target.
Test(burn_rate, has_no_rate_without_a_budget)
{
    const std::vector snapshots{make_snapshot("a", 10, {1, 0, 0, 0, 0, 0}),
                                make_snapshot("a", 20, {2, 0, 0, 1, 0, 0})};
    for (const auto& targets : {std::map<std::string, double>{{"urgent", 1.0}}, {}}) {
        const auto row = burn_rate(snapshots, targets).table(burn_view::priority, {}).at(0);
        cr_assert(row.budget_left().value_or(-9) == -9);
        cr_assert(row.long_window.rate().value_or(-9) == -9);
        cr_assert(row.target().value_or(-9) == (targets.empty() ? -9 : 1));
        cr_assert(std::abs(row.attained().value_or(-9) - 2.0 / 3) < tolerance);
    }
    cr_assert(burn_rate({}, attainments).table(burn_view::priority, {}).empty());
}
