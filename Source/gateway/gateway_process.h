#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "experts/group_coordination.h"
#include "gateway/config_state.h"
#include "gateway/gateway.h"
#include "gateway/keyed_log.h"
#include "gateway/peer_exchange.h"
#include "gateway/topic_follower.h"
#include "policy/upstream_registry.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

/// Settings of one gateway.
struct gateway_settings {
    std::string instance;
    std::string data_centre;
    std::string caller_address;     ///< where callers connect
    std::string readiness_address;  ///< asked by health checks
    std::string directory_address;  ///< asked by callers for addresses
    std::string control_address;    ///< for other gateways
    std::string beat_address;       ///< UDP, for other gateways
    std::string metrics_address;    ///< empty: no metrics are served
    std::vector<std::string> seeds; ///< beat addresses of gateways that may run
    policy::attempt_budget_options budget;
    duration grace =
        std::chrono::seconds(8); ///< from the signal to end until the process is killed
    /// After the store's return, within which the entries of living upstreams are back.
    duration upstream_return = std::chrono::milliseconds(2300);
};

/// One address that a directory gives to callers.
struct directory_entry {
    std::string address;
    std::string data_centre;
};

/// What a deployment supplies: its store, its names, and how its records and answers are written.
struct deployment {
    caller_protocol protocol;
    std::string config_topic;
    std::string config_key;
    std::string upstreams_topic;
    std::string gateways_topic;     ///< written by the gateways
    std::string coordinators_topic; ///< written by coordinators; offsets are their tokens
    std::function<std::unique_ptr<experts::lockstep_engine>(transport::runtime&,
                                                            const std::string& address)>
        open_engine; ///< makes the way to an engine from another machine
    std::function<std::unique_ptr<keyed_log>(transport::runtime&)> open_store;
    /// Reads the settings again; throws error if they cannot be read.
    std::function<gateway_settings()> reload_settings;
    config_state::decoder decode_config;
    /// @return the entry; empty if the record names no upstream that can be used
    std::function<std::optional<model::upstream_entry>(const std::string& key,
                                                       const std::string& record)>
        decode_upstream;
    /// Answers a caller that asks where to connect.
    std::function<transport::http_response(const transport::http_request&,
                                           const std::vector<directory_entry>&)>
        answer_directory;
};

/// A gateway with its listeners, its feeds from the store and its peers.
class gateway_process {
public:
    gateway_process(gateway_settings settings, deployment adapter);
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    gateway_process(gateway_process&&) = delete;
    gateway_process& operator=(gateway_process&&) = delete;
    ~gateway_process();

    /// Serves until SIGTERM or SIGINT and the drain after it.
    void run();

private:
    void start();
    void open_listeners();
    void follow_store();
    void announce();
    void read_gateways();
    void on_config_changes(const std::vector<policy::keyed_record>& changes);
    void on_upstream_changes(const std::vector<policy::keyed_record>& changes);
    void on_peers();
    void fetch_config(const std::string& control_address);
    void update_upstreams();
    void elect();
    void apply_config(const std::string& record, std::string_view source);
    void tick();
    void reload();
    void drain();
    void end_when_idle(time_point last);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::vector<directory_entry> directory() const;
    transport::http_response answer_control(const transport::http_request& request);
    std::string metrics_text();
    void serve(std::unique_ptr<transport::http_server>& server, const std::string& address,
               std::function<transport::http_response(const transport::http_request&)> answer);

    gateway_settings settings_;
    deployment adapter_;
    system_clock_source clock_;
    event_log log_{"process"};
    transport::runtime context_{1};
    std::unique_ptr<keyed_log> store_;
    config_state config_;
    gateway gateway_;
    policy::upstream_registry registry_;
    experts::group_coordination coordination_;
    std::shared_ptr<peer_exchange> peers_;
    std::shared_ptr<topic_follower> config_feed_;
    std::shared_ptr<topic_follower> upstream_feed_;
    std::unique_ptr<transport::http_server> caller_server_;
    std::unique_ptr<transport::http_server> readiness_server_;
    std::unique_ptr<transport::http_server> directory_server_;
    std::unique_ptr<transport::http_server> control_server_;
    std::unique_ptr<transport::http_server> metrics_server_;
    std::unique_ptr<transport::http_client> config_client_; ///< of the peer that is asked
    time_point started_{};
    time_point last_request_{};
    time_point last_busy_{};                     ///< when a request was last seen open
    std::optional<time_point> alone_since_;      ///< first by name, but hears few others
    std::optional<time_point> peer_ahead_since_; ///< in the list of upstreams
    bool fetching_config_ = false;
    bool draining_ = false;
};

} // namespace medlaryoke::gateway
