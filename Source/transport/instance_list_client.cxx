#include "transport/instance_list_client.h"

#include <algorithm>
#include <exception>
#include <mutex>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/logging.h"
#include "transport/http_client.h"

namespace medlaryoke::transport {

namespace {

using json = nlohmann::json;

/// Bounds the average rate at which one instance reads the list.
constexpr std::size_t max_list_bytes_per_second = 2000;

std::optional<std::string> get_text(const json& object, const char* key)
{
    const auto it = object.find(key);
    if (it == object.end() || !it->is_string()) {
        return std::nullopt;
    }
    return it->get<std::string>();
}

std::optional<listed_instance> parse_instance(const json& item)
{
    if (!item.is_object()) {
        return std::nullopt;
    }
    auto instance = get_text(item, "instance");
    auto data_centre = get_text(item, "data_centre");
    auto address = get_text(item, "address");
    const auto role = get_text(item, "role");
    const auto state = get_text(item, "state");
    if (!instance || !data_centre || !address || (role != "entry" && role != "agent") ||
        (state != "live" && state != "leaving")) {
        return std::nullopt;
    }
    return listed_instance{std::move(*instance),
                           role == "entry" ? instance_role::entry : instance_role::agent,
                           std::move(*data_centre), std::move(*address), state == "leaving"};
}

/// @return the list, empty if any part of it is malformed
std::optional<std::vector<listed_instance>> parse_list(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("instances") || !body["instances"].is_array()) {
        return std::nullopt;
    }
    std::vector<listed_instance> list;
    for (const auto& item : body["instances"]) {
        auto parsed = parse_instance(item);
        if (!parsed) {
            return std::nullopt;
        }
        list.push_back(std::move(*parsed));
    }
    return list;
}

} // namespace

duration choose_poll_delay(duration interval, std::size_t list_bytes)
{
    const duration size_delay = std::chrono::seconds(list_bytes / max_list_bytes_per_second);
    return std::max(interval, size_delay);
}

class instance_list_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(runtime& context, instance_list_options options, list_handler on_list)
        : context_(context), options_(std::move(options)), on_list_(std::move(on_list)),
          client_(std::make_unique<http_client>(context, options_.address))
    {
    }

    void poll()
    {
        const std::scoped_lock lock(this->mutex_);
        if (!this->client_) {
            return;
        }
        http_timeouts timeouts;
        timeouts.first_byte = this->options_.request_timeout;
        timeouts.between_bytes = this->options_.request_timeout;
        this->client_->fetch({"GET", "/instances", {}, {}}, timeouts,
                             [weak = this->weak_from_this()](const auto& result) {
                                 if (const auto self = weak.lock()) {
                                     self->on_polled(result);
                                 }
                             });
    }

    void close()
    {
        std::unique_ptr<http_client> client;
        const std::scoped_lock lock(this->mutex_);
        client.swap(this->client_);
        this->timer_.cancel();
    }

private:
    void on_polled(const std::variant<http_response, http_failure>& result)
    {
        constexpr unsigned status_ok = 200;
        std::string poll_failure;
        std::size_t list_bytes = 0;
        if (const auto* failure = std::get_if<http_failure>(&result)) {
            poll_failure = failure->message;
        }
        else if (const auto& response = std::get<http_response>(result);
                 response.head.status != status_ok) {
            poll_failure = fmt::format("the reply has status {}", response.head.status);
        }
        else if (const auto list = parse_list(response.body)) {
            list_bytes = response.body.size();
            this->deliver(*list);
        }
        else {
            poll_failure = "the reply is malformed";
        }
        this->log_state_change(poll_failure);
        const std::scoped_lock lock(this->mutex_);
        if (this->client_) {
            const auto delay = choose_poll_delay(this->options_.interval, list_bytes);
            this->timer_ = this->context_.after(delay, [weak = this->weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->poll();
                }
            });
        }
    }

    void deliver(const std::vector<listed_instance>& list)
    {
        try {
            this->on_list_(list);
        }
        catch (const std::exception& e) {
            this->log_.error("The callback for the instance list failed: {}.", e.what());
        }
    }

    /// Logs the first of consecutive failures, and the first success after them.
    /// @param failure why the poll failed, empty if it succeeded
    void log_state_change(const std::string& failure)
    {
        if (failure.empty() == this->failing_) {
            this->failing_ = !failure.empty();
            if (this->failing_) {
                this->log_.warning("Cannot read the instance list at {}: {}.",
                                   this->options_.address, failure);
            }
            else {
                this->log_.info("The instance list at {} is readable again.",
                                this->options_.address);
            }
        }
    }

    runtime& context_;
    instance_list_options options_;
    list_handler on_list_;
    logger log_{"peer"};
    std::mutex mutex_;
    std::unique_ptr<http_client> client_;
    timer_handle timer_;
    bool failing_ = false;
};

instance_list_client::instance_list_client(runtime& context, instance_list_options options,
                                           list_handler on_list)
    : impl_(std::make_shared<implementation>(context, std::move(options), std::move(on_list)))
{
    this->impl_->poll();
}

instance_list_client::~instance_list_client()
{
    this->impl_->close();
}

} // namespace medlaryoke::transport
