#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace medlaryoke {

/// Whether a key must be present.
enum class presence { required, optional };

/// The required form of a text value.
enum class text_rule {
    any,            ///< 1 to 1024 printable ASCII characters
    name,           ///< 1 to 128 of A-Z a-z 0-9 . _ -
    remote_address, ///< IP address and port 1 to 65535
    listen_address, ///< IP address and port 0 to 65535; 0 selects a free port
    sha256,         ///< 64 lower-case hexadecimal digits
    call,           ///< METHOD /path-prefix
};

/// Inclusive range of a whole number.
struct whole_limits {
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

/// Range of a real number. A bound belongs to the range unless it is excluded.
struct real_limits {
    double min = 0;
    double max = 0;
    bool min_excluded = false;
    bool max_excluded = false;
};

/// Inclusive range of a duration.
struct duration_limits {
    duration min{};
    duration max{};
};

/// Visits the fields of a settings or resource structure. One function per structure lists each key
/// with its type and range. The visitors read, write or describe the fields, so that a key is
/// defined in one place only.
class field_visitor {
public:
    field_visitor() = default;
    field_visitor(const field_visitor&) = delete;
    field_visitor& operator=(const field_visitor&) = delete;
    field_visitor(field_visitor&&) = delete;
    field_visitor& operator=(field_visitor&&) = delete;
    virtual ~field_visitor() = default;

    virtual void text(std::string_view key, std::string& value, text_rule rule,
                      presence needed) = 0;
    virtual void texts(std::string_view key, std::vector<std::string>& values, text_rule rule,
                       presence needed) = 0;
    virtual void whole(std::string_view key, std::uint64_t& value, whole_limits limits,
                       presence needed) = 0;
    virtual void optional_whole(std::string_view key, std::optional<std::uint64_t>& value,
                                whole_limits limits) = 0;
    virtual void real(std::string_view key, double& value, real_limits limits, presence needed) = 0;
    virtual void time(std::string_view key, duration& value, duration_limits limits,
                      presence needed) = 0;
    virtual void flag(std::string_view key, bool& value) = 0;

    /// @param index position of the value in names
    virtual void choice(std::string_view key, std::size_t& index,
                        std::span<const std::string_view> names, presence needed) = 0;

    /// Visits a nested mapping, which must be present.
    virtual void section(std::string_view key,
                         const std::function<void(field_visitor&)>& visit) = 0;
};

/// Visits an unsigned field of any width.
template <typename Number>
void visit_whole(field_visitor& visitor, std::string_view key, Number& value, whole_limits limits,
                 presence needed)
{
    std::uint64_t wide = value;
    visitor.whole(key, wide, limits, needed);
    value = static_cast<Number>(wide);
}

/// Visits an enumeration whose values are numbered from 0 in the order of their names.
template <typename Enum>
void visit_choice(field_visitor& visitor, std::string_view key, Enum& value,
                  std::span<const std::string_view> names, presence needed)
{
    auto index = static_cast<std::size_t>(value);
    visitor.choice(key, index, names, needed);
    value = static_cast<Enum>(index);
}

} // namespace medlaryoke
