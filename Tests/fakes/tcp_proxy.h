#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "fakes/raw_socket.h"

namespace medlaryoke::fakes {

/// Relays TCP connections to one server. Connections can go silent without being closed while new
/// ones work, as behind a middlebox that lost its state; they can be reset, slowed down, or pass
/// bytes in one direction only.
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

    /// Relays nothing more on the connections that are open now, in both directions.
    void silence_open_connections() { this->silence_up_to_ = this->opened_.load(); }

    /// Resets the connections that are open now, towards both ends.
    void reset_open_connections() { this->reset_up_to_ = this->opened_.load(); }

    /// @param delay waited before each block is passed on
    void set_delay(std::chrono::milliseconds delay) { this->delay_ms_ = delay.count(); }

    /// @param dropped whether nothing is passed from the server to the callers
    void drop_answers(bool dropped) { this->drops_answers_ = dropped; }

    /// @return connections accepted so far
    [[nodiscard]] unsigned opened() const { return this->opened_; }

private:
    struct relay {
        int caller = -1;
        int server = -1;
        unsigned number = 0; ///< from 1
        bool ended = false;
    };

    void run();
    void accept();
    void pass(relay& entry, int from, int to) const;

    std::string server_;
    raw_listener listener_;
    std::atomic<unsigned> opened_ = 0;
    std::atomic<unsigned> silence_up_to_ = 0;
    std::atomic<unsigned> reset_up_to_ = 0;
    std::atomic<std::chrono::milliseconds::rep> delay_ms_ = 0;
    std::atomic<bool> drops_answers_ = false;
    std::atomic<bool> stopping_ = false;
    std::vector<relay> relays_; ///< used by the thread only
    std::thread thread_;
};

} // namespace medlaryoke::fakes
