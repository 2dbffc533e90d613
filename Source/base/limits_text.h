#pragma once

#include <string>

#include "base/field_visitor.h"

namespace medlaryoke {

/// @return the range in words, such as `1 to 64`
std::string limits_text(whole_limits limits);
std::string limits_text(real_limits limits);
std::string limits_text(duration_limits limits);

/// @return whether the value is finite and lies in the range
bool is_within(real_limits limits, double value);

} // namespace medlaryoke
