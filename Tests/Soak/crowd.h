#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace medlaryoke::soak {

/// Bytes that a client of a crowd sends: a beginning, and then the same bytes again and again.
struct crowd_message {
    std::string beginning;
    std::string repeated;
    std::size_t repetitions = 0;
};

/// Clients that break no protocol and yet hold what they can: each sends its bytes as far as the
/// server takes them, reads nothing, and keeps its connection open. Uses one thread, so that the
/// load on the machine stays small.
class crowd {
public:
    /// @param address IPv4 address and port of the server
    /// @param count number of clients
    /// @param receive_bytes size of the receive buffer of each client; 0: the system's default
    crowd(const std::string& address, unsigned count, int receive_bytes = 0);
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;
    ~crowd();

    /// Sends the bytes on all connections by turns, until all are sent or the server takes no more
    /// for a while.
    void send(const crowd_message& message);

    /// @return number of connections that the server has not closed
    [[nodiscard]] std::size_t open_count() const;

private:
    struct client {
        int descriptor = -1;
        std::size_t sent = 0;
        bool is_closed = false;
    };

    std::vector<client> clients_;
};

/// @return largest resident memory that a process has had, in bytes
std::size_t peak_memory(pid_t process);

/// Waits until a process has handled what it was sent, as shown by the processor time that it uses.
void wait_until_idle(pid_t process);

/// @return open descriptors of a process
std::size_t open_descriptors(pid_t process);

/// @return whether a process of the test runs; one that has ended and was not reaped does not
bool is_alive(pid_t process);

} // namespace medlaryoke::soak
