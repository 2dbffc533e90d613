#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace medlaryoke {

/// Kind of a failure. It determines the HTTP status and the exit code.
enum class error_kind {
    invalid_argument,
    not_found,
    conflict,
    unauthenticated,
    permission_denied,
    too_large,
    overloaded,
    deadline_exceeded,
    unavailable,
    protocol_mismatch,
    not_run,
    outcome_unknown,
    internal,
};

/// Returns the name of a kind as it appears in responses and logs, such as `not_found`.
/// @param kind the kind to name
/// @return the name, which is never empty
std::string_view to_string(error_kind kind);

/// Returns the HTTP status code that reports an error of this kind to a caller or an operator.
/// @param kind the kind to map
/// @return a status code between 400 and 599
unsigned http_status(error_kind kind);

/// An exception with a kind, a message that names the value and its place, and a remedy.
class error : public std::runtime_error {
public:
    /// @param kind the kind of the failure
    /// @param message names the offending value and where it was found
    /// @param remedy one sentence that tells the reader what to do
    error(error_kind kind, const std::string& message, std::string remedy);

    /// @return the kind of the failure
    [[nodiscard]] error_kind kind() const noexcept { return this->kind_; }

    /// @return one sentence that tells the reader what to do
    [[nodiscard]] const std::string& remedy() const noexcept { return this->remedy_; }

private:
    error_kind kind_;
    std::string remedy_;
};

} // namespace medlaryoke
