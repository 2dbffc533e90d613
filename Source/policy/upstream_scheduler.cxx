#include "policy/upstream_scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <ranges>
#include <set>
#include <tuple>

#include "base/digest.h"

namespace medlaryoke::policy {

namespace {

// Over which the rate at which own requests end is measured.
constexpr auto rate_window = std::chrono::milliseconds(1000);

// Prompt tokens being read that weigh as much as a running request when upstreams are compared:
// prompts at one engine are read one after the other.
constexpr double tokens_per_place = 700;

constexpr double latency_smoothing = 0.2; ///< weight of a new measurement

// Preference for the own data centre, in requests: decides only between equal loads.
constexpr double near_bonus = 0.3;

auto serving_order(const scheduled_request& it)
{
    return std::tuple(it.organisation_rank, it.priority, !it.repeated, it.arrived, it.id);
}

} // namespace

upstream_scheduler::upstream_scheduler(scheduler_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed),
      run_limit_(std::numeric_limits<double>::infinity()),
      read_limit_(std::numeric_limits<double>::infinity())
{
}

void upstream_scheduler::set_upstreams(const std::vector<model::upstream_entry>& upstreams,
                                       const std::string& own_data_centre)
{
    this->own_data_centre_ = own_data_centre;
    for (auto& [id, it] : this->upstreams_) {
        it.listed = false;
    }
    std::vector<std::uint64_t> ids;
    for (const auto& entry : upstreams) {
        const auto id = hash64(entry.id);
        auto& it = this->upstreams_[id];
        if (it.entry.started_at != entry.started_at) {
            it.latency_ms = 0; // another incarnation under the same id
            it.paused_until = {};
        }
        it.entry = entry;
        it.listed = true;
        ids.push_back(id);
    }
    std::erase_if(this->upstreams_,
                  [](const auto& it) { return !it.second.listed && it.second.own == 0; });
    this->outliers_.set_members(ids);
}

void upstream_scheduler::set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running)
{
    for (auto& [id, it] : this->upstreams_) {
        const auto found = running.find(id);
        it.remote = found == running.end() ? 0 : found->second;
    }
}

void upstream_scheduler::push(const scheduled_request& request)
{
    const auto at =
        std::ranges::upper_bound(this->waiting_, serving_order(request), {}, serving_order);
    this->waiting_.insert(at, request);
}

std::vector<assignment> upstream_scheduler::take_ready(time_point now)
{
    std::vector<assignment> ready;
    if (this->waiting_.empty()) {
        return ready;
    }
    const auto median = this->median_latency(now);
    while (const auto owed = this->take_owed(median, now)) {
        ready.push_back(*owed);
    }
    for (auto it = this->waiting_.begin(); it != this->waiting_.end();) {
        auto chosen = this->choose_probe(*it, now);
        if (!chosen && this->has_room(it->priority)) {
            chosen = this->choose(*it, median, now);
        }
        if (chosen) {
            this->note_sent(*it, *chosen);
            ready.push_back({it->id, *chosen});
            it = this->waiting_.erase(it);
            continue;
        }
        // Less urgent requests have no more places, but a shorter prompt may fit.
        if (!this->has_room(it->priority)) {
            break;
        }
        ++it;
    }
    return ready;
}

std::optional<assignment> upstream_scheduler::take_owed(double median, time_point now)
{
    constexpr unsigned most_urgent = 0;
    if (!this->has_room(most_urgent)) {
        return std::nullopt;
    }
    for (auto it = this->waiting_.begin(); it != this->waiting_.end(); ++it) {
        if (it->priority == most_urgent || this->owed_[it->priority] < 1) {
            continue;
        }
        if (const auto chosen = this->choose(*it, median, now)) {
            this->owed_[it->priority] -= 1;
            const assignment sent{it->id, *chosen};
            this->note_sent(*it, *chosen);
            this->waiting_.erase(it);
            return sent;
        }
    }
    return std::nullopt;
}

void upstream_scheduler::note_sent(const scheduled_request& request, std::uint64_t upstream)
{
    constexpr double most_owed = 3;
    auto& target = this->upstreams_[upstream];
    ++target.own;
    target.starting += request.tokens;
    std::set<unsigned> passed_over;
    for (const auto& it : this->waiting_) {
        if (it.priority > request.priority) {
            passed_over.insert(it.priority);
        }
    }
    for (const auto priority : passed_over) {
        auto& owed = this->owed_[priority];
        owed = std::min(owed + this->options_.floor, most_owed);
    }
}

std::vector<std::uint64_t> upstream_scheduler::take_expired(time_point now)
{
    const auto rate = this->own_rate(now);
    std::vector<std::uint64_t> expired;
    std::size_t ahead = 0;
    std::erase_if(this->waiting_, [&](const scheduled_request& it) {
        const auto wait = rate > 0
                              ? std::chrono::duration<double>(static_cast<double>(ahead) / rate)
                              : std::chrono::duration<double>(0);
        if (now + std::chrono::duration_cast<duration>(wait) < it.wait_until) {
            ++ahead;
            return false;
        }
        expired.push_back(it.id);
        return true;
    });
    return expired;
}

bool upstream_scheduler::remove(std::uint64_t request)
{
    return std::erase_if(this->waiting_, [request](const auto& it) { return it.id == request; }) >
           0;
}

void upstream_scheduler::on_started(std::uint64_t upstream, double tokens)
{
    const auto found = this->upstreams_.find(upstream);
    if (found != this->upstreams_.end()) {
        found->second.starting = std::max(found->second.starting - tokens, 0.0);
    }
}

void upstream_scheduler::on_end(std::uint64_t upstream, double starting_tokens, time_point now)
{
    this->ends_.push_back(now);
    while (this->ends_.front() <= now - rate_window) {
        this->ends_.pop_front();
    }
    this->on_started(upstream, starting_tokens);
    const auto found = this->upstreams_.find(upstream);
    if (found == this->upstreams_.end() || found->second.own == 0) {
        return;
    }
    if (--found->second.own == 0 && !found->second.listed) {
        this->upstreams_.erase(found);
    }
}

void upstream_scheduler::on_result(std::uint64_t upstream, call_outcome outcome,
                                   std::optional<duration> latency, time_point now)
{
    this->outliers_.on_result(upstream, outcome, now);
    const auto found = this->upstreams_.find(upstream);
    if (found == this->upstreams_.end()) {
        return;
    }
    auto& it = found->second;
    if (outcome == call_outcome::refused) {
        it.paused_until = now + this->options_.refusal_pause;
    }
    if (latency) {
        const auto ms = std::chrono::duration<double, std::milli>(*latency).count();
        const bool fresh = it.latency_ms > 0 && now - it.latency_at < this->options_.latency_memory;
        it.latency_ms = fresh ? std::lerp(it.latency_ms, ms, latency_smoothing) : ms;
        it.latency_at = now;
    }
}

bool upstream_scheduler::is_usable(std::uint64_t upstream) const
{
    const auto found = this->upstreams_.find(upstream);
    return found != this->upstreams_.end() && found->second.takes_new();
}

bool upstream_scheduler::has_other(const std::vector<std::uint64_t>& excluded) const
{
    return std::ranges::any_of(this->upstreams_, [&excluded](const auto& it) {
        return it.second.takes_new() && std::ranges::find(excluded, it.first) == excluded.end();
    });
}

std::unordered_map<std::uint64_t, unsigned> upstream_scheduler::own_load() const
{
    std::unordered_map<std::uint64_t, unsigned> load;
    for (const auto& [id, it] : this->upstreams_) {
        if (it.own > 0) {
            load[id] = it.own;
        }
    }
    return load;
}

std::size_t upstream_scheduler::running() const
{
    return std::transform_reduce(this->upstreams_.begin(), this->upstreams_.end(), std::size_t{0},
                                 std::plus<>{}, [](const auto& it) { return it.second.own; });
}

std::size_t upstream_scheduler::listed() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->upstreams_, [](const auto& it) { return it.second.listed; }));
}

double upstream_scheduler::mean_running() const
{
    const auto listed = this->listed();
    std::size_t sum = 0;
    for (const auto& [id, it] : this->upstreams_) {
        sum += it.own + it.remote;
    }
    return listed == 0 ? 0 : static_cast<double>(sum) / static_cast<double>(listed);
}

bool upstream_scheduler::has_room(unsigned priority) const
{
    const auto& parts = this->options_.part_by_priority;
    const auto part = parts[std::min<std::size_t>(priority, parts.size() - 1)];
    double room = 0;
    double running = 0;
    for (const auto& [id, it] : this->upstreams_) {
        if (it.takes_new()) {
            room += std::min(this->run_limit_, static_cast<double>(it.entry.slots));
            running += it.own + it.remote;
        }
    }
    return running < part * room;
}

double upstream_scheduler::own_rate(time_point now) const
{
    const auto recent =
        std::ranges::count_if(this->ends_, [now](time_point at) { return at > now - rate_window; });
    return static_cast<double>(recent) / std::chrono::duration<double>(rate_window).count();
}

bool upstream_scheduler::may_take(std::uint64_t id, const upstream_state& it,
                                  const scheduled_request& request, time_point now) const
{
    const auto limit = std::min(static_cast<double>(it.entry.slots), std::ceil(this->run_limit_));
    return it.takes_new() && it.paused_until <= now && it.own + it.remote < limit &&
           it.starting + request.tokens <= this->read_limit_ && !this->outliers_.is_ejected(id) &&
           std::ranges::find(request.excluded, id) == request.excluded.end();
}

double upstream_scheduler::median_latency(time_point now) const
{
    std::vector<double> known;
    for (const auto& [id, it] : this->upstreams_) {
        if (it.latency_ms > 0 && now - it.latency_at < this->options_.latency_memory) {
            known.push_back(it.latency_ms);
        }
    }
    if (known.empty()) {
        return 0;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::ranges::nth_element(known, middle);
    return *middle;
}

double upstream_scheduler::score(const upstream_state& it, double median, time_point now) const
{
    const auto load = static_cast<double>(it.own + it.remote) + 1 + it.starting / tokens_per_place -
                      (it.entry.data_centre == this->own_data_centre_ ? near_bonus : 0);
    const bool known = it.latency_ms > 0 && now - it.latency_at < this->options_.latency_memory;
    if (!known || median <= 0 || it.latency_ms < this->options_.slow_factor * median) {
        return load;
    }
    return load * it.latency_ms / median;
}

std::optional<std::uint64_t> upstream_scheduler::choose(const scheduled_request& request,
                                                        double median, time_point now)
{
    std::vector<std::uint64_t> best;
    double best_score = 0;
    for (const auto& [id, it] : this->upstreams_) {
        if (!this->may_take(id, it, request, now)) {
            continue;
        }
        const auto value = this->score(it, median, now);
        if (best.empty() || value < best_score) {
            best.assign(1, id);
            best_score = value;
        }
        else if (value == best_score) {
            best.push_back(id);
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
    return best[pick(this->random_)];
}

std::optional<std::uint64_t> upstream_scheduler::choose_probe(const scheduled_request& request,
                                                              time_point now)
{
    if (!request.may_probe || this->outliers_.ejected_count() == 0) {
        return std::nullopt;
    }
    for (const auto& [id, it] : this->upstreams_) {
        if (it.takes_new() && this->outliers_.is_ejected(id) &&
            std::ranges::find(request.excluded, id) == request.excluded.end() &&
            this->outliers_.try_probe(id, now)) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace medlaryoke::policy
