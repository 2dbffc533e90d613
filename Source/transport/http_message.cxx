#include "transport/http_message.h"

#include <algorithm>

#include "transport/header_names.h"

namespace medlaryoke::transport {

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name)
{
    const auto it = std::ranges::find_if(
        headers, [name](const http_header& field) { return header_names_equal(field.name, name); });
    return it == headers.end() ? std::string_view{} : std::string_view(it->value);
}

} // namespace medlaryoke::transport
