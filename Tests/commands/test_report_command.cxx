#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "commands/command_runner.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

using namespace medlaryoke;
using tests::command_result;

namespace {

const std::string data_directory = MEDLARYOKE_SOURCE_DIR "/Tests/commands/";

command_result run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "report");
    return tests::run_command(std::move(arguments));
}

std::string read(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Compares the report in the given format with its golden file. Rewrites the golden file first if
/// MEDLARYOKE_UPDATE_GOLDEN is set.
void check_golden(const std::string& format)
{
    const auto path = data_directory + "report." + format + ".golden";
    const auto result = run({"--samples", data_directory + "samples.json", "--format", format});
    cr_assert(result.code == 0, "%s", result.err.c_str());
    if (std::getenv("MEDLARYOKE_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << result.out;
    }
    cr_assert(result.out == read(path), "%s:\n%s", path.c_str(), result.out.c_str());
}

/// Path of a file in a temporary directory that the destructor removes.
class temporary_path {
public:
    temporary_path()
    {
        std::string name = "/tmp/medlaryoke-test-XXXXXX";
        this->directory_ = mkdtemp(name.data());
        this->path = this->directory_ + "/samples";
    }
    temporary_path(const temporary_path&) = delete;
    temporary_path& operator=(const temporary_path&) = delete;
    temporary_path(temporary_path&&) = delete;
    temporary_path& operator=(temporary_path&&) = delete;
    ~temporary_path() { std::filesystem::remove_all(this->directory_); }

    std::string path;

private:
    std::string directory_;
};

/// Checks that a damaged sample file is rejected, both as input and as the file to save to, and
/// that it is not overwritten.
void check_rejected(const std::string& text, const std::string& problem, const std::string& remedy)
{
    const temporary_path file;
    std::ofstream(file.path) << text;
    for (const auto& arguments :
         {std::vector<std::string>{"--samples", file.path},
          std::vector<std::string>{"--samples", data_directory + "samples.json", "--save",
                                   file.path}}) {
        const auto result = run(arguments);
        cr_assert(result.code == 1 && result.out.empty());
        cr_assert(result.err.find(problem) != std::string::npos, "%s", result.err.c_str());
        cr_assert(result.err.find(remedy) != std::string::npos, "%s", result.err.c_str());
        cr_assert(read(file.path) == text);
    }
}

} // namespace

// Guards against unnoticed changes of the output, and against names that break the HTML page.
Test(report_command, matches_the_golden_files)
{
    check_golden("text");
    check_golden("json");
    check_golden("html");
}

// Guards against accepting a part of a damaged sample file, and against --save overwriting a file
// that cannot be read.
Test(report_command, rejects_and_keeps_unreadable_files)
{
    const auto text = read(data_directory + "samples.json");
    check_rejected(text.substr(0, text.size() / 2), "parse error", "truncated");
    check_rejected("", "parse error", "truncated");
    check_rejected(R"({"format": "medlaryoke-samples", "version": 2})", "version 2",
                   "release that wrote it");
    auto changed = text;
    check_rejected(changed.replace(text.find("1000,"), 4, "1001"), "total: 1001", "damaged");
    changed = text;
    check_rejected(changed.replace(text.find("995"), 3, "-95"), "within_target: -95", "damaged");
    check_rejected("[1]", "not a sample file", "report --save");
}

// Guards against failing to parse the replies of an entry, against saving samples that differ from
// those received, and against omitting an unreachable entry without a note.
Test(report_command, saves_samples_of_an_entry)
{
    transport::runtime runtime(1);
    transport::http_server server(
        runtime, {.address = "127.0.0.1:0"}, [](const auto& request, const auto& response) {
            const std::string body =
                request.target == "/v1/samples"
                    ? R"({"instance": "e", "incarnation": "0c", "time_unix_ms": 1700000700000,
                          "samples": [{"priority": "urgent", "organisation": "o", "target": "g",
                          "total": 1, "within_target": 1, "missed": {"queueing": 0, "upstream": 0,
                          "refusal": 0, "unknown": 0}, "cancelled": 0}]})"
                    : R"({"resources": [{"name": "urgent", "spec": {"attainment": 0.9}}]})";
            response->respond({{200, {}}, body});
        });
    runtime.start();
    const temporary_path file;
    const auto saved =
        run({"--entry", server.address(), "--samples", data_directory + "samples.json", "--save",
             file.path, "--format", "json"});
    cr_assert(saved.code == 0, "%s", saved.err.c_str());
    cr_assert(saved.out.find("\"snapshots\": 3") != std::string::npos);
    cr_assert(run({"--samples", file.path, "--format", "json"}).out == saved.out);
    const auto partial = run({"--entry", server.address(), "127.0.0.1:1", "--save", file.path});
    cr_assert(partial.code == 1 && partial.err.find("1 of 2 entries") != std::string::npos);
    cr_assert(partial.out.find("note: 127.0.0.1:1 did not answer") != std::string::npos);
    runtime.stop();
    const auto none = run({"--entry", "127.0.0.1:1"});
    cr_assert(none.code == 1 && none.out.empty());
}
