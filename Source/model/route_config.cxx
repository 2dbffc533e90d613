#include "model/route_config.h"

#include <algorithm>

namespace medlaryoke::model {

namespace {

/// Converts a host to the form of the table's keys: lower case, without a port.
std::string normalize_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    // A colon within the brackets of an IPv6 address does not start a port.
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
        this->hosts_[normalize_host(entry.host)][entry.path_prefix] = &entry;
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto host_routes = this->hosts_.find(normalize_host(host));
    if (host_routes == this->hosts_.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the prefixes of the path that end with a slash can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;) {
        const auto match = host_routes->second.find(std::string(path.substr(0, end + 1)));
        if (match != host_routes->second.end()) {
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
