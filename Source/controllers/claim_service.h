#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/digest.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// Names one claim of one key.
struct claim_ticket {
    digest128 key;
    std::uint64_t operation_id = 0;
    std::uint64_t request_digest = 0;
};

enum class claim_result {
    run,         ///< this claim holds the key: the request runs now
    repeated,    ///< the key was completed before; the completion is the answer
    in_progress, ///< another claim holds the key; its outcome is not known
    conflict,    ///< the key was used for a different request
    expired,     ///< the key is malformed or older than claims are remembered
    unavailable, ///< the log does not answer; nothing may run
};

struct claim_answer {
    claim_result result = claim_result::unavailable;
    claim_ticket ticket;         ///< if the result is run
    wire::completion completion; ///< if the result is repeated
    std::string message;         ///< if nothing may run
};

/// The answer that a completion remembers.
struct completed_answer {
    unsigned status = 0;
    std::string content_type;
    std::optional<std::string> body; ///< empty if larger than max_remembered_body
};

/// Answers larger than this are not kept in completions.
constexpr std::size_t max_remembered_body = 4096;

/// Whether a completion was stored without the body of its answer. Such a completion has a content
/// type but no response; a completion of an empty answer has neither.
/// @param completion a stored completion
/// @return true if the body is not available
inline bool body_was_omitted(const wire::completion& completion)
{
    return completion.response().empty() && !completion.content_type().empty();
}

/// Gives each idempotency key to at most one run. Thread safe.
class claim_service {
public:
    claim_service() = default;
    claim_service(const claim_service&) = delete;
    claim_service& operator=(const claim_service&) = delete;
    claim_service(claim_service&&) = delete;
    claim_service& operator=(claim_service&&) = delete;
    virtual ~claim_service() = default;

    /// Claims the key of a request.
    /// @param request a request with organisation, service and idempotency key
    /// @param done called once
    virtual void claim(const wire::dispatch& request,
                       std::function<void(const claim_answer&)> done) = 0;

    /// Stores the answer of a claim that ran; repeated until the log has taken it.
    /// @param ticket the claim
    /// @param answer what the upstream answered
    virtual void complete(const claim_ticket& ticket, completed_answer answer) = 0;

    /// Gives back a claim whose request certainly did not run.
    /// @param ticket the claim
    /// @param done called once, when the log has taken the record or the first attempt failed
    virtual void release(const claim_ticket& ticket, std::function<void()> done) = 0;

    /// @return records that the log has not taken yet
    [[nodiscard]] virtual std::size_t pending() const = 0;
};

} // namespace medlaryoke::controllers
