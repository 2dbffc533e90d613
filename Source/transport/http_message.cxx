#include "transport/http_message.h"

#include <algorithm>
#include <cctype>

namespace medlaryoke::transport {

namespace {

bool equal_without_case(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

} // namespace

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name)
{
    const auto it = std::ranges::find_if(
        headers, [name](const http_header& field) { return equal_without_case(field.name, name); });
    return it == headers.end() ? std::string_view{} : std::string_view(it->value);
}

} // namespace medlaryoke::transport
