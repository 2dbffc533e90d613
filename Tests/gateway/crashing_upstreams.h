#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "gateway/gateway_fixture.h"

namespace medlaryoke::gateway {

/// Serves the upstreams of a fixture. A request whose prompt holds a crashing part ends its
/// upstream: the answer breaks off after its head, and nothing listens at the address any more. All
/// other requests are answered with a stream of three events.
class crashing_upstreams {
public:
    /// How the answer of a crashing request breaks off.
    enum class break_off {
        after_chunked_head,  ///< the head announces chunks, and none comes
        after_unframed_head, ///< the head announces neither a length nor chunks
        within_event,        ///< no length, and the first event is incomplete
        before_head,
    };

    /// @param fixture whose upstreams are served
    /// @param parts ids of the crashing parts
    /// @param how answers break off
    crashing_upstreams(gateway_fixture& fixture, std::vector<std::string> parts,
                       break_off how = break_off::after_chunked_head);
    crashing_upstreams(const crashing_upstreams&) = delete;
    crashing_upstreams& operator=(const crashing_upstreams&) = delete;
    crashing_upstreams(crashing_upstreams&&) = delete;
    crashing_upstreams& operator=(crashing_upstreams&&) = delete;
    ~crashing_upstreams();

    /// @return upstreams that have ended
    [[nodiscard]] unsigned ended() const { return this->ended_; }

    /// @return crashing requests that have reached an upstream
    [[nodiscard]] unsigned crashing_requests() const { return this->crashing_requests_; }

private:
    void serve();
    void answer(std::size_t index);

    gateway_fixture& fixture_;
    std::vector<std::string> parts_;
    break_off how_;
    std::atomic<unsigned> ended_ = 0;
    std::atomic<unsigned> crashing_requests_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace medlaryoke::gateway
