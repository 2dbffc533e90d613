#include "base/document_fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "base/duration_text.h"
#include "base/error.h"
#include "base/limits_text.h"
#include "base/text_rules.h"

namespace medlaryoke {

namespace {

using shape = document_node::node_shape;

bool is_number(const document_node& node)
{
    return node.form == scalar_form::plain || node.form == scalar_form::number;
}

bool is_text(const document_node& node)
{
    return node.form == scalar_form::plain || node.form == scalar_form::text;
}

/// @return the start of a value, so that error messages stay short
std::string_view truncated_scalar(const document_node& node)
{
    constexpr std::size_t max_characters = 128;
    return std::string_view(node.scalar).substr(0, max_characters);
}

template <typename Number>
bool parse_number(const std::string& text, Number& value)
{
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && ptr == end;
}

} // namespace

document_fields::document_fields(const document_node& node, std::string path, unknown_keys unknown)
    : node_(node), path_(std::move(path)), unknown_(unknown)
{
    if (node.shape != shape::mapping) {
        reject_document(node.place, this->path_, "is not a mapping",
                        "Write keys with values below it.");
    }
}

std::string document_fields::path_of(std::string_view key) const
{
    return this->path_.empty() ? std::string(key) : fmt::format("{}.{}", this->path_, key);
}

void document_fields::reject(const document_node& node, std::string_view key,
                             std::string_view problem, std::string remedy) const
{
    reject_document(node.place, this->path_of(key), problem, std::move(remedy));
}

const document_node* document_fields::find(std::string_view key, presence needed)
{
    this->visited_.emplace_back(key);
    const auto it = std::ranges::find(this->node_.members, key, &document_member::key);
    if (it == this->node_.members.end()) {
        if (needed == presence::required) {
            this->reject(this->node_, key, "is missing", fmt::format("Add the key \"{}\".", key));
        }
        return nullptr;
    }
    if (it->value.shape == shape::missing) {
        reject_document(it->place, this->path_of(key), "has no value",
                        "Write a value, or remove the key if it is optional.");
    }
    return &it->value;
}

const document_node* document_fields::find_scalar(std::string_view key, presence needed)
{
    const auto* node = this->find(key, needed);
    if (node != nullptr && node->shape != shape::scalar) {
        this->reject(*node, key, "is a list or a mapping", "Write a single value.");
    }
    return node;
}

std::string document_fields::parse_text(const document_node& node, std::string_view key,
                                        text_rule rule) const
{
    if (node.shape != shape::scalar || !is_text(node)) {
        this->reject(node, key, fmt::format("\"{}\" is not text", truncated_scalar(node)),
                     "Write text.");
    }
    if (!obeys(rule, node.scalar)) {
        this->reject(
            node, key,
            fmt::format("\"{}\" is not of the form {}", truncated_scalar(node), unit_of(rule)),
            fmt::format("Write {} ({}).", unit_of(rule), range_of(rule)));
    }
    return node.scalar;
}

std::uint64_t document_fields::parse_whole(const document_node& node, std::string_view key,
                                           whole_limits limits) const
{
    std::uint64_t value = 0;
    if (!is_number(node) || !parse_number(node.scalar, value) || value < limits.min ||
        value > limits.max) {
        this->reject(node, key,
                     fmt::format("\"{}\" is not a whole number {}", truncated_scalar(node),
                                 limits_text(limits)),
                     fmt::format("Write a whole number {}, without a unit.", limits_text(limits)));
    }
    return value;
}

void document_fields::text(std::string_view key, std::string& value, text_rule rule,
                           presence needed)
{
    if (const auto* node = this->find_scalar(key, needed)) {
        value = this->parse_text(*node, key, rule);
    }
}

void document_fields::texts(std::string_view key, std::vector<std::string>& values, text_rule rule,
                            presence needed)
{
    const auto* node = this->find(key, needed);
    if (node == nullptr) {
        return;
    }
    if (node->shape != shape::sequence) {
        this->reject(*node, key, "is not a list", "Write a list, such as [a, b].");
    }
    if (node->items.empty() && needed == presence::required) {
        this->reject(*node, key, "is an empty list", "Write at least one value.");
    }
    values.clear();
    std::ranges::transform(node->items, std::back_inserter(values),
                           [&](const auto& item) { return this->parse_text(item, key, rule); });
}

void document_fields::whole(std::string_view key, std::uint64_t& value, whole_limits limits,
                            presence needed)
{
    if (const auto* node = this->find_scalar(key, needed)) {
        value = this->parse_whole(*node, key, limits);
    }
}

void document_fields::optional_whole(std::string_view key, std::optional<std::uint64_t>& value,
                                     whole_limits limits)
{
    if (const auto* node = this->find_scalar(key, presence::optional)) {
        value = this->parse_whole(*node, key, limits);
    }
}

void document_fields::real(std::string_view key, double& value, real_limits limits, presence needed)
{
    const auto* node = this->find_scalar(key, needed);
    if (node == nullptr) {
        return;
    }
    double number = 0;
    if (!is_number(*node) || !parse_number(node->scalar, number) || !is_within(limits, number)) {
        this->reject(
            *node, key,
            fmt::format("\"{}\" is not a number {}", truncated_scalar(*node), limits_text(limits)),
            fmt::format("Write a number {}, without a unit.", limits_text(limits)));
    }
    value = number;
}

void document_fields::time(std::string_view key, duration& value, duration_limits limits,
                           presence needed)
{
    const auto* node = this->find_scalar(key, needed);
    if (node == nullptr) {
        return;
    }
    const auto refuse = [&](const std::string& problem) {
        this->reject(*node, key, problem,
                     fmt::format("Write a number and a unit out of us, ms, s, m, h: {}.",
                                 limits_text(limits)));
    };
    duration number{};
    try {
        number = parse_duration(node->scalar);
    }
    catch (const error& e) {
        refuse(e.what());
    }
    if (!is_text(*node) || number < limits.min || number > limits.max) {
        refuse(fmt::format("\"{}\" is not a duration {}", truncated_scalar(*node),
                           limits_text(limits)));
    }
    value = number;
}

void document_fields::flag(std::string_view key, bool& value)
{
    const auto* node = this->find_scalar(key, presence::optional);
    if (node == nullptr) {
        return;
    }
    const bool is_boolean = node->form == scalar_form::plain || node->form == scalar_form::boolean;
    if (!is_boolean || (node->scalar != "true" && node->scalar != "false")) {
        this->reject(*node, key,
                     fmt::format("\"{}\" is neither true nor false", truncated_scalar(*node)),
                     "Write true or false, without quotes.");
    }
    value = node->scalar == "true";
}

void document_fields::choice(std::string_view key, std::size_t& index,
                             std::span<const std::string_view> names, presence needed)
{
    const auto* node = this->find_scalar(key, needed);
    if (node == nullptr) {
        return;
    }
    const auto it = std::ranges::find(names, node->scalar);
    if (!is_text(*node) || it == names.end()) {
        this->reject(*node, key,
                     fmt::format("\"{}\" is not a value of this key", truncated_scalar(*node)),
                     fmt::format("Write one of {}.", fmt::join(names, ", ")));
    }
    index = static_cast<std::size_t>(it - names.begin());
}

void document_fields::section(std::string_view key,
                              const std::function<void(field_visitor&)>& visit)
{
    const auto* node = this->find(key, presence::required);
    document_fields fields(*node, this->path_of(key), this->unknown_);
    visit(fields);
    fields.finish();
}

void document_fields::finish() const
{
    if (this->unknown_ == unknown_keys::ignore) {
        return;
    }
    for (const auto& member : this->node_.members) {
        if (std::ranges::find(this->visited_, member.key) == this->visited_.end()) {
            reject_document(
                member.place, this->path_of(member.key), "unknown key",
                fmt::format("Remove it, or write one of {}.", fmt::join(this->visited_, ", ")));
        }
    }
}

} // namespace medlaryoke
