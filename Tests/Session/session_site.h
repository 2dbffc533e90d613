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

/// A running entry.
struct entry_node {
    std::unique_ptr<product_process> process;
    std::string callers;   ///< address
    std::string operators; ///< address
    std::string peers;     ///< address
};

/// A running agent and the upstream that it serves.
struct agent_node {
    std::unique_ptr<product_process> process;
    std::string upstream; ///< name of the upstream
    std::string serves;
    std::string type;
    std::string upstream_address;
    std::string address;                     ///< for entries
    std::unique_ptr<fakes::tcp_proxy> proxy; ///< between the entries and the agent
};

/// A small site of real processes over loopback sockets: platform, two engines and two plain
/// services as stand-ins, an agent for each, and two entries.
class session_site {
public:
    session_site();
    session_site(const session_site&) = delete;
    session_site& operator=(const session_site&) = delete;
    session_site(session_site&&) = delete;
    session_site& operator=(session_site&&) = delete;
    ~session_site();

    /// Declares the resources of the site at the first entry and waits until both entries are
    /// connected with all agents and with one another.
    void configure();

    /// Sends a request and waits for the whole reply.
    /// @param address IP address and port
    /// @return the reply; status 0 with the failure as its body if there was none
    http_response send(const std::string& address, const std::string& method,
                       const std::string& target, std::vector<http_header> headers = {},
                       std::string body = {});

    /// Sends a request as the sample caller.
    http_response call(const entry_node& entry, const std::string& method,
                       const std::string& target, std::vector<http_header> headers = {},
                       std::string body = {});

    /// Puts a resource at the first entry.
    /// @param version that it replaces; 0 for a new one
    http_response put(const std::string& kind, const std::string& name, std::uint64_t version,
                      const nlohmann::json& spec);

    /// @return the status page of an entry
    nlohmann::json status(const entry_node& entry);

    /// @return runs of a key at all services together
    std::uint64_t runs(const std::string& key);

    /// Puts faults or the instance list at the platform.
    /// @param what `faults` or `instances`
    /// @param body the JSON
    void control_platform(const std::string& what, const nlohmann::json& body);

    /// @param upstream number of the engine
    /// @return requests that the engine received so far
    std::uint64_t received_by_engine(std::size_t upstream);

    /// Starts a further entry that knows the earlier ones.
    void add_entry();

    /// Waits until an entry is connected with all agents and entries and has the newest
    /// configuration.
    /// @return whether that came true
    bool wait_until_connected();

    /// Starts a lock-step group with an agent for each rank, and declares it.
    /// @param ranks number of ranks
    /// @return the agents, in the order of the ranks
    std::vector<agent_node> add_rank_group(unsigned ranks);

    /// Sends faults to the lock-step group.
    /// @param faults as taken by its stand-in
    void control_rank_group(const nlohmann::json& faults);

    /// @return steps that the lock-step group has made, and how many ran on different maps
    nlohmann::json rank_group_steps();

    /// Starts an agent again at its address.
    void restart(agent_node& agent);

    /// Waits for a condition; the generous limit only ends a broken test.
    /// @return whether the condition came true
    static bool eventually(const std::function<bool()>& condition);

    [[nodiscard]] std::vector<entry_node>& entries() { return this->entries_; }
    [[nodiscard]] std::vector<agent_node>& agents() { return this->agents_; }

private:
    agent_node start_agent(const std::string& upstream, const std::string& serves,
                           const std::string& type, const std::string& upstream_address);
    entry_node start_entry(const std::string& name);
    [[nodiscard]] std::unique_ptr<product_process> run_agent(const agent_node& agent) const;
    bool is_connected(const entry_node& entry);

    transport::runtime context_{2};
    standins::platform_standin platform_;
    std::vector<std::unique_ptr<standins::engine_standin>> engines_;
    std::vector<std::unique_ptr<standins::service_standin>> services_;
    std::unique_ptr<standins::rank_group_standin> rank_group_;
    std::vector<agent_node> agents_;
    std::vector<entry_node> entries_;
};

} // namespace medlaryoke::session
