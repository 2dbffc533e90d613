#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controllers/peer_directory.h"
#include "controllers/request_dispatcher.h"
#include "controllers/request_statistics.h"
#include "controllers/upstream_links.h"
#include "transport/http_server.h"

namespace medlaryoke::controllers {

/// State of an entry as shown to operators.
struct entry_status {
    std::string instance;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::string caller_address;
    bool draining = false;
    std::uint64_t config_offset = 0;
    bool log_available = true;             ///< if false, no change of configuration is accepted
    std::int64_t config_since_unix_ms = 0; ///< time when config_offset came into force here
    std::uint64_t confirmed_offset = 0;    ///< lowest offset in force at any live entry or agent
    std::size_t max_queue_items = 0;
    std::size_t max_body_bytes = 0;
    std::size_t subset_size = 0;
    std::size_t open_connections = 0; ///< number of connections from callers
    std::vector<upstream_status> links;
    std::vector<queue_status> queues;
    std::vector<peer_view> peers;
};

/// Serves `/healthz`, `/readyz`, `/metrics`, `/v1/status` and `/v1/samples`.
class operator_status {
public:
    /// @param status returns the current state of the entry
    /// @param statistics counters of requests; outlives this object
    operator_status(std::function<entry_status()> status, const request_statistics& statistics);

    /// Answers a request if its path is one of those of this class.
    /// @param request a request on the operator listener
    /// @param response stream that receives the answer
    /// @return whether the request was answered
    bool handle(const transport::http_request& request, transport::response_stream& response) const;

private:
    std::function<entry_status()> status_;
    const request_statistics& statistics_;
};

} // namespace medlaryoke::controllers
