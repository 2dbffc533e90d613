#include "base/json_text.h"

#include <nlohmann/json.hpp>

namespace medlaryoke {

std::string to_json_text(const nlohmann::json& value)
{
    constexpr int no_indent = -1;
    return value.dump(no_indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace medlaryoke
