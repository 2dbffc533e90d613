#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/http_client.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

/// Addresses of entries as a caller knows them: fetched from an entry and kept for the time to live
/// that the entry states. Thread safe.
class entry_directory : public std::enable_shared_from_this<entry_directory> {
public:
    /// @param context runs the requests
    /// @param addresses initial addresses of entries; with `fixed`, the only addresses used
    /// @param fixed whether the addresses are never refreshed
    /// @param seed decides which address each request uses
    entry_directory(transport::runtime& context, std::vector<std::string> addresses, bool fixed,
                    std::uint64_t seed);

    /// @return a client for a random one of the addresses; starts a refresh if the addresses have
    /// expired
    std::shared_ptr<transport::http_client> pick_client();

    /// Fetches new addresses from one entry after the other until one answers. Does nothing if the
    /// addresses are fixed or a refresh is running.
    /// @param done called once, when new addresses were received, no known entry sent them, or
    /// there is nothing to do
    void refresh(std::function<void()> done);

    /// @return how many times new addresses were received
    [[nodiscard]] std::size_t refresh_count() const;

private:
    /// Fetches addresses from an entry, and from the next one if that fails.
    void request_addresses(std::size_t attempts_left, std::function<void()> done);
    /// @param body answer of an entry
    /// @return false if the answer contains no addresses
    bool update_addresses(const std::string& body);
    /// The caller holds the mutex.
    std::shared_ptr<transport::http_client> find_or_create_client(const std::string& address);

    transport::runtime& context_;
    bool fixed_;
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::vector<std::string> initial_addresses_;
    std::vector<std::string> addresses_;
    std::map<std::string, std::shared_ptr<transport::http_client>> clients_;
    time_point expiry_{};
    bool refreshing_ = false;
    std::size_t refresh_count_ = 0;
};

} // namespace medlaryoke::standins
