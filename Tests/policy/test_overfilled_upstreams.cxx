#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "policy/upstream_scheduler.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

/// Size and load of a fleet.
struct fleet_shape {
    unsigned gateways = 60;
    unsigned upstreams = 192;
    unsigned slots = 6;
    double requests_per_second = 469;
    duration report_interval = 300ms; ///< time between two load reports of a gateway
    duration run_time = 1500ms;       ///< how long an upstream runs a request
    /// Fraction of the slots that the gateways use at most.
    double usable_fraction = 1;
};

/// Gateways that see each other's load only in reports, before upstreams that queue the requests
/// that find no free slot.
class simulated_fleet {
public:
    simulated_fleet(const fleet_shape& shape, unsigned seed) : shape_(shape), random_(seed)
    {
        std::vector<model::upstream_entry> entries;
        for (unsigned n = 0; n < shape.upstreams; ++n) {
            model::upstream_entry entry;
            entry.id = "u" + std::to_string(n);
            entry.slots = shape.slots;
            entry.data_centre = "dc-" + std::to_string(n % data_centres);
            entries.push_back(entry);
        }
        for (unsigned n = 0; n < shape.gateways; ++n) {
            this->gateways_.emplace_back(scheduler_options{}, hash64("gateway", seed + n));
            this->gateways_.back().set_upstreams(entries, "dc-" + std::to_string(n % data_centres));
            this->gateways_.back().set_limits(shape.slots * shape.usable_fraction, unlimited);
            this->reports_.emplace_back();
            this->reported_at_.push_back(this->now_);
        }
    }

    /// Runs the fleet; the first seconds fill it and are not counted.
    void run(duration warm_up, duration counted)
    {
        const auto count_from = this->now_ + warm_up;
        const auto end = count_from + counted;
        std::exponential_distribution<> pause(this->shape_.requests_per_second);
        std::uniform_int_distribution<std::size_t> any_gateway(0, this->gateways_.size() - 1);
        auto next_report = this->now_;
        std::size_t reporting = 0;
        while (this->now_ < end) {
            this->now_ += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(pause(this->random_)));
            this->end_requests();
            for (; next_report <= this->now_;
                 next_report += this->shape_.report_interval / this->shape_.gateways) {
                this->publish(reporting);
                reporting = (reporting + 1) % this->gateways_.size();
            }
            this->arrive(any_gateway(this->random_), this->now_ >= count_from);
        }
    }

    /// @return fraction of the counted requests that found no free slot at their upstream
    [[nodiscard]] double queued_fraction() const
    {
        return static_cast<double>(this->queued_) / static_cast<double>(this->sent_);
    }

    /// @return counted requests that were sent
    [[nodiscard]] std::size_t sent() const { return this->sent_; }

private:
    static constexpr unsigned data_centres = 5;
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    struct running_request {
        time_point end;
        std::size_t gateway = 0;
        std::uint64_t upstream = 0;

        bool operator>(const running_request& other) const { return this->end > other.end; }
    };

    void publish(std::size_t gateway)
    {
        for (const auto& [upstream, count] : this->reports_[gateway]) {
            this->reported_[upstream] -= count;
        }
        this->reports_[gateway] = this->gateways_[gateway].own_load();
        for (const auto& [upstream, count] : this->reports_[gateway]) {
            this->reported_[upstream] += count;
        }
        this->reported_at_[gateway] = this->now_;
    }

    /// Gives a gateway the newest reports of the others.
    void read_reports(std::size_t gateway)
    {
        auto remote = this->reported_;
        for (const auto& [upstream, count] : this->reports_[gateway]) {
            remote[upstream] -= count;
        }
        load_reports reports;
        duration age{};
        for (std::size_t n = 0; n < this->gateways_.size(); ++n) {
            if (n != gateway) {
                age += this->now_ - this->reported_at_[n];
                ++reports.gateways;
            }
        }
        reports.mean_time = this->now_ - age / static_cast<duration::rep>(reports.gateways);
        this->gateways_[gateway].set_remote_load(remote, reports);
    }

    void arrive(std::size_t gateway, bool is_counted)
    {
        this->read_reports(gateway);
        auto& scheduler = this->gateways_[gateway];
        scheduled_request request;
        request.id = ++this->last_id_;
        request.arrived = this->now_;
        request.wait_until = this->now_ + 1s;
        scheduler.push(request);
        for (const auto& it : scheduler.take_ready(this->now_)) {
            auto& occupied = this->occupied_[it.upstream];
            this->sent_ += is_counted ? 1 : 0;
            this->queued_ += is_counted && occupied >= this->shape_.slots ? 1 : 0;
            ++occupied;
            // A request that waits for a slot holds it for as long as any other.
            const auto rounds = 1 + (occupied - 1) / this->shape_.slots;
            this->running_.push(
                {this->now_ + rounds * this->shape_.run_time, gateway, it.upstream});
            scheduler.on_started(it.upstream, 0);
        }
    }

    void end_requests()
    {
        while (!this->running_.empty() && this->running_.top().end <= this->now_) {
            const auto ended = this->running_.top();
            this->running_.pop();
            --this->occupied_[ended.upstream];
            this->gateways_[ended.gateway].on_end(ended.upstream, 0, ended.end);
        }
    }

    fleet_shape shape_;
    std::mt19937 random_;
    time_point now_{100s};
    std::vector<upstream_scheduler> gateways_;
    std::vector<std::unordered_map<std::uint64_t, unsigned>> reports_;
    std::vector<time_point> reported_at_;
    std::unordered_map<std::uint64_t, unsigned> reported_; ///< sum of the reports
    std::unordered_map<std::uint64_t, unsigned> occupied_; ///< running and queued, by upstream
    std::priority_queue<running_request, std::vector<running_request>, std::greater<>> running_;
    std::uint64_t last_id_ = 0;
    std::size_t sent_ = 0;
    std::size_t queued_ = 0;
};

// The users' target: 95 of 100 requests get their first token in time.
constexpr double max_queued_fraction = 0.05;

void check_fleet(const fleet_shape& shape)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        simulated_fleet fleet(shape, seed);
        fleet.run(4s, 8s);
        cr_assert(fleet.sent() > 0.9 * 8 * shape.requests_per_second, "seed %u: %zu sent", seed,
                  fleet.sent());
        cr_assert(fleet.queued_fraction() <= max_queued_fraction, "seed %u: %f queued", seed,
                  fleet.queued_fraction());
    }
}

} // namespace

// Guards against gateways that all send to the upstreams whose reported load was the lowest: their
// requests wait there, although slots of other upstreams are free.
Test(overfilled_upstreams, sixty_gateways_do_not_fill_the_same_upstreams)
{
    check_fleet({});
}

// The same with few gateways, whose reports are frequent.
Test(overfilled_upstreams, four_gateways_do_not_fill_the_same_upstreams)
{
    check_fleet({.gateways = 4,
                 .upstreams = 16,
                 .slots = 12,
                 .requests_per_second = 75,
                 .report_interval = 145ms,
                 .run_time = 1800ms});
}

// Reports that are delayed, for instance on busy machines.
Test(overfilled_upstreams, late_reports_do_not_fill_the_same_upstreams)
{
    check_fleet({.requests_per_second = 300, .report_interval = 900ms});
}
