#include "controllers/refusal.h"

namespace medlaryoke::controllers {

refusal_handling refusal_handling_for(wire::refusal_reason reason)
{
    switch (reason) {
    case wire::REFUSAL_REASON_DEADLINE:
        return {false, error_kind::deadline_exceeded, "Send the request again, with more time."};
    case wire::REFUSAL_REASON_CLAIM_UNAVAILABLE:
        return {false, error_kind::unavailable,
                "Send the request again with the same Idempotency-Key when the log is back."};
    case wire::REFUSAL_REASON_KEY_CONFLICT:
        return {false, error_kind::conflict, "Use a new Idempotency-Key for a different request."};
    case wire::REFUSAL_REASON_KEY_EXPIRED:
        return {false, error_kind::invalid_argument,
                "Find out whether the earlier request was run, then use a new Idempotency-Key."};
    case wire::REFUSAL_REASON_CANCELLED:
        return {false, error_kind::not_run, "Send the request again."};
    case wire::REFUSAL_REASON_OVERLOADED:
        return {true, error_kind::overloaded, "Send the request again later."};
    default:
        return {true, error_kind::unavailable, "Send the request again later."};
    }
}

} // namespace medlaryoke::controllers
