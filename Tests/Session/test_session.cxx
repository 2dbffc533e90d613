#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <regex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "fakes/raw_socket.h"
#include "Session/session_site.h"

using namespace std::string_literals;
using namespace medlaryoke;
using nlohmann::json;
using session::http_header;
using session::http_response;
using session::session_site;

namespace {

const std::string chat_path = "/v1/chat/completions";

/// @return the body of a chat completion request
std::string make_chat_body(const std::string& content, bool stream = false, unsigned max_tokens = 4)
{
    return json{{"model", "boba-8b"},
                {"stream", stream},
                {"max_tokens", max_tokens},
                {"messages", {{{"role", "user"}, {"content", content}}}}}
        .dump();
}

/// Replaces the values that differ between runs (ids, times, addresses and measurements) by
/// placeholders.
std::string normalise(std::string text)
{
    const std::vector<std::pair<std::regex, std::string>> rules{
        {std::regex("req-[0-9a-f]{32}"), "req-<id>"},
        {std::regex("chatcmpl-[0-9]+"), "chatcmpl-<number>"},
        {std::regex("mk1-[0-9]+-[0-9a-f]{32}"), "mk1-<time>-<id>"},
        {std::regex(R"re(("(agent_)?incarnation": ?)"[0-9a-f]{16}")re"), "$1<incarnation>"},
        {std::regex(R"re(("[a-z_]*(unix_ms|silent_ms|first_token_us|created)": ?)[0-9]+)re"),
         "$1<number>"},
        {std::regex(R"(127\.0\.0\.1:[0-9]+)"), "<address>"}};
    for (const auto& [pattern, replacement] : rules) {
        text = std::regex_replace(text, pattern, replacement);
    }
    return text;
}

/// Collects requests and replies as text.
class transcript {
public:
    /// @param request description of the request, such as its method and target
    void add(const std::string& request, const http_response& reply)
    {
        this->text_ += fmt::format("> {}\n< {}", request, reply.head.status);
        for (const auto* const name : {"Content-Type", "Medlaryoke-Outcome"}) {
            const auto value = transport::find_header(reply.head.headers, name);
            if (!value.empty()) {
                this->text_ += fmt::format(" {}", value);
            }
        }
        this->text_ += "\n" + reply.body;
        this->text_ += reply.body.ends_with('\n') ? "\n" : "\n\n";
    }

    /// Compares the normalised text with a golden file. Writes the file first if the environment
    /// variable MEDLARYOKE_UPDATE_GOLDEN is set.
    void check(const std::string& file) const
    {
        const auto path = std::string(MEDLARYOKE_GOLDEN_DIR) + "/" + file;
        const auto actual = normalise(this->text_);
        if (std::getenv("MEDLARYOKE_UPDATE_GOLDEN") != nullptr) {
            std::ofstream(path) << actual;
        }
        std::ifstream in(path);
        const std::string expected{std::istreambuf_iterator<char>(in), {}};
        cr_assert(actual == expected, "the session differs from %s:\n%s", path.c_str(),
                  actual.c_str());
    }

private:
    std::string text_;
};

/// Sends requests to the first entry and records them, with their replies, in a transcript.
struct scripted_session {
    http_response call(const std::string& method, const std::string& target,
                       const std::vector<http_header>& headers = {}, const std::string& body = {})
    {
        auto reply = this->site.call(this->site.entries()[0], method, target, headers, body);
        std::string description = method + " " + target;
        for (const auto& it : headers) {
            description += fmt::format(" [{}: {}]", it.name, it.value);
        }
        this->recorded.add(body.empty() ? description : description + " " + body, reply);
        return reply;
    }

    session_site site;
    transcript recorded;
};

} // namespace

// Guards against an unintended change of what callers and operators see: configuration, addresses,
// completions, plain services, repeated idempotency keys, invalid input and samples.
Test(session, matches_the_golden_file)
{
    scripted_session s;
    s.site.configure();
    const auto& entry = s.site.entries()[0];
    s.recorded.add("GET /v1/resources/caller/shop",
                   s.site.send(entry.operator_address, "GET", "/v1/resources/caller/shop"));
    s.recorded.add("PUT /v1/resources/model_group/assistant [If-Match: 9]",
                   s.site.put_resource("model_group", "assistant", 9, {{"model", "boba-9b"}}));
    s.recorded.add("PUT /v1/resources/priority/normal [If-Match: 0] {\"order\":\"first\"}",
                   s.site.put_resource("priority", "normal", 0, {{"order", "first"}}));
    s.call("GET", "/v1/entries");
    s.call("POST", "/v1/keys");
    s.call("POST", chat_path, {}, make_chat_body("How much tapioca is left?"));
    s.call("POST", chat_path, {{"Medlaryoke-Priority", "urgent"}},
           make_chat_body("Summarise the reorder.", true));
    s.call("GET", "/v1/services/desk/stock/tapioca");
    const std::vector<http_header> key_headers{{"Idempotency-Key", "order-7"}};
    s.call("POST", "/v1/services/desk/reorder", key_headers, R"({"item":"tapioca","count":40})");
    s.call("POST", "/v1/services/desk/reorder", key_headers, R"({"item":"tapioca","count":40})");
    s.call("POST", "/v1/services/desk/reorder", key_headers, R"({"item":"tapioca","count":99})");
    cr_assert(s.site.run_count("order-7") == 1);

    s.call("POST", chat_path, {}, "{\"model\":");
    s.call("POST", chat_path, {}, R"({"model":"unknown","messages":[{"role":"user"}]})");
    s.call("POST", chat_path, {{"Medlaryoke-Priority", "normal"}}, make_chat_body("Hello"));
    s.call("POST", chat_path, {{"Medlaryoke-Timeout", "soon"}}, make_chat_body("Hello"));
    s.call("GET", "/v1/services/nothing/stock");
    s.recorded.add("POST with a wrong credential",
                   s.site.send(entry.caller_address, "POST", chat_path,
                               {{"Authorization", "Bearer wrong"}}, make_chat_body("Hello")));
    s.recorded.add("GET /readyz", s.site.send(entry.operator_address, "GET", "/readyz"));
    s.recorded.add("GET /v1/samples", s.site.send(entry.operator_address, "GET", "/v1/samples"));
    s.recorded.check("session.golden");
}

// Guards against malformed bytes from a caller or peer that stop an entry.
Test(session, malformed_bytes_do_not_stop_an_entry)
{
    session_site site;
    site.configure();
    const auto& entry = site.entries()[0];
    for (const auto& bytes :
         {"\0\xff\x16\x03\x01 garbage\r\n\r\n"s, std::string("GET / HTTP/9.9\r\n\r\n"),
          "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n",
          std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"),
          std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\n{")}) {
        const fakes::raw_connection caller(entry.caller_address);
        caller.send(bytes);
    }
    const fakes::raw_connection peer(entry.peer_address);
    peer.send("not a ZeroMQ greeting at all, and longer than one\r\n\r\n");
    const auto reply = site.call(entry, "POST", chat_path, {}, make_chat_body("Still there?"));
    cr_assert(reply.head.status == 200, "%s", reply.body.c_str());
}

// Guards against a drain that aborts a stream, admits new work, leaves the entry in the list of
// entries, or ends with an error (P6).
Test(session, drain_completes_running_streams)
{
    session_site site;
    site.configure();
    const auto& entry = site.entries()[0];
    http_response stream;
    std::thread caller_thread([&] {
        stream =
            site.call(entry, "POST", chat_path, {}, make_chat_body("A long story.", true, 500));
    });
    cr_assert(session_site::wait_until([&] {
        const auto queues = site.status(entry)["queues"];
        return std::any_of(queues.begin(), queues.end(),
                           [](const json& it) { return it["running"] == 1; });
    }));
    entry.process->signal(SIGTERM);
    cr_assert(session_site::wait_until([&] {
        const auto reply = site.send(site.entries()[1].caller_address, "GET", "/v1/entries");
        return json::parse(reply.body)["entries"].size() == 1;
    }));
    cr_assert(site.send(entry.operator_address, "GET", "/readyz").head.status == 503);
    const auto late_reply = site.call(entry, "POST", chat_path, {}, make_chat_body("Too late?"));
    cr_assert(late_reply.head.status == 0 || late_reply.head.status == 503);
    caller_thread.join();
    cr_assert(stream.body.find("\"outcome\":\"answered\"") != std::string::npos, "%s",
              stream.body.c_str());
    cr_assert(entry.process->wait() == 0, "%s", entry.process->log().c_str());
}

// Guards against new work for an upstream that is leaving according to the instance list, the
// configuration or its agent (P5), and against an agent that fails or aborts work as it stops (P6).
Test(session, leaving_upstreams_get_no_new_work)
{
    session_site site;
    site.configure();
    auto& agent = site.agents()[0];
    const auto send_questions = [&site] {
        for (int n = 0; n < 30; ++n) {
            const auto reply = site.call(site.entries()[0], "POST", chat_path, {},
                                         make_chat_body("Question " + std::to_string(n)));
            cr_assert(reply.head.status == 200, "%s", reply.body.c_str());
        }
    };
    const auto wait_for_state = [&site](const std::string& state) {
        cr_assert(session_site::wait_until(
            [&] { return site.status(site.entries()[0])["links"][2]["state"] == state; }));
    };
    const auto make_instance_list = [&agent](const std::string& state) {
        return json{{"instances",
                     {{{"instance", "agent-engine-1"},
                       {"role", "agent"},
                       {"data_centre", "oslo-1"},
                       {"address", agent.proxy->address()},
                       {"state", state}}}}};
    };
    site.control_platform("instances", make_instance_list("leaving"));
    wait_for_state("leaving");
    auto received_before = site.received_by_engine(0);
    send_questions();
    cr_assert(site.received_by_engine(0) == received_before,
              "an upstream that the instance list shows as leaving got work");

    json spec{{"type", "engine"},
              {"serves", "assistant"},
              {"agent", agent.proxy->address()},
              {"data_centre", "oslo-1"},
              {"state", "leaving"}};
    cr_assert(site.put_resource("upstream", "engine-1", 4, spec).head.status == 200);
    site.control_platform("instances", make_instance_list("live"));
    received_before = site.received_by_engine(0);
    send_questions();
    cr_assert(site.received_by_engine(0) == received_before,
              "an upstream configured as leaving got work");

    agent.process->signal(SIGTERM);
    send_questions();
    cr_assert(agent.process->wait() == 0, "%s", agent.process->log().c_str());
}

// Guards against an entry that, while the log is down, cannot start, serves without a
// configuration, or accepts work that it cannot record.
Test(session, entry_starts_from_its_peers_while_the_log_is_down)
{
    session_site site;
    site.configure();
    site.control_platform("faults", {{"outage", true}});
    site.add_entry();
    cr_assert(site.wait_until_connected());
    const auto reply =
        site.call(site.entries()[2], "POST", chat_path, {}, make_chat_body("Still serving?"));
    cr_assert(reply.head.status == 200, "%s", reply.body.c_str());
    const auto order = site.call(site.entries()[2], "POST", "/v1/services/desk/reorder",
                                 {{"Idempotency-Key", "outage"}}, "{}");
    cr_assert(order.head.status == 503 && site.run_count("outage") == 0, "%s", order.body.c_str());
    const auto change = site.put_resource("model_group", "late", 0, {{"model", "boba-9b"}});
    cr_assert(change.head.status == 503, "%s", change.body.c_str());
}
