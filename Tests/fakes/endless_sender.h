#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "fakes/raw_socket.h"

namespace medlaryoke::fakes {

/// @return memory of this process that is resident, in bytes
std::size_t resident_bytes();

/// A server that answers one request with a beginning and then the same bytes again and again,
/// until its client closes the connection or the limit is reached.
class endless_sender {
public:
    /// @param beginning sent first
    /// @param repeated sent again and again
    /// @param pause between two repeats; zero: as fast as the client reads
    endless_sender(std::string beginning, std::string repeated,
                   std::chrono::milliseconds pause = {});
    endless_sender(const endless_sender&) = delete;
    endless_sender& operator=(const endless_sender&) = delete;
    endless_sender(endless_sender&&) = delete;
    endless_sender& operator=(endless_sender&&) = delete;
    ~endless_sender();

    /// @return IPv4 address and port
    [[nodiscard]] const std::string& address() const { return this->listener_.address(); }

    /// @param limit longest time to wait
    /// @return whether the client has closed the connection before all bytes were sent
    [[nodiscard]] bool is_closed_within(std::chrono::milliseconds limit) const;

    /// @return bytes that the client has taken
    [[nodiscard]] std::size_t sent() const { return this->sent_; }

private:
    void serve(const std::string& beginning, const std::string& repeated,
               std::chrono::milliseconds pause);

    raw_listener listener_;
    std::atomic<std::size_t> sent_ = 0;
    std::atomic<bool> closed_ = false;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace medlaryoke::fakes
