#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "policy/rate_limit_table.h"
#include "policy/rate_meter.h"

namespace medlaryoke::policy {

/// Permission for a gateway to send requests to a limited upstream.
struct rate_permit {
    std::uint64_t gateway = 0;  ///< hash of the gateway's name
    std::uint64_t upstream = 0; ///< hash of the id and the start time of the upstream
    unsigned count = 0;         ///< requests that may be sent

    bool operator==(const rate_permit&) const = default;
};

/// Requests a second that a gateway receives, by hash of the service's name.
using service_demand = std::unordered_map<std::uint64_t, double>;

/// A gateway that shares the limits.
struct limit_sharer {
    std::uint64_t gateway = 0; ///< hash of its name
    bool serving = false;      ///< accepts requests; false while it starts or shuts down
    service_demand demand;
};

struct shared_rate_limit_options {
    /// Time for which a permit can be used.
    duration permit_lifetime = std::chrono::milliseconds(1000);
    /// Time after which a gateway that has become responsible for an upstream issues permits. In
    /// the meantime its predecessor may not know yet that it is no longer responsible.
    duration takeover_delay = std::chrono::milliseconds(1000);
    /// Unused allowance of an upstream that is kept, as the time in which it accrues; at least one
    /// request is kept.
    duration max_allowance = std::chrono::milliseconds(200);
    /// Requests a second to an upstream with a lower limit. Only an answer can show that a limit
    /// has ended.
    double min_rate = 0.25;
    /// Requests a second to an upstream with a higher limit, more than gateways send to one. Each
    /// is issued as a permit, so it bounds the work of a tick and the permits that are kept.
    double max_rate = 10000;
    /// Time for which a change of a limit that an answer has shown is reported to peers.
    duration report_time = std::chrono::milliseconds(2000);
    /// Time after which an upstream that is not listed any more is forgotten.
    duration unlisted_time = std::chrono::seconds(60);
};

/// Where a statement comes from.
enum class statement_source { answer, peer };

/// Divides the rate limits of upstreams among all gateways. For each limited upstream, the serving
/// gateway with the highest hash of both names is responsible: it accrues the allowance and issues
/// each request of it as a permit, to a gateway chosen at random by demand. Without a permit, no
/// gateway sends a request to a limited upstream. Gateways need not agree exactly: a new
/// responsible gateway starts late and without allowance, and a part of the gateways that may be
/// cut off from the others issues only its share. Not thread safe.
///
/// Answers the load pattern in which few upstreams take a fraction of a request a second from each
/// of many gateways.
class shared_rate_limits {
public:
    /// @param gateway hash of the name of this gateway
    /// @param options timing
    /// @param seed of the random choices
    shared_rate_limits(std::uint64_t gateway, shared_rate_limit_options options,
                       std::uint64_t seed);

    /// Takes over what an answer said, or what a peer knows.
    /// @param statement the statement; an older one than the last is ignored, and a limit above
    /// max_rate() is taken as max_rate()
    /// @param source where it comes from
    /// @return whether the limit of the upstream has changed
    bool add(rate_limit_statement statement, statement_source source);

    /// @return the highest limit that is kept, in requests a second
    [[nodiscard]] double max_rate() const { return this->options_.max_rate; }

    /// Replaces the upstreams of a service.
    /// @param service hash of its name
    /// @param upstreams hashes of their ids and start times
    void set_upstreams(std::uint64_t service, const std::vector<std::uint64_t>& upstreams);

    /// Replaces the gateways that share the limits.
    /// @param peers other gateways that can be reached
    /// @param all_count number of gateways, this one and those that cannot be reached included
    /// @param is_serving whether this gateway accepts requests
    void set_gateways(std::vector<limit_sharer> peers, std::size_t all_count, bool is_serving);

    /// Counts a request that this gateway has received.
    /// @param service hash of the service's name
    /// @param now the current time
    void on_request(std::uint64_t service, time_point now);

    /// Issues the permits that have accrued; to be called every few tens of milliseconds.
    void tick(time_point now);

    /// @return permits that were issued to peers since the last call
    [[nodiscard]] std::vector<rate_permit> take_issued();

    /// Takes over a permit that a peer has issued; ignored if it is for another gateway.
    void accept(const rate_permit& permit, time_point now);

    /// @return requests a second that an upstream takes from all gateways; empty without a limit
    [[nodiscard]] std::optional<double> limit(std::uint64_t upstream) const
    {
        return this->table_.limit(upstream);
    }

    /// @return whether any upstream has a limit
    [[nodiscard]] bool has_limits() const { return this->table_.has_limits(); }

    /// @return requests that this gateway may send to a limited upstream now
    [[nodiscard]] std::size_t permits(std::uint64_t upstream, time_point now) const;

    /// Uses a permit, if the upstream is limited.
    void on_sent(std::uint64_t upstream, time_point now);

    /// @return requests a second to a limited upstream that this gateway can expect permits for
    [[nodiscard]] double expected_rate(std::uint64_t upstream, time_point now) const;

    /// @return what the peers are to know: limits of upstreams that this gateway is responsible
    /// for, and recent changes that it has noticed or is responsible for
    [[nodiscard]] std::vector<rate_limit_statement> report() const;

    /// @return requests a second that this gateway receives for services with limited upstreams
    [[nodiscard]] service_demand demand(time_point now) const;

private:
    struct allowance {
        time_point accrues_from{};
        double requests = 0;
    };

    [[nodiscard]] bool is_responsible(std::uint64_t upstream);
    [[nodiscard]] double issued_rate(double limit) const;
    [[nodiscard]] double own_demand(std::uint64_t service, time_point now) const;
    void erase_ended(time_point now);
    void issue(std::uint64_t upstream, std::uint64_t service, time_point now);
    void add_permits(std::uint64_t upstream, unsigned count, time_point now);
    [[nodiscard]] std::uint64_t choose_receiver(std::uint64_t service, time_point now);

    std::uint64_t gateway_;
    shared_rate_limit_options options_;
    std::mt19937_64 random_;
    rate_limit_table table_;
    std::unordered_map<std::uint64_t, std::uint64_t> services_; ///< by upstream
    std::unordered_map<std::uint64_t, rate_meter> demand_;      ///< by service
    std::vector<limit_sharer> peers_;
    std::vector<std::uint64_t> serving_; ///< serving gateways, sorted
    std::size_t all_count_ = 1;
    std::unordered_map<std::uint64_t, bool>
        is_responsible_; ///< by upstream, until serving_ changes
    std::unordered_map<std::uint64_t, allowance>
        allowances_; ///< of upstreams it is responsible for
    std::unordered_map<std::uint64_t, std::deque<time_point>> permits_; ///< when they end
    std::vector<rate_permit> issued_;
    std::unordered_map<std::uint64_t, time_point> reported_until_; ///< by upstream
};

} // namespace medlaryoke::policy
