#include "policy/attempt_budget.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "policy/peer_table.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

// Guards against gateways that each use the whole budget: in any window, all gateways together must
// stay within the limit that the operator set.
Test(attempt_budget, gateways_together_stay_within_the_limit)
{
    constexpr std::size_t gateways = 4;
    const attempt_budget_options options{0.2, 94, 10s};
    std::vector<attempt_budget> budgets(gateways);
    for (auto& it : budgets) {
        it.configure(options, gateways);
    }
    std::mt19937 random(7);
    std::vector<time_point> requests;
    std::vector<time_point> taken;
    for (int ms = 0; ms < 60'000; ms += 5) {
        const time_point now{std::chrono::milliseconds(ms)};
        auto& budget = budgets[random() % gateways];
        if (ms % 20'000 < 10'000) {
            budget.on_request(now);
            requests.push_back(now);
        }
        if (budget.try_take(now)) {
            taken.push_back(now);
        }
    }
    for (const auto end : taken) {
        const auto in_window = [end](time_point at) { return at > end - 10s && at <= end; };
        const auto used = std::ranges::count_if(taken, in_window);
        const auto arrived = std::ranges::count_if(requests, in_window);
        cr_assert(static_cast<double>(used) <= 0.2 * static_cast<double>(arrived) + 94);
    }
    cr_assert(taken.size() > 300); // the budget is used at all
}

// Guards against groups of gateways that each use the whole budget while they lose each other.
Test(attempt_budget, gateways_that_lose_each_other_stay_within_the_limit)
{
    constexpr std::size_t gateways = 4;
    constexpr std::size_t half = gateways / 2;
    const attempt_budget_options options{0.2, 94, 10s};
    std::vector<attempt_budget> budgets(gateways);
    std::vector<peer_table> tables(gateways);
    std::vector<time_point> taken;
    for (int ms = 0; ms < 25'000; ms += 100) {
        const time_point now{std::chrono::milliseconds(ms)};
        const bool is_cut = ms >= 3'000;
        for (std::size_t n = 0; n < gateways; ++n) {
            tables[n].on_tick(now);
            for (std::size_t from = 0; from < gateways; ++from) {
                if (from != n && (!is_cut || from / half == n / half)) {
                    peer_heartbeat heartbeat;
                    heartbeat.instance = std::to_string(from);
                    heartbeat.number = static_cast<std::uint64_t>(ms) + 1;
                    tables[n].on_heartbeat(heartbeat, now);
                }
            }
            budgets[n].configure(options, tables[n].sharing_gateways(now));
            if (ms >= 5'000 && budgets[n].try_take(now)) {
                taken.push_back(now);
            }
        }
    }
    for (const auto end : taken) {
        const auto used = std::ranges::count_if(
            taken, [end](time_point at) { return at > end - 10s && at <= end; });
        cr_assert(used <= 94, "%td", used);
    }
}
