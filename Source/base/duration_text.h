#pragma once

#include <string>
#include <string_view>

#include "base/clock.h"

namespace medlaryoke {

/// Parses a duration as written in settings and resources: a number and one of the units `us`,
/// `ms`, `s`, `m` and `h`, such as `250ms` or `1.5s`.
/// @param text the text to parse
/// @return the duration
/// @throws error of kind invalid_argument if the number or the unit is missing, or if the number is
/// negative or too large
duration parse_duration(std::string_view text);

/// @param value the duration to print
/// @return the value in the largest unit that gives a whole number, such as `250ms`
std::string format_duration(duration value);

} // namespace medlaryoke
