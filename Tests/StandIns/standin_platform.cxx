#include <CLI/CLI.hpp>

#include "base/duration_text.h"
#include "StandIns/platform_standin.h"
#include "StandIns/standin_http.h"

using namespace medlaryoke;

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for the platform's log service, instance list and weight store"};
    standins::platform_options options;
    std::string max_age = "24h";
    std::string instance_list_lag = "0s";
    unsigned threads = 2;
    app.add_option("--address", options.address, "IP address and port; port 0 picks a free one");
    app.add_option("--max-records", options.max_records,
                   "Largest number of records kept in a stream");
    app.add_option("--max-age", max_age, "Age at which a record is dropped");
    app.add_option("--appends-per-second", options.appends_per_second,
                   "Largest rate of appends; 0: no limit");
    app.add_option("--list-lag", instance_list_lag,
                   "Time before a changed instance list becomes visible");
    app.add_option("--weight-bytes", options.weight_bytes, "Size of the weights of one expert");
    app.add_option("--weight-bytes-per-second", options.weight_bytes_per_second,
                   "Rate of all weight transfers together; 0: no limit");
    app.add_option("--threads", threads, "Number of worker threads");
    CLI11_PARSE(app, argc, argv);
    return standins::run_program([&] {
        options.max_age = parse_duration(max_age);
        options.instance_list_lag = parse_duration(instance_list_lag);
        transport::runtime context(threads);
        const standins::platform_standin platform(context, options);
        standins::run_until_terminated(context, platform.address());
    });
}
