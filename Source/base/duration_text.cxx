#include "base/duration_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include "base/error.h"

namespace medlaryoke {

namespace {

using namespace std::chrono_literals;

struct unit_entry {
    std::string_view name;
    duration length;
};

constexpr std::array<unit_entry, 6> unit_table{{
    {"h", 1h},
    {"m", 1min},
    {"s", 1s},
    {"ms", 1ms},
    {"us", 1us},
    {"ns", 1ns},
}};

constexpr double max_duration_ns = 9.0e18; // below the largest signed 64-bit integer

[[noreturn]] void reject(std::string_view text)
{
    throw error(error_kind::invalid_argument, fmt::format("\"{}\" is not a duration", text),
                "Write a non-negative number and a unit out of us, ms, s, m, h, such as 250ms.");
}

} // namespace

duration parse_duration(std::string_view text)
{
    double number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc{} || !std::isfinite(number) || std::signbit(number)) {
        reject(text);
    }
    const std::string_view unit(end, text.data() + text.size());
    const auto* it = std::ranges::find(unit_table, unit, &unit_entry::name);
    if (it == unit_table.end()) {
        reject(text);
    }
    const double count = number * static_cast<double>(it->length.count());
    if (count > max_duration_ns) {
        reject(text);
    }
    return duration(std::llround(count));
}

std::string format_duration(duration value)
{
    const auto* it = std::ranges::find_if(unit_table, [value](const unit_entry& entry) {
        return value.count() % entry.length.count() == 0;
    });
    if (value == duration::zero()) {
        return "0s";
    }
    return fmt::format("{}{}", value / it->length, it->name);
}

} // namespace medlaryoke
