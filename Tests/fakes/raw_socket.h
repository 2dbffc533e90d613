#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlaryoke::fakes {

/// @param address IPv4 address and port
/// @return a connected socket
int connect_to(const std::string& address);

/// @param descriptor a connected socket
/// @param bytes sent whole
/// @throws std::system_error if the peer is gone
void send_all(int descriptor, std::string_view bytes);

/// A blocking TCP connection, for bytes that no well-behaved peer sends.
class raw_connection {
public:
    /// @param descriptor a connected socket; closed by this object
    explicit raw_connection(int descriptor) : descriptor_(descriptor) {}

    /// @param address IPv4 address and port to connect to
    explicit raw_connection(const std::string& address);
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    ~raw_connection();

    /// @param bytes sent whole
    void send(std::string_view bytes) const { send_all(this->descriptor_, bytes); }

    /// @param marker where to stop
    /// @return the bytes up to and with the marker, or up to the end of the connection
    [[nodiscard]] std::string read_until(std::string_view marker) const;

    /// @return the bytes up to the end of the connection
    [[nodiscard]] std::string read_all() const;

private:
    int descriptor_;
};

/// A listening TCP socket on a free loopback port.
class raw_listener {
public:
    raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;
    raw_listener(raw_listener&&) = delete;
    raw_listener& operator=(raw_listener&&) = delete;
    ~raw_listener();

    /// @return IPv4 address and port
    [[nodiscard]] const std::string& address() const { return this->address_; }

    /// @return the next connection; waits for it
    [[nodiscard]] raw_connection accept() const;

    /// @return whether a connection waits to be accepted
    [[nodiscard]] bool has_pending() const;

    /// @return the descriptor, for poll
    [[nodiscard]] int descriptor() const { return this->descriptor_; }

private:
    int descriptor_;
    std::string address_;
};

} // namespace medlaryoke::fakes
