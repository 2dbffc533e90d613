#pragma once

#include <string>
#include <vector>

#include "base/field_visitor.h"

namespace medlaryoke {

/// Description of a key, in the form of the manual's tables.
struct field_description {
    std::string key; ///< includes the enclosing keys, such as `entry.subset_size`
    std::string unit;
    std::string default_text; ///< the default, or `required` or `none`
    std::string range;        ///< the allowed values

    bool operator==(const field_description&) const = default;
};

/// Describes the fields of a structure that holds its defaults. The structure is not changed.
class field_descriptions final : public field_visitor {
public:
    void text(std::string_view key, std::string& value, text_rule rule, presence needed) override;
    void texts(std::string_view key, std::vector<std::string>& values, text_rule rule,
               presence needed) override;
    void whole(std::string_view key, std::uint64_t& value, whole_limits limits,
               presence needed) override;
    void optional_whole(std::string_view key, std::optional<std::uint64_t>& value,
                        whole_limits limits) override;
    void real(std::string_view key, double& value, real_limits limits, presence needed) override;
    void time(std::string_view key, duration& value, duration_limits limits,
              presence needed) override;
    void flag(std::string_view key, bool& value) override;
    void choice(std::string_view key, std::size_t& index, std::span<const std::string_view> names,
                presence needed) override;
    void section(std::string_view key, const std::function<void(field_visitor&)>& visit) override;

    /// @return the descriptions of the fields visited so far, in order
    [[nodiscard]] const std::vector<field_description>& all() const { return this->descriptions_; }

private:
    void add(std::string_view key, std::string unit, const std::string& default_text,
             presence needed, std::string range);

    std::string prefix_;
    std::vector<field_description> descriptions_;
};

} // namespace medlaryoke
