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

/// A gateway between a raw caller and raw upstreams that a test plays.
class gateway_site {
public:
    /// @param upstream_count number of upstreams of the service `desk`
    explicit gateway_site(unsigned upstream_count);
    gateway_site(const gateway_site&) = delete;
    gateway_site& operator=(const gateway_site&) = delete;
    gateway_site(gateway_site&&) = delete;
    gateway_site& operator=(gateway_site&&) = delete;
    ~gateway_site();

    /// Brings the configuration into force that the test has prepared.
    void configure();

    /// @param path selects the route: `/safe/`, `/unsafe/`, `/stream/` or `/public/`
    /// @param headers further header lines with their line ends
    /// @return a connection on which the request was sent
    [[nodiscard]] fakes::raw_connection call(const std::string& path,
                                             const std::string& headers = {}) const;

    /// Waits until an upstream has a connection.
    /// @return its index
    [[nodiscard]] std::size_t reached() const;

    /// Calls a function on the gateway's thread.
    void run(std::function<void()> fn);

    model::route_config config;
    std::vector<std::unique_ptr<fakes::raw_listener>> upstreams;
    system_clock_source clock;
    transport::runtime context{1};
    std::unique_ptr<config_state> state;
    std::unique_ptr<gateway> target;
    std::unique_ptr<transport::http_server> server;

private:
    void tick();
};

/// @param id of the request as echoed
/// @param body of the answer
/// @return a signed answer with success
std::string signed_answer(const std::string& id, const std::string& body);

} // namespace medlaryoke::gateway
