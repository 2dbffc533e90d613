#include <algorithm>
#include <array>
#include <filesystem>
#include <functional>
#include <random>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

#include "base/error.h"
#include "base/yaml_reader.h"
#include "model/process_settings.h"
#include "model/resource_check.h"
#include "model/resource_text.h"

using namespace std::chrono_literals;
using namespace medlaryoke;

namespace {

const std::string root = MEDLARYOKE_SOURCE_DIR;

const std::string agent_text = "instance:\n"
                               "  name: agent-1\n"
                               "  data_centre: oslo-1\n"
                               "platform:\n"
                               "  log: 127.0.0.1:7000\n"
                               "  request_timeout: 250ms\n"
                               "agent:\n"
                               "  upstream: engine-1\n"
                               "  serves: assistant\n"
                               "  upstream_type: service\n"
                               "  upstream_address: 127.0.0.1:7001\n"
                               "  listen_address: '[::1]:0'\n"
                               "  operator_address: 127.0.0.1:0\n";

const std::string resource_text = "kind: priority\n"
                                  "name: urgent\n"
                                  "spec:\n"
                                  "  order: 0\n"
                                  "  first_token_target: 400ms\n"
                                  "  token_interval_target: 25ms\n"
                                  "  floor: 0.5\n"
                                  "---\n"
                                  "kind: upstream\n"
                                  "name: desk-1\n"
                                  "spec:\n"
                                  "  type: service\n"
                                  "  serves: desk\n"
                                  "  agent: 127.0.0.1:7005\n"
                                  "  data_centre: oslo-1\n"
                                  "  repeatable: [GET /, POST /find]\n"
                                  "  checks_fences: true\n";

/// Runs a parser on text. Any exception other than medlaryoke::error fails the test.
/// @return the message of the error; empty if the text was accepted
std::string parse_error_message(const std::function<void(const std::string&)>& read,
                                const std::string& text)
{
    try {
        read(text);
    }
    catch (const error& e) {
        cr_assert(e.kind() == error_kind::invalid_argument && !e.remedy().empty());
        return e.what();
    }
    return "";
}

void read_agent(const std::string& text)
{
    model::parse_agent_settings(text, "agent.yaml");
}

void read_resources(const std::string& text)
{
    model::parse_resources(text, "r.yaml");
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    cr_assert(at != std::string::npos, "%s is not in the sample", from.c_str());
    return text.replace(at, from.size(), to);
}

std::vector<std::string> problems_of(const std::string& text)
{
    const auto declared = model::parse_resources(text, "r.yaml");
    std::vector<const model::resource*> resources;
    std::ranges::transform(declared, std::back_inserter(resources),
                           [](const auto& it) { return &it.value; });
    std::vector<std::string> messages;
    std::ranges::transform(model::check_resources(resources), std::back_inserter(messages),
                           [](const auto& it) { return it.message; });
    return messages;
}

/// Overwrites, inserts, erases and duplicates bytes at random positions of a text.
std::string mutate(std::string text, std::mt19937& random)
{
    static constexpr std::string_view alphabet = "\n :-[]{}#&*!|>'\"%@`~0a\t\x01\xff,?";
    for (unsigned n = 1 + random() % 6; n > 0 && !text.empty(); --n) {
        const auto at = random() % text.size();
        const char c = alphabet[random() % alphabet.size()];
        switch (random() % 4) {
        case 0:
            text[at] = c;
            break;
        case 1:
            text.insert(at, random() % 4, c);
            break;
        case 2:
            text.erase(at, random() % 12);
            break;
        default:
            text.insert(at, text.substr(random() % text.size(), random() % 40));
        }
    }
    return text;
}

/// @return the first four cells of each table row below a heading of a manual page
std::vector<field_description> manual_rows(const std::string& page, const std::string& heading)
{
    std::istringstream lines(read_text_file(root + "/docs/manual/" + page));
    std::vector<field_description> rows;
    bool inside = false;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("## ")) {
            inside = line == "## " + heading;
        }
        if (!inside || !line.starts_with("| `")) {
            continue;
        }
        std::istringstream cells(line.substr(2));
        std::array<std::string, 4> cell;
        for (auto& text : cell) {
            std::getline(cells, text, '|');
            text = text.substr(text.find_first_not_of(" `"));
            text.erase(text.find_last_not_of(" `") + 1);
        }
        rows.push_back({cell[0], cell[1], cell[2], cell[3]});
    }
    return rows;
}

} // namespace

// Guards against values that are stored in the wrong field or lose their unit.
Test(settings, reads_values_and_defaults)
{
    const auto settings = model::parse_agent_settings(agent_text, "agent.yaml");
    cr_assert(settings.instance.instance == "agent-1");
    cr_assert(settings.platform.request_timeout == 250ms);
    cr_assert(settings.upstream_type == "service");
    cr_assert(settings.listen_address == "[::1]:0");
    cr_assert(settings.max_limit == 256);
    cr_assert(settings.platform.weight_store.empty());
}

// Guards against a mistake in a settings file being accepted, or being reported without its line.
Test(settings, refuses_each_kind_of_mistake)
{
    struct mistake {
        std::string from;
        std::string to;
        std::string place;
        std::string value;
    };
    const std::vector<mistake> mistakes{
        {"  serves:", "  servs:", "agent.yaml:8: ", "agent.serves"},
        {"  data_centre: oslo-1", "  data_centre:", "agent.yaml:3: ", "has no value"},
        {"250ms", "250", "agent.yaml:6: ", "\"250\""},
        {"250ms", "250 ms", "agent.yaml:6: ", "250 ms"},
        {"250ms", "2h", "agent.yaml:6: ", "2h"},
        {"127.0.0.1:7000", "log.example:7000", "agent.yaml:5: ", "log.example:7000"},
        {"127.0.0.1:7000", "127.0.0.1", "agent.yaml:5: ", "127.0.0.1"},
        {"127.0.0.1:7000", "127.0.0.1:0", "agent.yaml:5: ", "127.0.0.1:0"},
        {"127.0.0.1:7000", "127.0.0.1:70000", "agent.yaml:5: ", "70000"},
        {"upstream_type: service", "upstream_type: both", "agent.yaml:10: ", "both"},
        {"  listen", "  max_limit: -1\n  listen", "agent.yaml:12: ", "-1"},
        {"  listen", "  max_limit: 3\n  listen", "agent.yaml", "initial_limit"},
        {"  listen", "  surplus: 3\n  listen", "agent.yaml:12: ", "surplus"},
        {"  listen", "  serves: twice\n  listen", "agent.yaml:12: ", "serves"},
        {"name: agent-1", "name: [agent-1]", "agent.yaml:2: ", "instance.name"},
        {"name: agent-1", "name: &a agent-1", "agent.yaml:2: ", "anchor"},
        {"agent:\n", "agent: {\n", "agent.yaml:", ""},
    };
    for (const auto& it : mistakes) {
        const auto message = parse_error_message(read_agent, replaced(agent_text, it.from, it.to));
        cr_assert(!message.empty(), "accepted %s", it.to.c_str());
        cr_assert(message.starts_with(it.place) && message.find(it.value) != std::string::npos,
                  "%s", message.c_str());
    }
}

// Guards against a sample configuration that no longer loads or is inconsistent.
Test(settings, loads_all_samples)
{
    unsigned loaded = 0;
    for (const auto* site : {"oslo", "nairobi"}) {
        for (const auto& file :
             std::filesystem::directory_iterator(root + "/Utilities/samples/" + site)) {
            const auto path = file.path().string();
            const auto name = file.path().filename().string();
            ++loaded;
            if (name.starts_with("entry")) {
                cr_assert(model::load_entry_settings(path).peers.size() == 3);
            }
            else if (name.starts_with("agent")) {
                model::load_agent_settings(path);
            }
            else {
                cr_assert(problems_of(read_text_file(path)).empty());
            }
        }
    }
    cr_assert(loaded == 14);
}

// Guards against a manual that omits a key, describes it wrongly or lists a removed one.
Test(settings, manual_lists_every_key)
{
    cr_assert(manual_rows("settings.md", "Entry") == model::entry_setting_keys());
    cr_assert(manual_rows("settings.md", "Agent") == model::agent_setting_keys());
    for (const auto& kind : model::resource_kinds()) {
        cr_assert(manual_rows("resources.md", kind) == model::resource_keys(kind), "%s",
                  kind.c_str());
    }
}

// Guards against a resource that changes when it is written as JSON or YAML and read back.
Test(resources, round_trip)
{
    for (const auto& it :
         model::parse_resources(resource_text + "---\n" +
                                    read_text_file(root + "/Utilities/samples/oslo/resources.yaml"),
                                "r.yaml")) {
        const auto json = model::spec_to_json(it.value.spec);
        cr_assert(model::parse_spec(model::kind_of(it.value.spec), json, "body") == it.value.spec);
        const auto again = model::parse_resources(model::resource_to_yaml(it.value), "again");
        cr_assert(again.size() == 1 && again.front().value == it.value);
    }
}

// Guards against a JSON value of the wrong type being accepted because its text would be valid.
Test(resources, json_types_are_strict)
{
    const std::string good =
        R"({"order":1,"first_token_target":"1s","token_interval_target":"9ms","floor":0.1})";
    const auto read = [](const std::string& text) { model::parse_spec("priority", text, "body"); };
    cr_assert(parse_error_message(read, good).empty());
    cr_assert(!parse_error_message(read, replaced(good, ":1,", ":\"1\",")).empty());
    cr_assert(!parse_error_message(read, replaced(good, "\"1s\"", "1")).empty());
    cr_assert(!parse_error_message(read, replaced(good, "0.1", "true")).empty());
    cr_assert(!parse_error_message(read, replaced(good, "0.1", "1")).empty());
    cr_assert(!parse_error_message(read, replaced(good, "floor", "flor")).empty());
    cr_assert(!parse_error_message(read, good.substr(1)).empty());
    cr_assert(!parse_error_message(read, "[]").empty());
}

// Guards against an inconsistent configuration being accepted.
Test(resources, check_finds_each_inconsistency)
{
    const std::string group = "---\nkind: model_group\nname: g\nspec: {model: m, ranks: 2}\n";
    const std::string engine = "---\nkind: upstream\nname: e\nspec: {type: engine, serves: g, "
                               "agent: '127.0.0.1:1', data_centre: d, rank: 1}\n";
    const std::string caller = "---\nkind: caller\nname: c\nspec: {organisation: o, "
                               "credential_sha256: " +
                               std::string(64, 'a') + ", priorities: [urgent]}\n";
    const auto all = resource_text + group + engine + caller;
    cr_assert(problems_of(all).empty());
    cr_assert(problems_of(resource_text + engine).size() == 1);
    cr_assert(problems_of(replaced(all, "rank: 1", "rank: 2")).size() == 1);
    cr_assert(problems_of(replaced(all, "serves: desk", "serves: g")).size() == 1);
    cr_assert(problems_of(replaced(all, "  serves: desk", "  rank: 0\n  serves: desk")).size() ==
              1);
    cr_assert(problems_of(replaced(all, "[urgent]", "[slow]")).size() == 1);
    cr_assert(problems_of(replaced(all, "[urgent]", "[urgent, urgent]")).size() == 1);
    cr_assert(problems_of(all + replaced(caller, "name: c", "name: c2")).size() == 1);
    cr_assert(problems_of(all + replaced(engine, "name: e", "name: e2")).size() == 1);
    cr_assert(problems_of(all + group).size() == 1);
    // A second priority of the same order, whose floor brings the sum to 1.
    const auto priority = resource_text.substr(0, resource_text.find("---"));
    cr_assert(problems_of(all + "---\n" + replaced(priority, "urgent", "normal")).size() == 2);
}

// Guards against malformed input that ends the process. The parsers may only throw
// medlaryoke::error.
Test(settings, survives_random_mutations)
{
    std::mt19937 random(20261204);
    const auto read_spec = [](const std::string& text) {
        model::parse_spec("upstream", text, "body", unknown_keys::ignore);
    };
    const auto json =
        model::spec_to_json(model::parse_resources(resource_text, "r.yaml").back().value.spec);
    for (int round = 0; round < 4000; ++round) {
        parse_error_message(read_agent, mutate(agent_text, random));
        parse_error_message(read_resources, mutate(resource_text, random));
        parse_error_message(read_spec, mutate(json, random));
    }
    parse_error_message(read_agent, std::string(100'000, '['));
    parse_error_message(read_spec, std::string(100'000, '['));
}
