#include "fakes/endless_sender.h"

#include <fstream>
#include <system_error>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace medlaryoke::fakes {

namespace {

// No reader that has a limit takes as much.
constexpr std::size_t max_sent_bytes = 1024U * 1024U * 1024U;

constexpr auto poll_interval = std::chrono::milliseconds(5);

} // namespace

std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

endless_sender::endless_sender(std::string beginning, std::string repeated,
                               std::chrono::milliseconds pause)
    : thread_([this, begin = std::move(beginning), repeat = std::move(repeated), pause] {
          this->serve(begin, repeat, pause);
      })
{
}

endless_sender::~endless_sender()
{
    this->stopping_ = true;
    this->thread_.join();
}

bool endless_sender::is_closed_within(std::chrono::milliseconds limit) const
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!this->closed_ && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(poll_interval);
    }
    return this->closed_;
}

void endless_sender::serve(const std::string& beginning, const std::string& repeated,
                           std::chrono::milliseconds pause)
{
    pollfd entry{this->listener_.descriptor(), POLLIN, 0};
    while (poll(&entry, 1, static_cast<int>(poll_interval.count())) == 0) {
        if (this->stopping_) {
            return;
        }
    }
    const auto connection = this->listener_.accept();
    if (connection.read_until("\r\n\r\n").empty()) {
        return;
    }
    try {
        connection.send(beginning);
        while (!this->stopping_ && this->sent_ < max_sent_bytes) {
            connection.send(repeated);
            this->sent_ += repeated.size();
            std::this_thread::sleep_for(pause);
        }
    }
    catch (const std::system_error&) {
        this->closed_ = true; // the client has closed the connection
    }
}

} // namespace medlaryoke::fakes
