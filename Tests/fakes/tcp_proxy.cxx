#include "fakes/tcp_proxy.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace medlaryoke::fakes {

namespace {

/// Makes the close of a connection a reset.
void reset(int descriptor)
{
    const linger at_once{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
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
    for (const auto& entry : this->relays_) {
        close(entry.caller);
        close(entry.server);
    }
}

void tcp_proxy::run()
{
    constexpr int poll_interval_ms = 5;
    while (!this->stopping_) {
        std::vector<pollfd> entries{{this->listener_.descriptor(), POLLIN, 0}};
        for (const auto& entry : this->relays_) {
            const auto events =
                static_cast<short>(entry.number > this->silence_up_to_ ? POLLIN : 0);
            entries.push_back({entry.caller, events, 0});
            entries.push_back({entry.server, events, 0});
        }
        poll(entries.data(), entries.size(), poll_interval_ms);
        auto it = std::next(entries.begin());
        for (auto& entry : this->relays_) {
            const bool from_caller = (it++->revents & POLLIN) != 0;
            const bool from_server = (it++->revents & POLLIN) != 0;
            if (from_caller) {
                this->pass(entry, entry.caller, entry.server);
            }
            if (from_server && !entry.ended) {
                this->pass(entry, entry.server, entry.caller);
            }
        }
        std::erase_if(this->relays_, [this](relay& entry) {
            if (entry.number <= this->reset_up_to_) {
                reset(entry.caller);
                reset(entry.server);
                entry.ended = true;
            }
            if (entry.ended) {
                close(entry.caller);
                close(entry.server);
            }
            return entry.ended;
        });
        if (entries.front().revents != 0) {
            this->accept();
        }
    }
}

void tcp_proxy::pass(relay& entry, int from, int to) const
{
    if (entry.number <= this->silence_up_to_) {
        return;
    }
    std::array<char, 65536> block{};
    const auto size = recv(from, block.data(), block.size(), 0);
    if (size <= 0) {
        entry.ended = true;
        return;
    }
    if (this->drops_answers_ && from == entry.server) {
        return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(this->delay_ms_));
    try {
        send_all(to, {block.data(), static_cast<std::size_t>(size)});
    }
    catch (const std::system_error&) {
        entry.ended = true; // the receiver is gone
    }
}

void tcp_proxy::accept()
{
    const int caller = ::accept(this->listener_.descriptor(), nullptr, nullptr);
    try {
        const int server = connect_to(this->server_);
        this->relays_.push_back({caller, server, ++this->opened_});
    }
    catch (const std::system_error&) {
        close(caller);
    }
}

} // namespace medlaryoke::fakes
