#pragma once

#include <string>
#include <variant>

#include "base/error.h"

namespace medlaryoke::filters {

/// The request goes on to the next filter.
struct proceed {};

/// The request is answered with a typed error; it was not run.
struct refuse {
    error_kind kind = error_kind::invalid_argument;
    std::string message; ///< names the value and the place
    std::string remedy;  ///< what the caller should do
};

using filter_result = std::variant<proceed, refuse>;

} // namespace medlaryoke::filters
