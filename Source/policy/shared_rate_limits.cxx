#include "policy/shared_rate_limits.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "base/digest.h"

namespace medlaryoke::policy {

namespace {

// Bounds what a corrupt datagram can make this gateway keep.
constexpr unsigned max_accepted_permits = 100;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::uint64_t hash_pair(std::uint64_t gateway, std::uint64_t upstream)
{
    const std::array<std::uint64_t, 2> pair = {gateway, upstream};
    return hash64({reinterpret_cast<const char*>(pair.data()), sizeof(pair)}); // NOLINT
}

double demand_of(const service_demand& demand, std::uint64_t service)
{
    const auto found = demand.find(service);
    return found == demand.end() ? 0 : found->second;
}

} // namespace

shared_rate_limits::shared_rate_limits(std::uint64_t gateway, shared_rate_limit_options options,
                                       std::uint64_t seed)
    : gateway_(gateway), options_(options), random_(seed), serving_{gateway}
{
}

bool shared_rate_limits::add(rate_limit_statement statement, statement_source source)
{
    const auto upstream = statement.upstream;
    if (statement.per_second) {
        statement.per_second = std::min(*statement.per_second, this->options_.max_rate);
    }
    // The times of peers are inexact, so a statement that says nothing new isn't taken over.
    if (source == statement_source::peer && this->table_.limit(upstream) == statement.per_second) {
        return false;
    }
    const bool has_changed = this->table_.add(statement);
    // The responsible gateway repeats what a peer reports, in case datagrams of that peer are lost.
    if (has_changed && (source == statement_source::answer || this->is_responsible(upstream))) {
        this->reported_until_[upstream] = statement.stated_at + this->options_.report_time;
    }
    if (!this->table_.limit(upstream)) {
        this->permits_.erase(upstream);
        this->allowances_.erase(upstream);
    }
    return has_changed;
}

void shared_rate_limits::set_upstreams(std::uint64_t service,
                                       const std::vector<std::uint64_t>& upstreams)
{
    std::erase_if(this->services_, [service](const auto& it) { return it.second == service; });
    for (const auto upstream : upstreams) {
        this->services_[upstream] = service;
    }
}

void shared_rate_limits::set_gateways(std::vector<limit_sharer> peers, std::size_t all_count,
                                      bool is_serving)
{
    this->peers_ = std::move(peers);
    this->all_count_ = all_count;
    std::vector<std::uint64_t> serving;
    for (const auto& peer : this->peers_) {
        if (peer.serving) {
            serving.push_back(peer.gateway);
        }
    }
    if (is_serving || serving.empty()) {
        serving.push_back(this->gateway_);
    }
    std::ranges::sort(serving);
    if (serving != this->serving_) {
        this->serving_ = std::move(serving);
        this->is_responsible_.clear();
    }
}

void shared_rate_limits::on_request(std::uint64_t service, time_point now)
{
    this->demand_[service].add(now);
}

void shared_rate_limits::tick(time_point now)
{
    for (const auto& [upstream, statement] : this->table_.statements()) {
        const auto service = this->services_.find(upstream);
        if (!statement.per_second || service == this->services_.end() ||
            !this->is_responsible(upstream)) {
            this->allowances_.erase(upstream);
            continue;
        }
        const auto [found, is_new] = this->allowances_.try_emplace(upstream);
        auto& it = found->second;
        if (is_new) {
            it.accrues_from = now + this->options_.takeover_delay;
        }
        if (now <= it.accrues_from) {
            continue;
        }
        const auto rate = this->issued_rate(*statement.per_second);
        const auto most = std::max(1.0, rate * to_seconds(this->options_.max_allowance));
        it.requests = std::min(it.requests + rate * to_seconds(now - it.accrues_from), most);
        it.accrues_from = now;
        for (; it.requests >= 1; it.requests -= 1) {
            this->issue(upstream, service->second, now);
        }
    }
    this->erase_ended(now);
}

void shared_rate_limits::erase_ended(time_point now)
{
    for (auto it = this->reported_until_.begin(); it != this->reported_until_.end();) {
        it = it->second <= now ? this->reported_until_.erase(it) : std::next(it);
    }
    std::vector<std::uint64_t> ended;
    for (const auto& [upstream, statement] : this->table_.statements()) {
        if (!this->services_.contains(upstream) &&
            now - statement.stated_at > this->options_.unlisted_time) {
            ended.push_back(upstream);
        }
    }
    for (const auto upstream : ended) {
        this->table_.erase(upstream);
        this->permits_.erase(upstream);
        this->is_responsible_.erase(upstream);
    }
}

bool shared_rate_limits::is_responsible(std::uint64_t upstream)
{
    const auto [found, is_new] = this->is_responsible_.try_emplace(upstream);
    if (is_new) {
        found->second = std::ranges::max(this->serving_, {}, [upstream](std::uint64_t gateway) {
                            return hash_pair(gateway, upstream);
                        }) == this->gateway_;
    }
    return found->second;
}

double shared_rate_limits::issued_rate(double limit) const
{
    const auto reached = static_cast<double>(this->peers_.size() + 1);
    const auto all = std::max(static_cast<double>(this->all_count_), reached);
    // Half of the gateways or fewer may be cut off from the others, which issue permits too.
    const bool may_be_cut_off = 2 * reached <= all;
    return std::max(limit, this->options_.min_rate) * (may_be_cut_off ? reached / all : 1);
}

void shared_rate_limits::issue(std::uint64_t upstream, std::uint64_t service, time_point now)
{
    const auto receiver = this->choose_receiver(service, now);
    if (receiver == this->gateway_) {
        this->add_permits(upstream, 1, now);
        return;
    }
    const auto same = std::ranges::find_if(this->issued_, [&](const rate_permit& it) {
        return it.gateway == receiver && it.upstream == upstream;
    });
    if (same != this->issued_.end()) {
        ++same->count;
    }
    else {
        this->issued_.push_back({receiver, upstream, 1});
    }
}

std::uint64_t shared_rate_limits::choose_receiver(std::uint64_t service, time_point now)
{
    const auto own = this->own_demand(service, now);
    double total = own;
    for (const auto& peer : this->peers_) {
        total += demand_of(peer.demand, service);
    }
    if (total <= 0) {
        return this->gateway_;
    }
    auto left = std::uniform_real_distribution<double>(0, total)(this->random_) - own;
    for (const auto& peer : this->peers_) {
        if (left < 0) {
            break;
        }
        left -= demand_of(peer.demand, service);
        if (left < 0) {
            return peer.gateway;
        }
    }
    return this->gateway_;
}

std::vector<rate_permit> shared_rate_limits::take_issued()
{
    return std::exchange(this->issued_, {});
}

void shared_rate_limits::accept(const rate_permit& permit, time_point now)
{
    if (permit.gateway != this->gateway_ || !this->limit(permit.upstream)) {
        return;
    }
    this->add_permits(permit.upstream, std::min(permit.count, max_accepted_permits), now);
}

void shared_rate_limits::add_permits(std::uint64_t upstream, unsigned count, time_point now)
{
    auto& permits = this->permits_[upstream];
    permits.erase(permits.begin(), std::ranges::upper_bound(permits, now));
    permits.insert(permits.end(), count, now + this->options_.permit_lifetime);
}

std::size_t shared_rate_limits::permits(std::uint64_t upstream, time_point now) const
{
    const auto found = this->permits_.find(upstream);
    if (found == this->permits_.end()) {
        return 0;
    }
    const auto first_valid = std::ranges::upper_bound(found->second, now);
    return static_cast<std::size_t>(found->second.end() - first_valid);
}

void shared_rate_limits::on_sent(std::uint64_t upstream, time_point now)
{
    const auto found = this->permits_.find(upstream);
    if (found == this->permits_.end()) {
        return;
    }
    auto& permits = found->second;
    permits.erase(permits.begin(), std::ranges::upper_bound(permits, now));
    if (!permits.empty()) {
        permits.pop_front();
    }
}

double shared_rate_limits::expected_rate(std::uint64_t upstream, time_point now) const
{
    const auto limit = this->limit(upstream);
    const auto service = this->services_.find(upstream);
    if (!limit || service == this->services_.end()) {
        return 0;
    }
    const auto own = this->own_demand(service->second, now);
    double total = own;
    for (const auto& peer : this->peers_) {
        total += demand_of(peer.demand, service->second);
    }
    return total > 0 ? this->issued_rate(*limit) * own / total : 0;
}

std::vector<rate_limit_statement> shared_rate_limits::report() const
{
    std::vector<rate_limit_statement> report;
    for (const auto& [upstream, statement] : this->table_.statements()) {
        const bool is_responsible = statement.per_second && this->allowances_.contains(upstream);
        if (is_responsible || this->reported_until_.contains(upstream)) {
            report.push_back(statement);
        }
    }
    return report;
}

service_demand shared_rate_limits::demand(time_point now) const
{
    service_demand demand;
    for (const auto& [upstream, statement] : this->table_.statements()) {
        const auto service = this->services_.find(upstream);
        if (statement.per_second && service != this->services_.end()) {
            demand[service->second] = this->own_demand(service->second, now);
        }
    }
    return demand;
}

double shared_rate_limits::own_demand(std::uint64_t service, time_point now) const
{
    const auto found = this->demand_.find(service);
    return found == this->demand_.end() ? 0 : found->second.per_second(now);
}

} // namespace medlaryoke::policy
