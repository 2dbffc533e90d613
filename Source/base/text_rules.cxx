#include "base/text_rules.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace medlaryoke {

namespace {

constexpr std::size_t max_text_length = 1024;
constexpr std::size_t max_name_length = 128;
constexpr std::size_t sha256_digits = 64;
constexpr unsigned max_port = 65535;

bool is_printable(char c)
{
    return c >= ' ' && c <= '~';
}

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_upper(char c)
{
    return c >= 'A' && c <= 'Z';
}

bool is_name_character(char c)
{
    return is_digit(c) || is_upper(c) || (c >= 'a' && c <= 'z') || c == '.' || c == '_' || c == '-';
}

bool is_ip(const std::string& host)
{
    in6_addr buf{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &buf) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &buf) == 1;
}

bool is_address(std::string_view text, unsigned min_port)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port_text = text.substr(colon + 1);
    unsigned port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto [ptr, ec] = std::from_chars(port_text.data(), end, port);
    return ec == std::errc{} && ptr == end && port >= min_port && port <= max_port &&
           is_ip(std::string(text.substr(0, colon)));
}

bool is_call(std::string_view text)
{
    const auto space = text.find(' ');
    if (space == 0 || space == std::string_view::npos) {
        return false;
    }
    const auto path = text.substr(space + 1);
    return std::ranges::all_of(text.substr(0, space), is_upper) && path.starts_with('/') &&
           path.find(' ') == std::string_view::npos;
}

} // namespace

bool obeys(text_rule rule, std::string_view text)
{
    if (text.empty() || text.size() > max_text_length || !std::ranges::all_of(text, is_printable)) {
        return false;
    }
    switch (rule) {
    case text_rule::any:
        return true;
    case text_rule::name:
        return text.size() <= max_name_length && std::ranges::all_of(text, is_name_character);
    case text_rule::remote_address:
        return is_address(text, 1);
    case text_rule::listen_address:
        return is_address(text, 0);
    case text_rule::sha256:
        return text.size() == sha256_digits && std::ranges::all_of(text, [](char c) {
                   return is_digit(c) || (c >= 'a' && c <= 'f');
               });
    case text_rule::call:
        return is_call(text);
    }
    return false;
}

std::string_view unit_of(text_rule rule)
{
    switch (rule) {
    case text_rule::any:
        return "text";
    case text_rule::name:
        return "name";
    case text_rule::remote_address:
    case text_rule::listen_address:
        return "IP:port";
    case text_rule::sha256:
        return "SHA-256";
    case text_rule::call:
        return "METHOD /path-prefix";
    }
    return "";
}

std::string_view range_of(text_rule rule)
{
    switch (rule) {
    case text_rule::any:
        return "1 to 1024 printable ASCII characters";
    case text_rule::name:
        return "1 to 128 of A-Z a-z 0-9 . _ -";
    case text_rule::remote_address:
        return "port 1 to 65535";
    case text_rule::listen_address:
        return "port 0 to 65535; 0 picks a free port";
    case text_rule::sha256:
        return "64 lower-case hexadecimal digits";
    case text_rule::call:
        return "upper-case method, one space, path";
    }
    return "";
}

} // namespace medlaryoke
