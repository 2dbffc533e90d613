#include "policy/rate_limit_model.h"

#include <algorithm>
#include <chrono>
#include <ranges>

#include "base/digest.h"

namespace medlaryoke::policy {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t service = 7;
constexpr auto step_length = 10ms;
constexpr auto tick_interval = 20ms;
constexpr auto answer_time = 30ms;
constexpr auto named_from = time_point{} + 3s;
constexpr auto named_until = time_point{} + 33s;
constexpr auto run_end = time_point{} + 45s;

// The users' rule.
constexpr auto stable_window = 3s;
constexpr auto rule_window = 4s;
constexpr auto told_before = 500ms;
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

constexpr double loss = 0.01; ///< share of the datagrams

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

rate_limit_model::rate_limit_model(const rate_limit_load& load)
    : load_(load), random_(load.seed), gateways_(load.gateways), upstreams_(load.upstreams)
{
    for (std::size_t n = 0; n < load.upstreams; ++n) {
        upstreams_[n].is_limited = n < load.limited;
    }
    for (std::size_t n = 0; n < load.gateways; ++n) {
        gateways_[n].name = "gateway-" + std::to_string(n);
        gateways_[n].deaf_until.resize(load.gateways);
        this->start(gateways_[n], this->random_duration(0ms, 300ms));
    }
}

rate_limit_model::~rate_limit_model() = default;

bool rate_limit_model::happens(double probability)
{
    return std::bernoulli_distribution(std::clamp(probability, 0.0, 1.0))(this->random_);
}

duration rate_limit_model::random_duration(duration least, duration most)
{
    return duration(
        std::uniform_int_distribution<duration::rep>(least.count(), most.count())(this->random_));
}

std::size_t rate_limit_model::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random_);
}

bool rate_limit_model::names_limit(std::size_t index) const
{
    return this->upstreams_[index].is_limited && this->now_ >= named_from &&
           this->now_ < named_until;
}

void rate_limit_model::start(gateway& it, duration down)
{
    it.incarnation = this->random_();
    it.number = 0;
    it.limits = std::make_unique<shared_rate_limits>(hash64(it.name), shared_rate_limit_options{},
                                                     this->random_());
    std::vector<std::uint64_t> ids(this->upstreams_.size());
    std::ranges::generate(ids, [n = std::uint64_t{0}]() mutable { return ++n; });
    it.limits->set_upstreams(service, ids);
    it.peers = peer_table{};
    it.peers.set_listed(this->load_.gateways - 1);
    it.inbox.clear();
    it.answers.clear();
    it.told_at.assign(this->upstreams_.size(), std::nullopt);
    it.starts_at = this->now_ + down;
    it.serves_at = it.starts_at + this->random_duration(200ms, 600ms);
    it.next_heartbeat = it.starts_at;
}

void rate_limit_model::inject_faults()
{
    constexpr double faults_per_second = 0.3;
    const auto probability = faults_per_second * to_seconds(step_length);
    if (this->load_.has_cuts && this->happens(probability)) {
        const auto until = this->now_ + this->random_duration(1s, 8s);
        const auto share = std::uniform_real_distribution<double>(0, 1)(this->random_);
        const auto side = static_cast<unsigned>(this->random_());
        for (auto& it : this->gateways_) {
            if (this->happens(share)) {
                it.side = side;
                it.cut_until = until;
            }
        }
    }
    if (this->load_.has_one_way && this->happens(probability)) {
        const auto until = this->now_ + this->random_duration(1s, 8s);
        const auto share = std::uniform_real_distribution<double>(0, 1)(this->random_);
        for (auto& deaf_until : this->gateways_[this->pick(this->gateways_.size())].deaf_until) {
            if (this->happens(share)) {
                deaf_until = until;
            }
        }
    }
    if (this->load_.has_freezes && this->happens(probability)) {
        auto& it = this->gateways_[this->pick(this->gateways_.size())];
        it.frozen_until = this->now_ + this->random_duration(500ms, 6s);
    }
    if (this->load_.has_restarts && this->happens(probability)) {
        const bool many = this->happens(0.2);
        for (auto& it : this->gateways_) {
            if (this->happens(many ? 0.6 : 1.0 / static_cast<double>(this->gateways_.size()))) {
                this->start(it, this->random_duration(100ms, 2s));
            }
        }
    }
    for (auto& it : this->gateways_) {
        if (it.side != 0 && it.cut_until <= this->now_) {
            it.side = 0;
        }
    }
}

void rate_limit_model::step(gateway& it)
{
    if (this->now_ < it.starts_at || this->now_ < it.frozen_until) {
        return;
    }
    this->receive(it);
    if (this->now_.time_since_epoch() % tick_interval == 0ms) {
        std::vector<limit_sharer> sharers;
        for (const auto* peer : it.peers.reachable_peers(this->now_)) {
            sharers.push_back({hash64(peer->instance), peer->serving, peer->demand});
        }
        it.limits->set_gateways(std::move(sharers), it.peers.sharing_gateways(this->now_),
                                this->now_ >= it.serves_at);
        it.limits->tick(this->now_);
    }
    if (this->now_ >= it.serves_at) {
        this->send_requests(it);
    }
    if (this->now_ >= it.next_heartbeat) {
        this->send_heartbeat(it);
        it.next_heartbeat = this->now_ + std::min<duration>(100ms + 15ms * it.peers.known(), 300ms);
    }
}

void rate_limit_model::receive(gateway& it)
{
    while (!it.inbox.empty() && it.inbox.front().due <= this->now_) {
        const auto& heartbeat = it.inbox.front().heartbeat;
        const bool is_new = it.peers.is_new(heartbeat);
        it.peers.on_heartbeat(heartbeat, this->now_);
        for (const auto& statement : heartbeat.limits) {
            it.limits->add(statement, statement_source::peer);
        }
        for (const auto& permit : heartbeat.permits) {
            if (is_new) {
                it.limits->accept(permit, this->now_);
            }
        }
        it.inbox.pop_front();
    }
    while (!it.answers.empty() && it.answers.front().due <= this->now_) {
        const auto& reply = it.answers.front();
        std::optional<double> limit;
        if (reply.is_limited) {
            limit = this->load_.limit;
            it.told_at[reply.upstream] = it.told_at[reply.upstream].value_or(this->now_);
        }
        if (it.limits->add({reply.upstream + 1, limit, this->now_}, statement_source::answer)) {
            it.next_heartbeat = std::min(it.next_heartbeat, this->now_ + 20ms);
        }
        auto& from = this->upstreams_[reply.upstream];
        if (!reply.is_limited && this->now_ > named_until + answer_time) {
            from.first_answer_without_limit = from.first_answer_without_limit.value_or(this->now_);
        }
        it.answers.pop_front();
    }
}

void rate_limit_model::send_requests(gateway& it)
{
    const auto skew = &it == this->gateways_.data() ? this->load_.skew : 1;
    const auto mean = this->load_.demand * skew * to_seconds(step_length);
    for (int n = std::poisson_distribution<int>(mean)(this->random_); n > 0; --n) {
        it.limits->on_request(service, this->now_);
        std::vector<std::size_t> permitted;
        std::vector<std::size_t> unlimited;
        for (std::size_t index = 0; index < this->upstreams_.size(); ++index) {
            if (!it.limits->limit(index + 1)) {
                unlimited.push_back(index);
            }
            else if (it.limits->permits(index + 1, this->now_) > 0) {
                permitted.push_back(index);
            }
        }
        const auto& choice = permitted.empty() ? unlimited : permitted;
        if (choice.empty()) {
            continue; // refused
        }
        const auto chosen = choice[this->pick(choice.size())];
        it.limits->on_sent(chosen + 1, this->now_);
        const auto told = it.told_at[chosen];
        this->upstreams_[chosen].arrivals.push_back(
            {this->now_, told && this->now_ - *told >= told_before});
        it.answers.push_back({this->now_ + answer_time, chosen, this->names_limit(chosen)});
    }
}

void rate_limit_model::send_heartbeat(gateway& it)
{
    it.peers.on_tick(this->now_);
    peer_heartbeat heartbeat;
    heartbeat.instance = it.name;
    heartbeat.beat_address = it.name;
    for (const auto* peer : it.peers.alive_peers(this->now_)) {
        heartbeat.live_addresses.push_back(peer->beat_address);
    }
    heartbeat.incarnation = it.incarnation;
    heartbeat.number = ++it.number;
    heartbeat.serving = this->now_ >= it.serves_at;
    heartbeat.limits = it.limits->report();
    heartbeat.demand = it.limits->demand(this->now_);
    heartbeat.permits = it.limits->take_issued();
    for (auto& other : this->gateways_) {
        const auto sender = static_cast<std::size_t>(&it - this->gateways_.data());
        const bool is_reached = &other != &it && other.side == it.side &&
                                this->now_ >= other.deaf_until[sender] &&
                                this->now_ >= other.starts_at && !this->happens(loss);
        if (is_reached) {
            const auto delay = this->random_duration(1ms, 3ms);
            other.inbox.push_back({this->now_ + delay, heartbeat});
            for (auto& statement : other.inbox.back().heartbeat.limits) {
                statement.stated_at += delay; // times are sent as ages
            }
        }
    }
}

void rate_limit_model::measure_end(rate_limit_result& result)
{
    for (std::size_t n = 0; n < this->upstreams_.size(); ++n) {
        const auto first = this->upstreams_[n].first_answer_without_limit;
        if (!this->upstreams_[n].is_limited || !first) {
            continue;
        }
        const bool is_known = std::ranges::none_of(this->gateways_, [&](const gateway& it) {
            return this->now_ >= it.starts_at && this->now_ >= it.frozen_until &&
                   it.limits->limit(n + 1).has_value();
        });
        if (!is_known) {
            result.slowest_end = std::max<duration>(result.slowest_end, this->now_ - *first);
        }
    }
}

void rate_limit_model::measure_windows(rate_limit_result& result) const
{
    const auto window = to_seconds(rule_window);
    const auto allowed = allowed_factor * this->load_.limit * window + allowed_extra;
    std::size_t arrived = 0;
    for (const auto& it : this->upstreams_) {
        if (!it.is_limited) {
            continue;
        }
        std::vector<time_point> counted;
        for (const auto& request : it.arrivals) {
            const bool is_steady =
                request.at >= named_from + stable_window && request.at < named_until;
            arrived += is_steady ? 1 : 0;
            if (is_steady && request.counts) {
                counted.push_back(request.at);
            }
        }
        for (auto first = counted.begin(); first != counted.end(); ++first) {
            const auto last = std::ranges::upper_bound(first, counted.end(), *first + rule_window);
            result.worst_window =
                std::max(result.worst_window, static_cast<double>(last - first) / allowed);
        }
    }
    const auto admitted = this->load_.limit * to_seconds(named_until - named_from - stable_window) *
                          static_cast<double>(this->load_.limited);
    result.used = admitted > 0 ? static_cast<double>(arrived) / admitted : 0;
}

rate_limit_result rate_limit_model::run()
{
    rate_limit_result result;
    for (; this->now_ < run_end; this->now_ += step_length) {
        if (this->now_ >= named_from && this->now_ < named_until) {
            this->inject_faults();
        }
        else {
            std::ranges::for_each(this->gateways_, [](gateway& it) { it.side = 0; });
        }
        for (auto& it : this->gateways_) {
            this->step(it);
        }
        this->measure_end(result);
    }
    this->measure_windows(result);
    return result;
}

} // namespace medlaryoke::policy
