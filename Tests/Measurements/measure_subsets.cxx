// Measures how evenly subsets spread load over upstreams, how many connections a membership change
// opens, and the traffic of the heartbeats on all connections.

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "base/digest.h"
#include "Measurements/simulated_event_loop.h"
#include "model/wire_frame.h"
#include "policy/subset_assignment.h"

using namespace medlaryoke;
using namespace medlaryoke::measurements;
using policy::subset_member;

namespace {

struct run_options {
    std::size_t entries = 420;
    std::size_t upstreams = 1'300;
    std::size_t data_centres = 6;
    std::size_t models = 8;
    unsigned subset_size = 24;
    unsigned min_subset_size = 1;
    double slack = policy::subset_options().slack;
    double heartbeat_interval = 0.5; ///< seconds
    std::uint64_t seed = 1;
};

using members = std::vector<subset_member>;
using connection_set =
    std::set<std::pair<std::string, std::string>>; ///< names of entry and upstream
using scheme = std::function<connection_set(const members& entries, const members& upstreams)>;

struct fleet {
    members entries;
    std::vector<members> upstreams; ///< by model
};

fleet make_fleet(const run_options& options)
{
    std::mt19937_64 random(options.seed);
    fleet it;
    const auto make = [&](const char* prefix, std::size_t i) {
        return subset_member{fmt::format("{}-{:016x}", prefix, random()),
                             fmt::format("dc{}", i % options.data_centres)};
    };
    for (std::size_t i = 0; i < options.entries; ++i) {
        it.entries.push_back(make("entry", i));
    }
    it.upstreams.resize(options.models);
    for (std::size_t i = 0; i < options.upstreams; ++i) {
        it.upstreams[i / options.data_centres % options.models].push_back(make("upstream", i));
    }
    return it;
}

members in_data_centre(const members& all, const std::string& centre)
{
    members matching;
    std::ranges::copy_if(all, std::back_inserter(matching),
                         [&](const auto& it) { return it.data_centre == centre; });
    std::ranges::sort(matching, {}, &subset_member::name);
    return matching;
}

connection_set full_mesh(const members& entries, const members& upstreams)
{
    connection_set all;
    for (const auto& e : entries) {
        for (const auto& u : upstreams) {
            all.emplace(e.name, u.name);
        }
    }
    return all;
}

/// Each entry takes the upstreams of its data centre that rendezvous hashing ranks first.
connection_set random_subsets(const members& entries, const members& upstreams, unsigned size)
{
    connection_set all;
    for (const auto& e : entries) {
        auto own = in_data_centre(upstreams, e.data_centre);
        std::ranges::sort(
            own, {}, [seed = hash64(e.name)](const auto& it) { return hash64(it.name, seed); });
        for (std::size_t i = 0; i < std::min<std::size_t>(size, own.size()); ++i) {
            all.emplace(e.name, own[i].name);
        }
    }
    return all;
}

/// The entries of a data centre take consecutive ranges of its sorted upstreams, with wrap-around.
connection_set ring_subsets(const members& entries, const members& upstreams, unsigned size)
{
    connection_set all;
    std::map<std::string, std::size_t> next;
    auto sorted = entries;
    std::ranges::sort(sorted, {}, &subset_member::name);
    for (const auto& e : sorted) {
        const auto own = in_data_centre(upstreams, e.data_centre);
        auto& at = next[e.data_centre];
        for (std::size_t i = 0; i < std::min<std::size_t>(size, own.size()); ++i) {
            all.emplace(e.name, own[at++ % own.size()].name);
        }
    }
    return all;
}

connection_set product_subsets(const members& entries, const members& upstreams,
                               const run_options& options)
{
    connection_set all;
    const policy::subset_assignment assignment(entries, upstreams,
                                               {.subset_size = options.subset_size,
                                                .min_subset_size = options.min_subset_size,
                                                .slack = options.slack});
    for (const auto& e : entries) {
        for (const auto& u : assignment.upstreams_of(e.name)) {
            all.emplace(e.name, u);
        }
    }
    return all;
}

/// @return load of the most and of the least loaded upstream of a model relative to the mean, if
/// all entries have the same load and spread it evenly over their connections
std::pair<double, double> balance(const fleet& it, std::size_t model, const connection_set& all)
{
    std::map<std::string, double> degree;
    for (const auto& [e, u] : all) {
        ++degree[e];
    }
    std::map<std::string, double> load;
    for (const auto& [e, u] : all) {
        load[u] += 1 / degree[e];
    }
    double most = 0;
    double least = 1e9;
    const auto mean =
        static_cast<double>(it.entries.size()) / static_cast<double>(it.upstreams[model].size());
    for (const auto& u : it.upstreams[model]) {
        most = std::max(most, load[u.name] / mean);
        least = std::min(least, load[u.name] / mean);
    }
    return {most, least};
}

std::size_t count_added(const connection_set& before, const connection_set& after)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        after, [&](const auto& connection) { return !before.contains(connection); }));
}

/// Connections opened after a membership change, relative to the number that any scheme has to
/// open.
struct connection_churn {
    double upstream_lost = 0;
    double upstream_added = 0;
    double entry_lost = 0; ///< number of connections; no scheme has to open any
};

connection_churn measure_churn(const fleet& it, const scheme& make, std::uint64_t seed)
{
    constexpr int trials = 10;
    std::mt19937_64 random(seed);
    const auto& upstreams = it.upstreams[0];
    const auto before = make(it.entries, upstreams);
    connection_churn sum;
    for (int i = 0; i < trials; ++i) {
        auto fewer = upstreams;
        const auto lost = fewer.begin() + static_cast<std::ptrdiff_t>(random() % fewer.size());
        const auto degree = static_cast<double>(std::ranges::count_if(
            before, [&](const auto& connection) { return connection.second == lost->name; }));
        fewer.erase(lost);
        const auto without = make(it.entries, fewer);
        sum.upstream_lost += static_cast<double>(count_added(before, without)) / degree / trials;
        sum.upstream_added += static_cast<double>(count_added(without, before)) / degree / trials;
        auto entries = it.entries;
        entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(random() % entries.size()));
        sum.entry_lost +=
            static_cast<double>(count_added(before, make(entries, upstreams))) / trials;
    }
    return sum;
}

/// @return bytes of a heartbeat with a load report in one frame on the wire, without TCP and IP
std::size_t heartbeat_bytes()
{
    wire::frame frame;
    auto& heartbeat = *frame.mutable_heartbeat();
    heartbeat.set_sent_at_us(86'400'000'000);
    heartbeat.set_config_offset(1'000'000);
    heartbeat.set_confirmed_offset(1'000'000);
    auto& load = *heartbeat.mutable_load();
    load.set_running(20);
    load.set_queued(2);
    load.set_limit(32);
    load.set_latency_us(120'000);
    load.set_upstream_up(true);
    load.set_received_dispatches(100'000);
    constexpr std::size_t frame_header = 2;
    return encode_frame(frame).size() + frame_header;
}

void print_scheme(const std::string& name, const fleet& it, const scheme& make,
                  const run_options& options)
{
    double most = 0;
    double least = 1e9;
    std::map<std::string, std::size_t> of_entry;
    std::map<std::string, std::size_t> of_upstream;
    for (std::size_t model = 0; model < it.upstreams.size(); ++model) {
        const auto all = make(it.entries, it.upstreams[model]);
        const auto [high, low] = balance(it, model, all);
        most = std::max(most, high);
        least = std::min(least, low);
        for (const auto& [e, u] : all) {
            ++of_entry[e];
            ++of_upstream[u];
        }
    }
    std::size_t entry = 0;
    std::size_t upstream = 0;
    for (const auto& [key, n] : of_entry) {
        entry = std::max(entry, n);
    }
    for (const auto& [key, n] : of_upstream) {
        upstream = std::max(upstream, n);
    }
    const auto churn = measure_churn(it, make, options.seed);
    // Heartbeats are sent in both directions.
    const auto rate = 2 * static_cast<double>(heartbeat_bytes()) / options.heartbeat_interval / 1e3;
    fmt::print("| {} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {:.1f} | {} | {} | {:.1f} | {:.1f} |\n",
               name, most, least, churn.upstream_lost, churn.upstream_added, churn.entry_lost,
               entry, upstream, rate * static_cast<double>(entry),
               rate * static_cast<double>(upstream));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Balance, connection churn and control traffic of subsets");
    run_options options;
    bool smoke = false;
    app.add_option("--seed", options.seed, "seed of the names and of the changes");
    app.add_option("--entries", options.entries, "number of entries");
    app.add_option("--upstreams", options.upstreams, "number of upstreams of all models together");
    app.add_option("--data-centres", options.data_centres, "number of data centres");
    app.add_option("--models", options.models, "number of models");
    app.add_option("--subset-size", options.subset_size, "upstreams of each model for an entry");
    app.add_option("--min-subset-size", options.min_subset_size,
                   "minimum, filled up from other data centres");
    app.add_option("--slack", options.slack,
                   "capacity of an upstream beyond its even share, as a fraction");
    app.add_option("--heartbeat-interval", options.heartbeat_interval, "interval in seconds");
    app.add_flag("--smoke", smoke, "short run with a small fleet");
    CLI11_PARSE(app, argc, argv);
    if (smoke) {
        options.entries = 12;
        options.upstreams = 48;
    }
    const auto it = make_fleet(options);
    fmt::print("a heartbeat takes {} bytes\n\n| scheme | most load | least | lost upstream moves | "
               "added moves | lost entry moves | links of an entry | of an upstream | KB/s of an "
               "entry | of an upstream |\n|---|---|---|---|---|---|---|---|---|---|\n",
               heartbeat_bytes());
    const auto size = options.subset_size;
    print_scheme("full mesh", it, full_mesh, options);
    print_scheme(
        "random", it, [&](const auto& e, const auto& u) { return random_subsets(e, u, size); },
        options);
    print_scheme(
        "ring", it, [&](const auto& e, const auto& u) { return ring_subsets(e, u, size); },
        options);
    print_scheme(
        "subset_assignment", it,
        [&](const auto& e, const auto& u) { return product_subsets(e, u, options); }, options);
    return 0;
}
