#include "policy/outlier_detector.h"

#include <algorithm>

namespace medlaryoke::policy {

outlier_detector::outlier_detector(outlier_options options) : options_(options) {}

void outlier_detector::set_members(std::span<const std::uint64_t> upstreams)
{
    std::map<std::uint64_t, member> members;
    for (const auto id : upstreams) {
        const auto it = this->members_.find(id);
        members.emplace(id, it == this->members_.end() ? member{} : it->second);
    }
    this->members_ = std::move(members);
    // The limit also holds after healthy upstreams were removed: the earliest probe returns first.
    const auto most = static_cast<std::size_t>(this->options_.max_ejected *
                                               static_cast<double>(this->members_.size()));
    while (this->ejected_count() > most) {
        member* first = nullptr;
        for (auto& [id, it] : this->members_) {
            if (it.ejected && (first == nullptr || it.next_probe < first->next_probe)) {
                first = &it;
            }
        }
        *first = member{};
    }
}

void outlier_detector::on_result(std::uint64_t upstream, call_outcome outcome, time_point now)
{
    const auto found = this->members_.find(upstream);
    if (found == this->members_.end()) {
        return;
    }
    auto& it = found->second;
    const bool says_something =
        outcome == call_outcome::succeeded || outcome == call_outcome::failed;
    if (it.ejected) {
        // Late results of calls from before the ejection count like probes.
        it.probing = false;
        if (says_something) {
            this->on_probe_result(it, outcome == call_outcome::succeeded, now);
        }
        return;
    }
    if (!says_something) {
        return;
    }
    if (now - it.window_start >= this->options_.window) {
        it.window_start = now;
        it.failures = 0;
        it.results = 0;
        it.ejection = duration::zero();
    }
    const bool failed = outcome == call_outcome::failed;
    ++it.results;
    it.failures += failed ? 1 : 0;
    it.consecutive = failed ? it.consecutive + 1 : 0;
    const bool too_many = it.results >= this->options_.min_samples &&
                          it.failures >= this->options_.failure_rate * it.results;
    if ((it.consecutive >= this->options_.consecutive_failures || too_many) && this->may_eject()) {
        this->eject(it, now);
    }
}

bool outlier_detector::is_ejected(std::uint64_t upstream) const
{
    const auto it = this->members_.find(upstream);
    return it != this->members_.end() && it->second.ejected;
}

bool outlier_detector::try_probe(std::uint64_t upstream, time_point now)
{
    const auto it = this->members_.find(upstream);
    if (it == this->members_.end() || !it->second.ejected || it->second.probing ||
        now < it->second.next_probe) {
        return false;
    }
    it->second.probing = true;
    return true;
}

std::size_t outlier_detector::ejected_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->members_, [](const auto& it) { return it.second.ejected; }));
}

void outlier_detector::on_probe_result(member& it, bool success, time_point now)
{
    if (!success) {
        this->eject(it, now);
        return;
    }
    if (++it.probe_successes < this->options_.probes) {
        return;
    }
    const auto ejection = it.ejection;
    // The length is kept for a window, so that an upstream that fails again waits longer.
    it = member{.ejection = ejection, .window_start = now};
}

void outlier_detector::eject(member& it, time_point now) const
{
    it.ejection = it.ejection == duration::zero()
                      ? this->options_.first_ejection
                      : std::min(it.ejection * 2, this->options_.longest_ejection);
    it.ejected = true;
    it.probing = false;
    it.probe_successes = 0;
    it.next_probe = now + it.ejection;
}

bool outlier_detector::may_eject() const
{
    return static_cast<double>(this->ejected_count() + 1) <=
           this->options_.max_ejected * static_cast<double>(this->members_.size());
}

} // namespace medlaryoke::policy
