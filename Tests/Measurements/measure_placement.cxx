// Compares expert placement policies under drifting popularity: never rebalance, repack from
// scratch at each interval, and follow rebalance_decision.

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "policy/rebalance_decision.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

struct options {
    unsigned seed = 1;
    unsigned ranks = 32;
    unsigned experts = 128;
    unsigned slots_per_rank = 5;
    unsigned layers = 8;
    double hours = 8;
    double interval_seconds = 30;
    double spread = 0.8;              // standard deviation of the logarithm of popularity
    double time_constant_hours = 3.3; // of the decay of popularity towards the mean
    // Expert selections in one layer of one group: 2.1 M tokens/s over 312 groups of 32 ranks, with
    // 8 experts a token, are about 54,000.
    double selections_per_second = 50'000;
    improvement_limits limits;

    [[nodiscard]] unsigned intervals() const
    {
        return static_cast<unsigned>(this->hours * 3600 / this->interval_seconds);
    }
};

/// Popularity of the experts of one layer: the logarithm follows a mean-reverting random walk.
class drifting_popularity {
public:
    drifting_popularity(const options& settings, std::mt19937_64& random)
        : settings_(settings), random_(random), logarithms_(settings.experts)
    {
        std::normal_distribution<double> normal(0, settings.spread);
        std::ranges::generate(this->logarithms_, [&] { return normal(random); });
    }

    void step()
    {
        const auto decay = std::exp(-this->settings_.interval_seconds /
                                    (this->settings_.time_constant_hours * 3600));
        std::normal_distribution<double> normal(0, this->settings_.spread *
                                                       std::sqrt(1 - decay * decay));
        std::ranges::for_each(this->logarithms_,
                              [&](double& it) { it = decay * it + normal(this->random_.get()); });
    }

    [[nodiscard]] std::vector<double> loads() const
    {
        std::vector<double> result(this->logarithms_.size());
        std::ranges::transform(this->logarithms_, result.begin(),
                               [](double it) { return std::exp(it); });
        return result;
    }

    /// @return token counts by expert for one interval, as a group would report them
    [[nodiscard]] std::vector<double> sample() const
    {
        auto result = this->loads();
        const auto total = std::accumulate(result.begin(), result.end(), 0.0);
        const auto count = this->settings_.selections_per_second * this->settings_.interval_seconds;
        std::ranges::for_each(result, [&](double& it) {
            it = std::poisson_distribution<int>(it / total * count)(this->random_.get());
        });
        return result;
    }

private:
    options settings_;
    std::reference_wrapper<std::mt19937_64> random_;
    std::vector<double> logarithms_;
};

/// Results of one placement policy.
struct outcome {
    std::string name;
    std::vector<layer_placement> layers;
    double skew_sum = 0;
    double worst_skew = 0;
    unsigned samples = 0;
    unsigned loaded_experts = 0;
    unsigned switches = 0;
};

void switch_to_layers(outcome& it, const std::vector<layer_placement>& layers)
{
    unsigned loaded = 0;
    for (std::size_t n = 0; n < layers.size(); ++n) {
        loaded += expert_placement::experts_to_load(it.layers[n], layers[n]);
    }
    it.loaded_experts += loaded;
    it.switches += loaded > 0 ? 1 : 0;
    it.layers = layers;
}

void add_skew(outcome& it, std::size_t layer, const std::vector<double>& loads)
{
    const auto skew = expert_placement::skew(it.layers[layer], loads);
    it.skew_sum += skew;
    it.worst_skew = std::max(it.worst_skew, skew);
    ++it.samples;
}

std::vector<outcome> run(const options& settings)
{
    std::mt19937_64 random(settings.seed);
    const placement_shape shape{settings.ranks, settings.experts, settings.slots_per_rank};
    std::vector<drifting_popularity> popularity;
    std::vector<std::vector<double>> samples;
    std::vector<layer_placement> initial;
    for (unsigned n = 0; n < settings.layers; ++n) {
        popularity.emplace_back(settings, random);
        samples.push_back(popularity.back().sample());
        initial.push_back(expert_placement::repack(shape, samples.back()));
    }
    const auto interval_length = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(settings.interval_seconds));
    std::vector<outcome> outcomes{{.name = "never", .layers = initial},
                                  {.name = "repack", .layers = initial},
                                  {.name = "rebalance_decision", .layers = initial}};
    rebalance_decision decision({.expert_time_fraction = 0.5,
                                 .bytes_per_expert = 40e6,
                                 .store_bytes_per_second = 2e9,
                                 .loading_slowdown_fraction = 0.02,
                                 .switch_pause = 30ms},
                                settings.limits);
    decision.observe(samples, interval_length);
    for (unsigned interval = 0; interval < settings.intervals(); ++interval) {
        for (unsigned n = 0; n < settings.layers; ++n) {
            popularity[n].step();
            const auto loads = popularity[n].loads();
            std::ranges::for_each(outcomes, [&](outcome& it) { add_skew(it, n, loads); });
            samples[n] = popularity[n].sample();
        }
        std::vector<layer_placement> repacked;
        std::ranges::transform(samples, std::back_inserter(repacked), [&](const auto& loads) {
            return expert_placement::repack(shape, loads);
        });
        switch_to_layers(outcomes[1], repacked);
        decision.observe(samples, interval_length);
        const auto result = decision.decide(outcomes[2].layers);
        if (const auto* change = std::get_if<rebalance_map>(&result)) {
            switch_to_layers(outcomes[2], change->layers);
        }
    }
    return outcomes;
}

} // namespace

int main(int argc, char** argv)
{
    options settings;
    CLI::App app{"Step-time skew and loaded experts under drifting expert popularity"};
    app.add_option("--seed", settings.seed)->capture_default_str();
    app.add_option("--ranks", settings.ranks)->capture_default_str();
    app.add_option("--experts", settings.experts)->capture_default_str();
    app.add_option("--slots-per-rank", settings.slots_per_rank)->capture_default_str();
    app.add_option("--layers", settings.layers)->capture_default_str();
    app.add_option("--hours", settings.hours)->capture_default_str();
    app.add_option("--interval-seconds", settings.interval_seconds)->capture_default_str();
    app.add_option("--spread", settings.spread)->capture_default_str();
    app.add_option("--time-constant-hours", settings.time_constant_hours)->capture_default_str();
    app.add_option("--selections-per-second", settings.selections_per_second)
        ->capture_default_str();
    app.add_option("--target-skew", settings.limits.target_skew)->capture_default_str();
    app.add_option("--min-gain", settings.limits.min_gain_per_expert)->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    const auto outcomes = run(settings);
    fmt::print("{:<20} {:>10} {:>10} {:>15} {:>10} {:>14}\n", "policy", "mean skew", "worst",
               "loaded experts", "switches", "of repacking");
    for (const auto& it : outcomes) {
        fmt::print("{:<20} {:>10.3f} {:>10.3f} {:>15} {:>10} {:>13.1f}%\n", it.name,
                   it.skew_sum / it.samples, it.worst_skew, it.loaded_experts, it.switches,
                   100.0 * it.loaded_experts / std::max(outcomes[1].loaded_experts, 1U));
    }
    return 0;
}
