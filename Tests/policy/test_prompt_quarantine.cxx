#include "policy/prompt_quarantine.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

using part_list = std::vector<std::string>;

const time_point start = time_point{} + 1h;
constexpr auto stable_window = 3s; // of the users' small sites

/// A crash with one unanswered request.
upstream_crash crash_of(std::uint64_t upstream, time_point at, const part_list& parts)
{
    return {upstream, at, {{at - 50ms, parts}}};
}

/// Gateways that see the requests at random and exchange their reports, before upstreams that end
/// when they begin to answer a crashing part.
class simulated_fleet {
public:
    /// @param gateways number of gateways
    /// @param crashing_parts ids of the crashing parts
    /// @param seed of the random choices
    simulated_fleet(std::size_t gateways, part_list crashing_parts, unsigned seed)
        : members(gateways), crashing(std::move(crashing_parts)), random(seed)
    {
    }

    /// Sends a request through one gateway.
    /// @param gateway index of the gateway
    /// @param parts of the prompt
    /// @param is_answered whether a sound request is answered
    /// @return whether the request ended an upstream
    bool send(std::size_t gateway, const part_list& parts, bool is_answered)
    {
        auto& member = this->members[gateway];
        member.on_request(parts, this->now);
        const auto cause = std::ranges::find_first_of(parts, this->crashing);
        const bool is_crashing = cause != parts.end();
        const bool is_sent =
            !member.refused_until(parts, this->now) || member.try_test(parts, this->now);
        if (!is_crashing) {
            this->sound.emplace_back(this->now, is_sent);
        }
        else if (is_sent) {
            this->crashes[*cause].push_back(this->now);
            member.on_crash(crash_of(++this->last_upstream, this->now, parts), this->now);
            // A sound request of another gateway is unanswered at the same upstream.
            this->members[this->random() % this->members.size()].on_crash(
                crash_of(this->last_upstream, this->now,
                         {"m/first", "m/b" + std::to_string(this->random() % 6)}),
                this->now);
        }
        if (!is_crashing && is_sent && is_answered) {
            member.on_answered(parts, this->now);
        }
        return is_crashing && is_sent;
    }

    /// Lets a heartbeat interval pass; reports are lost at random, and between the sides of a cut.
    void exchange(double loss, std::size_t cut_off)
    {
        this->now += 100ms;
        std::bernoulli_distribution lost(loss);
        for (std::size_t from = 0; from < this->members.size(); ++from) {
            (void)this->members[from].decide(this->now);
            const auto report = this->members[from].report(this->now);
            for (std::size_t to = 0; report && to < this->members.size(); ++to) {
                const bool is_cut = (from < cut_off) != (to < cut_off);
                if (to != from && !is_cut && !lost(this->random)) {
                    (void)this->members[to].merge(*report, this->now);
                }
            }
        }
    }

    void restart(std::size_t gateway)
    {
        this->members[gateway] = prompt_quarantine{};
        for (auto& member : this->members) {
            member.report_again(this->now); // the peers hear a new incarnation
        }
    }

    /// @return time of the fifth crash by a part, or of the last one if there are fewer
    [[nodiscard]] time_point fifth_crash(const std::string& part) const
    {
        constexpr std::size_t bound = 5;
        const auto found = this->crashes.find(part);
        return found == this->crashes.end()
                   ? start
                   : found->second[std::min(found->second.size(), bound) - 1];
    }

    /// @return requests with the part that were sent later than the stable window after that
    [[nodiscard]] std::size_t late_requests(const std::string& part) const
    {
        const auto found = this->crashes.find(part);
        return found == this->crashes.end()
                   ? 0
                   : static_cast<std::size_t>(
                         std::ranges::count_if(found->second, [&](time_point at) {
                             return at > this->fifth_crash(part) + stable_window;
                         }));
    }

    /// @return share of the sound requests that were sent, from two stable windows after that on
    [[nodiscard]] double served_share() const
    {
        time_point begin = start;
        for (const auto& part : this->crashing) {
            begin = std::max(begin, this->fifth_crash(part));
        }
        double sent = 0;
        double all = 0;
        for (const auto& [at, is_sent] : this->sound) {
            all += at > begin + 2 * stable_window ? 1 : 0;
            sent += at > begin + 2 * stable_window && is_sent ? 1 : 0;
        }
        return all == 0 ? 1 : sent / all;
    }

    std::vector<prompt_quarantine> members;
    part_list crashing;
    std::mt19937 random;
    time_point now = start;
    std::uint64_t last_upstream = 0;
    std::map<std::string, std::vector<time_point>> crashes; ///< by part
    std::vector<std::pair<time_point, bool>> sound;         ///< whether each request was sent
};

/// Plays a minute of a fleet whose upstreams are a group: after each crash it is down for 3 s.
simulated_fleet play_group(std::size_t gateways, unsigned parts, unsigned seed, double loss,
                           std::size_t cut_off, bool restarts)
{
    constexpr unsigned steps = 600;
    constexpr unsigned cut_steps = 150;
    constexpr unsigned requests_per_step = 8;
    part_list crashing;
    for (unsigned n = 0; n < parts; ++n) {
        crashing.push_back("m/bad" + std::to_string(n));
    }
    simulated_fleet fleet(gateways, crashing, seed);
    time_point open_at = start;
    for (unsigned step = 0; step < steps; ++step) {
        if (restarts && step % 37 == 36) {
            fleet.restart(fleet.random() % gateways);
        }
        // Requests wait while the group is down, so one that ends it comes soon after it opens.
        // Half of the sound ones beside it have begun, and their upstreams survive.
        for (unsigned n = 0; n < requests_per_step && fleet.now >= open_at; ++n) {
            part_list request{"m/first", "m/b" + std::to_string(fleet.random() % 6)};
            if (fleet.random() % requests_per_step == 0) {
                request.insert(request.begin() + 1, crashing[fleet.random() % parts]);
            }
            if (fleet.send(fleet.random() % gateways, request, fleet.random() % 2 == 0)) {
                open_at = fleet.now + 3s;
            }
        }
        fleet.exchange(loss, step < cut_steps ? cut_off : 0);
    }
    return fleet;
}

} // namespace

// Guards against a part that is refused after a single crash, and one that is not after two.
Test(prompt_quarantine, two_separate_crashes_without_an_answer_quarantine_a_part)
{
    prompt_quarantine it;
    it.on_request({"m/a", "m/bad"}, start);
    it.on_crash(crash_of(1, start, {"m/a", "m/bad"}), start);
    cr_assert(it.decide(start + 10s).empty());
    it.on_answered({"m/a"}, start + 11s);
    it.on_crash(crash_of(2, start + 12s, {"m/a", "m/bad"}), start + 12s);
    cr_assert(it.decide(start + 13s).empty(), "decided before the peers have reported");
    const auto decided = it.decide(start + 14s);
    cr_assert(decided.size() == 1 && decided[0].part == "m/bad");
    cr_assert(it.refused_until({"m/c", "m/bad"}, start + 14s).has_value());
    cr_assert(!it.refused_until({"m/a", "m/c"}, start + 14s).has_value());
}

// Guards against parts that are refused because a whole rack of upstreams failed at once.
Test(prompt_quarantine, upstreams_that_fail_together_count_as_one_crash)
{
    prompt_quarantine it;
    for (std::uint64_t upstream = 1; upstream <= 16; ++upstream) {
        const auto at = start + std::chrono::milliseconds(upstream);
        it.on_crash({upstream, at, {{start - 100ms, {"m/a", "m/b"}}}}, at);
    }
    cr_assert(it.decide(start + 10s).empty());
}

// Guards against a sound part that is refused because it was at each crash by chance or together
// with the crashing parts: any answer clears it, also one that only a peer has seen.
Test(prompt_quarantine, answers_seen_by_peers_clear_a_part)
{
    prompt_quarantine one;
    prompt_quarantine other;
    one.on_crash(crash_of(1, start, {"m/first", "m/bad0"}), start);
    (void)other.merge(*one.report(start), start);
    other.on_answered({"m/first"}, start + 1s);
    one.on_crash(crash_of(2, start + 4s, {"m/first", "m/bad1"}), start + 4s);
    (void)one.merge(*other.report(start + 4s), start + 4s);
    cr_assert(one.decide(start + 7s).empty());
}

// Guards against a wrong quarantine that stays because no request of the part can show it.
Test(prompt_quarantine, a_quarantine_of_many_requests_is_tested_once_and_lifted_by_an_answer)
{
    prompt_quarantine it;
    cr_assert(it.adopt({"m/first", start, start + 10min}, start));
    unsigned tests = 0;
    for (unsigned n = 0; n < 100; ++n) {
        const auto now = start + std::chrono::milliseconds(100) * n;
        it.on_request({"m/first", "m/b"}, now);
        tests += it.try_test({"m/first", "m/b"}, now) ? 1 : 0;
    }
    cr_assert(tests == 1);
    it.on_answered({"m/first", "m/b"}, start + 11s);
    cr_assert(!it.refused_until({"m/first"}, start + 11s).has_value());
    cr_assert(it.take_lifted() == part_list{"m/first"} && it.take_lifted().empty());
    cr_assert(!it.adopt({"m/first", start, start + 10min}, start + 12s), "known to be wrong");
}

// Guards against a cause that stays unknown because a sound part was blamed for its crashes first.
Test(prompt_quarantine, crashes_of_a_lifted_part_are_decided_again)
{
    prompt_quarantine it;
    for (unsigned n = 0; n < 20; ++n) {
        it.on_request({"m/bad"}, start); // more than of the other part
    }
    it.on_crash(crash_of(1, start, {"m/b", "m/bad"}), start);
    it.on_crash(crash_of(2, start + 4s, {"m/b", "m/bad"}), start + 4s);
    const auto wrong = it.decide(start + 7s);
    cr_assert(wrong.size() == 1 && wrong[0].part == "m/b");
    it.on_answered({"m/b"}, start + 8s);
    const auto decided = it.decide(start + 8s);
    cr_assert(decided.size() == 1 && decided[0].part == "m/bad");
}

// Guards against a quarantine that ends for good: one more crash renews it, for twice the time.
Test(prompt_quarantine, a_part_that_crashes_again_is_quarantined_for_longer)
{
    prompt_quarantine it;
    cr_assert(it.adopt({"m/bad", start, start + 10min}, start));
    const auto later = start + 10min + 1s;
    cr_assert(!it.refused_until({"m/bad"}, later).has_value());
    it.on_crash(crash_of(1, later, {"m/bad"}), later);
    const auto decided = it.decide(later + 5s);
    cr_assert(decided.size() == 1 && decided[0].until >= later + 20min);
}

// Guards against memory that grows with the parts that callers invent.
Test(prompt_quarantine, bounds_what_it_remembers)
{
    quarantine_options options;
    options.max_parts = 100;
    prompt_quarantine it(options);
    for (unsigned n = 0; n < 10'000; ++n) {
        const auto name = "m/" + std::to_string(n);
        const auto now = start + std::chrono::milliseconds(n);
        it.on_request({name}, now);
        it.on_crash(crash_of(n, now, {name}), now);
        (void)it.decide(now);
    }
    const auto report = it.report(start + 10s);
    cr_assert(report.has_value() && report->crashes.size() <= options.max_crashes);
}

// Replays the load of the incident: a group of upstreams that each crash stops, and requests with
// crashing parts that come in at any gateway. Guards against gateways that do not learn of each
// other's crashes, with lost reports, a cut through the fleet, restarts, and several such parts at
// once; and against sound requests that are refused with them.
Test(prompt_quarantine, a_fleet_learns_which_parts_end_upstreams)
{
    // As the users' rules have it.
    constexpr std::size_t max_later_requests = 3;
    constexpr double min_served_share = 0.5;
    for (const std::size_t gateways : {std::size_t{4}, std::size_t{60}}) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            const unsigned parts = 1 + seed % 3;
            const bool restarts = seed % 2 == 0;
            const auto cut_off = seed % 4 == 0 ? gateways / 2 : 0;
            const auto fleet = play_group(gateways, parts, seed, 0.1, cut_off, restarts);
            for (const auto& part : fleet.crashing) {
                cr_expect(fleet.late_requests(part) <= max_later_requests,
                          "%zu gateways, seed %u: %zu requests with %s sent late", gateways, seed,
                          fleet.late_requests(part), part.c_str());
            }
            cr_expect(fleet.served_share() >= min_served_share, "%zu gateways, seed %u: %f served",
                      gateways, seed, fleet.served_share());
        }
    }
}
