#pragma once

namespace medlaryoke::policy {

/// Which slots of the upstreams are still free.
enum class slot_availability {
    ample,        ///< some upstream has free slots beyond its reserve
    reserve_only, ///< only the slots reserved for urgent requests are free
};

} // namespace medlaryoke::policy
