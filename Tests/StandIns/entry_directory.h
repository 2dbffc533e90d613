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

/// The addresses that a caller uses: asked of an entry and kept for the stated life. Thread safe.
class entry_directory : public std::enable_shared_from_this<entry_directory> {
public:
    /// @param context runs the requests
    /// @param addresses where to ask first, or the only ones to use
    /// @param fixed whether the addresses are used without asking
    /// @param seed decides which address each request uses
    entry_directory(transport::runtime& context, std::vector<std::string> addresses, bool fixed,
                    std::uint64_t seed);

    /// @return a client for one of the addresses; asks for new addresses if their life is over
    std::shared_ptr<transport::http_client> pick();

    /// Asks for addresses now, another one of the known entries at each try.
    /// @param done called once when the answer is there or every known entry was asked in vain
    void refresh(std::function<void()> done);

    /// @return how many times new addresses were received
    [[nodiscard]] std::size_t refreshes() const;

private:
    void ask(std::size_t attempts_left, std::function<void()> done);
    bool take(const std::string& body);
    std::shared_ptr<transport::http_client> client_locked(const std::string& address);

    transport::runtime& context_;
    bool fixed_;
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::vector<std::string> first_addresses_;
    std::vector<std::string> addresses_;
    std::map<std::string, std::shared_ptr<transport::http_client>> clients_;
    time_point expires_{};
    bool asking_ = false;
    std::size_t refreshes_ = 0;
};

} // namespace medlaryoke::standins
