#include "StandIns/entry_directory.h"

#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace medlaryoke::standins {

entry_directory::entry_directory(transport::runtime& context, std::vector<std::string> addresses,
                                 bool fixed, std::uint64_t seed)
    : context_(context), fixed_(fixed), random_(seed), initial_addresses_(addresses),
      addresses_(std::move(addresses))
{
}

std::shared_ptr<transport::http_client> entry_directory::pick_client()
{
    bool expired = false;
    std::shared_ptr<transport::http_client> picked;
    {
        const std::scoped_lock lock(this->mutex_);
        expired = !this->fixed_ && this->expiry_ <= std::chrono::steady_clock::now();
        picked = this->find_or_create_client(
            this->addresses_[this->random_() % this->addresses_.size()]);
    }
    if (expired) {
        this->refresh([] {});
    }
    return picked;
}

void entry_directory::refresh(std::function<void()> done)
{
    std::size_t max_attempts = 0;
    {
        const std::scoped_lock lock(this->mutex_);
        if (!this->fixed_ && !std::exchange(this->refreshing_, true)) {
            max_attempts = this->addresses_.size() + this->initial_addresses_.size();
        }
    }
    if (max_attempts == 0) {
        done();
        return;
    }
    this->request_addresses(max_attempts, std::move(done));
}

std::size_t entry_directory::refresh_count() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->refresh_count_;
}

void entry_directory::request_addresses(std::size_t attempts_left, std::function<void()> done)
{
    std::shared_ptr<transport::http_client> client;
    {
        const std::scoped_lock lock(this->mutex_);
        if (attempts_left == 0) {
            this->refreshing_ = false;
        }
        else {
            // The current addresses are asked first, then the initial ones.
            const auto& candidates = attempts_left > this->initial_addresses_.size()
                                         ? this->addresses_
                                         : this->initial_addresses_;
            client = this->find_or_create_client(candidates[attempts_left % candidates.size()]);
        }
    }
    if (!client) {
        done();
        return;
    }
    transport::http_timeouts timeouts;
    timeouts.first_byte = std::chrono::seconds(2);
    client->fetch({"GET", "/v1/entries", {}, {}}, timeouts,
                  [self = this->shared_from_this(), client, attempts_left,
                   done = std::move(done)](const auto& result) {
                      const auto* response = std::get_if<transport::http_response>(&result);
                      if (response != nullptr && self->update_addresses(response->body)) {
                          done();
                          return;
                      }
                      self->request_addresses(attempts_left - 1, done);
                  });
}

bool entry_directory::update_addresses(const std::string& body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("entries") || !parsed["entries"].is_array()) {
        return false;
    }
    std::vector<std::string> found;
    for (const auto& item : parsed["entries"]) {
        found.push_back(item.value("address", ""));
    }
    if (found.empty()) {
        return false;
    }
    constexpr int default_ttl_ms = 5000;
    const std::scoped_lock lock(this->mutex_);
    this->addresses_ = std::move(found);
    this->expiry_ = std::chrono::steady_clock::now() +
                    std::chrono::milliseconds(parsed.value("ttl_ms", default_ttl_ms));
    this->refreshing_ = false;
    ++this->refresh_count_;
    return true;
}

std::shared_ptr<transport::http_client>
entry_directory::find_or_create_client(const std::string& address)
{
    auto& client = this->clients_[address];
    if (!client) {
        constexpr std::size_t max_idle_connections = 4096;
        client =
            std::make_shared<transport::http_client>(this->context_, address, max_idle_connections);
    }
    return client;
}

} // namespace medlaryoke::standins
