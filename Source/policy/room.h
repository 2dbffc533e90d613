#pragma once

namespace medlaryoke::policy {

/// Which slots of the upstreams are still free.
enum class room {
    ample,  ///< some upstream has free slots beyond its reserve
    scarce, ///< only the slots reserved for urgent requests are free
};

} // namespace medlaryoke::policy
