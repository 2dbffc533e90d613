#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "commands/command_runner.h"
#include "controllers/config_feed.h"
#include "controllers/resource_api.h"
#include "StandIns/platform_standin.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/log_client.h"
#include "transport/runtime.h"

using namespace std::chrono_literals;
using namespace medlaryoke;
using tests::run_command;

namespace {

/// The configuration of one entry behind a real listener, over the stand-in of the log.
class config_entry {
public:
    config_entry()
        : platform(context, {}), log(context, platform.address(), 500ms), feed(log, store, timer()),
          writer(log, store, clock, timer()),
          api(
              store, writer, [this] { return this->confirmed.load(); }, clock, timer()),
          server(std::make_unique<transport::http_server>(
              context, transport::http_server_options{.address = "127.0.0.1:0"},
              [this](const auto& request, const auto& response) {
                  this->api.handle(request, response);
              }))
    {
        this->feed.start();
        this->store.subscribe([this](const auto& view) {
            if (this->confirms) {
                this->confirmed = view->offset;
            }
        });
        this->context.start();
    }
    config_entry(const config_entry&) = delete;
    config_entry& operator=(const config_entry&) = delete;
    config_entry(config_entry&&) = delete;
    config_entry& operator=(config_entry&&) = delete;

    ~config_entry() { this->context.stop(); }

    transport::runtime context{2};
    standins::platform_standin platform;
    system_clock_source clock;
    transport::log_client log;
    controllers::config_store store;
    controllers::config_feed feed;
    controllers::config_writer writer;
    std::atomic<bool> confirms = true;
    std::atomic<std::uint64_t> confirmed = 0;
    controllers::resource_api api;
    std::unique_ptr<transport::http_server> server;

private:
    controllers::delayed_call timer()
    {
        return [this](duration delay, std::function<void()> fn) {
            this->context.after(delay, std::move(fn));
        };
    }
};

/// A file that goes away with the object.
class scratch_file {
public:
    explicit scratch_file(const std::string& text)
    {
        std::string name = "/tmp/medlaryoke-test-XXXXXX";
        close(mkstemp(name.data()));
        this->path = name;
        std::ofstream(name) << text;
    }
    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;
    scratch_file(scratch_file&&) = delete;
    scratch_file& operator=(scratch_file&&) = delete;
    ~scratch_file() { std::remove(this->path.c_str()); }

    std::string path;
};

const std::string group_text = "kind: model_group\nname: g\nspec:\n  model: m\n  ranks: 2\n";

} // namespace

// Guards against commands whose output or exit code changes unnoticed: a whole session of an
// operator against a listener and a log.
Test(config_commands, session_of_an_operator)
{
    config_entry entry;
    const auto address = entry.server->address();
    const scratch_file group(group_text);
    const auto applied = run_command(
        {"apply", "--entry", address, "--author", "anna", "--wait-in-force", group.path});
    cr_assert(applied.code == 0, "%s", applied.err.c_str());
    cr_assert(applied.out.starts_with("version 1 accepted: 1 of 1 resources changed\n"
                                      "version 1 is in force after "));
    const auto again = run_command({"apply", "--entry", address, group.path});
    cr_assert(again.code == 0 && again.out == "1 resources are already as wanted\n");
    const auto shown = run_command({"get", "--entry", address, "model_group", "g"});
    cr_assert(shown.code == 0);
    cr_assert(shown.out ==
                  "# version 1 by anna\nkind: model_group\nname: g\nspec:\n  model: \"m\"\n"
                  "  ranks: 2\n  experts_per_layer: 0\n  layers: 0\n",
              "%s", shown.out.c_str());
    const scratch_file copy(shown.out);
    cr_assert(run_command({"apply", "--entry", address, copy.path}).out == again.out);
    const auto all = run_command({"get", "--entry", address, "model_group", "--json"});
    cr_assert(all.code == 0 && all.out.find("\"offset\": 1") != std::string::npos);
    const auto missing = run_command({"get", "--entry", address, "priority", "x"});
    cr_assert(missing.code == 1 && missing.out.empty());
    cr_assert(missing.err.find("priority \"x\" does not exist") != std::string::npos);
    cr_assert(run_command({"get", "--entry", address, "colour"}).code == 2);
    cr_assert(run_command({"get", "--entry", "localhost:1", "priority"}).code == 1);
}

// Guards against a change that is reported as in force while an instance has not confirmed it.
Test(config_commands, apply_says_when_a_change_is_not_in_force)
{
    config_entry entry;
    entry.confirms = false;
    const scratch_file group(group_text);
    const auto result = run_command({"apply", "--entry", entry.server->address(), "--wait-in-force",
                                     "--timeout", "300ms", group.path});
    cr_assert(result.code == 1);
    cr_assert(result.out == "version 1 accepted: 1 of 1 resources changed\n");
    cr_assert(result.err.find("waiting for version 1: in force everywhere up to 0") !=
              std::string::npos);
    cr_assert(result.err.find("not in force everywhere after 300ms") != std::string::npos);
}

// Guards against a lost answer of the log that the operator sees as a failure or as two changes.
Test(config_commands, apply_survives_a_lost_answer_of_the_log)
{
    config_entry entry;
    transport::http_client control(entry.context, entry.platform.address());
    std::atomic<bool> set = false;
    control.fetch({"PUT", "/control/faults", {}, R"({"lose_append_answers":1})"}, {},
                  [&set](const auto&) { set = true; });
    while (!set) {
        std::this_thread::sleep_for(1ms);
    }
    const scratch_file group(group_text);
    const auto result =
        run_command({"apply", "--entry", entry.server->address(), "--wait-in-force", group.path});
    cr_assert(result.code == 0, "%s", result.err.c_str());
    cr_assert(entry.store.view()->offset == 1 && entry.store.view()->model_groups.size() == 1);
}

// Guards against a watch that shows nothing, or ends without saying where to go on.
Test(config_commands, watch_follows_changes)
{
    config_entry entry;
    const scratch_file group(group_text);
    run_command({"apply", "--entry", entry.server->address(), "--author", "anna", group.path});
    const auto address = entry.server->address();
    std::thread stop([&entry] {
        while (entry.server->open_connections() < 1) {
            std::this_thread::sleep_for(1ms);
        }
        std::this_thread::sleep_for(300ms);
        entry.server.reset();
    });
    const auto result = run_command({"watch", "--entry", address});
    stop.join();
    cr_assert(result.code == 1);
    cr_assert(result.out.starts_with("1 change {\"author\":\"anna\",\"kind\":\"model_group\""),
              "%s", result.out.c_str());
}

// Guards against an empty or binary file that passes as a configuration of nothing.
Test(config_commands, check_refuses_files_without_content)
{
    for (const auto& content : {std::string(), std::string("# only a comment\n"),
                                std::string("\0\x01\x7f"
                                            "ELF",
                                            6)}) {
        const scratch_file file(content);
        const auto result = run_command({"check", file.path});
        cr_assert(result.code == 1, "%s", result.out.c_str());
        cr_assert(result.err.find(file.path) != std::string::npos, "%s", result.err.c_str());
    }
}

// Guards against settings of the platform that fail only when a process starts.
Test(config_commands, check_reads_settings_of_the_platform)
{
    const std::string good =
        R"({"nodeName":"e","zone":"z","ip":"10.0.0.1","listen":{"front":"10.0.0.1:1",
            "readiness":"10.0.0.1:2"},"internalPortRange":[7000,7001],
            "platform":{"address":"10.0.0.9:1"}})";
    const scratch_file valid(good);
    cr_assert(run_command({"check", valid.path}).code == 0);
    const scratch_file broken(R"({"nodeName":"e","zone":"z"})");
    const auto result = run_command({"check", broken.path});
    cr_assert(result.code == 1 && result.err.find("listen") != std::string::npos, "%s",
              result.err.c_str());
}

// Guards against a check that passes over a mistake or hides its place.
Test(config_commands, check_names_each_problem)
{
    const std::string samples = MEDLARYOKE_SOURCE_DIR "/Utilities/samples/";
    const auto good =
        run_command({"check", samples + "oslo/resources.yaml", samples + "oslo/entry-1.yaml",
                     samples + "oslo/agent-engine-01.yaml"});
    cr_assert(good.code == 0, "%s", good.err.c_str());
    const scratch_file bad(group_text + "---\nkind: upstream\nname: e\nspec: {type: engine, "
                                        "serves: h, agent: '127.0.0.1:1', data_centre: d}\n");
    const auto result = run_command({"check", bad.path});
    cr_assert(result.code == 1);
    cr_assert(result.err.find(bad.path + ":7: upstream \"e\": serves \"h\"") != std::string::npos,
              "%s", result.err.c_str());
    cr_assert(run_command({"check"}).code == 2);
    cr_assert(run_command({"check", "/no/such/file"}).code == 1);
}
