#include "Soak/crowd.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

#include "fakes/raw_socket.h"

namespace medlaryoke::soak {

namespace {

using namespace std::chrono_literals;

// The server takes nothing more if no client could send for this long.
constexpr auto longest_standstill = 3s;

constexpr std::size_t block_bytes = 64U * 1024U;

/// Writes part of a message to a buffer.
void copy_part(const crowd_message& message, std::size_t from, std::string& buffer)
{
    buffer.clear();
    const auto total = message.beginning.size() + message.repeated.size() * message.repetitions;
    while (buffer.size() < block_bytes && from + buffer.size() < total) {
        const auto at = from + buffer.size();
        if (at < message.beginning.size()) {
            buffer += message.beginning.substr(at);
        }
        else {
            buffer +=
                message.repeated.substr((at - message.beginning.size()) % message.repeated.size());
        }
    }
    buffer.resize(std::min(buffer.size(), total - from));
}

} // namespace

crowd::crowd(const std::string& address, unsigned count, int receive_bytes)
{
    for (unsigned n = 0; n < count; ++n) {
        client it;
        try {
            it.descriptor = fakes::connect_to(address);
            if (receive_bytes > 0) {
                ::setsockopt(it.descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                             sizeof(receive_bytes));
            }
            ::fcntl(it.descriptor, F_SETFL, O_NONBLOCK);
        }
        catch (const std::system_error&) {
            it.is_closed = true; // the server may refuse
        }
        this->clients_.push_back(it);
    }
}

crowd::~crowd()
{
    for (const auto& it : this->clients_) {
        if (it.descriptor >= 0) {
            ::close(it.descriptor);
        }
    }
}

void crowd::send(const crowd_message& message)
{
    const auto total = message.beginning.size() + message.repeated.size() * message.repetitions;
    for (auto& it : this->clients_) {
        it.sent = 0;
    }
    std::string buffer;
    auto last_progress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - last_progress < longest_standstill) {
        bool has_sent = false;
        bool is_left = false;
        for (auto& it : this->clients_) {
            if (it.is_closed || it.sent == total) {
                continue;
            }
            is_left = true;
            copy_part(message, it.sent, buffer);
            const auto n = ::send(it.descriptor, buffer.data(), buffer.size(), MSG_NOSIGNAL);
            if (n > 0) {
                it.sent += static_cast<std::size_t>(n);
                has_sent = true;
            }
            else if (errno != EAGAIN && errno != EINTR) {
                it.is_closed = true;
            }
        }
        if (!is_left) {
            return;
        }
        if (has_sent) {
            last_progress = std::chrono::steady_clock::now();
        }
        else {
            std::this_thread::sleep_for(1ms);
        }
    }
}

std::size_t crowd::open_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->clients_, [](const client& it) {
        char byte = 0;
        return !it.is_closed && ::recv(it.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
    }));
}

std::size_t peak_memory(pid_t process)
{
    std::ifstream status(fmt::format("/proc/{}/status", process));
    constexpr std::string_view name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            constexpr std::size_t kilobyte = 1024;
            return std::stoul(line.substr(name.size())) * kilobyte;
        }
    }
    return 0;
}

void wait_until_idle(pid_t process)
{
    // A process without work uses less in this time.
    constexpr unsigned long idle_ticks = 3;
    constexpr auto observed_time = 500ms;
    constexpr int max_rounds = 120;
    const auto used_ticks = [process] {
        std::ifstream status(fmt::format("/proc/{}/stat", process));
        std::string text;
        std::getline(status, text);
        // utime and stime follow the name in parentheses and eleven other fields.
        std::istringstream fields(text.substr(std::min(text.rfind(')') + 1, text.size())));
        constexpr int fields_before = 11;
        std::string skipped;
        for (int n = 0; n < fields_before; ++n) {
            fields >> skipped;
        }
        unsigned long user = 0;
        unsigned long system = 0;
        fields >> user >> system;
        return user + system;
    };
    auto before = used_ticks();
    for (int n = 0; n < max_rounds; ++n) {
        std::this_thread::sleep_for(observed_time);
        const auto now = used_ticks();
        if (now - before <= idle_ticks) {
            return;
        }
        before = now;
    }
}

std::size_t open_descriptors(pid_t process)
{
    std::error_code ec;
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process), ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

bool is_alive(pid_t process)
{
    std::ifstream status(fmt::format("/proc/{}/stat", process));
    std::string text;
    std::getline(status, text);
    const auto at = text.rfind(") ");
    return at != std::string::npos && text[at + 2] != 'Z';
}

} // namespace medlaryoke::soak
