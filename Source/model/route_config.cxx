#include "model/route_config.h"

#include <algorithm>

namespace medlaryoke::model {

namespace {

/// Brings a host into the form of the table's keys: lower case, without a port.
std::string normal_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    // An IPv6 address keeps the colons within its brackets.
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string text(host);
    std::ranges::transform(text, text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

} // namespace

route_table::route_table(const std::vector<route>& routes)
{
    for (const auto& entry : routes) {
        this->hosts_[normal_host(entry.host)][entry.path_prefix] = &entry;
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = this->hosts_.find(normal_host(host));
    if (found == this->hosts_.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path up to one of its slashes can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;) {
        const auto match = found->second.find(std::string(path.substr(0, end + 1)));
        if (match != found->second.end()) {
            return match->second;
        }
        if (end == 0) {
            break;
        }
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

} // namespace medlaryoke::model
