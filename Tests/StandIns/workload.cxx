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

template <typename Value>
setter set(Value workload_class::*member)
{
    return [member](workload_class& target, const json& value) {
        target.*member = value.get<Value>();
    };
}

setter set_ms(duration workload_class::*member)
{
    return [member](workload_class& target, const json& value) {
        target.*member = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(value.get<double>()));
    };
}

const std::map<std::string, setter>& setters()
{
    using c = workload_class;
    static const std::map<std::string, setter> table{
        {"begin_ms", set_ms(&c::begin)},
        {"concurrency", set(&c::concurrency)},
        {"credential", set(&c::credential)},
        {"duplicates", set(&c::duplicates)},
        {"end_ms", set_ms(&c::end)},
        {"first_token_target_ms", set_ms(&c::first_token_target)},
        {"keyed", set(&c::keyed)},
        {"kind", [](c& target, const json& value) { target.is_chat = value != "service"; }},
        {"max_tokens", set(&c::max_tokens)},
        {"method", set(&c::method)},
        {"model", set(&c::model)},
        {"name", set(&c::name)},
        {"path", set(&c::path)},
        {"prefix_characters", set(&c::prefix_characters)},
        {"prefixes", set(&c::prefixes)},
        {"priority", set(&c::priority)},
        {"prompt_characters", set(&c::prompt_characters)},
        {"rate", set(&c::rate)},
        {"service", set(&c::service)},
        {"stream", set(&c::stream)},
        {"timeout_ms", set_ms(&c::timeout)},
        {"token_interval_target_ms", set_ms(&c::token_interval_target)},
    };
    return table;
}

} // namespace

std::vector<workload_class> parse_workload(const json& body)
{
    std::vector<workload_class> classes;
    if (!body.is_object() || !body.contains("classes") || !body["classes"].is_array()) {
        throw error(error_kind::invalid_argument, "the workload has no list \"classes\"",
                    "Write {\"classes\":[{...}]}.");
    }
    for (const auto& item : body["classes"]) {
        workload_class parsed;
        for (const auto& [key, value] : item.items()) {
            const auto it = setters().find(key);
            if (it == setters().end()) {
                throw error(error_kind::invalid_argument,
                            fmt::format("workload key \"{}\" is not known", key),
                            "Remove the key.");
            }
            try {
                it->second(parsed, value);
            }
            catch (const json::exception& e) {
                throw error(error_kind::invalid_argument,
                            fmt::format("workload value {}={}: {}", key, value.dump(), e.what()),
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

request_maker::request_maker(workload_class source, bool direct, std::uint64_t seed)
    : source_(std::move(source)), direct_(direct), seed_(hash64(source_.name, seed)), random_(seed_)
{
}

prepared_request request_maker::make()
{
    ++this->count_;
    auto made = this->source_.is_chat ? this->make_chat() : this->make_call();
    auto& headers = made.request.headers;
    headers.push_back({"Content-Type", "application/json"});
    if (!this->source_.credential.empty()) {
        headers.push_back({"Authorization", "Bearer " + this->source_.credential});
    }
    if (!this->source_.priority.empty()) {
        headers.push_back({"Medlaryoke-Priority", this->source_.priority});
    }
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->source_.timeout);
    headers.push_back({"Medlaryoke-Timeout", fmt::format("{}", timeout.count())});
    if (this->source_.keyed) {
        headers.push_back({"Idempotency-Key", fmt::format("{}-{:016x}-{}", this->source_.name,
                                                          this->seed_, this->count_)});
    }
    return made;
}

duration request_maker::next_gap()
{
    std::exponential_distribution<> gap(this->source_.rate);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(this->random_)));
}

prepared_request request_maker::make_chat()
{
    std::uniform_int_distribution<std::uint64_t> prefix(
        1, std::max<std::uint64_t>(this->source_.prefixes, 1));
    // A shared prefix does not depend on the class, so that classes can share it too.
    const auto text = this->make_text(prefix(this->random_), this->source_.prefix_characters) +
                      this->make_text(hash64(fmt::format("{}", this->count_), this->seed_),
                                      this->source_.prompt_characters);
    const json body{{"model", this->source_.model},
                    {"messages", json::array({{{"role", "user"}, {"content", text}}})},
                    {"max_tokens", this->source_.max_tokens},
                    {"stream", this->source_.stream}};
    return {{"POST", "/v1/chat/completions", {}, body.dump()},
            answer_text(render_prompt(body), this->source_.max_tokens)};
}

prepared_request request_maker::make_call()
{
    const json body{{"item", fmt::format("{}-{}", this->source_.name, this->count_)}};
    auto text = this->source_.method == "GET" ? std::string{} : body.dump();
    const auto target = this->direct_
                            ? this->source_.path
                            : "/v1/services/" + this->source_.service + this->source_.path;
    auto digest = to_string(hash128(text));
    return {{this->source_.method, target, {}, std::move(text)}, std::move(digest)};
}

std::string request_maker::make_text(std::uint64_t seed, std::size_t length) const
{
    std::string text;
    for (std::uint64_t n = 0; text.size() < length; ++n) {
        text += fmt::format("{:x} ", hash64(fmt::format("{}", n), seed) % 0xfffff);
    }
    text.resize(length);
    return text;
}

} // namespace medlaryoke::standins
