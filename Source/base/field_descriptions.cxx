#include "base/field_descriptions.h"

#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "base/duration_text.h"
#include "base/limits_text.h"
#include "base/text_rules.h"

namespace medlaryoke {

void field_descriptions::add(std::string_view key, std::string unit,
                             const std::string& default_text, presence needed, std::string range)
{
    std::string default_cell = default_text.empty() ? "none" : default_text;
    if (needed == presence::required) {
        default_cell = "required";
    }
    this->descriptions_.push_back({this->prefix_ + std::string(key), std::move(unit),
                                   std::move(default_cell), std::move(range)});
}

void field_descriptions::text(std::string_view key, std::string& value, text_rule rule,
                              presence needed)
{
    this->add(key, std::string(unit_of(rule)), value, needed, std::string(range_of(rule)));
}

void field_descriptions::texts(std::string_view key, std::vector<std::string>& values,
                               text_rule rule, presence needed)
{
    this->add(key, fmt::format("list of {}", unit_of(rule)),
              fmt::format("{}", fmt::join(values, ", ")), needed, std::string(range_of(rule)));
}

void field_descriptions::whole(std::string_view key, std::uint64_t& value, whole_limits limits,
                               presence needed)
{
    this->add(key, "whole number", fmt::to_string(value), needed, limits_text(limits));
}

void field_descriptions::optional_whole(std::string_view key, std::optional<std::uint64_t>& value,
                                        whole_limits limits)
{
    this->add(key, "whole number", value ? fmt::to_string(*value) : "", presence::optional,
              limits_text(limits));
}

void field_descriptions::real(std::string_view key, double& value, real_limits limits,
                              presence needed)
{
    this->add(key, "number", fmt::to_string(value), needed, limits_text(limits));
}

void field_descriptions::time(std::string_view key, duration& value, duration_limits limits,
                              presence needed)
{
    this->add(key, "duration", format_duration(value), needed, limits_text(limits));
}

void field_descriptions::flag(std::string_view key, bool& value)
{
    this->add(key, "boolean", value ? "true" : "false", presence::optional, "true or false");
}

void field_descriptions::choice(std::string_view key, std::size_t& index,
                                std::span<const std::string_view> names, presence needed)
{
    this->add(key, "choice", std::string(names[index]), needed,
              fmt::format("{}", fmt::join(names, ", ")));
}

void field_descriptions::section(std::string_view key,
                                 const std::function<void(field_visitor&)>& visit)
{
    const auto outer = std::exchange(this->prefix_, fmt::format("{}{}.", this->prefix_, key));
    visit(*this);
    this->prefix_ = outer;
}

} // namespace medlaryoke
