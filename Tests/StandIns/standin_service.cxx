#include <CLI/CLI.hpp>

#include "base/duration_text.h"
#include "StandIns/service_standin.h"
#include "StandIns/standin_http.h"

using namespace medlaryoke;

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for a service other than a model engine"};
    standins::service_options options;
    std::string delay = "0s";
    std::string load_lag = "0s";
    unsigned threads = 2;
    app.add_option("--address", options.address, "IP address and port; port 0 picks a free one");
    app.add_option("--delay", delay, "Time that one call takes");
    app.add_option("--slots", options.slots, "Largest number of calls that run at once");
    app.add_option("--load-lag", load_lag, "Age of the reported load");
    app.add_option("--threads", threads, "Number of worker threads");
    CLI11_PARSE(app, argc, argv);
    return standins::run_program([&] {
        options.delay = parse_duration(delay);
        options.load_lag = parse_duration(load_lag);
        transport::runtime context(threads);
        const standins::service_standin service(context, options);
        standins::run_until_terminated(context, service.address());
    });
}
