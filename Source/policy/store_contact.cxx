#include "policy/store_contact.h"

namespace medlaryoke::policy {

void store_contact::on_answer(time_point now)
{
    if (!this->answering_since_) {
        this->answering_since_ = now;
    }
    this->answered_at_ = now;
}

void store_contact::on_failure(time_point now)
{
    if (this->answering_since_ || !this->lost_at_) {
        this->lost_at_ = this->answering_since_ ? this->answered_at_ : now;
    }
    this->answering_since_.reset();
}

std::optional<store_report> store_contact::report() const
{
    if (!this->answering_since_) {
        return std::nullopt;
    }
    return store_report{*this->answering_since_, this->answered_at_, this->lost_at_.has_value()};
}

outage_cause store_contact::judge(const std::vector<std::optional<store_report>>& peers,
                                  std::size_t known_peers, time_point now) const
{
    if (!this->lost_at_ || !this->answering_since_) {
        return outage_cause::undecided;
    }
    bool others_failed = false;
    for (const auto& peer : peers) {
        const bool was_answered = peer && peer->answering_since <= *this->lost_at_;
        if (was_answered && peer->answered_at > *this->lost_at_ + this->options_.margin) {
            return outage_cause::own_path;
        }
        others_failed = others_failed || !peer || (!was_answered && peer->had_failure);
    }
    if (others_failed) {
        return outage_cause::store;
    }
    const bool is_cut_off = peers.empty() && known_peers > 0 &&
                            now - *this->answering_since_ >= this->options_.decision_time;
    return is_cut_off ? outage_cause::own_path : outage_cause::undecided;
}

} // namespace medlaryoke::policy
