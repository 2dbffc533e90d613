#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "fakes/tcp_proxy.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::soak {

/// Witness of all upstreams together. Thread safe.
class run_witness {
public:
    /// Notes that an upstream begins to work on an attempt of a caller.
    void note(const std::string& id);

    /// @param id of the attempt
    /// @return how often an upstream began to work on it
    [[nodiscard]] unsigned runs_of(const std::string& id) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, unsigned> runs_;
};

/// An upstream behind a loopback proxy. Streams have `stream_events` events with ids from 1, which
/// name the target of the request, and go on behind the id that the request names.
class soak_upstream {
public:
    static constexpr unsigned stream_events = 8;

    /// @param context runs the calls
    /// @param witness learns what runs
    /// @param name identity that requests may expect
    soak_upstream(transport::runtime& context, run_witness& witness, std::string name);

    /// @return name of the upstream
    [[nodiscard]] const std::string& name() const { return this->name_; }

    /// @return IPv4 address and port of the proxy
    [[nodiscard]] const std::string& address() const { return this->proxy_.address(); }

    /// @return the way from gateways
    [[nodiscard]] fakes::tcp_proxy& proxy() { return this->proxy_; }

    std::atomic<bool> refuses = false; ///< says that it is full
    std::atomic<bool> fails = false;   ///< runs requests and answers 500
    std::atomic<int> work_ms = 20;

private:
    using response = std::shared_ptr<transport::response_stream>;

    void handle(const transport::http_request& request, const response& reply);
    void send_event(const std::string& target, unsigned number, const response& reply);

    transport::runtime& context_;
    run_witness& witness_;
    std::string name_;
    transport::http_server server_;
    fakes::tcp_proxy proxy_;
};

/// @param target path of a request
/// @param number of an event, from 1
/// @return the event
std::string stream_event(const std::string& target, unsigned number);

} // namespace medlaryoke::soak
