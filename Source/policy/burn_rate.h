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

/// Wall clock time, so that samples of different entries can be compared.
using sample_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Outcomes that are counted. Every request has exactly one outcome.
enum class service_counter : std::uint8_t {
    within_target, ///< met its targets
    queueing,      ///< missed because of the wait in a queue
    upstream,      ///< missed because of the upstream
    refusal,       ///< missed because it was refused
    unknown,       ///< missed for an unknown cause
    cancelled,     ///< cancelled by the caller; not covered by the targets
};

inline constexpr std::size_t service_counter_count = 6;

/// The causes of a miss, in the order in which reports show them.
inline constexpr std::array miss_causes{service_counter::queueing, service_counter::upstream,
                                        service_counter::refusal, service_counter::unknown};

/// Counters as an entry reports them, indexed by `service_counter`.
using counter_values = std::array<std::uint64_t, service_counter_count>;

/// Numbers of requests by outcome. They are fractional if an interval between samples is only
/// partly inside a window.
class request_sums {
public:
    /// Adds counters.
    /// @param values counters to add
    /// @param fraction factor that the counters are multiplied by, 0 to 1
    void add(const counter_values& values, double fraction);

    /// @param counter an outcome
    /// @return number of requests with that outcome
    [[nodiscard]] double operator[](service_counter counter) const
    {
        return this->values_.at(static_cast<std::size_t>(counter));
    }

    /// @return number of requests that missed their targets
    [[nodiscard]] double missed() const;

    /// @return number of requests that the targets cover, which are all but the cancelled ones
    [[nodiscard]] double total() const;

private:
    std::array<double, service_counter_count> values_{};
};

/// Attributes by which requests are counted.
struct service_key {
    std::string priority;
    std::string organisation;
    std::string target; ///< model group or service

    auto operator<=>(const service_key&) const = default;
};

/// All counters of one entry at one time. Counters only increase within an incarnation, unless they
/// are reset.
struct counter_snapshot {
    std::string instance;
    std::string incarnation;
    sample_time time;
    std::map<service_key, counter_values> samples;
};

/// Attribute by which a table groups requests into rows.
enum class burn_view : std::uint8_t { priority, organisation, target };

/// Requests of a period, with the missed and the allowed misses of its error budget.
struct burn_window {
    request_sums sums;
    double allowed_misses = 0;  ///< misses that would use up the budget exactly
    double budgeted_misses = 0; ///< misses of requests whose priority has a target

    /// @return burn rate, which is the misses as a multiple of the allowed ones; empty if none are
    /// allowed, as in a window without requests
    [[nodiscard]] std::optional<double> rate() const;
};

/// One row of a table.
struct burn_row {
    std::string name;   ///< of the priority, organisation or target
    burn_window period; ///< all requests that the samples show
    burn_window short_window;
    burn_window long_window;

    /// @return fraction of the requests that met their targets; empty without requests
    [[nodiscard]] std::optional<double> attained() const;

    /// @return remaining fraction of the budget, negative if it is exceeded; empty if there is no
    /// budget
    [[nodiscard]] std::optional<double> budget_left() const;

    /// @return fraction of the requests that must meet their targets, as a mean over the priorities
    /// weighted by their requests; empty if no priority of the row has a target
    [[nodiscard]] std::optional<double> target() const;

    double budgeted_requests = 0; ///< requests of the period whose priority has a target
};

/// Lengths of the two windows; both end at the last sample.
struct burn_windows {
    std::chrono::milliseconds short_window = std::chrono::minutes(5);
    std::chrono::milliseconds long_window = std::chrono::hours(1);
};

/// Interval between two successive samples of an instance.
struct sample_gap {
    std::string instance;
    sample_time from;
    sample_time to;
};

/// Computes the use of the error budget from counters sampled over time.
///
/// Each snapshot is compared with the previous one of the same incarnation, and the difference is
/// spread evenly over the time between them, so that a missing snapshot only lowers the resolution.
/// A new incarnation counts from zero, starting at the last snapshot of the instance. Requests that
/// an incarnation counted after its last snapshot are lost. A counter that decreases within one
/// incarnation was reset, and its new value is the difference. The first snapshot of an instance
/// belongs to the period but to no window, because the time of its requests is unknown.
class burn_rate {
public:
    /// @param snapshots in any order; duplicates in instance, incarnation and time are ignored
    /// @param attainments fraction of the requests that must meet their targets, by priority
    burn_rate(std::vector<counter_snapshot> snapshots, std::map<std::string, double> attainments);

    /// @param view attribute that the rows stand for
    /// @param windows lengths of the windows
    /// @return one row for each name, in order of the names
    [[nodiscard]] std::vector<burn_row> table(burn_view view, const burn_windows& windows) const;

    /// @param priority name of a priority
    /// @param window length of the window that ends at each point
    /// @param points number of points, at equal intervals; the last one is at the last sample
    /// @return the burn rate at each point, empty where it is undefined
    [[nodiscard]] std::vector<std::optional<double>> history(const std::string& priority,
                                                             std::chrono::milliseconds window,
                                                             std::size_t points) const;

    /// @return time of the first sample; 0 without samples
    [[nodiscard]] sample_time first() const { return this->first_; }

    /// @return time of the last sample; 0 without samples
    [[nodiscard]] sample_time last() const { return this->last_; }

    /// @return number of snapshots without duplicates
    [[nodiscard]] std::size_t snapshots() const { return this->snapshot_count_; }

    /// @return number of restarts, recognised by a new incarnation
    [[nodiscard]] std::size_t restarts() const { return this->restarts_; }

    /// @return number of counter resets within an incarnation
    [[nodiscard]] std::size_t resets() const { return this->resets_; }

    /// @param limit length above which a gap is returned
    /// @return gaps between samples, by instance and time
    [[nodiscard]] std::vector<sample_gap> gaps_longer_than(std::chrono::milliseconds limit) const;

private:
    /// Requests counted between two times; without `from`, at an unknown time before `to`.
    struct increment {
        service_key key;
        std::optional<sample_time> from;
        sample_time to;
        counter_values values{};
    };

    void add_instance(const std::vector<counter_snapshot>& snapshots);
    void add_difference(const service_key& key, std::optional<sample_time> from, sample_time to,
                        const counter_values& before, const counter_values& after);
    void add_to_window(burn_window& window, const increment& it, double fraction) const;
    static double fraction_within(const increment& it, sample_time from, sample_time to);

    std::map<std::string, double> attainments_;
    std::vector<increment> increments_;
    std::vector<sample_gap> gaps_;
    sample_time first_;
    sample_time last_;
    std::size_t snapshot_count_ = 0;
    std::size_t restarts_ = 0;
    std::size_t resets_ = 0;
};

} // namespace medlaryoke::policy
