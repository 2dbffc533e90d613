#include "gateway/limited_upstreams.h"

#include <algorithm>
#include <chrono>
#include <system_error>

namespace medlaryoke::gateway {

using namespace std::chrono_literals;

limited_upstreams::limited_upstreams(gateway_fixture& fixture)
    : fixture_(fixture), behaviours_(fixture.upstreams.size()), thread_([this] { this->serve(); })
{
}

limited_upstreams::~limited_upstreams()
{
    this->stopping_ = true;
    this->thread_.join();
}

void limited_upstreams::set_limit(std::size_t index, const std::string& limit)
{
    const std::scoped_lock lock(this->mutex_);
    this->behaviours_[index].limit = limit;
}

void limited_upstreams::set_status(std::size_t index, const std::string& status)
{
    const std::scoped_lock lock(this->mutex_);
    this->behaviours_[index].status = status;
}

void limited_upstreams::set_headers(std::size_t index, const std::string& headers)
{
    const std::scoped_lock lock(this->mutex_);
    this->behaviours_[index].headers = headers;
}

std::vector<time_point> limited_upstreams::arrivals(std::size_t index) const
{
    const std::scoped_lock lock(this->mutex_);
    return this->behaviours_[index].arrivals;
}

void limited_upstreams::serve()
{
    while (!this->stopping_) {
        for (std::size_t n = 0; n < this->fixture_.upstreams.size(); ++n) {
            if (this->fixture_.upstreams[n]->has_pending()) {
                try {
                    this->answer(n);
                }
                catch (const std::system_error&) {
                    continue; // the gateway has closed the connection
                }
            }
        }
        std::this_thread::sleep_for(1ms);
    }
}

void limited_upstreams::answer(std::size_t index)
{
    const auto connection = this->fixture_.upstreams[index]->accept();
    if (connection.read_until("\r\n\r\n").empty()) {
        return;
    }
    const std::scoped_lock lock(this->mutex_);
    auto& it = this->behaviours_[index];
    it.arrivals.push_back(this->fixture_.clock.now());
    connection.send("HTTP/1.1 " + it.status +
                    "\r\nX-Id: r-1\r\nX-Signature: s\r\nConnection: close\r\n" +
                    (it.limit.empty() ? "" : "X-Limit: " + it.limit + "\r\n") + it.headers +
                    "Content-Length: 2\r\n\r\nok");
}

std::size_t busiest_window(const std::vector<time_point>& arrivals, time_point since,
                           duration window)
{
    std::size_t most = 0;
    for (auto first = std::ranges::lower_bound(arrivals, since); first != arrivals.end(); ++first) {
        const auto last = std::ranges::upper_bound(arrivals, *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace medlaryoke::gateway
