#include "Soak/soak_store.h"

#include <algorithm>
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

nlohmann::json make_upstream_record(const std::string& address, const std::string& state,
                                    const std::string& data_centre, std::int64_t born)
{
    return {
        {"service", service_name}, {"address", address}, {"zone", data_centre}, {"version", "v1"},
        {"coldRemainingMs", 0},    {"sequence", 1},      {"born", born},        {"slots", 8},
        {"state", state}};
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
    return this->append_record(topic, key, value);
}

std::uint64_t soak_store::append_record(const std::string& topic, const std::string& key,
                                        const std::string& value)
{
    auto& log = this->topics_[topic];
    log.records.push_back({key, value, std::chrono::steady_clock::now()});
    index(log, log.records.size() - 1);
    this->lost_.erase({topic, key});
    return log.records.size() - 1;
}

void soak_store::index(topic_log& log, std::size_t offset)
{
    const auto& record = log.records[offset];
    if (record.value.empty()) {
        log.newest.erase(record.key);
    }
    else {
        log.newest[record.key] = offset;
    }
}

std::string soak_store::value(const std::string& topic, const std::string& key) const
{
    const std::scoped_lock lock(this->mutex_);
    const auto log = this->topics_.find(topic);
    if (log == this->topics_.end() || !log->second.newest.contains(key)) {
        return {};
    }
    return log->second.records[log->second.newest.at(key)].value;
}

soak_store::restore_options soak_store::random_restore(std::mt19937& random)
{
    const auto between = [&random](int low_ms, int high_ms) {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(low_ms, high_ms)(random));
    };
    return {std::chrono::steady_clock::now() - between(500, 8000), between(200, 2000),
            between(100, 1800), between(2200, 3600)};
}

void soak_store::restore(const restore_options& options)
{
    const std::scoped_lock lock(this->mutex_);
    ++this->epoch_;
    this->state_ = store_state::refuses;
    this->drop_records_since(options.copied_at);
    const auto epoch = this->epoch_.load();
    this->runtime_.after(options.outage, [this, epoch] {
        const std::scoped_lock inner(this->mutex_);
        if (this->epoch_ == epoch) {
            this->state_ = store_state::works;
        }
    });
    this->runtime_.after(options.outage + options.rewrite_after,
                         [this, epoch] { this->write_again(false, epoch); });
    this->runtime_.after(options.outage + options.expire_after,
                         [this, epoch] { this->write_again(true, epoch); });
}

void soak_store::drop_records_since(time_point since)
{
    for (auto& [topic, log] : this->topics_) {
        const auto first = std::ranges::find_if(
            log.records, [since](const auto& it) { return it.written_at > since; });
        // Gateways write topics of their own again by themselves.
        const bool is_written_again = topic == "keyed.op" || topic == "keyed.servers";
        for (auto it = first; is_written_again && it != log.records.end(); ++it) {
            this->lost_[{topic, it->key}] = it->value;
        }
        log.records.erase(first, log.records.end());
        log.newest.clear();
        for (std::size_t n = 0; n < log.records.size(); ++n) {
            index(log, n);
        }
    }
}

void soak_store::write_again(bool removals, std::uint64_t epoch)
{
    const std::scoped_lock lock(this->mutex_);
    if (epoch != this->epoch_) {
        return; // the next restore writes them again
    }
    const auto lost = this->lost_;
    for (const auto& [key, value] : lost) {
        if (value.empty() == removals) {
            this->append_record(key.first, key.second, value);
        }
    }
}

void soak_store::put_upstream(const soak_upstream& upstream, const std::string& state)
{
    this->put_upstream(upstream.name(), upstream.address(), state, upstream.data_centre,
                       upstream.born);
}

void soak_store::remove_upstream(const std::string& name)
{
    this->put("keyed.servers", name, "");
}

void soak_store::put_upstream(const std::string& name, const std::string& address,
                              const std::string& state, const std::string& data_centre,
                              std::int64_t born)
{
    this->put("keyed.servers", name,
              make_upstream_record(address, state, data_centre, born).dump());
}

std::string soak_store::put_incomplete_upstream(const std::string& key, const std::string& address,
                                                unsigned choice)
{
    auto record = make_upstream_record(address, "ready", "dc-0", 1);
    const auto missing = std::next(record.begin(), choice % static_cast<unsigned>(record.size()));
    auto field = missing.key();
    record.erase(missing);
    this->put("keyed.servers", key, record.dump());
    return field;
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
        this->respond(reply, 503, R"({"error":"down"})");
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
                           std::chrono::steady_clock::now() + wait, this->epoch_, reply);
    }
}

void soak_store::append(const transport::http_request& request, const std::string& topic,
                        const response& reply)
{
    const auto record = request.body.substr(length_bytes);
    const auto key_size = static_cast<unsigned char>(record.at(0));
    const auto offset = this->put(topic, record.substr(1, key_size), record.substr(1U + key_size));
    this->respond(reply, 200, nlohmann::json{{"offset", offset}, {"end", offset + 1}}.dump());
}

void soak_store::respond(const response& reply, unsigned status, const std::string& body) const
{
    reply->respond(
        {{status,
          {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->epoch_)}}},
         body});
}

void soak_store::list_newest(const std::string& topic, const response& reply)
{
    const std::scoped_lock lock(this->mutex_);
    const auto& log = this->topics_[topic];
    auto items = nlohmann::json::array();
    for (const auto& [key, offset] : log.newest) {
        items.push_back({{"key", key},
                         {"offset", offset},
                         {"value", transport::encode_base64(log.records[offset].value)}});
    }
    this->respond(
        reply, 200,
        nlohmann::json{{"items", items}, {"hasMore", false}, {"end", log.records.size()}}.dump());
}

void soak_store::read_records(const std::string& topic, std::size_t from, time_point until,
                              std::uint64_t epoch, const response& reply)
{
    constexpr auto poll_interval = 20ms;
    const std::scoped_lock lock(this->mutex_);
    if (epoch != this->epoch_) {
        reply->abort(); // the store went away while the read waited
        return;
    }
    const auto& log = this->topics_[topic];
    if (from > log.records.size()) {
        this->respond(reply, 410, R"({"first":0})");
        return;
    }
    if (log.records.size() <= from && std::chrono::steady_clock::now() < until) {
        this->runtime_.after(poll_interval, [this, topic, from, until, epoch, reply] {
            this->read_records(topic, from, until, epoch, reply);
        });
        return;
    }
    auto body = big_endian(log.records.size(), offset_bytes) + big_endian(0, offset_bytes);
    for (std::size_t n = from; n < log.records.size(); ++n) {
        body += platform::encode_record(log.records[n].key, log.records[n].value);
    }
    reply->respond({{200,
                     {{"Content-Type", "application/octet-stream"},
                      {"Store-Era", std::to_string(this->epoch_)}}},
                    body});
}

} // namespace medlaryoke::soak
