#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/digest.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// Identifies one claim of one idempotency key.
struct claim_ticket {
    digest128 key;                    ///< digest of organisation, service and idempotency key
    std::uint64_t operation_id = 0;   ///< unique among all claims
    std::uint64_t request_digest = 0; ///< digest of method, target and body
};

/// How a claim was answered.
enum class claim_result {
    run,         ///< this claim got the key, and the request may run
    repeated,    ///< an earlier request with the key completed; its stored answer is the answer
    in_progress, ///< another claim holds the key, and its outcome is not known
    conflict,    ///< the key was used for a different request
    expired,     ///< the key is empty, malformed or older than the retention of claims
    unavailable, ///< the log did not confirm the claim; the request must not run
};

struct claim_answer {
    claim_result result = claim_result::unavailable;
    claim_ticket ticket;         ///< set if the result is run
    wire::completion completion; ///< set if the result is repeated
    std::string message;         ///< reason, set for the other results
};

/// Answer of an upstream, to be stored as the completion of a claim.
struct completed_answer {
    unsigned status = 0;
    std::string content_type;
    std::optional<std::string> body; ///< empty if larger than max_remembered_body_bytes
};

/// Larger bodies are not stored in completions.
constexpr std::size_t max_remembered_body_bytes = 4096;

/// Tells whether a completion was stored without the body of its answer. Such a completion has a
/// content type but no response; a completion of an answer with an empty body has neither.
/// @param completion a stored completion
/// @return true if the body was not stored
inline bool body_was_omitted(const wire::completion& completion)
{
    return completion.response().empty() && !completion.content_type().empty();
}

/// Ensures that at most one request per idempotency key runs. Thread safe.
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
    /// @param done called once with the answer
    virtual void claim(const wire::dispatch& request,
                       std::function<void(const claim_answer&)> done) = 0;

    /// Stores the answer to the request of a claim; retried until the log has stored it.
    /// @param ticket the claim
    /// @param answer what the upstream answered
    virtual void complete(const claim_ticket& ticket, completed_answer answer) = 0;

    /// Releases a claim whose request certainly did not run, so that the key can be claimed again.
    /// @param ticket the claim
    /// @param done called once, when the log has stored the record or the first append failed
    virtual void release(const claim_ticket& ticket, std::function<void()> done) = 0;

    /// @return number of records that the log has not stored yet
    [[nodiscard]] virtual std::size_t pending() const = 0;
};

} // namespace medlaryoke::controllers
