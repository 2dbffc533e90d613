#include "policy/bounded_json.h"

#include <nlohmann/json.hpp>

namespace medlaryoke::policy {

namespace {

using json = nlohmann::json;

constexpr int max_nesting_depth = 64;

} // namespace

json parse_bounded(std::string_view text)
{
    return json::parse(text, [](int depth, json::parse_event_t, json&) {
        if (depth > max_nesting_depth) {
            throw json::other_error::create(501, "JSON is nested more than 64 levels deep",
                                            nullptr);
        }
        return true;
    });
}

} // namespace medlaryoke::policy
