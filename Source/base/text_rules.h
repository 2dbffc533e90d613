#pragma once

#include <string>
#include <string_view>

#include "base/field_visitor.h"

namespace medlaryoke {

/// @param rule a rule for text values
/// @param text the value
/// @return whether the value conforms to the rule
bool obeys(text_rule rule, std::string_view text);

/// @param rule a rule for text values
/// @return the type of the value as shown to users, such as `IP:port`
std::string_view unit_of(text_rule rule);

/// @param rule a rule for text values
/// @return the allowed values as shown to users, such as `port 1 to 65535`
std::string_view range_of(text_rule rule);

} // namespace medlaryoke
