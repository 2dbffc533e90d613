#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "base/clock.h"
#include "fakes/product_program.h"
#include "Soak/gateway_child.h"
#include "Soak/soak_caller.h"
#include "Soak/soak_store.h"
#include "Soak/soak_upstream.h"

using namespace medlaryoke;
using namespace medlaryoke::soak;
using namespace std::chrono_literals;

namespace {

/// @return whether a condition holds within a time
bool holds_within(std::chrono::milliseconds limit, const std::function<bool()>& condition)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

/// Gateway processes and two upstreams before a store that can be restored from a copy.
class restored_site {
public:
    explicit restored_site(unsigned gateway_count)
        : directory(fakes::make_temporary_directory()), store(runtime),
          first(runtime, executions, "upstream-0"), second(runtime, executions, "upstream-1")
    {
        this->runtime.start();
        this->store.put_upstream(this->first, "ready");
        this->store.put_upstream(this->second, "ready");
        this->configure(1);
        for (unsigned n = 0; n < gateway_count; ++n) {
            this->gateways.push_back(
                std::make_unique<gateway_child>(directory, n, gateway_count, store.address()));
            this->gateways.back()->start();
        }
        for (const auto& gateway : this->gateways) {
            cr_assert(holds_within(10s, [&] { return is_ready(*gateway); }));
        }
        this->copied_at = std::chrono::steady_clock::now();
    }
    restored_site(const restored_site&) = delete;
    restored_site& operator=(const restored_site&) = delete;
    restored_site(restored_site&&) = delete;
    restored_site& operator=(restored_site&&) = delete;
    ~restored_site()
    {
        this->gateways.clear();
        // Timers of the store and the upstreams refer to them.
        this->runtime.stop();
        this->runtime.wait();
        std::error_code ec;
        std::filesystem::remove_all(this->directory, ec);
    }

    /// Writes a configuration with a route that only its version has.
    void configure(unsigned version)
    {
        this->store.put_configuration(
            version,
            {{"safe", "safe", 2, false}, {fmt::format("version-{}", version), "safe", 2, false}});
    }

    static bool is_ready(const gateway_child& gateway)
    {
        return get_status(gateway.readiness_address(), "/ready") == 200;
    }

    static bool has_version(const gateway_child& gateway, unsigned version)
    {
        return get_status(gateway.caller_address(), fmt::format("/version-{}/x", version)) == 200;
    }

    /// @return number of requests that reach an upstream while `count` calls are made
    static std::size_t arrivals_of(const soak_upstream& upstream, const gateway_child& gateway,
                                   unsigned count)
    {
        const auto before = upstream.arrivals().size();
        for (unsigned n = 0; n < count; ++n) {
            get_status(gateway.caller_address(), "/safe/x");
        }
        return upstream.arrivals().size() - before;
    }

    /// Restores the store from a copy that was taken when the site was ready, or later.
    void restore(std::chrono::milliseconds rewrite_after = 1500ms,
                 std::chrono::milliseconds expire_after = 3s)
    {
        this->store.restore({this->copied_at, outage, rewrite_after, expire_after});
        std::this_thread::sleep_for(outage + 100ms);
    }

    static constexpr auto outage = 300ms;

    std::string directory;
    transport::runtime runtime{1};
    soak_store store;
    execution_counter executions;
    soak_upstream first;
    soak_upstream second;
    std::vector<std::unique_ptr<gateway_child>> gateways;
    time_point copied_at{};
};

constexpr unsigned calls = 20;

} // namespace

// Guards against a confirmed change that is not in force after a restore, twice in a row, and
// against one that comes back older at a gateway that starts on the older copy.
Test(restored_process, confirmed_configurations_come_into_force)
{
    restored_site site(2);
    site.configure(2);
    for (const auto& gateway : site.gateways) {
        cr_assert(holds_within(2s, [&] { return site.has_version(*gateway, 2); }));
    }
    site.restore();
    site.gateways[0]->send_signal(SIGKILL);
    cr_assert(holds_within(5s, [&] { return site.gateways[0]->poll_exit_status().has_value(); }));
    site.gateways[0]->start();
    cr_assert(holds_within(5s, [&] { return site.is_ready(*site.gateways[0]); }));
    cr_assert(site.has_version(*site.gateways[0], 2), "it serves the copy's version");
    site.configure(3);
    for (const auto& gateway : site.gateways) {
        cr_assert(holds_within(2s, [&] { return site.has_version(*gateway, 3); }));
    }
    site.restore();
    site.configure(4);
    for (const auto& gateway : site.gateways) {
        cr_assert(holds_within(2s, [&] { return site.has_version(*gateway, 4); }));
    }
}

// Guards against requests to an upstream that has said it is leaving, when the copy lists it as
// ready.
Test(restored_process, draining_upstream_stays_without_requests)
{
    restored_site site(1);
    site.store.put_upstream(site.second, "draining");
    cr_assert(holds_within(
        2s, [&] { return site.arrivals_of(site.second, *site.gateways[0], calls) == 0; }));
    site.restore();
    for (unsigned n = 0; n < 3; ++n) {
        cr_assert(site.arrivals_of(site.second, *site.gateways[0], calls) == 0);
    }
}

// Guards against requests to an upstream that has left, while the copy still lists it.
Test(restored_process, upstream_that_left_stays_without_requests)
{
    restored_site site(1);
    site.store.remove_upstream("upstream-1");
    cr_assert(holds_within(
        2s, [&] { return site.arrivals_of(site.second, *site.gateways[0], calls) == 0; }));
    site.restore(500ms, 2s);
    for (unsigned n = 0; n < 8; ++n) {
        cr_assert(site.arrivals_of(site.second, *site.gateways[0], calls) == 0);
    }
}

// Guards against an upstream that is taken for gone until it has written itself again, when it
// registered after the copy was taken.
Test(restored_process, upstream_that_is_not_in_the_copy_stays_in_use)
{
    restored_site site(1);
    soak_upstream third(site.runtime, site.executions, "upstream-2");
    site.store.put_upstream(third, "ready");
    site.first.refuses = true;
    site.second.refuses = true;
    const auto is_served = [&site] {
        return get_status(site.gateways[0]->caller_address(), "/safe/x") == 200;
    };
    // From then on the two that refuse are ejected.
    unsigned in_series = 0;
    cr_assert(holds_within(5s, [&] {
        in_series = is_served() ? in_series + 1 : 0;
        return in_series >= calls;
    }));
    site.restore();
    const auto until = std::chrono::steady_clock::now() + 3s;
    unsigned refused = 0;
    while (std::chrono::steady_clock::now() < until) {
        refused += is_served() ? 0 : 1;
    }
    cr_assert(refused == 0, "%u calls were not served", refused);
}

// Guards against a gateway that others cannot find any more, because its address was lost with the
// records after the copy.
Test(restored_process, gateway_writes_its_address_again)
{
    restored_site site(1);
    cr_assert(!site.store.value("keyed.gateways", "gateway-0").empty());
    site.copied_at = {};
    site.store.restore({site.copied_at, site.outage, 100ms, 3s});
    cr_assert(site.store.value("keyed.gateways", "gateway-0").empty());
    cr_assert(
        holds_within(3s, [&] { return !site.store.value("keyed.gateways", "gateway-0").empty(); }));
}
