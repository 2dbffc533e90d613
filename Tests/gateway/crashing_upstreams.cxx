#include "gateway/crashing_upstreams.h"

#include <algorithm>
#include <chrono>
#include <system_error>
#include <utility>

namespace medlaryoke::gateway {

using namespace std::chrono_literals;

namespace {

const std::string unframed_head = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n"
                                  "Content-Type: text/event-stream\r\n\r\n";
const std::string chunked_head = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

std::string broken_answer(crashing_upstreams::break_off how)
{
    switch (how) {
    case crashing_upstreams::break_off::after_chunked_head:
        return chunked_head;
    case crashing_upstreams::break_off::after_unframed_head:
        return unframed_head;
    case crashing_upstreams::break_off::within_event:
        return unframed_head + "id: 1\ndata: be";
    case crashing_upstreams::break_off::before_head:
        break;
    }
    return {};
}

} // namespace

crashing_upstreams::crashing_upstreams(gateway_fixture& fixture, std::vector<std::string> parts,
                                       break_off how)
    : fixture_(fixture), parts_(std::move(parts)), how_(how), thread_([this] { this->serve(); })
{
}

crashing_upstreams::~crashing_upstreams()
{
    this->stopping_ = true;
    this->thread_.join();
}

void crashing_upstreams::serve()
{
    while (!this->stopping_) {
        for (std::size_t n = 0; n < this->fixture_.upstreams.size(); ++n) {
            if (this->fixture_.upstreams[n] && this->fixture_.upstreams[n]->has_pending()) {
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

void crashing_upstreams::answer(std::size_t index)
{
    auto& upstream = this->fixture_.upstreams[index];
    const auto connection = upstream->accept();
    const auto request = connection.read_until("\r\n\r\n");
    if (request.empty()) {
        return; // only a check whether the upstream listens
    }
    const bool ends_upstream =
        std::ranges::any_of(this->parts_, [&request](const std::string& part) {
            return request.find(part + ":") != std::string::npos;
        });
    if (!ends_upstream) {
        connection.send(unframed_head + "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        return;
    }
    ++this->crashing_requests_;
    connection.send(broken_answer(this->how_));
    upstream.reset();
    ++this->ended_;
}

} // namespace medlaryoke::gateway
