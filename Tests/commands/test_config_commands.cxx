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

/// Serves the resource API of an entry on a real listener. The log is provided by the stand-in of
/// the platform.
class entry_fixture {
public:
    entry_fixture()
        : platform(runtime, {}), log(runtime, platform.address(), 500ms), feed(log, store, timer()),
          writer(log, store, clock, timer()),
          api(
              store, writer, [this] { return this->confirmed_offset.load(); }, clock, timer()),
          server(std::make_unique<transport::http_server>(
              runtime, transport::http_server_options{.address = "127.0.0.1:0"},
              [this](const auto& request, const auto& response) {
                  this->api.handle(request, response);
              }))
    {
        this->feed.start();
        this->store.subscribe([this](const auto& view) {
            if (this->confirms_changes) {
                this->confirmed_offset = view->offset;
            }
        });
        this->runtime.start();
    }
    entry_fixture(const entry_fixture&) = delete;
    entry_fixture& operator=(const entry_fixture&) = delete;
    entry_fixture(entry_fixture&&) = delete;
    entry_fixture& operator=(entry_fixture&&) = delete;

    ~entry_fixture() { this->runtime.stop(); }

    transport::runtime runtime{2};
    standins::platform_standin platform;
    system_clock_source clock;
    transport::log_client log;
    controllers::config_store store;
    controllers::config_feed feed;
    controllers::config_writer writer;
    std::atomic<bool> confirms_changes = true; ///< whether new versions are confirmed at once
    std::atomic<std::uint64_t> confirmed_offset = 0;
    controllers::resource_api api;
    std::unique_ptr<transport::http_server> server;

private:
    controllers::delayed_call timer()
    {
        return [this](duration delay, std::function<void()> fn) {
            this->runtime.after(delay, std::move(fn));
        };
    }
};

/// A temporary file that the destructor removes.
class temporary_file {
public:
    explicit temporary_file(const std::string& text)
    {
        std::string name = "/tmp/medlaryoke-test-XXXXXX";
        close(mkstemp(name.data()));
        this->path = name;
        std::ofstream(name) << text;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;
    ~temporary_file() { std::remove(this->path.c_str()); }

    std::string path;
};

const std::string group_text = "kind: model_group\nname: g\nspec:\n  model: m\n  ranks: 2\n";

} // namespace

// Guards against unnoticed changes of outputs and exit codes. Runs the commands of a typical
// operator session against a real listener and a log.
Test(config_commands, operator_session)
{
    entry_fixture entry;
    const auto address = entry.server->address();
    const temporary_file group(group_text);
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
    const temporary_file copy(shown.out);
    cr_assert(run_command({"apply", "--entry", address, copy.path}).out == again.out);
    const auto all = run_command({"get", "--entry", address, "model_group", "--json"});
    cr_assert(all.code == 0 && all.out.find("\"offset\": 1") != std::string::npos);
    const auto missing = run_command({"get", "--entry", address, "priority", "x"});
    cr_assert(missing.code == 1 && missing.out.empty());
    cr_assert(missing.err.find("priority \"x\" does not exist") != std::string::npos);
    cr_assert(run_command({"get", "--entry", address, "colour"}).code == 2);
    cr_assert(run_command({"get", "--entry", "localhost:1", "priority"}).code == 1);
}

// Guards against reporting a change as in force before all instances have confirmed it.
Test(config_commands, apply_reports_a_change_that_is_not_in_force)
{
    entry_fixture entry;
    entry.confirms_changes = false;
    const temporary_file group(group_text);
    const auto result = run_command({"apply", "--entry", entry.server->address(), "--wait-in-force",
                                     "--timeout", "300ms", group.path});
    cr_assert(result.code == 1);
    cr_assert(result.out == "version 1 accepted: 1 of 1 resources changed\n");
    cr_assert(result.err.find("waiting for version 1: in force everywhere up to 0") !=
              std::string::npos);
    cr_assert(result.err.find("not in force everywhere after 300ms") != std::string::npos);
}

// Guards against a change that fails or is applied twice because the reply of the log to an append
// was lost.
Test(config_commands, apply_succeeds_after_a_lost_log_reply)
{
    entry_fixture entry;
    transport::http_client control(entry.runtime, entry.platform.address());
    std::atomic<bool> fault_set = false;
    control.fetch({"PUT", "/control/faults", {}, R"({"lose_append_answers":1})"}, {},
                  [&fault_set](const auto&) { fault_set = true; });
    while (!fault_set) {
        std::this_thread::sleep_for(1ms);
    }
    const temporary_file group(group_text);
    const auto result =
        run_command({"apply", "--entry", entry.server->address(), "--wait-in-force", group.path});
    cr_assert(result.code == 0, "%s", result.err.c_str());
    cr_assert(entry.store.view()->offset == 1 && entry.store.view()->model_groups.size() == 1);
}

// Guards against a watch command that prints no changes, or that reports success when the stream
// breaks.
Test(config_commands, watch_prints_changes)
{
    entry_fixture entry;
    const temporary_file group(group_text);
    run_command({"apply", "--entry", entry.server->address(), "--author", "anna", group.path});
    const auto address = entry.server->address();
    std::thread stopper([&entry] {
        while (entry.server->open_connections() < 1) {
            std::this_thread::sleep_for(1ms);
        }
        std::this_thread::sleep_for(300ms);
        entry.server.reset();
    });
    const auto result = run_command({"watch", "--entry", address});
    stopper.join();
    cr_assert(result.code == 1);
    cr_assert(result.out.starts_with("1 change {\"author\":\"anna\",\"kind\":\"model_group\""),
              "%s", result.out.c_str());
}

// Guards against accepting an empty or binary file as an empty configuration.
Test(config_commands, check_rejects_files_without_content)
{
    for (const auto& content : {std::string(), std::string("# only a comment\n"),
                                std::string("\0\x01\x7f"
                                            "ELF",
                                            6)}) {
        const temporary_file file(content);
        const auto result = run_command({"check", file.path});
        cr_assert(result.code == 1, "%s", result.out.c_str());
        cr_assert(result.err.find(file.path) != std::string::npos, "%s", result.err.c_str());
    }
}

// Guards against errors in platform settings that are detected only when a process starts.
Test(config_commands, check_validates_platform_settings)
{
    const std::string good =
        R"({"nodeName":"e","zone":"z","ip":"10.0.0.1","listen":{"front":"10.0.0.1:1",
            "readiness":"10.0.0.1:2"},"internalPortRange":[7000,7001],
            "platform":{"address":"10.0.0.9:1"}})";
    const temporary_file valid(good);
    cr_assert(run_command({"check", valid.path}).code == 0);
    const temporary_file broken(R"({"nodeName":"e","zone":"z"})");
    const auto result = run_command({"check", broken.path});
    cr_assert(result.code == 1 && result.err.find("listen") != std::string::npos, "%s",
              result.err.c_str());
}

// Guards against a check command that misses a mistake or does not report its file and line.
Test(config_commands, check_reports_the_location_of_a_problem)
{
    const std::string samples = MEDLARYOKE_SOURCE_DIR "/Utilities/samples/";
    const auto good =
        run_command({"check", samples + "oslo/resources.yaml", samples + "oslo/entry-1.yaml",
                     samples + "oslo/agent-engine-01.yaml"});
    cr_assert(good.code == 0, "%s", good.err.c_str());
    const temporary_file bad(group_text + "---\nkind: upstream\nname: e\nspec: {type: engine, "
                                          "serves: h, agent: '127.0.0.1:1', data_centre: d}\n");
    const auto result = run_command({"check", bad.path});
    cr_assert(result.code == 1);
    cr_assert(result.err.find(bad.path + ":7: upstream \"e\": serves \"h\"") != std::string::npos,
              "%s", result.err.c_str());
    cr_assert(run_command({"check"}).code == 2);
    cr_assert(run_command({"check", "/no/such/file"}).code == 1);
}

// Guards against a configuration of the platform that is sent with a mistake that a check shows.
Test(config_commands, check_config_reviews_a_configuration_before_it_is_sent)
{
    const auto record = [](unsigned version, const std::string& service, unsigned target_ms) {
        return fmt::format(
            R"({{"version":{},"routes":[{{"name":"r","host":"h.example","pathPrefix":"/a/",)"
            R"("kind":"safe","timeoutMs":2000,"targetLatencyMs":{},"service":"{}"}}],)"
            R"("services":[{{"name":"desk"}}]}})",
            version, target_ms, service);
    };
    const temporary_file current(record(3, "desk", 500));
    const temporary_file sound(record(4, "desk", 900));
    const temporary_file broken(record(3, "gone", 5000));
    auto result = run_command({"check-config", sound.path, "--in-force", current.path});
    cr_assert(result.code == 0);
    cr_assert(result.out.find("difference: route r: latency target ms 500 -> 900") !=
              std::string::npos);
    result = run_command({"check-config", broken.path, "--in-force", current.path});
    cr_assert(result.code == 1);
    for (const auto* text : {"error: route r: service gone is not defined",
                             "contradiction: route r: the latency target",
                             "unreachable: service desk: no route uses it",
                             "error: configuration: version 3 is not above 3"}) {
        cr_assert(result.out.find(text) != std::string::npos, "%s", text);
    }
    const temporary_file no_record("routes: []");
    cr_assert(run_command({"check-config", no_record.path}).code == 1);
    cr_assert(run_command({"check-config"}).code == 2);
}
