#include "StandIns/workload.h"

#include <functional>
#include <map>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/error.h"
#include "StandIns/answer_text.h"

namespace medlaryoke::standins {

namespace {

using json = nlohmann::json;
using setter = std::function<void(workload_class&, const json&)>;

/// @return a function that sets a member to a JSON value
template <typename Value>
setter member_setter(Value workload_class::*member)
{
    return [member](workload_class& target, const json& value) {
        target.*member = value.get<Value>();
    };
}

/// @return a function that sets a duration from a JSON number in milliseconds
setter milliseconds_setter(duration workload_class::*member)
{
    return [member](workload_class& target, const json& value) {
        target.*member = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(value.get<double>()));
    };
}

/// @return for each key of a class in the workload file, the function that sets its member
const std::map<std::string, setter>& setters_by_key()
{
    using c = workload_class;
    static const std::map<std::string, setter> table{
        {"begin_ms", milliseconds_setter(&c::begin)},
        {"concurrency", member_setter(&c::concurrency)},
        {"credential", member_setter(&c::credential)},
        {"duplicates", member_setter(&c::duplicates)},
        {"end_ms", milliseconds_setter(&c::end)},
        {"first_token_target_ms", milliseconds_setter(&c::first_token_target)},
        {"keyed", member_setter(&c::keyed)},
        {"kind", [](c& target, const json& value) { target.is_chat = value != "service"; }},
        {"max_tokens", member_setter(&c::max_tokens)},
        {"method", member_setter(&c::method)},
        {"model", member_setter(&c::model)},
        {"name", member_setter(&c::name)},
        {"path", member_setter(&c::path)},
        {"prefix_characters", member_setter(&c::prefix_characters)},
        {"prefixes", member_setter(&c::prefixes)},
        {"priority", member_setter(&c::priority)},
        {"prompt_characters", member_setter(&c::prompt_characters)},
        {"rate", member_setter(&c::rate)},
        {"service", member_setter(&c::service)},
        {"stream", member_setter(&c::stream)},
        {"timeout_ms", milliseconds_setter(&c::timeout)},
        {"token_interval_target_ms", milliseconds_setter(&c::token_interval_target)},
    };
    return table;
}

} // namespace

std::vector<workload_class> parse_workload(const json& body)
{
    std::vector<workload_class> classes;
    if (!body.is_object() || !body.contains("classes") || !body["classes"].is_array()) {
        throw error(error_kind::invalid_argument, "the workload has no list \"classes\"",
                    "Write the workload as {\"classes\":[{...}]}.");
    }
    for (const auto& item : body["classes"]) {
        workload_class parsed;
        for (const auto& [key, value] : item.items()) {
            const auto it = setters_by_key().find(key);
            if (it == setters_by_key().end()) {
                throw error(error_kind::invalid_argument,
                            fmt::format("unknown key \"{}\" in a class of the workload", key),
                            "Remove the key or correct its name.");
            }
            try {
                it->second(parsed, value);
            }
            catch (const json::exception& e) {
                throw error(error_kind::invalid_argument,
                            fmt::format("value of workload key {}={} is invalid: {}", key,
                                        value.dump(), e.what()),
                            "Correct the type of the value.");
            }
        }
        if (parsed.rate <= 0 && parsed.concurrency == 0) {
            parsed.concurrency = 1;
        }
        classes.push_back(std::move(parsed));
    }
    return classes;
}

request_generator::request_generator(workload_class request_class, bool direct, std::uint64_t seed)
    : class_(std::move(request_class)), direct_(direct), seed_(hash64(class_.name, seed)),
      random_(seed_)
{
}

prepared_request request_generator::generate()
{
    ++this->count_;
    auto prepared = this->class_.is_chat ? this->generate_chat() : this->generate_service_call();
    auto& headers = prepared.request.headers;
    headers.push_back({"Content-Type", "application/json"});
    if (!this->class_.credential.empty()) {
        headers.push_back({"Authorization", "Bearer " + this->class_.credential});
    }
    if (!this->class_.priority.empty()) {
        headers.push_back({"Medlaryoke-Priority", this->class_.priority});
    }
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->class_.timeout);
    headers.push_back({"Medlaryoke-Timeout", fmt::format("{}", timeout.count())});
    if (this->class_.keyed) {
        headers.push_back({"Idempotency-Key", fmt::format("{}-{:016x}-{}", this->class_.name,
                                                          this->seed_, this->count_)});
    }
    return prepared;
}

duration request_generator::next_interarrival_time()
{
    std::exponential_distribution<> seconds_to_next(this->class_.rate);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds_to_next(this->random_)));
}

prepared_request request_generator::generate_chat()
{
    std::uniform_int_distribution<std::uint64_t> prefix_number(
        1, std::max<std::uint64_t>(this->class_.prefixes, 1));
    // A shared prefix depends on its number only, so that different classes share the same
    // prefixes.
    const auto text =
        this->generate_text(prefix_number(this->random_), this->class_.prefix_characters) +
        this->generate_text(hash64(fmt::format("{}", this->count_), this->seed_),
                            this->class_.prompt_characters);
    const json body{{"model", this->class_.model},
                    {"messages", json::array({{{"role", "user"}, {"content", text}}})},
                    {"max_tokens", this->class_.max_tokens},
                    {"stream", this->class_.stream}};
    return {{"POST", "/v1/chat/completions", {}, body.dump()},
            answer_text(render_prompt(body), this->class_.max_tokens)};
}

prepared_request request_generator::generate_service_call()
{
    const json body{{"item", fmt::format("{}-{}", this->class_.name, this->count_)}};
    auto text = this->class_.method == "GET" ? std::string{} : body.dump();
    const auto target = this->direct_ ? this->class_.path
                                      : "/v1/services/" + this->class_.service + this->class_.path;
    auto digest = to_string(hash128(text));
    return {{this->class_.method, target, {}, std::move(text)}, std::move(digest)};
}

std::string request_generator::generate_text(std::uint64_t seed, std::size_t length) const
{
    std::string text;
    for (std::uint64_t n = 0; text.size() < length; ++n) {
        text += fmt::format("{:x} ", hash64(fmt::format("{}", n), seed) % 0xfffff);
    }
    text.resize(length);
    return text;
}

} // namespace medlaryoke::standins
