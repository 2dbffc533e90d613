#include "policy/outlier_detector.h"

#include <algorithm>

namespace medlaryoke::policy {

outlier_detector::outlier_detector(outlier_options options) : options_(options) {}

void outlier_detector::set_members(std::span<const std::uint64_t> upstreams)
{
    std::map<std::uint64_t, upstream_state> states;
    for (const auto id : upstreams) {
        const auto it = this->states_.find(id);
        states.emplace(id, it == this->states_.end() ? upstream_state{} : it->second);
    }
    this->states_ = std::move(states);
    // The limit also holds after healthy upstreams were removed. The upstreams whose next probe is
    // earliest return first.
    const auto max_count = static_cast<std::size_t>(this->options_.max_ejected_fraction *
                                                    static_cast<double>(this->states_.size()));
    while (this->ejected_count() > max_count) {
        upstream_state* earliest = nullptr;
        for (auto& [id, it] : this->states_) {
            if (it.ejected && (earliest == nullptr || it.next_probe < earliest->next_probe)) {
                earliest = &it;
            }
        }
        *earliest = upstream_state{};
    }
}

void outlier_detector::on_result(std::uint64_t upstream, call_outcome outcome, time_point now)
{
    const auto found = this->states_.find(upstream);
    if (found == this->states_.end()) {
        return;
    }
    auto& it = found->second;
    const bool shows_health = outcome == call_outcome::succeeded || outcome == call_outcome::failed;
    if (it.ejected) {
        // Results of calls sent before the ejection count like probes.
        it.probing = false;
        if (shows_health) {
            this->on_probe_result(it, outcome == call_outcome::succeeded, now);
        }
        return;
    }
    if (!shows_health) {
        return;
    }
    if (now - it.window_start >= this->options_.window) {
        it.window_start = now;
        it.failures = 0;
        it.results = 0;
        it.ejection_length = duration::zero();
    }
    const bool failed = outcome == call_outcome::failed;
    ++it.results;
    it.failures += failed ? 1 : 0;
    it.consecutive_failures = failed ? it.consecutive_failures + 1 : 0;
    const bool too_many = it.results >= this->options_.min_results &&
                          it.failures >= this->options_.failure_rate * it.results;
    if ((it.consecutive_failures >= this->options_.consecutive_failures || too_many) &&
        this->may_eject()) {
        this->eject(it, now);
    }
}

bool outlier_detector::is_ejected(std::uint64_t upstream) const
{
    const auto it = this->states_.find(upstream);
    return it != this->states_.end() && it->second.ejected;
}

bool outlier_detector::try_probe(std::uint64_t upstream, time_point now)
{
    const auto it = this->states_.find(upstream);
    if (it == this->states_.end() || !it->second.ejected || it->second.probing ||
        now < it->second.next_probe) {
        return false;
    }
    it->second.probing = true;
    return true;
}

void outlier_detector::on_tick(time_point now)
{
    for (auto& [id, it] : this->states_) {
        if (it.ejected && !it.probing && now - it.next_probe >= this->options_.max_wait_for_probe) {
            it = upstream_state{.ejection_length = it.ejection_length,
                                .consecutive_failures = this->options_.consecutive_failures - 1,
                                .window_start = now};
        }
    }
}

std::size_t outlier_detector::ejected_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->states_, [](const auto& it) { return it.second.ejected; }));
}

void outlier_detector::on_probe_result(upstream_state& it, bool success, time_point now)
{
    if (!success) {
        this->eject(it, now);
        return;
    }
    if (++it.probe_successes < this->options_.required_probe_successes) {
        return;
    }
    const auto ejection_length = it.ejection_length;
    // The length is kept for a window, so that an upstream that soon fails again is ejected longer.
    it = upstream_state{.ejection_length = ejection_length, .window_start = now};
}

void outlier_detector::eject(upstream_state& it, time_point now) const
{
    it.ejection_length = it.ejection_length == duration::zero()
                             ? this->options_.initial_ejection
                             : std::min(it.ejection_length * 2, this->options_.max_ejection);
    it.ejected = true;
    it.probing = false;
    it.probe_successes = 0;
    it.next_probe = now + it.ejection_length;
}

bool outlier_detector::may_eject() const
{
    return static_cast<double>(this->ejected_count() + 1) <=
           this->options_.max_ejected_fraction * static_cast<double>(this->states_.size());
}

} // namespace medlaryoke::policy
