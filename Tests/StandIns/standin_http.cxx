#include "StandIns/standin_http.h"

#include <charconv>
#include <cstdio>
#include <exception>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "transport/error_response.h"

namespace medlaryoke::standins {

namespace {

/// @return the parts of the text between separators, without empty ones
std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(separator, begin), text.size());
        if (end > begin) {
            parts.push_back(text.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    return parts;
}

} // namespace

parsed_target parse_target(const std::string& target)
{
    const auto query_mark = std::min(target.find('?'), target.size());
    parsed_target parsed;
    parsed.path = target.substr(0, query_mark);
    parsed.segments = split(parsed.path, '/');
    if (query_mark < target.size()) {
        for (const auto& item : split(target.substr(query_mark + 1), '&')) {
            const auto equals = std::min(item.find('='), item.size());
            parsed.query[item.substr(0, equals)] =
                equals < item.size() ? item.substr(equals + 1) : std::string{};
        }
    }
    return parsed;
}

std::uint64_t query_number(const parsed_target& target, const std::string& key,
                           std::uint64_t fallback)
{
    const auto it = target.query.find(key);
    if (it == target.query.end()) {
        return fallback;
    }
    std::uint64_t value = 0;
    const auto* last = it->second.data() + it->second.size();
    const auto [end, ec] = std::from_chars(it->second.data(), last, value);
    if (ec != std::errc{} || end != last) {
        throw error(error_kind::invalid_argument,
                    fmt::format("query parameter {}={} is not a whole number", key, it->second),
                    "Send a whole number that is not negative.");
    }
    return value;
}

nlohmann::json parse_body(const transport::http_request& request)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        throw error(
            error_kind::invalid_argument,
            fmt::format("body of {} {} is not a JSON object", request.method, request.target),
            "Send a JSON object as the body.");
    }
    return body;
}

void respond_json(transport::response_stream& stream, unsigned status, const nlohmann::json& body)
{
    stream.respond(transport::make_json_response(status, body.dump()));
}

void run_until_terminated(transport::runtime& context, const std::string& address)
{
    context.on_termination_signal([&context] { context.stop(); });
    context.start();
    fmt::print("listening {}\n", address);
    std::fflush(stdout);
    context.wait();
}

int run_program(const std::function<void()>& fn)
{
    try {
        fn();
        return 0;
    }
    catch (const error& e) {
        fmt::print(stderr, "{} {}\n", e.what(), e.remedy());
    }
    catch (const std::exception& e) {
        fmt::print(stderr, "{}\n", e.what());
    }
    return 1;
}

} // namespace medlaryoke::standins
