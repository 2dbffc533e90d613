#include "fakes/tcp_proxy.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace medlaryoke::fakes {

namespace {

/// Makes a later close() of a socket send a reset instead of an orderly end.
void reset_on_close(int descriptor)
{
    const linger no_linger{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
}

} // namespace

tcp_proxy::tcp_proxy(std::string server)
    : server_(std::move(server)), thread_([this] { this->run(); })
{
}

tcp_proxy::~tcp_proxy()
{
    this->stopping_ = true;
    this->thread_.join();
    for (const auto& connection : this->relays_) {
        close(connection.caller_descriptor);
        close(connection.server_descriptor);
    }
}

void tcp_proxy::run()
{
    constexpr int poll_interval_ms = 5;
    while (!this->stopping_) {
        std::vector<pollfd> poll_entries{{this->listener_.descriptor(), POLLIN, 0}};
        for (const auto& connection : this->relays_) {
            const auto events =
                static_cast<short>(connection.number > this->last_silenced_number_ ? POLLIN : 0);
            poll_entries.push_back({connection.caller_descriptor, events, 0});
            poll_entries.push_back({connection.server_descriptor, events, 0});
        }
        poll(poll_entries.data(), poll_entries.size(), poll_interval_ms);
        auto it = std::next(poll_entries.begin());
        for (auto& connection : this->relays_) {
            const bool from_caller = (it++->revents & POLLIN) != 0;
            const bool from_server = (it++->revents & POLLIN) != 0;
            if (from_caller) {
                this->forward(connection, connection.caller_descriptor,
                              connection.server_descriptor);
            }
            if (from_server && !connection.ended) {
                this->forward(connection, connection.server_descriptor,
                              connection.caller_descriptor);
            }
        }
        std::erase_if(this->relays_, [this](relay& connection) {
            if (connection.number <= this->last_reset_number_) {
                reset_on_close(connection.caller_descriptor);
                reset_on_close(connection.server_descriptor);
                connection.ended = true;
            }
            if (connection.ended) {
                close(connection.caller_descriptor);
                close(connection.server_descriptor);
            }
            return connection.ended;
        });
        if (poll_entries.front().revents != 0) {
            this->accept();
        }
    }
}

void tcp_proxy::forward(relay& connection, int from, int to) const
{
    if (connection.number <= this->last_silenced_number_) {
        return;
    }
    std::array<char, 65536> buf{};
    const auto size = recv(from, buf.data(), buf.size(), 0);
    if (size <= 0) {
        connection.ended = true;
        return;
    }
    if (this->drops_answers_ && from == connection.server_descriptor) {
        return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(this->delay_ms_));
    try {
        send_all(to, {buf.data(), static_cast<std::size_t>(size)});
    }
    catch (const std::system_error&) {
        connection.ended = true; // the receiver closed the connection
    }
}

void tcp_proxy::accept()
{
    const int caller_descriptor =
        ::accept4(this->listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    try {
        const int server_descriptor = connect_to(this->server_);
        this->relays_.push_back({caller_descriptor, server_descriptor, ++this->opened_});
    }
    catch (const std::system_error&) {
        close(caller_descriptor);
    }
}

} // namespace medlaryoke::fakes
