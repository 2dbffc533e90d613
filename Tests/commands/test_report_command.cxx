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

const std::string folder = MEDLARYOKE_SOURCE_DIR "/Tests/commands/";

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

/// Compares with the golden file, or writes it if MEDLARYOKE_UPDATE_GOLDEN is set.
void check_golden(const std::string& format)
{
    const auto path = folder + "report." + format + ".golden";
    const auto result = run({"--samples", folder + "samples.json", "--format", format});
    cr_assert(result.code == 0, "%s", result.err.c_str());
    if (std::getenv("MEDLARYOKE_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << result.out;
    }
    cr_assert(result.out == read(path), "%s:\n%s", path.c_str(), result.out.c_str());
}

/// Name of a file in a folder of its own, which goes away with the object.
class scratch_path {
public:
    scratch_path()
    {
        std::string name = "/tmp/medlaryoke-test-XXXXXX";
        this->folder_ = mkdtemp(name.data());
        this->path = this->folder_ + "/samples";
    }
    scratch_path(const scratch_path&) = delete;
    scratch_path& operator=(const scratch_path&) = delete;
    scratch_path(scratch_path&&) = delete;
    scratch_path& operator=(scratch_path&&) = delete;
    ~scratch_path() { std::filesystem::remove_all(this->folder_); }

    std::string path;

private:
    std::string folder_;
};

void check_refused(const std::string& text, const std::string& problem, const std::string& remedy)
{
    const scratch_path file;
    std::ofstream(file.path) << text;
    for (const auto& arguments :
         {std::vector<std::string>{"--samples", file.path},
          std::vector<std::string>{"--samples", folder + "samples.json", "--save", file.path}}) {
        const auto result = run(arguments);
        cr_assert(result.code == 1 && result.out.empty());
        cr_assert(result.err.find(problem) != std::string::npos, "%s", result.err.c_str());
        cr_assert(result.err.find(remedy) != std::string::npos, "%s", result.err.c_str());
        cr_assert(read(file.path) == text);
    }
}

} // namespace

// Guards against changes of the output that nobody noticed, and against names that break the page.
Test(report_command, matches_the_golden_files)
{
    check_golden("text");
    check_golden("json");
    check_golden("html");
}

// Guards against a sample file that is read in part, and against one that cannot be read being
// overwritten by --save.
Test(report_command, refuses_and_keeps_files_it_cannot_read)
{
    const auto text = read(folder + "samples.json");
    check_refused(text.substr(0, text.size() / 2), "parse error", "truncated");
    check_refused("", "parse error", "truncated");
    check_refused(R"({"format": "medlaryoke-samples", "version": 2})", "version 2",
                  "release that wrote it");
    auto changed = text;
    check_refused(changed.replace(text.find("1000,"), 4, "1001"), "total: 1001", "damaged");
    changed = text;
    check_refused(changed.replace(text.find("995"), 3, "-95"), "within_target: -95", "damaged");
    check_refused("[1]", "not a sample file", "report --save");
}

// Guards against replies of an entry that the report does not understand, against saved
// samples that differ from those read, and against an entry that is left out unsaid.
Test(report_command, saves_what_an_entry_reports)
{
    transport::runtime context(1);
    transport::http_server server(
        context, {.address = "127.0.0.1:0"}, [](const auto& request, const auto& response) {
            const std::string body =
                request.target == "/v1/samples"
                    ? R"({"instance": "e", "incarnation": "0c", "time_unix_ms": 1700000700000,
                          "samples": [{"priority": "urgent", "organisation": "o", "target": "g",
                          "total": 1, "within_target": 1, "missed": {"queueing": 0, "upstream": 0,
                          "refusal": 0, "unknown": 0}, "cancelled": 0}]})"
                    : R"({"resources": [{"name": "urgent", "spec": {"attainment": 0.9}}]})";
            response->respond({{200, {}}, body});
        });
    context.start();
    const scratch_path file;
    const auto saved = run({"--entry", server.address(), "--samples", folder + "samples.json",
                            "--save", file.path, "--format", "json"});
    cr_assert(saved.code == 0, "%s", saved.err.c_str());
    cr_assert(saved.out.find("\"snapshots\": 3") != std::string::npos);
    cr_assert(run({"--samples", file.path, "--format", "json"}).out == saved.out);
    const auto partial = run({"--entry", server.address(), "127.0.0.1:1", "--save", file.path});
    cr_assert(partial.code == 1 && partial.err.find("1 of 2 entries") != std::string::npos);
    cr_assert(partial.out.find("note: 127.0.0.1:1 did not answer") != std::string::npos);
    context.stop();
    const auto none = run({"--entry", "127.0.0.1:1"});
    cr_assert(none.code == 1 && none.out.empty());
}
