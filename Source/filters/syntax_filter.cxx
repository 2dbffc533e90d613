#include "filters/syntax_filter.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "filters/prefix_hashes.h"

namespace medlaryoke::filters {

namespace {

using nlohmann::json;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view service_path_prefix = "/v1/services/";
/// Average for English text. Only the ratio between the costs of requests matters.
constexpr double bytes_per_token = 4;
/// Assumed length of a completion if the request does not limit it.
constexpr double default_answer_tokens = 256;
constexpr std::int64_t max_answer_tokens = 1'000'000;

[[noreturn]] void throw_invalid_argument(const std::string& message, std::string remedy)
{
    throw error(error_kind::invalid_argument, message, std::move(remedy));
}

void append_content(std::string& prompt, const json& content)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string&>();
    }
    else if (content.is_array()) {
        for (const auto& part : content) {
            const auto text = part.is_object() ? part.find("text") : part.end();
            if (part.is_object() && text != part.end() && text->is_string()) {
                prompt += text->get_ref<const std::string&>();
            }
        }
    }
    else if (!content.is_null()) {
        throw_invalid_argument(
            "field messages has content that is neither text nor a list of parts",
            "Send the content as a string or as a list of parts.");
    }
}

std::string read_prompt(const json& body)
{
    const auto it = body.find("messages");
    if (it == body.end() || !it->is_array() || it->empty()) {
        throw_invalid_argument("field messages is missing, empty or not a list",
                               "Send at least one message with role and content.");
    }
    std::string prompt;
    for (const auto& message : *it) {
        const auto role = message.is_object() ? message.find("role") : message.end();
        if (!message.is_object() || role == message.end() || !role->is_string()) {
            throw_invalid_argument("field messages has a message without a role",
                                   "Give each message a role and content.");
        }
        prompt += role->get_ref<const std::string&>();
        prompt += '\n';
        const auto content = message.find("content");
        if (content != message.end()) {
            append_content(prompt, *content);
        }
        prompt += '\n';
    }
    return prompt;
}

double read_answer_tokens(const json& body)
{
    for (const auto* const name : {"max_tokens", "max_completion_tokens"}) {
        const auto it = body.find(name);
        if (it == body.end() || it->is_null()) {
            continue;
        }
        if (!it->is_number_integer() || *it < 1 || *it > max_answer_tokens) {
            throw_invalid_argument(fmt::format("field {} is not a whole number between 1 and {}",
                                               name, max_answer_tokens),
                                   "Leave the field out or send a positive whole number.");
        }
        return it->get<double>();
    }
    return default_answer_tokens;
}

bool read_stream(const json& body)
{
    const auto it = body.find("stream");
    if (it == body.end() || it->is_null()) {
        return false;
    }
    if (!it->is_boolean()) {
        throw_invalid_argument("field stream is not a boolean",
                               "Send true, false or leave the field out.");
    }
    return it->get<bool>();
}

json parse_body(const std::string& text)
{
    try {
        return json::parse(text);
    }
    catch (const json::exception& e) {
        throw_invalid_argument(fmt::format("the body is not valid JSON: {}", e.what()),
                               "Send a chat-completions request as a JSON object in UTF-8.");
    }
}

void read_chat(request_context& context)
{
    const auto body = parse_body(context.request.body);
    if (!body.is_object()) {
        throw_invalid_argument("the body is not a JSON object",
                               "Send a chat-completions request as a JSON object.");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string() ||
        model->get_ref<const std::string&>().empty()) {
        throw_invalid_argument("field model is missing or not a string", "Name the model to use.");
    }
    context.is_chat = true;
    context.model = model->get<std::string>();
    auto& work = context.work;
    work.stream = read_stream(body);
    const auto prompt = read_prompt(body);
    work.cost = static_cast<double>(prompt.size()) / bytes_per_token + read_answer_tokens(body);
    work.prefix_hashes = hash_prefixes(prompt);
    work.upstream_request.target = chat_path;
}

/// Detects segments `.` and `..`, also percent-encoded, and percent-encoded slashes and
/// backslashes. Upstreams resolve these differently, so a path could match a repeatable prefix
/// although the call that the upstream runs is not repeatable.
bool has_dot_segment(std::string_view path)
{
    while (!path.empty()) {
        const auto end = std::min(path.find('/'), path.size());
        std::string segment(path.substr(0, end));
        for (std::size_t pos = 0; (pos = segment.find('%', pos)) != std::string::npos; ++pos) {
            const auto code = std::string_view(segment).substr(pos, 3);
            if (code == "%2e" || code == "%2E") {
                segment.replace(pos, 3, ".");
            }
            else if (code == "%2f" || code == "%2F" || code == "%5c" || code == "%5C") {
                return true;
            }
        }
        if (segment == "." || segment == "..") {
            return true;
        }
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return false;
}

void read_service(request_context& context, std::string_view target)
{
    if (has_dot_segment(target.substr(0, target.find('?')))) {
        throw_invalid_argument("the path contains a dot segment or an encoded slash",
                               "Send the path without dot segments and encoded slashes.");
    }
    target.remove_prefix(service_path_prefix.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    context.service = target.substr(0, end);
    if (context.service.empty()) {
        throw_invalid_argument("the path names no service", "Use /v1/services/<service>/<path>.");
    }
    auto& work = context.work;
    work.json_answer = false;
    work.upstream_request.target = target.substr(end);
    if (!work.upstream_request.target.starts_with('/')) {
        work.upstream_request.target.insert(0, 1, '/');
    }
}

/// @return whether a header is sent to the upstream; headers that apply to one connection or are
/// meant for the entry are not
bool is_forwarded(std::string name)
{
    constexpr std::array<std::string_view, 10> not_forwarded{"authorization",
                                                             "connection",
                                                             "content-length",
                                                             "expect",
                                                             "host",
                                                             "keep-alive",
                                                             "te",
                                                             "trailer",
                                                             "transfer-encoding",
                                                             "upgrade"};
    std::ranges::transform(name, name.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return std::ranges::find(not_forwarded, name) == not_forwarded.end() &&
           !name.starts_with("medlaryoke-") && !name.starts_with("proxy-");
}

} // namespace

filter_result syntax_filter::apply(request_context& context) const
{
    const auto& request = context.request;
    if (request.body.size() > this->max_body_bytes_) {
        return refuse{error_kind::too_large,
                      fmt::format("the body has {} bytes, the limit is {}", request.body.size(),
                                  this->max_body_bytes_),
                      "Send a smaller request."};
    }
    auto& upstream = context.work.upstream_request;
    upstream.method = request.method;
    std::ranges::copy_if(request.headers, std::back_inserter(upstream.headers),
                         [](const auto& field) { return is_forwarded(field.name); });
    const std::string_view target = request.target;
    const auto path = target.substr(0, target.find('?'));
    if (path == chat_path) {
        if (request.method != "POST") {
            throw_invalid_argument(
                fmt::format("{} does not support method {}", chat_path, request.method),
                "Use POST.");
        }
        read_chat(context);
    }
    else if (path.starts_with(service_path_prefix)) {
        read_service(context, target);
    }
    else {
        return refuse{error_kind::not_found, fmt::format("unknown path \"{}\"", path),
                      "Use /v1/chat/completions, /v1/services/<service>/<path>, /v1/entries or "
                      "/v1/keys."};
    }
    upstream.body = request.body;
    return proceed{};
}

} // namespace medlaryoke::filters
