#pragma once

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fakes/raw_socket.h"
#include "gateway/config_state.h"
#include "gateway/gateway.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

/// A gateway between a caller and upstreams whose sockets the test controls.
class gateway_fixture {
public:
    /// @param upstream_count number of upstreams of the service `desk`
    explicit gateway_fixture(unsigned upstream_count);
    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;
    gateway_fixture(gateway_fixture&&) = delete;
    gateway_fixture& operator=(gateway_fixture&&) = delete;
    ~gateway_fixture();

    /// Makes `config` the active configuration.
    void configure();

    /// Sends a GET request.
    /// @param path selects the route: `/safe/`, `/unsafe/`, `/stream/` or `/public/`
    /// @param headers further header lines, each with CRLF
    /// @return the connection, to read the response from
    [[nodiscard]] fakes::raw_connection call(const std::string& path,
                                             const std::string& headers = {}) const;

    /// Waits until a connection to an upstream is pending.
    /// @return index of the upstream
    [[nodiscard]] std::size_t wait_for_upstream() const;

    /// Calls a function on the gateway's thread and waits for it.
    void run_on_gateway(std::function<void()> fn);

    model::route_config config;
    std::vector<std::unique_ptr<fakes::raw_listener>> upstreams;
    system_clock_source clock;
    transport::runtime context{1};
    std::unique_ptr<config_state> active_state;
    std::unique_ptr<gateway> tested_gateway;
    std::unique_ptr<transport::http_server> server;

private:
    void tick();
};

/// @param id request id that the response echoes
/// @param body body of the response
/// @return a response with status 200 and a signature
std::string signed_response(const std::string& id, const std::string& body);

} // namespace medlaryoke::gateway
