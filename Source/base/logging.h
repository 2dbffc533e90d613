#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace medlaryoke {

enum class log_format { text, json };
enum class log_level { debug, info, warning, error };

/// Sets up the process-wide log on standard error.
/// @param format plain text or one JSON object per line
/// @param level the least severe level that is written
/// @param instance the name of this instance, part of each line
void configure_logging(log_format format, log_level level, const std::string& instance);

/// Takes over the lines of all loggers.
/// @param write called on any thread; empty: they go to standard error again
void redirect_logging(
    std::function<void(log_level, std::string_view part, std::string_view message)> write);

/// @return number of messages of loggers that could not be written, such as for lack of memory
std::uint64_t dropped_messages();

/// Writes log lines with the prefix of one part of the system; thread safe.
class logger {
public:
    /// @param part the prefix without its colon, such as `queue`
    explicit logger(std::string part) : part_(std::move(part)) {}

    template <typename... Args>
    void debug(fmt::format_string<Args...> format, Args&&... args) const
    {
        this->log(log_level::debug, format, std::forward<Args>(args)...);
    }

    template <typename... Args>
    void info(fmt::format_string<Args...> format, Args&&... args) const
    {
        this->log(log_level::info, format, std::forward<Args>(args)...);
    }

    template <typename... Args>
    void warning(fmt::format_string<Args...> format, Args&&... args) const
    {
        this->log(log_level::warning, format, std::forward<Args>(args)...);
    }

    template <typename... Args>
    void error(fmt::format_string<Args...> format, Args&&... args) const
    {
        this->log(log_level::error, format, std::forward<Args>(args)...);
    }

private:
    /// Formats and writes a line, or drops it, such as for lack of memory: failures are logged
    /// where nothing would catch another one.
    template <typename... Args>
    void log(log_level level, fmt::format_string<Args...> format, Args&&... args) const noexcept
    {
        try {
            this->write(level, fmt::format(format, std::forward<Args>(args)...));
        }
        catch (...) {
            drop_line();
        }
    }
    void write(log_level level, std::string_view message) const;
    static void drop_line() noexcept;

    std::string part_;
};

} // namespace medlaryoke
