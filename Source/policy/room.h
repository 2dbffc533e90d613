#pragma once

namespace medlaryoke::policy {

/// How much room the upstreams have left.
enum class room {
    ample,
    scarce, ///< the last free slots, kept for urgent work
};

} // namespace medlaryoke::policy
