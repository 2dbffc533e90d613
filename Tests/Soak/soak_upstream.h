#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "fakes/tcp_proxy.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::soak {

/// Counts how often the upstreams executed each request. Shared by all upstreams. Thread safe.
class execution_counter {
public:
    /// Counts an execution.
    /// @param id id of the request that an upstream starts to execute
    void add(const std::string& id);

    /// @param id request id
    /// @return how often upstreams started to execute the request
    [[nodiscard]] unsigned count_of(const std::string& id) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, unsigned> counts_;
};

/// An upstream behind a loopback proxy that injects network faults. A stream consists of
/// `stream_events` events with ids from 1, each with the target of the request as data. A request
/// with Last-Event-Id receives the events after that id.
class soak_upstream {
public:
    static constexpr unsigned stream_events = 8;

    /// @param runtime event loop that handles the calls
    /// @param executions counts the executed requests
    /// @param name instance name, which requests may require by Medlaryoke-Expect-Instance
    soak_upstream(transport::runtime& runtime, execution_counter& executions, std::string name);

    /// @return name of the upstream
    [[nodiscard]] const std::string& name() const { return this->name_; }

    /// @return IPv4 address and port of the proxy
    [[nodiscard]] const std::string& address() const { return this->proxy_.address(); }

    /// @return the proxy between the gateways and this upstream
    [[nodiscard]] fakes::tcp_proxy& proxy() { return this->proxy_; }

    /// A request that reached the upstream.
    struct arrival {
        std::chrono::steady_clock::time_point at;
        std::string request_id;
        bool is_limited = false; ///< its answer names the rate limit
    };

    /// @param per_second rate limit that answers name from now on; empty for none
    void set_rate_limit(std::optional<double> per_second);

    /// @return the requests in the order of their arrival
    [[nodiscard]] std::vector<arrival> arrivals() const;

    std::atomic<bool> refuses = false; ///< answers 503 without executing requests
    std::atomic<bool> fails = false;   ///< executes requests and answers `fail_status`
    std::atomic<unsigned> fail_status = 500;
    std::atomic<std::size_t> extra_bytes = 0; ///< follow the text of an answer
    std::atomic<int> work_ms = 20;            ///< time from a request to its answer
    std::atomic<bool> leaves = false;         ///< says in all its answers that it leaves
    std::atomic<int> pause_s = 0;             ///< names this Retry-After when it refuses; 0: none
    std::atomic<std::int64_t> born = 1; ///< start of its incarnation, in its membership record
    std::string data_centre = "dc-0";   ///< in its membership record

private:
    using response = std::shared_ptr<transport::response_stream>;

    void handle(const transport::http_request& request, const response& reply);
    void send_event(const std::string& target, unsigned number, const response& reply);

    transport::runtime& runtime_;
    execution_counter& executions_;
    std::string name_;
    mutable std::mutex mutex_;
    std::optional<double> rate_limit_;
    std::vector<arrival> arrivals_;
    transport::http_server server_;
    fakes::tcp_proxy proxy_;
};

/// @param target path of a request
/// @param number id of the event, from 1
/// @return the event in the text/event-stream format
std::string stream_event(const std::string& target, unsigned number);

} // namespace medlaryoke::soak
