#include <CLI/CLI.hpp>

#include "base/duration_text.h"
#include "StandIns/engine_standin.h"
#include "StandIns/standin_http.h"

using namespace medlaryoke;

namespace {

/// Adds an option that is written as a duration, such as `10ms`.
void add_duration(CLI::App& app, const std::string& name, duration& target,
                  const std::string& description)
{
    app.add_option_function<std::string>(
           name, [&target](const std::string& text) { target = parse_duration(text); }, description)
        ->default_str(format_duration(target));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in of a model engine"};
    standins::engine_options options;
    unsigned threads = 2;
    bool ignores_fences = false;
    app.add_option("--address", options.address, "IP address and port; port 0 picks a free one");
    app.add_option("--slots", options.slots, "Requests in a batch");
    app.add_option("--max-queue", options.max_queue, "Waiting requests; further ones get 429");
    add_duration(app, "--step-time", options.step_time, "Length of a step with an empty batch");
    add_duration(app, "--step-time-per-request", options.step_time_per_request,
                 "What each request adds to a step");
    add_duration(app, "--prefill-time-per-token", options.prefill_time_per_token,
                 "What each uncached token of a prompt adds to a step");
    app.add_option("--prefill-tokens-per-step", options.prefill_tokens_per_step,
                   "Tokens of prompts handled in one step");
    app.add_option("--cache-blocks", options.cache_blocks, "Blocks of 64 characters in the cache");
    app.add_option("--default-tokens", options.default_tokens, "Answer without max_tokens");
    add_duration(app, "--load-lag", options.load_lag, "Age of the load that is reported");
    add_duration(app, "--cache-event-lag", options.cache_event_lag, "Age of new cache events");
    app.add_option("--cache-event-loss", options.cache_event_loss, "Fraction of lost events");
    app.add_flag("--ignores-fences", ignores_fences, "Obey orders whatever their fence");
    app.add_option("--seed", options.seed, "Seed of the lost events");
    app.add_option("--threads", threads, "Worker threads");
    return standins::run_program([&] {
        try {
            app.parse(argc, argv);
        }
        catch (const CLI::ParseError& e) {
            std::exit(app.exit(e));
        }
        options.checks_fences = !ignores_fences;
        transport::runtime context(threads);
        const standins::engine_standin engine(context, options);
        standins::run_until_terminated(context, engine.address());
    });
}
