#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "fakes/raw_socket.h"

namespace medlaryoke::fakes {

/// Relays TCP connections to one server and simulates network faults. It can make connections
/// silent without closing them while new ones work, as a middlebox that lost its state does; it can
/// reset or delay connections, or relay bytes in one direction only.
class tcp_proxy {
public:
    /// @param server IPv4 address and port of the server
    explicit tcp_proxy(std::string server);
    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;
    tcp_proxy(tcp_proxy&&) = delete;
    tcp_proxy& operator=(tcp_proxy&&) = delete;
    ~tcp_proxy();

    /// @return the address to connect to
    [[nodiscard]] const std::string& address() const { return this->listener_.address(); }

    /// Stops relaying in both directions on the connections that are open now.
    void silence_open_connections() { this->last_silenced_number_ = this->opened_.load(); }

    /// Resets the connections that are open now, to the caller and to the server.
    void reset_open_connections() { this->last_reset_number_ = this->opened_.load(); }

    /// @param delay before each block of at most 64 KiB is relayed; the proxy relays nothing else
    /// meanwhile
    void set_delay(std::chrono::milliseconds delay) { this->delay_ms_ = delay.count(); }

    /// @param dropped whether bytes from the server to the callers are discarded
    void drop_answers(bool dropped) { this->drops_answers_ = dropped; }

    /// @return number of connections relayed so far
    [[nodiscard]] unsigned opened() const { return this->opened_; }

private:
    struct relay {
        int caller_descriptor = -1;
        int server_descriptor = -1;
        unsigned number = 0; ///< position in the order of acceptance, from 1
        bool ended = false;
    };

    void run();
    void accept();
    void forward(relay& connection, int from, int to) const;

    std::string server_;
    raw_listener listener_;
    std::atomic<unsigned> opened_ = 0;
    std::atomic<unsigned> last_silenced_number_ = 0;
    std::atomic<unsigned> last_reset_number_ = 0;
    std::atomic<std::chrono::milliseconds::rep> delay_ms_ = 0;
    std::atomic<bool> drops_answers_ = false;
    std::atomic<bool> stopping_ = false;
    std::vector<relay> relays_; ///< used by `thread_` only
    std::thread thread_;
};

} // namespace medlaryoke::fakes
