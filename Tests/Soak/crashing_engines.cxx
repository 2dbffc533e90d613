#include "Soak/crashing_engines.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include <fmt/format.h>

namespace medlaryoke::soak {

namespace {

using namespace std::chrono_literals;

constexpr auto time_down = 1500ms;

/// @return value of a header field of the request, empty if it is missing
std::string field(const std::string& request, const std::string& name)
{
    const auto at = request.find(name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 2;
    return request.substr(begin, request.find('\r', begin) - begin);
}

} // namespace

crashing_engines::crashing_engines(soak_store& store, unsigned count,
                                   std::vector<std::string> parts)
    : store_(store), parts_(std::move(parts)), engines_(count)
{
    std::ranges::for_each(this->engines_, [this](engine& it) { this->start_engine(it); });
    this->thread_ = std::thread([this] { this->run(); });
}

crashing_engines::~crashing_engines()
{
    this->stopping_ = true;
    this->thread_.join();
}

std::vector<crashing_engines::arrival> crashing_engines::arrivals() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->arrivals_;
}

void crashing_engines::start_engine(engine& it)
{
    if (!it.id.empty()) {
        this->store_.remove_upstream(it.id);
    }
    it.id = fmt::format("engine-{}", this->started_++);
    it.listener = std::make_unique<fakes::raw_listener>();
    this->store_.put_upstream(it.id, it.listener->address(), "ready");
}

void crashing_engines::run()
{
    while (!this->stopping_) {
        for (auto& it : this->engines_) {
            try {
                if (!it.listener && timer::now() >= it.back_at) {
                    this->start_engine(it);
                }
                else if (it.listener && it.listener->has_pending()) {
                    this->answer(it);
                }
            }
            catch (const std::system_error&) {
                continue; // the gateway has closed the connection
            }
        }
        std::this_thread::sleep_for(500us);
    }
}

void crashing_engines::answer(engine& it)
{
    const auto connection = it.listener->accept();
    const auto request = connection.read_until("\r\n\r\n");
    if (request.empty()) {
        return; // only a check whether the engine listens
    }
    const auto id = field(request, "Medlaryoke-Request-Id");
    const auto head = fmt::format("HTTP/1.1 {}\r\nMedlaryoke-Request-Id: {}\r\n"
                                  "Medlaryoke-Server-Stamp: s\r\n",
                                  "200 OK", id);
    const auto stream_head = head + "Content-Type: text/event-stream\r\n";
    const auto prompt = field(request, "Medlaryoke-Prompt-Prefix");
    const auto part = std::ranges::find_if(this->parts_, [&prompt](const std::string& name) {
        return prompt.find(name + ":") != std::string::npos;
    });
    if (part == this->parts_.end()) {
        connection.send(stream_head + "\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        return;
    }
    {
        const std::scoped_lock lock(this->mutex_);
        this->arrivals_.push_back({timer::now(), id, *part});
    }
    connection.send(stream_head + "Transfer-Encoding: chunked\r\n\r\n");
    it.listener.reset();
    it.back_at = timer::now() + time_down;
}

} // namespace medlaryoke::soak
