#include "Soak/soak_store.h"

#include <chrono>

#include <nlohmann/json.hpp>

#include "platform/platform_store.h"
#include "StandIns/standin_http.h"
#include "transport/base64.h"

namespace medlaryoke::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr unsigned byte_bits = 8;
constexpr auto service_name = "desk";

std::string big_endian(std::uint64_t number, std::size_t size)
{
    std::string bytes;
    for (std::size_t n = size; n > 0; --n) {
        bytes += static_cast<char>((number >> (byte_bits * (n - 1))) & 0xFFU);
    }
    return bytes;
}

} // namespace

soak_store::soak_store(transport::runtime& runtime)
    : runtime_(runtime), server_(runtime, {.address = "127.0.0.1:0"},
                                 [this](const transport::http_request& request,
                                        const response& reply) { this->handle(request, reply); })
{
}

std::uint64_t soak_store::put(const std::string& topic, const std::string& key,
                              const std::string& value)
{
    const std::scoped_lock lock(this->mutex_);
    auto& log = this->topics_[topic];
    log.records.emplace_back(key, value);
    if (value.empty()) {
        log.newest.erase(key);
    }
    else {
        log.newest[key] = log.records.size() - 1;
    }
    return log.records.size() - 1;
}

void soak_store::put_upstream(const soak_upstream& upstream, const std::string& state)
{
    this->put_upstream(upstream.name(), upstream.address(), state);
}

void soak_store::remove_upstream(const std::string& name)
{
    this->put("keyed.servers", name, "");
}

void soak_store::put_upstream(const std::string& name, const std::string& address,
                              const std::string& state)
{
    this->put("keyed.servers", name,
              nlohmann::json{{"service", service_name},
                             {"address", address},
                             {"zone", "dc-0"},
                             {"slots", 8},
                             {"state", state}}
                  .dump());
}

void soak_store::put_configuration(unsigned version, const std::vector<soak_route>& routes)
{
    auto list = nlohmann::json::array();
    for (const auto& route : routes) {
        list.push_back({{"name", route.name},
                        {"host", "desk.example"},
                        {"pathPrefix", "/" + route.name + "/"},
                        {"kind", route.kind},
                        {"timeoutMs", 2000},
                        {"targetLatencyMs", 500},
                        {"service", service_name},
                        {"public", true},
                        {"maxAttempts", route.max_attempts},
                        {"resumable", route.resumable}});
    }
    this->put("keyed.op", "config",
              nlohmann::json{
                  {"version", version}, {"routes", list}, {"services", {{{"name", service_name}}}}}
                  .dump());
}

void soak_store::set_state(store_state state)
{
    const std::scoped_lock lock(this->mutex_);
    this->state_ = state;
}

void soak_store::handle(const transport::http_request& request, const response& reply)
{
    store_state state{};
    {
        const std::scoped_lock lock(this->mutex_);
        state = this->state_;
    }
    if (state == store_state::silent) {
        // The callback owns the reply, which keeps the connection open without an answer.
        this->runtime_.after(10s, [reply] { reply->abort(); });
        return;
    }
    if (state == store_state::refuses) {
        standins::respond_json(*reply, 503, {{"error", "down"}});
        return;
    }
    const auto target = standins::parse_target(request.target);
    const auto& topic = target.query.at("topic");
    if (target.path == "/log-append") {
        this->append(request, topic, reply);
    }
    else if (target.path == "/log-newest") {
        this->list_newest(topic, reply);
    }
    else {
        const auto wait = std::chrono::milliseconds(standins::query_number(target, "waitMs", 0));
        this->read_records(topic, standins::query_number(target, "from", 0),
                           std::chrono::steady_clock::now() + wait, reply);
    }
}

void soak_store::append(const transport::http_request& request, const std::string& topic,
                        const response& reply)
{
    const auto record = request.body.substr(length_bytes);
    const auto key_size = static_cast<unsigned char>(record.at(0));
    const auto offset = this->put(topic, record.substr(1, key_size), record.substr(1U + key_size));
    standins::respond_json(*reply, 200, {{"offset", offset}, {"end", offset + 1}});
}

void soak_store::list_newest(const std::string& topic, const response& reply)
{
    const std::scoped_lock lock(this->mutex_);
    const auto& log = this->topics_[topic];
    auto items = nlohmann::json::array();
    for (const auto& [key, offset] : log.newest) {
        items.push_back({{"key", key},
                         {"offset", offset},
                         {"value", transport::encode_base64(log.records[offset].second)}});
    }
    standins::respond_json(*reply, 200,
                           {{"items", items}, {"hasMore", false}, {"end", log.records.size()}});
}

void soak_store::read_records(const std::string& topic, std::size_t from, time_point until,
                              const response& reply)
{
    constexpr auto poll_interval = 20ms;
    const std::scoped_lock lock(this->mutex_);
    const auto& log = this->topics_[topic];
    if (log.records.size() <= from && std::chrono::steady_clock::now() < until) {
        this->runtime_.after(poll_interval, [this, topic, from, until, reply] {
            this->read_records(topic, from, until, reply);
        });
        return;
    }
    auto body = big_endian(log.records.size(), offset_bytes) + big_endian(0, offset_bytes);
    for (std::size_t n = from; n < log.records.size(); ++n) {
        body += platform::encode_record(log.records[n].first, log.records[n].second);
    }
    reply->respond({{200, {{"Content-Type", "application/octet-stream"}}}, body});
}

} // namespace medlaryoke::soak
