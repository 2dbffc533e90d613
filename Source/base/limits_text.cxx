#include "base/limits_text.h"

#include <cmath>

#include <fmt/format.h>

#include "base/duration_text.h"

namespace medlaryoke {

std::string limits_text(whole_limits limits)
{
    return fmt::format("{} to {}", limits.min, limits.max);
}

std::string limits_text(real_limits limits)
{
    return fmt::format("{}{} to {}{}", limits.min_excluded ? "above " : "", limits.min,
                       limits.max_excluded ? "below " : "", limits.max);
}

std::string limits_text(duration_limits limits)
{
    return fmt::format("{} to {}", format_duration(limits.min), format_duration(limits.max));
}

bool is_within(real_limits limits, double value)
{
    return std::isfinite(value) &&
           (limits.min_excluded ? value > limits.min : value >= limits.min) &&
           (limits.max_excluded ? value < limits.max : value <= limits.max);
}

} // namespace medlaryoke
