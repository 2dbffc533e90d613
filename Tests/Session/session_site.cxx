#include "Session/session_site.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <stdexcept>
#include <thread>
#include <utility>
#include <variant>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace medlaryoke::session {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Bounds the wait of a failing test to 30 s.
constexpr int max_polls = 1500;
constexpr auto poll_interval = 20ms;
constexpr const char* caller_credential = "sample-shop";

/// @return the part of the settings file that entries and agents have in common
std::string make_common_settings(const std::string& instance, const std::string& platform_address)
{
    return fmt::format("instance:\n  name: {}\n  data_centre: oslo-1\nplatform:\n  log: {}\n"
                       "  instance_list: {}\n  request_timeout: 500ms\n",
                       instance, platform_address, platform_address);
}

json make_priority(unsigned order, const std::string& first_token_target, double floor)
{
    return {{"order", order},
            {"first_token_target", first_token_target},
            {"token_interval_target", "1s"},
            {"worth", 1},
            {"floor", floor}};
}

} // namespace

session_site::session_site() : platform_(this->runtime_, {})
{
    this->runtime_.start();
    for (int n = 1; n <= 2; ++n) {
        standins::engine_options engine;
        engine.step_time = 2ms;
        this->engines_.push_back(
            std::make_unique<standins::engine_standin>(this->runtime_, engine));
        this->agents_.push_back(this->start_agent(fmt::format("engine-{}", n), "assistant",
                                                  "engine", this->engines_.back()->address()));
    }
    for (int n = 1; n <= 2; ++n) {
        this->services_.push_back(std::make_unique<standins::service_standin>(
            this->runtime_, standins::service_options{}));
        this->agents_.push_back(this->start_agent(fmt::format("desk-{}", n), "desk", "service",
                                                  this->services_.back()->address()));
    }
    this->add_entry();
    this->add_entry();
}

session_site::~session_site()
{
    this->entries_.clear();
    this->agents_.clear();
    this->runtime_.stop();
    this->runtime_.wait();
}

void session_site::configure()
{
    const auto create_resource = [this](const std::string& kind, const std::string& name,
                                        const json& spec) {
        const auto reply = this->put_resource(kind, name, 0, spec);
        if (reply.head.status >= 300) {
            throw std::runtime_error(fmt::format("{} {}: {}", kind, name, reply.body));
        }
    };
    create_resource("model_group", "assistant", {{"model", "boba-8b"}});
    create_resource("priority", "urgent", make_priority(0, "10s", 0.5));
    create_resource("priority", "batch", make_priority(2, "60s", 0.1));
    for (const auto& it : this->agents_) {
        json spec{{"type", it.type},
                  {"serves", it.serves},
                  {"agent", it.proxy->address()},
                  {"data_centre", "oslo-1"}};
        if (it.type == "service") {
            spec["repeatable"] = {"GET /stock"};
        }
        create_resource("upstream", it.upstream, spec);
    }
    create_resource("caller", "shop",
                    {{"organisation", "perlefjord"},
                     {"credential_sha256", sha256_hex(caller_credential)},
                     {"share", 1},
                     {"priorities", {"urgent", "batch"}}});
    if (!this->wait_until_connected()) {
        throw std::runtime_error("the entries did not connect to all agents and to each other: " +
                                 this->status(this->entries_[0]).dump());
    }
}

bool session_site::wait_until_connected()
{
    return wait_until([this] {
        return std::ranges::all_of(this->entries_,
                                   [this](const auto& it) { return this->is_connected(it); });
    });
}

void session_site::control_platform(const std::string& resource, const json& body)
{
    this->send(this->platform_.address(), "PUT", "/control/" + resource, {}, body.dump());
}

std::vector<agent_node> session_site::add_rank_group(unsigned ranks)
{
    standins::rank_group_options options;
    options.addresses.assign(ranks, "127.0.0.1:0");
    options.slots_per_rank = 3;
    options.step_time = 5ms;
    this->rank_group_ = std::make_unique<standins::rank_group_standin>(this->runtime_, options);
    this->put_resource("model_group", "pearl", 0,
                       {{"model", "pearl-moe"},
                        {"ranks", ranks},
                        {"experts_per_layer", 2 * ranks},
                        {"layers", options.layers}});
    std::vector<agent_node> agents;
    for (const auto& address : this->rank_group_->addresses()) {
        const auto rank = agents.size();
        const auto name = fmt::format("rank-{}", rank);
        agents.push_back(this->start_agent(name, "pearl", "engine", address));
        this->put_resource("upstream", name, 0,
                           {{"type", "engine"},
                            {"serves", "pearl"},
                            {"agent", agents.back().entry_address},
                            {"data_centre", "oslo-1"},
                            {"rank", rank}});
    }
    return agents;
}

void session_site::control_rank_group(const json& faults)
{
    this->send(this->rank_group_->addresses().front(), "PUT", "/control/faults", {}, faults.dump());
}

json session_site::rank_group_steps()
{
    return json::parse(
        this->send(this->rank_group_->addresses().front(), "GET", "/control/steps").body);
}

std::uint64_t session_site::received_by_engine(std::size_t engine_index)
{
    const auto& address = this->engines_.at(engine_index)->address();
    return json::parse(this->send(address, "GET", "/control/stats").body)["received"];
}

void session_site::add_entry()
{
    this->entries_.push_back(this->start_entry(fmt::format("entry-{}", this->entries_.size() + 1)));
}

bool session_site::is_connected(const entry_node& entry)
{
    const auto state = this->status(entry);
    const auto& links = state["links"];
    const auto offset = state["config"]["offset"];
    return links.size() == this->agents_.size() &&
           std::ranges::all_of(links,
                               [](const json& it) {
                                   return it["state"] == "connected" && it["upstream_up"] == true;
                               }) &&
           state["peers"].size() + 1 == this->entries_.size() &&
           state["config"]["confirmed_offset"] == offset &&
           offset == this->status(this->entries_[0])["config"]["offset"];
}

http_response session_site::send(const std::string& address, const std::string& method,
                                 const std::string& target, std::vector<http_header> headers,
                                 std::string body)
{
    using reply = std::variant<http_response, transport::http_failure>;
    transport::http_client client(this->runtime_, address, 0);
    const auto reply_promise = std::make_shared<std::promise<reply>>();
    auto reply_future = reply_promise->get_future();
    client.fetch({method, target, std::move(headers), std::move(body)}, {},
                 [reply_promise](reply it) { reply_promise->set_value(std::move(it)); });
    auto result = reply_future.get();
    if (auto* const failure = std::get_if<transport::http_failure>(&result)) {
        return {{0, {}}, failure->message};
    }
    return std::get<http_response>(std::move(result));
}

http_response session_site::call(const entry_node& entry, const std::string& method,
                                 const std::string& target, std::vector<http_header> headers,
                                 std::string body)
{
    headers.push_back({"Authorization", std::string("Bearer ") + caller_credential});
    return this->send(entry.caller_address, method, target, std::move(headers), std::move(body));
}

http_response session_site::put_resource(const std::string& kind, const std::string& name,
                                         std::uint64_t version, const json& spec)
{
    return this->send(this->entries_[0].operator_address, "PUT",
                      "/v1/resources/" + kind + "/" + name, {{"If-Match", std::to_string(version)}},
                      spec.dump());
}

json session_site::status(const entry_node& entry)
{
    const auto reply = this->send(entry.operator_address, "GET", "/v1/status");
    return json::parse(reply.body);
}

std::uint64_t session_site::run_count(const std::string& key)
{
    std::uint64_t count = 0;
    for (const auto& it : this->services_) {
        const auto reply = json::parse(this->send(it->address(), "GET", "/control/runs").body);
        const auto& runs = reply.contains("runs") ? reply["runs"] : reply;
        count += runs.value(key, std::uint64_t{0});
    }
    return count;
}

void session_site::restart_agent(agent_node& agent)
{
    agent.process = this->run_agent(agent);
    static_cast<void>(agent.process->wait_for_addresses());
}

bool session_site::wait_until(const std::function<bool()>& condition)
{
    for (int n = 0; n < max_polls; ++n) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

agent_node session_site::start_agent(const std::string& upstream, const std::string& serves,
                                     const std::string& type, const std::string& upstream_address)
{
    agent_node node{nullptr, upstream, serves, type, upstream_address, "127.0.0.1:0", nullptr};
    node.process = this->run_agent(node);
    // The log line names three addresses: the upstream's, the one for entries, the one for
    // operators.
    node.entry_address = node.process->wait_for_addresses().at(1);
    node.proxy = std::make_unique<fakes::tcp_proxy>(node.entry_address);
    return node;
}

std::unique_ptr<product_process> session_site::run_agent(const agent_node& agent) const
{
    const auto settings =
        make_common_settings("agent-" + agent.upstream, this->platform_.address()) +
        fmt::format("agent:\n  upstream: {}\n  serves: {}\n  upstream_type: {}\n"
                    "  upstream_address: {}\n  listen_address: {}\n"
                    "  operator_address: 127.0.0.1:0\n",
                    agent.upstream, agent.serves, agent.type, agent.upstream_address,
                    agent.entry_address);
    return std::make_unique<product_process>("agent", settings);
}

entry_node session_site::start_entry(const std::string& name)
{
    auto settings = make_common_settings(name, this->platform_.address()) +
                    "entry:\n  caller_address: 127.0.0.1:0\n  operator_address: 127.0.0.1:0\n"
                    "  peer_address: 127.0.0.1:0\n  address_lifetime: 100ms\n";
    if (!this->entries_.empty()) {
        settings += "  peers:\n";
    }
    for (const auto& it : this->entries_) {
        settings += fmt::format("    - {}\n", it.peer_address);
    }
    entry_node node{std::make_unique<product_process>("entry", settings), "", "", ""};
    const auto addresses = node.process->wait_for_addresses();
    node.caller_address = addresses.at(0);
    node.operator_address = addresses.at(1);
    node.peer_address = addresses.at(2);
    return node;
}

} // namespace medlaryoke::session
