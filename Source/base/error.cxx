#include "base/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlaryoke {

namespace {

struct kind_entry {
    error_kind kind;
    std::string_view name;
    unsigned status;
};

constexpr std::array<kind_entry, 13> kind_table{{
    {error_kind::invalid_argument, "invalid_argument", 400},
    {error_kind::not_found, "not_found", 404},
    {error_kind::conflict, "conflict", 409},
    {error_kind::unauthenticated, "unauthenticated", 401},
    {error_kind::permission_denied, "permission_denied", 403},
    {error_kind::too_large, "too_large", 413},
    {error_kind::overloaded, "overloaded", 429},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504},
    {error_kind::unavailable, "unavailable", 503},
    {error_kind::protocol_mismatch, "protocol_mismatch", 400},
    {error_kind::not_run, "not_run", 503},
    {error_kind::outcome_unknown, "outcome_unknown", 502},
    {error_kind::internal, "internal", 500},
}};

const kind_entry& find_entry(error_kind kind)
{
    const auto* it = std::ranges::find(kind_table, kind, &kind_entry::kind);
    return it == kind_table.end() ? kind_table.back() : *it;
}

} // namespace

std::string_view to_string(error_kind kind)
{
    return find_entry(kind).name;
}

unsigned http_status(error_kind kind)
{
    return find_entry(kind).status;
}

error::error(error_kind kind, const std::string& message, std::string remedy)
    : std::runtime_error(message), kind_(kind), remedy_(std::move(remedy))
{
}

} // namespace medlaryoke
