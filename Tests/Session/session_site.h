#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "fakes/tcp_proxy.h"
#include "Session/product_process.h"
#include "StandIns/engine_standin.h"
#include "StandIns/platform_standin.h"
#include "StandIns/rank_group_standin.h"
#include "StandIns/service_standin.h"
#include "transport/http_client.h"
#include "transport/runtime.h"

namespace medlaryoke::session {

using transport::http_header;
using transport::http_response;

/// A running entry and its addresses, each IP address and port.
struct entry_node {
    std::unique_ptr<product_process> process;
    std::string caller_address;   ///< for the callers' HTTP requests
    std::string operator_address; ///< for the operators' HTTP requests
    std::string peer_address;     ///< for other entries
};

/// A running agent and the upstream behind it. Addresses are IP address and port.
struct agent_node {
    std::unique_ptr<product_process> process;
    std::string upstream; ///< name of the upstream
    std::string serves;   ///< name of the model group or service
    std::string type;     ///< `engine` or `service`
    std::string upstream_address;
    std::string entry_address;               ///< where the agent listens for entries
    std::unique_ptr<fakes::tcp_proxy> proxy; ///< relays the entries' connections
};

/// Runs a small site on loopback sockets: two entries and four agents as processes of their own,
/// and stand-ins for the platform, two engines and two plain services in the test's process.
class session_site {
public:
    session_site();
    session_site(const session_site&) = delete;
    session_site& operator=(const session_site&) = delete;
    session_site(session_site&&) = delete;
    session_site& operator=(session_site&&) = delete;
    ~session_site();

    /// Creates the resources of the site through the first entry and waits until the entries are
    /// connected to all agents and to each other.
    /// @throws std::runtime_error if a resource is refused or the entries do not connect
    void configure();

    /// Sends a request and waits for the whole reply.
    /// @param address IP address and port
    /// @return the reply; if none came, status 0 with the failure message as the body
    http_response send(const std::string& address, const std::string& method,
                       const std::string& target, std::vector<http_header> headers = {},
                       std::string body = {});

    /// Sends a request with the credential of the caller `shop`.
    http_response call(const entry_node& entry, const std::string& method,
                       const std::string& target, std::vector<http_header> headers = {},
                       std::string body = {});

    /// Creates or replaces a resource through the first entry.
    /// @param version the version to replace; 0 to create the resource
    http_response put_resource(const std::string& kind, const std::string& name,
                               std::uint64_t version, const nlohmann::json& spec);

    /// @return the status document of an entry
    nlohmann::json status(const entry_node& entry);

    /// @return how often all services together ran the request with an idempotency key
    std::uint64_t run_count(const std::string& key);

    /// Sets the faults or the instance list of the platform stand-in.
    /// @param resource `faults` or `instances`
    void control_platform(const std::string& resource, const nlohmann::json& body);

    /// @param engine_index from 0
    /// @return number of requests that the engine has received so far
    std::uint64_t received_by_engine(std::size_t engine_index);

    /// Starts a further entry that has the earlier ones as peers.
    void add_entry();

    /// Waits until every entry is connected to all agents and other entries and has the newest
    /// configuration.
    /// @return whether this happened within 30 s
    bool wait_until_connected();

    /// Starts a lock-step group with an agent for each rank, and creates its resources.
    /// @param ranks number of ranks
    /// @return the agents, in the order of the ranks
    std::vector<agent_node> add_rank_group(unsigned ranks);

    /// Sets the faults of the lock-step group.
    /// @param faults in the form that its stand-in takes at `/control/faults`
    void control_rank_group(const nlohmann::json& faults);

    /// @return the group's counts: `steps` it has run, and `split` steps whose ranks used different
    /// maps
    nlohmann::json rank_group_steps();

    /// Starts a new process of an agent, at the same address.
    void restart_agent(agent_node& agent);

    /// Polls a condition for 30 s, which is long enough that only a failing test reaches the limit.
    /// @return whether the condition became true
    static bool wait_until(const std::function<bool()>& condition);

    [[nodiscard]] std::vector<entry_node>& entries() { return this->entries_; }
    [[nodiscard]] std::vector<agent_node>& agents() { return this->agents_; }

private:
    agent_node start_agent(const std::string& upstream, const std::string& serves,
                           const std::string& type, const std::string& upstream_address);
    entry_node start_entry(const std::string& name);
    [[nodiscard]] std::unique_ptr<product_process> run_agent(const agent_node& agent) const;
    bool is_connected(const entry_node& entry);

    transport::runtime runtime_{2};
    standins::platform_standin platform_;
    std::vector<std::unique_ptr<standins::engine_standin>> engines_;
    std::vector<std::unique_ptr<standins::service_standin>> services_;
    std::unique_ptr<standins::rank_group_standin> rank_group_;
    std::vector<agent_node> agents_;
    std::vector<entry_node> entries_;
};

} // namespace medlaryoke::session
