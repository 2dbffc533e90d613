#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/logging.h"
#include "commands/entry_handover.h"
#include "controllers/config_feed.h"
#include "controllers/config_store.h"
#include "controllers/config_writer.h"
#include "controllers/operator_status.h"
#include "controllers/peer_directory.h"
#include "controllers/peer_network.h"
#include "controllers/request_dispatcher.h"
#include "controllers/request_statistics.h"
#include "controllers/resource_api.h"
#include "controllers/snapshot_writer.h"
#include "controllers/upstream_links.h"
#include "filters/caller_api.h"
#include "model/process_settings.h"
#include "transport/http_server.h"
#include "transport/instance_list_client.h"
#include "transport/log_client.h"
#include "transport/runtime.h"

namespace medlaryoke::commands {

/// Creates and connects the components of an entry, and runs them until termination is requested.
class entry_process {
public:
    /// Binds the listen addresses.
    /// @param settings the settings of the entry
    /// @throws error of kind unavailable if an address cannot be bound
    explicit entry_process(const model::entry_settings& settings);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    entry_process(entry_process&&) = delete;
    entry_process& operator=(entry_process&&) = delete;
    ~entry_process() = default;

    /// Serves until SIGTERM or SIGINT is received, then waits for the running requests to end.
    /// @throws error of kind unavailable if requests were still running at the end of the drain
    /// timeout
    void run();

private:
    std::shared_ptr<controllers::upstream_link> open_link(const std::string& upstream,
                                                          const model::upstream_spec& spec);
    controllers::peer_network_events make_peer_events();
    filters::caller_api_options make_caller_options();
    filters::filter_chain make_filters();
    void start_servers();
    void handle_operator(const transport::http_request& request,
                         const std::shared_ptr<transport::response_stream>& response);
    void on_config(const std::shared_ptr<const controllers::config_view>& config);
    void on_instance_list(const std::vector<transport::listed_instance>& list);
    [[nodiscard]] wire::peer_state own_state() const;
    [[nodiscard]] std::vector<controllers::entry_address> entries() const;
    [[nodiscard]] std::vector<std::string> live_peers() const;
    [[nodiscard]] std::vector<controllers::live_runner> live_runners() const;
    [[nodiscard]] std::uint64_t confirmed_offset() const;
    [[nodiscard]] controllers::entry_status status() const;
    void tick_periodically();
    void update_entries_periodically();
    void begin_drain();
    void stop_when_idle(time_point deadline);

    model::entry_settings settings_;
    logger log_{"entry"};
    system_clock_source clock_;
    std::uint64_t incarnation_;
    std::atomic<bool> draining_ = false;
    std::atomic<std::size_t> unfinished_requests_ = 0; ///< requests still open at the drain timeout
    std::atomic<std::int64_t> config_since_unix_ms_ = 0; ///< when the current configuration arrived
    std::mutex listed_mutex_;
    /// Entries of the instance list that are not leaving. Guarded by `listed_mutex_`.
    std::vector<policy::subset_member> listed_entries_;
    transport::runtime runtime_;
    transport::log_client log_service_;
    controllers::config_store config_;
    controllers::config_feed config_feed_;
    controllers::config_writer config_writer_;
    controllers::request_statistics statistics_;
    controllers::request_dispatcher dispatcher_;
    controllers::peer_directory directory_;
    controllers::upstream_links links_;
    controllers::operator_status operator_status_;
    controllers::resource_api resource_api_;
    entry_handover handover_;
    std::unique_ptr<controllers::peer_network> peers_;
    std::unique_ptr<filters::caller_api> caller_api_;
    std::unique_ptr<transport::http_server> caller_server_;
    std::unique_ptr<transport::http_server> operator_server_;
    std::unique_ptr<transport::instance_list_client> instance_list_;
    std::unique_ptr<controllers::snapshot_writer> snapshot_writer_;
};

} // namespace medlaryoke::commands
