#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/runtime.h"

namespace medlaryoke::transport {

/// A UDP socket for small messages that may be lost.
class datagram_socket {
public:
    using receiver = std::function<void(std::string_view data)>;

    /// Binds the address.
    /// @param context runs the receiver
    /// @param address IP address and port; port 0 picks a free one
    /// @param receive called for each datagram on a worker thread
    /// @throws error of kind unavailable if the address cannot be bound
    datagram_socket(runtime& context, const std::string& address, receiver receive);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;

    /// Closes the socket. A call of the receiver that has begun may still be running.
    ~datagram_socket();

    /// Sends without waiting; a datagram that finds the socket's buffer full is dropped.
    /// @param data at most about 1400 bytes, so that it fits in one packet
    /// @param address IP address and port of the receiver
    void send(std::string_view data, const std::string& address);

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
