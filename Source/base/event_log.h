#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/logging.h"

namespace medlaryoke {

/// A named value of a structured log line.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

struct event_log_options {
    log_level level = log_level::info;
    std::string instance;
    /// Most lines of one request or decision a second; further ones are counted and dropped, so
    /// that neither volume nor processor time grows with the load.
    double lines_per_second = 60;
    std::size_t queue_lines = 4096; ///< the oldest are overwritten while the output is blocked
};

/// Directs structured lines to standard output: one JSON object a line, written by a thread of its
/// own, so that a reader that stops reading never delays a request.
/// @param options volume and name
void configure_event_log(const event_log_options& options);

/// Writes structured log lines of one part of the system; thread safe.
class event_log {
public:
    /// @param part name of the part, such as `gateway`
    explicit event_log(std::string_view part) : part_(part) {}

    /// Writes a line that must not be missed, such as a start or a lost dependency.
    /// @param level severity
    /// @param event what happened, in a few fixed words
    /// @param fields the inputs and the outcome
    void note(log_level level, std::string_view event,
              std::initializer_list<log_field> fields) const;

    /// Writes a line for one request or decision, unless too many were written in this second.
    void sample(log_level level, std::string_view event,
                std::initializer_list<log_field> fields) const;

private:
    std::string_view part_;
};

/// Waits until the lines written so far have left the process.
/// @param limit longest wait
/// @return false if the output is blocked; the thread that writes cannot be ended then
[[nodiscard]] bool drain_event_log(duration limit);

/// @return lines that were dropped for their volume since the start
std::uint64_t dropped_log_lines();

} // namespace medlaryoke
