#include "policy/config_confirmation.h"

namespace medlaryoke::policy {

bool config_confirmation::is_confirmed(const known_versions& known, time_point now)
{
    const bool has_heard_peers = known.heard_peers >= known.listed_peers ||
                                 now - this->started_at_ >= this->options_.peer_wait;
    const bool has_newest =
        known.own >= known.newest_heard || now - this->started_at_ >= this->options_.fetch_wait;
    this->is_confirmed_ = this->is_confirmed_ || (known.own > 0 && has_heard_peers && has_newest);
    return this->is_confirmed_;
}

} // namespace medlaryoke::policy
