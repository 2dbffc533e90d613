#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlaryoke::policy {

/// Wall clock time: samples of several entries are compared.
using sample_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// What a counter counts. Every request but a cancelled one is in exactly one of the others.
enum class service_counter : std::uint8_t {
    within_target,
    queueing,
    upstream,
    refusal,
    unknown,
    cancelled,
};

inline constexpr std::size_t service_counters = 6;

/// The causes of a miss, in the order in which reports show them.
inline constexpr std::array miss_causes{service_counter::queueing, service_counter::upstream,
                                        service_counter::refusal, service_counter::unknown};

/// Counters as an entry reports them, indexed by `service_counter`.
using counter_values = std::array<std::uint64_t, service_counters>;

/// Numbers of requests, which are not whole where an interval between samples is only partly
/// inside a window.
class request_sums {
public:
    /// @param values counters to add
    /// @param part part of them that counts, 0 to 1
    void add(const counter_values& values, double part);

    /// @param counter which requests
    /// @return how many there are
    [[nodiscard]] double operator[](service_counter counter) const
    {
        return this->values_.at(static_cast<std::size_t>(counter));
    }

    /// @return requests that missed their targets
    [[nodiscard]] double missed() const;

    /// @return requests that the targets cover, which leaves out cancelled ones
    [[nodiscard]] double total() const;

private:
    std::array<double, service_counters> values_{};
};

/// What a request is counted under.
struct service_key {
    std::string priority;
    std::string organisation;
    std::string target; ///< model group or service

    auto operator<=>(const service_key&) const = default;
};

/// All counters of one entry at one time. Counters only grow while the incarnation stays the same.
struct counter_snapshot {
    std::string instance;
    std::string incarnation;
    sample_time time;
    std::map<service_key, counter_values> samples;
};

/// What the rows of a table stand for.
enum class burn_view : std::uint8_t { priority, organisation, target };

/// Misses measured against those that the targets allow.
struct burn_window {
    request_sums sums;
    double allowed = 0; ///< misses that would use up the budget exactly
    double charged = 0; ///< misses of requests whose priority has a target

    /// @return misses as a multiple of those allowed; empty if none are allowed, which includes
    /// a window without requests
    [[nodiscard]] std::optional<double> rate() const;
};

/// One row of a table.
struct burn_row {
    std::string name;
    burn_window period; ///< everything that the samples show
    burn_window short_window;
    burn_window long_window;

    /// @return part of the requests that met their targets; empty without requests
    [[nodiscard]] std::optional<double> attained() const;

    /// @return part of the budget that is left, below 0 when it is overspent; empty if there is
    /// no budget
    [[nodiscard]] std::optional<double> budget_left() const;

    /// @return part of the requests that must meet their targets, weighted by the requests of
    /// each priority; empty if no priority of the row has a target
    [[nodiscard]] std::optional<double> target() const;

    double targeted = 0; ///< requests of the period whose priority has a target
};

/// Lengths of the two windows; both end at the last sample.
struct burn_windows {
    std::chrono::milliseconds short_window = std::chrono::minutes(5);
    std::chrono::milliseconds long_window = std::chrono::hours(1);
};

/// Time between two samples of an instance.
struct sample_gap {
    std::string instance;
    sample_time from;
    sample_time to;
};

/// Computes the use of the service-level budget from counters sampled over time.
///
/// Each snapshot is compared with the one before it of the same incarnation, and the difference is
/// spread evenly over the time between them, so that a missing snapshot only makes the picture
/// coarser. A new incarnation counts from zero, from the time of the last snapshot of the instance.
/// What an incarnation counted after its last snapshot is lost. A counter that falls within one
/// incarnation was reset, and its new value is the difference. The first snapshot of an instance
/// belongs to the period but to no window, because it is not known when its requests were made.
class burn_rate {
public:
    /// @param snapshots in any order; one with the instance, incarnation and time of another one
    /// is ignored
    /// @param attainments for each priority, the part of requests that must meet the targets
    burn_rate(std::vector<counter_snapshot> snapshots, std::map<std::string, double> attainments);

    /// @param view what the rows stand for
    /// @param windows lengths of the windows
    /// @return one row for each name, in order of the names
    [[nodiscard]] std::vector<burn_row> table(burn_view view, const burn_windows& windows) const;

    /// @param priority name of a priority
    /// @param window length of the window that ends at each point
    /// @param points number of points, at equal distances; the last one is at the last sample
    /// @return the burn rate at each point, empty where no requests are known
    [[nodiscard]] std::vector<std::optional<double>> history(const std::string& priority,
                                                             std::chrono::milliseconds window,
                                                             std::size_t points) const;

    /// @return time of the first sample; 0 without samples
    [[nodiscard]] sample_time first() const { return this->first_; }

    /// @return time of the last sample; 0 without samples
    [[nodiscard]] sample_time last() const { return this->last_; }

    /// @return snapshots that were used
    [[nodiscard]] std::size_t snapshots() const { return this->snapshots_; }

    /// @return how often an instance was seen with a new incarnation
    [[nodiscard]] std::size_t restarts() const { return this->restarts_; }

    /// @return how often a counter fell within one incarnation
    [[nodiscard]] std::size_t resets() const { return this->resets_; }

    /// @param limit shortest gap of interest
    /// @return gaps between samples that are longer, by instance and time
    [[nodiscard]] std::vector<sample_gap> gaps_longer_than(std::chrono::milliseconds limit) const;

private:
    /// Requests between two times; without `from`, at an unknown time before `to`.
    struct increment {
        service_key key;
        std::optional<sample_time> from;
        sample_time to;
        counter_values values{};
    };

    void fold_instance(const std::vector<counter_snapshot>& snapshots);
    void add_difference(const service_key& key, std::optional<sample_time> from, sample_time to,
                        const counter_values& before, const counter_values& after);
    void charge(burn_window& window, const increment& it, double part) const;
    static double part_within(const increment& it, sample_time from, sample_time to);

    std::map<std::string, double> attainments_;
    std::vector<increment> increments_;
    std::vector<sample_gap> gaps_;
    sample_time first_;
    sample_time last_;
    std::size_t snapshots_ = 0;
    std::size_t restarts_ = 0;
    std::size_t resets_ = 0;
};

} // namespace medlaryoke::policy
