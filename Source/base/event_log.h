#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/logging.h"

namespace medlaryoke {

/// A key and its value in a structured log line.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

struct event_log_options {
    log_level level = log_level::info; ///< the least severe level that is written
    std::string instance;              ///< name of this instance, part of each line
    /// Bounds the lines that sample() writes in a second. Further lines are dropped and counted, so
    /// that neither the volume nor the processor time grows with the load.
    double max_sampled_lines_per_second = 60;
    /// Bounds the lines that wait for the output. While the output is blocked, a line that does not
    /// fit overwrites the oldest one.
    std::size_t max_queued_lines = 4096;
};

/// Sets up the structured log on standard output, with one JSON object per line. A separate thread
/// writes the lines, so that a blocked reader of the output never delays a request. The lines of
/// all loggers go there too, as the event `message`.
/// @param options level, instance name and limits
void configure_event_log(const event_log_options& options);

/// Writes structured log lines for one part of the system; thread safe.
class event_log {
public:
    /// @param part name of the part, such as `gateway`
    explicit event_log(std::string_view part) : part_(part) {}

    /// Writes a line without a rate limit, for events that must not be missed, such as a start or a
    /// lost dependency.
    /// @param level severity
    /// @param event what happened, as a short constant text
    /// @param fields the inputs and the outcome of the event
    void note(log_level level, std::string_view event,
              std::initializer_list<log_field> fields) const;

    /// Writes a line for a single request or decision, unless the rate limit is exceeded.
    /// Parameters are those of note().
    void sample(log_level level, std::string_view event,
                std::initializer_list<log_field> fields) const;

private:
    std::string_view part_;
};

/// Waits until all lines queued so far have been written to the output.
/// @param limit longest wait
/// @return false if the output is still blocked; the writer thread cannot be stopped in this case
[[nodiscard]] bool drain_event_log(duration limit);

/// @return number of lines that the rate limit has dropped since the start
std::uint64_t dropped_log_lines();

} // namespace medlaryoke
