#include <CLI/CLI.hpp>

#include "base/duration_text.h"
#include "StandIns/engine_standin.h"
#include "StandIns/standin_http.h"

using namespace medlaryoke;

namespace {

/// Adds an option whose value is a duration with a unit, such as `10ms`.
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
    CLI::App app{"Stand-in for a model engine"};
    standins::engine_options options;
    unsigned threads = 2;
    bool ignores_fences = false;
    app.add_option("--address", options.address, "IP address and port; port 0 picks a free one");
    app.add_option("--slots", options.slots, "Largest number of requests in the batch");
    app.add_option("--max-queue", options.max_queued_requests,
                   "Largest number of waiting requests; further ones get status 429");
    add_duration(app, "--step-time", options.step_time, "Base duration of a step");
    add_duration(app, "--step-time-per-request", options.step_time_per_request,
                 "Time that each request in the batch adds to a step");
    add_duration(app, "--prefill-time-per-token", options.prefill_time_per_token,
                 "Time that each uncached prompt token adds to a step");
    app.add_option("--prefill-tokens-per-step", options.prefill_tokens_per_step,
                   "Largest number of prompt tokens handled in a step");
    app.add_option("--cache-blocks", options.cache_blocks,
                   "Prefix cache capacity in blocks of 64 characters");
    app.add_option("--default-tokens", options.default_answer_tokens,
                   "Tokens in the answer to a request without max_tokens");
    add_duration(app, "--load-lag", options.load_lag, "Age of the reported load");
    add_duration(app, "--cache-event-lag", options.cache_event_lag,
                 "Time before a cache event becomes visible");
    app.add_option("--cache-event-loss", options.cache_event_loss_fraction,
                   "Fraction of cache events that are lost");
    app.add_flag("--ignores-fences", ignores_fences, "Accept orders with any fence");
    app.add_option("--seed", options.seed, "Seed that decides which cache events are lost");
    app.add_option("--threads", threads, "Number of worker threads");
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
