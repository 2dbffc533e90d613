#include "base/event_log.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include "base/json_text.h"
#include "base/spdlog_level.h"

namespace medlaryoke {

namespace {

/// Writes lines to standard output and counts them.
class counting_sink final : public spdlog::sinks::stdout_sink_mt {
public:
    void log(const spdlog::details::log_msg& line) override
    {
        spdlog::sinks::stdout_sink_mt::log(line);
        ++this->written;
    }

    std::atomic<std::uint64_t> written = 0;
};

struct event_log_state {
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<counting_sink> output;
    std::atomic<std::uint64_t> queued = 0; ///< lines passed to the writer thread
    std::shared_ptr<spdlog::async_logger> sink;
    event_log_options options;
    std::mutex mutex;
    double tokens = 0; ///< content of the token bucket, in lines
    time_point refilled_at{};
    std::atomic<std::uint64_t> dropped =
        0; ///< lines dropped by the rate limit or for lack of memory
};

event_log_state& state()
{
    static event_log_state instance;
    return instance;
}

bool is_written(log_level level)
{
    const auto& sink = state().sink;
    return sink && sink->should_log(to_spdlog(level));
}

/// Takes a token from the token bucket that limits sampled lines.
/// @return false if the bucket is empty; the line is then counted as dropped
bool take_token()
{
    auto& current = state();
    const std::scoped_lock lock(current.mutex);
    const time_point now = std::chrono::steady_clock::now();
    const auto tokens_per_second = current.options.max_sampled_lines_per_second;
    const auto elapsed_seconds = std::chrono::duration<double>(now - current.refilled_at).count();
    current.tokens =
        std::min(tokens_per_second, current.tokens + elapsed_seconds * tokens_per_second);
    current.refilled_at = now;
    if (current.tokens < 1) {
        ++current.dropped;
        return false;
    }
    current.tokens -= 1;
    return true;
}

void write_line(log_level level, std::string_view part, std::string_view event,
                std::initializer_list<log_field> fields)
{
    auto& current = state();
    nlohmann::json line = nlohmann::json::object();
    line["instance"] = current.options.instance;
    line["part"] = part;
    line["event"] = event;
    for (const auto& field : fields) {
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    }
    const auto text = to_json_text(line);
    ++current.queued;
    // The log pattern writes the opening brace, the time and the level, so the brace is skipped
    // here.
    current.sink->log(to_spdlog(level), "{}", std::string_view(text).substr(1));
}

/// Writes a line, or drops and counts it, such as for lack of memory.
void try_write_line(log_level level, std::string_view part, std::string_view event,
                    std::initializer_list<log_field> fields) noexcept
{
    try {
        write_line(level, part, event, fields);
    }
    catch (...) {
        ++state().dropped;
    }
}

} // namespace

void configure_event_log(const event_log_options& options)
{
    auto& current = state();
    current.options = options;
    current.pool = std::make_shared<spdlog::details::thread_pool>(options.max_queued_lines, 1);
    current.output = std::make_shared<counting_sink>();
    current.sink = std::make_shared<spdlog::async_logger>(
        "events", current.output, current.pool, spdlog::async_overflow_policy::overrun_oldest);
    current.sink->set_level(to_spdlog(options.level));
    current.sink->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v)");
    // A logger writes to standard error itself, and would wait for a reader that does not read.
    redirect_logging([](log_level level, std::string_view part, std::string_view message) {
        if (is_written(level)) {
            write_line(level, part, "message", {{"text", message}});
        }
    });
}

void event_log::note(log_level level, std::string_view event,
                     std::initializer_list<log_field> fields) const
{
    if (is_written(level)) {
        try_write_line(level, this->part_, event, fields);
    }
}

void event_log::sample(log_level level, std::string_view event,
                       std::initializer_list<log_field> fields) const
{
    if (is_written(level) && take_token()) {
        try_write_line(level, this->part_, event, fields);
    }
}

bool drain_event_log(duration limit)
{
    constexpr auto poll_interval = std::chrono::milliseconds(5);
    const auto& current = state();
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (current.sink &&
           current.output->written + current.pool->overrun_counter() < current.queued) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::uint64_t dropped_log_lines()
{
    return state().dropped + dropped_messages();
}

} // namespace medlaryoke
