#pragma once

#include <string>
#include <variant>

#include "base/error.h"

namespace medlaryoke::filters {

/// The request continues with the next filter.
struct proceed {};

/// The request is not run; the reply is this error.
struct refuse {
    error_kind kind = error_kind::invalid_argument;
    std::string message; ///< names the invalid value and where it was found
    std::string remedy;  ///< what the caller can do about it
};

using filter_result = std::variant<proceed, refuse>;

} // namespace medlaryoke::filters
