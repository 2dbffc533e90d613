#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

/// A UDP socket for small messages whose loss is tolerable.
class datagram_socket {
public:
    using receiver = std::function<void(std::string_view data)>;

    /// Binds the address, or goes on trying.
    /// @param context runs the callback
    /// @param address IP address and port; port 0 picks a free one
    /// @param receive called for each datagram on a worker thread
    /// @param bind_retry_interval time from one attempt to bind to the next while the address
    /// cannot be bound; zero: throws instead
    /// @throws error of kind invalid_argument if the address is malformed; of kind unavailable if
    /// it cannot be bound and is not tried again
    datagram_socket(runtime& context, const std::string& address, receiver receive,
                    duration bind_retry_interval = {});
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;

    /// Closes the socket. A callback that has already begun may still be running.
    ~datagram_socket();

    /// Sends a datagram without blocking. The datagram is dropped if the send buffer of the socket
    /// is full, and until the address is bound.
    /// @param data at most about 1400 bytes, so that it fits in one packet
    /// @param address IP address and port to send to
    /// @throws error of kind invalid_argument if the address is malformed
    void send(std::string_view data, const std::string& address);

    /// @return the bound IP address and port; an unspecified one until the address is bound
    [[nodiscard]] std::string address() const;

    /// @return whether the address is bound, so that datagrams are sent and received
    [[nodiscard]] bool is_bound() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
