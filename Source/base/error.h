#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace medlaryoke {

/// What kind of failure an error reports; decides the HTTP status and the exit code.
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

/// Returns the name of a kind as it appears in replies and logs, such as `not_found`.
/// @param kind the kind to name
/// @return the name; never empty
std::string_view to_string(error_kind kind);

/// Returns the HTTP status code that reports an error of this kind to a caller or an operator.
/// @param kind the kind to map
/// @return a status code between 400 and 599
unsigned http_status(error_kind kind);

/// A typed failure. The message names the value and the place; the remedy says what to do.
class error : public std::runtime_error {
public:
    /// @param kind what kind of failure this is
    /// @param message names the offending value and where it was found
    /// @param remedy one sentence that tells the reader what to do
    error(error_kind kind, const std::string& message, std::string remedy);

    /// @return what kind of failure this is
    [[nodiscard]] error_kind kind() const noexcept { return this->kind_; }

    /// @return one sentence that tells the reader what to do
    [[nodiscard]] const std::string& remedy() const noexcept { return this->remedy_; }

private:
    error_kind kind_;
    std::string remedy_;
};

} // namespace medlaryoke
