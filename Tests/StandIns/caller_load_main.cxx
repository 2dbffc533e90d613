#include <fstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/duration_text.h"
#include "base/error.h"
#include "StandIns/caller_load.h"
#include "StandIns/standin_http.h"

using namespace medlaryoke;

namespace {

std::vector<standins::workload_class> read_workload(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw error(error_kind::not_found, fmt::format("cannot open the workload file {}", path),
                    "Check the path and the permissions of the file.");
    }
    return standins::parse_workload(nlohmann::json::parse(file));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for the callers: sends load, checks answers, prints a JSON summary"};
    standins::caller_load_options options;
    standins::workload_class chat;
    std::vector<std::string> direct;
    std::string workload;
    std::string run_time = "10s";
    std::string warm_up = "0s";
    std::string drain_time = "60s";
    std::string timeout = "60s";
    unsigned threads = 2;
    app.add_option("--entries", options.addresses,
                   "Addresses of entries, which are asked for the current entries")
        ->delimiter(',');
    app.add_option("--direct", direct,
                   "Addresses of engines or services that get the requests directly")
        ->delimiter(',');
    app.add_option("--workload", workload,
                   "JSON file with the classes of the workload; replaces the options of requests");
    app.add_option("--rate", chat.rate, "New chat requests per second");
    app.add_option("--concurrency", chat.concurrency, "Number of chat requests open at once");
    app.add_option("--credential", chat.credential, "Credential of the caller");
    app.add_option("--priority", chat.priority, "Priority of the requests");
    app.add_option("--model", chat.model, "Model that the requests name");
    app.add_option("--max-tokens", chat.max_tokens, "Length of the answers in tokens");
    app.add_option("--prompt-characters", chat.prompt_characters,
                   "Length of the prompts in characters");
    app.add_option("--timeout", timeout, "Timeout of a request");
    app.add_option("--run-time", run_time, "How long new requests are sent");
    app.add_option("--warm-up", warm_up, "Time at the start whose requests are not counted");
    app.add_option("--drain-time", drain_time, "Longest wait for open requests after the run time");
    app.add_option("--seed", options.seed, "Seed of texts, keys, arrival times and addresses");
    app.add_option("--threads", threads, "Number of worker threads");
    CLI11_PARSE(app, argc, argv);
    return standins::run_program([&] {
        options.direct = !direct.empty();
        options.addresses.insert(options.addresses.end(), direct.begin(), direct.end());
        if (options.addresses.empty()) {
            throw error(error_kind::invalid_argument, "neither --entries nor --direct is given",
                        "Give at least one address with --entries or --direct.");
        }
        chat.timeout = parse_duration(timeout);
        if (chat.rate <= 0 && chat.concurrency == 0) {
            chat.concurrency = 1;
        }
        options.classes = workload.empty() ? std::vector{chat} : read_workload(workload);
        options.run_time = parse_duration(run_time);
        options.warm_up = parse_duration(warm_up);
        options.drain_time = parse_duration(drain_time);
        transport::runtime context(threads);
        standins::caller_load load(context, options);
        load.start([&context](const nlohmann::json& summary) {
            fmt::print("{}\n", summary.dump(2));
            context.stop();
        });
        context.start();
        context.wait();
    });
}
