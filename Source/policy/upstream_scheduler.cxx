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

// Period over which the completion rate of own requests is measured.
constexpr auto completion_rate_window = std::chrono::milliseconds(1000);

// Prompt tokens in prefill that add as much load as one running request. They add load because an
// engine prefills prompts one after the other.
constexpr double prefill_tokens_per_request = 700;

constexpr double latency_smoothing = 0.2; ///< weight of the newest latency

// Load advantage of upstreams in the own data centre, in requests. Below 1, so that it decides
// only between upstreams with equal load.
constexpr double local_data_centre_bonus = 0.3;

// Longer than any request waits.
constexpr auto longest_wait = std::chrono::hours(1);

/// @param requests number of requests
/// @param per_second rate at which they are admitted
/// @return time until they have been admitted
duration time_to_admit(double requests, double per_second)
{
    const auto seconds = requests <= 0 ? 0 : requests / per_second;
    return std::chrono::duration_cast<duration>(std::min<std::chrono::duration<double>>(
        std::chrono::duration<double>(seconds), longest_wait));
}

/// An upstream that takes a request, and its load.
struct candidate_upstream {
    double load = 0;
    std::uint64_t id = 0;
};

/// Computes weights for a random choice of upstreams. A number of requests spread by these weights
/// raises the lowest loads to the same level. See M. Dahlin, Interpreting Stale Load Information,
/// IEEE Trans. Parallel Distrib. Syst. 11(10), 2000.
/// @param candidates at least one upstream; sorted by load on return
/// @param requests number of requests to be spread; not negative
/// @return weights of the candidates with a load below the level, in their order; with no requests
/// the candidates with the lowest load have equal weights
std::vector<double> leveling_weights(std::vector<candidate_upstream>& candidates, double requests)
{
    std::ranges::sort(candidates, {}, &candidate_upstream::load);
    double sum = 0;
    std::size_t count = 0;
    double level = candidates.front().load;
    while (count < candidates.size() && (count == 0 || candidates[count].load < level)) {
        sum += candidates[count].load;
        ++count;
        level = (requests + sum) / static_cast<double>(count);
    }
    std::vector<double> weights;
    for (std::size_t n = 0; n < count; ++n) {
        weights.push_back(level - candidates[n].load);
    }
    if (std::ranges::all_of(weights, [](double it) { return it <= 0; })) {
        const auto lowest = std::ranges::upper_bound(candidates, candidates.front().load, {},
                                                     &candidate_upstream::load);
        weights.assign(static_cast<std::size_t>(lowest - candidates.begin()), 1);
    }
    return weights;
}

auto serving_order(const scheduled_request& it)
{
    return std::tuple(it.organisation_rank, it.priority, !it.is_retry, it.arrived, it.id);
}

} // namespace

upstream_scheduler::upstream_scheduler(scheduler_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed),
      max_mean_running_(std::numeric_limits<double>::infinity()),
      max_prefill_tokens_(std::numeric_limits<double>::infinity())
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
            it.latency_ms = 0; // a new incarnation has the same id
            it.backoff_until = {};
        }
        it.entry = entry;
        it.incarnation = model::incarnation_hash(entry);
        it.listed = true;
        ids.push_back(id);
    }
    this->has_open_group_ = std::ranges::any_of(upstreams, [](const model::upstream_entry& entry) {
        return entry.group && entry.group->open && !entry.draining && !entry.evacuated;
    });
    std::erase_if(this->upstreams_,
                  [](const auto& it) { return !it.second.listed && it.second.own_running == 0; });
    this->outliers_.set_members(ids);
}

void upstream_scheduler::set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running,
                                         const load_reports& reports)
{
    this->reports_ = reports;
    for (auto& [id, it] : this->upstreams_) {
        const auto found = running.find(id);
        it.remote_running = found == running.end() ? 0 : found->second;
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
    while (const auto credited = this->take_credited(median, now)) {
        ready.push_back(*credited);
    }
    for (auto it = this->waiting_.begin(); it != this->waiting_.end();) {
        auto chosen = this->choose_probe(*it, now);
        if (!chosen) {
            chosen = this->choose_upstream(*it, median, now);
        }
        if (chosen) {
            this->record_dispatch(*it, *chosen, now);
            ready.push_back({it->id, *chosen});
            it = this->waiting_.erase(it);
            continue;
        }
        // Without capacity for this priority there is none for less urgent ones either. With
        // capacity, a later request with a shorter prompt may still fit.
        if (!this->has_capacity(it->priority, now) && !this->has_idle_upstream(it->priority, now) &&
            !this->has_permit(now)) {
            break;
        }
        ++it;
    }
    return ready;
}

std::optional<assignment> upstream_scheduler::take_credited(double median, time_point now)
{
    constexpr unsigned most_urgent = 0;
    if (!this->has_capacity(most_urgent, now) && !this->has_idle_upstream(most_urgent, now) &&
        !this->has_permit(now)) {
        return std::nullopt;
    }
    for (auto it = this->waiting_.begin(); it != this->waiting_.end(); ++it) {
        if (it->priority == most_urgent || this->credits_[it->priority] < 1) {
            continue;
        }
        if (const auto chosen = this->choose_upstream(*it, median, now, most_urgent)) {
            this->credits_[it->priority] -= 1;
            const assignment sent{it->id, *chosen};
            this->record_dispatch(*it, *chosen, now);
            this->waiting_.erase(it);
            return sent;
        }
    }
    return std::nullopt;
}

void upstream_scheduler::record_dispatch(const scheduled_request& request, std::uint64_t upstream,
                                         time_point now)
{
    constexpr double max_credit = 3;
    auto& target = this->upstreams_[upstream];
    ++target.own_running;
    this->send_times_.push_back(now);
    while (this->send_times_.front() <= now - this->options_.send_rate_window) {
        this->send_times_.pop_front();
    }
    if (this->rate_limits_ != nullptr) {
        this->rate_limits_->on_sent(target.incarnation, now);
    }
    if (this->cold_ != nullptr) {
        this->cold_->on_sent(target.incarnation, now);
    }
    target.prefilling_tokens += request.prompt_tokens;
    std::set<unsigned> passed_over;
    for (const auto& it : this->waiting_) {
        if (it.priority > request.priority) {
            passed_over.insert(it.priority);
        }
    }
    for (const auto priority : passed_over) {
        auto& credit = this->credits_[priority];
        credit = std::min(credit + this->options_.starvation_credit, max_credit);
    }
}

std::vector<std::uint64_t> upstream_scheduler::take_expired(time_point now)
{
    this->outliers_.on_tick(now);
    const bool is_evacuated = this->is_evacuated();
    const auto rate = this->completion_rate(now);
    std::vector<std::uint64_t> expired;
    std::size_t ahead = 0;
    std::erase_if(this->waiting_, [&](const scheduled_request& it) {
        const auto limits = this->limits_for(it, now);
        const auto wait = limits ? time_to_admit(static_cast<double>(ahead) + 1 - limits->at_once,
                                                 limits->per_second)
                          : rate > 0 ? time_to_admit(static_cast<double>(ahead), rate)
                                     : duration::zero();
        const auto first = std::max(now + wait, this->first_use(it, now));
        if (first < it.wait_until && !is_evacuated) {
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

void upstream_scheduler::on_started(std::uint64_t upstream, double prompt_tokens)
{
    const auto found = this->upstreams_.find(upstream);
    if (found != this->upstreams_.end()) {
        found->second.prefilling_tokens =
            std::max(found->second.prefilling_tokens - prompt_tokens, 0.0);
    }
}

void upstream_scheduler::on_end(std::uint64_t upstream, double prefilling_tokens, time_point now)
{
    this->completion_times_.push_back(now);
    while (this->completion_times_.front() <= now - completion_rate_window) {
        this->completion_times_.pop_front();
    }
    this->on_started(upstream, prefilling_tokens);
    const auto found = this->upstreams_.find(upstream);
    if (found == this->upstreams_.end() || found->second.own_running == 0) {
        return;
    }
    if (--found->second.own_running == 0 && !found->second.listed) {
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
        it.backoff_until = now + this->options_.refusal_backoff;
    }
    if (latency) {
        const auto ms = std::chrono::duration<double, std::milli>(*latency).count();
        const bool is_recent =
            it.latency_ms > 0 && now - it.latency_measured_at < this->options_.latency_max_age;
        it.latency_ms = is_recent ? std::lerp(it.latency_ms, ms, latency_smoothing) : ms;
        it.latency_measured_at = now;
    }
}

void upstream_scheduler::on_unreachable(std::uint64_t upstream, time_point now)
{
    if (const auto found = this->upstreams_.find(upstream); found != this->upstreams_.end()) {
        found->second.backoff_until = now + this->options_.unreachable_backoff;
    }
}

bool upstream_scheduler::is_usable(std::uint64_t upstream) const
{
    const auto found = this->upstreams_.find(upstream);
    return found != this->upstreams_.end() && this->accepts_requests(found->second);
}

bool upstream_scheduler::has_alternative(const std::vector<std::uint64_t>& excluded) const
{
    return std::ranges::any_of(this->upstreams_, [this, &excluded](const auto& it) {
        return this->accepts_requests(it.second) &&
               std::ranges::find(excluded, it.first) == excluded.end();
    });
}

std::unordered_map<std::uint64_t, unsigned> upstream_scheduler::own_load() const
{
    std::unordered_map<std::uint64_t, unsigned> load;
    for (const auto& [id, it] : this->upstreams_) {
        if (it.own_running > 0) {
            load[id] = it.own_running;
        }
    }
    return load;
}

std::size_t upstream_scheduler::running() const
{
    return std::transform_reduce(this->upstreams_.begin(), this->upstreams_.end(), std::size_t{0},
                                 std::plus<>{},
                                 [](const auto& it) { return it.second.own_running; });
}

std::size_t upstream_scheduler::listed_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->upstreams_, [](const auto& it) { return it.second.listed; }));
}

double upstream_scheduler::mean_running() const
{
    const bool any_unlimited = std::ranges::any_of(this->upstreams_, [this](const auto& it) {
        return it.second.listed && !this->is_limited(it.second);
    });
    double sum = 0;
    double count = 0;
    for (const auto& [id, it] : this->upstreams_) {
        // An upstream at its rate limit, or of an incomplete group, runs few requests or none, and
        // doesn't show what the others bear.
        if (!this->is_out_of_service(it) && (!any_unlimited || !this->is_limited(it))) {
            sum += it.running();
            count += it.listed ? 1 : 0;
        }
    }
    return count == 0 ? 0 : sum / count;
}

bool upstream_scheduler::is_limited(const upstream_state& it) const
{
    return this->rate_limits_ != nullptr && this->rate_limits_->limit(it.incarnation).has_value();
}

bool upstream_scheduler::is_permitted(const upstream_state& it, time_point now) const
{
    if (this->cold_ != nullptr && !this->cold_->permits(it.incarnation, now)) {
        return false;
    }
    return !this->is_limited(it) || this->rate_limits_->permits(it.incarnation, now) > 0;
}

bool upstream_scheduler::has_permit(time_point now) const
{
    return this->rate_limits_ != nullptr && this->rate_limits_->has_limits() &&
           std::ranges::any_of(this->upstreams_, [this, now](const auto& it) {
               return this->accepts_requests(it.second) && this->is_limited(it.second) &&
                      this->is_permitted(it.second, now);
           });
}

std::optional<upstream_scheduler::limited_service>
upstream_scheduler::limits_for(const scheduled_request& request, time_point now) const
{
    if (this->rate_limits_ == nullptr || !this->rate_limits_->has_limits()) {
        return std::nullopt;
    }
    std::optional<limited_service> limits;
    for (const auto& [id, it] : this->upstreams_) {
        if (!this->accepts_requests(it) || this->outliers_.is_ejected(id) ||
            std::ranges::find(request.excluded, id) != request.excluded.end()) {
            continue;
        }
        if (!this->is_limited(it)) {
            return std::nullopt;
        }
        limits = limits.value_or(limited_service{});
        limits->per_second += this->rate_limits_->expected_rate(it.incarnation, now);
        limits->at_once += static_cast<double>(this->rate_limits_->permits(it.incarnation, now));
    }
    return limits;
}

bool upstream_scheduler::has_capacity(unsigned priority, time_point now) const
{
    return this->has_capacity(priority, this->max_mean_running_, now);
}

bool upstream_scheduler::has_idle_upstream(unsigned priority, time_point now) const
{
    const bool is_any_idle = std::ranges::any_of(this->upstreams_, [this, now](const auto& it) {
        return it.second.running() == 0 && this->accepts_requests(it.second) &&
               !this->paused_until(it.second, now) && !this->is_out_of_service(it.second);
    });
    return is_any_idle &&
           this->has_capacity(priority, std::numeric_limits<double>::infinity(), now);
}

bool upstream_scheduler::has_capacity(unsigned priority, double per_upstream, time_point now) const
{
    const auto& fractions = this->options_.capacity_fraction_by_priority;
    const auto fraction = fractions[std::min<std::size_t>(priority, fractions.size() - 1)];
    double capacity = 0;
    double running = 0;
    for (const auto& [id, it] : this->upstreams_) {
        // What a limited or pausing upstream may not take is not left to the others.
        if (this->accepts_requests(it) && !this->is_limited(it) && !this->paused_until(it, now) &&
            !this->is_out_of_service(it)) {
            capacity += std::min(per_upstream, static_cast<double>(it.entry.slots));
            running += it.running();
        }
    }
    return running < fraction * capacity;
}

bool upstream_scheduler::is_evacuated() const
{
    return this->listed_count() > 0 && std::ranges::all_of(this->upstreams_, [](const auto& it) {
               return !it.second.listed || it.second.entry.evacuated;
           });
}

bool upstream_scheduler::accepts_requests(const upstream_state& it) const
{
    return it.listed && !it.entry.draining && !it.entry.evacuated &&
           (this->notices_ == nullptr || !this->notices_->is_leaving(it.incarnation));
}

std::optional<time_point> upstream_scheduler::paused_until(const upstream_state& it,
                                                           time_point now) const
{
    return this->notices_ == nullptr ? std::nullopt
                                     : this->notices_->paused_until(it.incarnation, now);
}

time_point upstream_scheduler::first_use(const scheduled_request& request, time_point now) const
{
    std::optional<time_point> first;
    for (const auto& [id, it] : this->upstreams_) {
        if (!this->accepts_requests(it) ||
            std::ranges::find(request.excluded, id) != request.excluded.end()) {
            continue;
        }
        const auto until = this->paused_until(it, now);
        if (!until) {
            return now;
        }
        first = std::min(first.value_or(*until), *until);
    }
    return first.value_or(now);
}

duration upstream_scheduler::pause_left(time_point now) const
{
    return this->first_use({}, now) - now;
}

double upstream_scheduler::completion_rate(time_point now) const
{
    const auto recent = std::ranges::count_if(this->completion_times_, [now](time_point at) {
        return at > now - completion_rate_window;
    });
    return static_cast<double>(recent) /
           std::chrono::duration<double>(completion_rate_window).count();
}

bool upstream_scheduler::can_accept(std::uint64_t id, const upstream_state& it,
                                    const scheduled_request& request, time_point now) const
{
    const auto limit =
        std::min(static_cast<double>(it.entry.slots), std::ceil(this->max_mean_running_));
    const bool is_within_limits =
        it.running() < limit &&
        it.prefilling_tokens + request.prompt_tokens <= this->max_prefill_tokens_;
    return this->accepts_requests(it) && !this->is_out_of_service(it) && it.backoff_until <= now &&
           !this->paused_until(it, now) && this->is_permitted(it, now) &&
           (it.running() == 0 || is_within_limits) && !this->outliers_.is_ejected(id) &&
           std::ranges::find(request.excluded, id) == request.excluded.end();
}

double upstream_scheduler::median_latency(time_point now) const
{
    std::vector<double> known;
    for (const auto& [id, it] : this->upstreams_) {
        if (it.latency_ms > 0 && now - it.latency_measured_at < this->options_.latency_max_age) {
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
    const auto load =
        static_cast<double>(it.running()) + 1 + it.prefilling_tokens / prefill_tokens_per_request -
        (it.entry.data_centre == this->own_data_centre_ ? local_data_centre_bonus : 0);
    const bool known =
        it.latency_ms > 0 && now - it.latency_measured_at < this->options_.latency_max_age;
    if (!known || median <= 0 || it.latency_ms < this->options_.slow_factor * median) {
        return load;
    }
    return load * it.latency_ms / median;
}

std::optional<std::uint64_t> upstream_scheduler::choose_upstream(const scheduled_request& request,
                                                                 double median, time_point now)
{
    return this->choose_upstream(request, median, now, request.priority);
}

std::optional<std::uint64_t> upstream_scheduler::choose_upstream(const scheduled_request& request,
                                                                 double median, time_point now,
                                                                 unsigned priority)
{
    std::vector<candidate_upstream> candidates;
    const bool has_capacity = this->has_capacity(priority, now);
    const bool takes_idle = has_capacity || this->has_idle_upstream(priority, now);
    for (const auto& [id, it] : this->upstreams_) {
        // Permits are issued for single requests, so none of them is kept for urgent ones.
        const bool is_free =
            this->is_limited(it) || has_capacity || (takes_idle && it.running() == 0);
        if (!is_free || !this->can_accept(id, it, request, now)) {
            continue;
        }
        candidates.push_back({this->score(it, median, now), id});
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto weights = leveling_weights(candidates, this->unreported_requests(now));
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return candidates[pick(this->random_)].id;
}

double upstream_scheduler::unreported_requests(time_point now) const
{
    const auto sent = std::ranges::count_if(this->send_times_, [this, now](time_point at) {
        return at > now - this->options_.send_rate_window;
    });
    return static_cast<double>(sent) *
           std::chrono::duration<double>(this->reports_.total_age(now)) /
           this->options_.send_rate_window;
}

std::optional<std::uint64_t> upstream_scheduler::choose_probe(const scheduled_request& request,
                                                              time_point now)
{
    if (!request.may_probe || this->outliers_.ejected_count() == 0) {
        return std::nullopt;
    }
    for (const auto& [id, it] : this->upstreams_) {
        if (this->accepts_requests(it) && this->outliers_.is_ejected(id) &&
            this->is_permitted(it, now) && !this->paused_until(it, now) &&
            std::ranges::find(request.excluded, id) == request.excluded.end() &&
            this->outliers_.try_probe(id, now)) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace medlaryoke::policy
