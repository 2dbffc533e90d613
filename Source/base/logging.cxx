#include "base/logging.h"

#include <atomic>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "base/json_text.h"
#include "base/spdlog_level.h"

namespace medlaryoke {

namespace {

struct log_state {
    std::shared_ptr<spdlog::logger> sink;
    log_format format = log_format::text;
    std::string instance;
    std::function<void(log_level, std::string_view, std::string_view)> redirect;
};

std::atomic<std::uint64_t> dropped_lines = 0;

log_state& state()
{
    static log_state instance{spdlog::stderr_logger_mt("medlaryoke"), log_format::text, {}, {}};
    return instance;
}

} // namespace

void configure_logging(log_format format, log_level level, const std::string& instance)
{
    auto& current = state();
    current.format = format;
    current.instance = instance;
    current.sink->set_level(to_spdlog(level));
    // For JSON, the pattern adds the time and the level; write() adds the other fields.
    current.sink->set_pattern(format == log_format::json
                                  ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                                  : "%Y-%m-%dT%H:%M:%S.%e%z %l %v");
}

void redirect_logging(std::function<void(log_level, std::string_view, std::string_view)> write)
{
    state().redirect = std::move(write);
}

void logger::drop_line() noexcept
{
    ++dropped_lines;
}

std::uint64_t dropped_messages()
{
    return dropped_lines;
}

void logger::write(log_level level, std::string_view message) const
{
    auto& current = state();
    if (current.redirect) {
        current.redirect(level, this->part_, message);
        return;
    }
    const auto spdlog_severity = to_spdlog(level);
    if (!current.sink->should_log(spdlog_severity)) {
        return;
    }
    if (current.format == log_format::text) {
        current.sink->log(spdlog_severity, "{} {}: {}", current.instance, this->part_, message);
        return;
    }
    current.sink->log(spdlog_severity, R"("instance":{},"part":{},"message":{})",
                      to_json_text(current.instance), to_json_text(this->part_),
                      to_json_text(message));
}

} // namespace medlaryoke
