#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Soak/soak_upstream.h"

namespace medlaryoke::soak {

/// What the callers of a run saw. Thread safe.
class call_ledger {
public:
    /// An answer to one attempt.
    struct entry {
        std::string id;
        bool is_unsafe = false;
        unsigned status = 0; ///< 0: no answer, or one that broke off
        bool has_stamp = false;
    };

    void add(entry it);
    void add_violation(const std::string& what);

    /// Compares the answers with what the upstreams did.
    /// @param witness of the upstreams
    /// @param max_attempts runs that one attempt may begin
    void settle(const run_witness& witness, unsigned max_attempts);

    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t calls() const;
    [[nodiscard]] std::size_t answered() const;

    /// While true, each call must be answered with success.
    std::atomic<bool> is_calm = false;

private:
    mutable std::mutex mutex_;
    std::vector<entry> entries_;
    std::vector<std::string> violations_;
};

/// A caller that sends one request after the other over kept connections, each to a gateway picked
/// at random, and checks each answer.
class soak_caller {
public:
    /// @param seed of its choices
    /// @param gateways addresses
    /// @param ledger learns each answer
    soak_caller(unsigned seed, std::vector<std::string> gateways, call_ledger& ledger);
    soak_caller(const soak_caller&) = delete;
    soak_caller& operator=(const soak_caller&) = delete;
    soak_caller(soak_caller&&) = delete;
    soak_caller& operator=(soak_caller&&) = delete;
    ~soak_caller();

private:
    void run();

    unsigned seed_;
    std::vector<std::string> gateways_;
    call_ledger& ledger_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// Sends one request on a new connection.
/// @param address IPv4 address and port
/// @param target path
/// @param id of the attempt
/// @return status of the answer; 0 without one
unsigned get_status(const std::string& address, const std::string& target,
                    const std::string& id = "probe");

} // namespace medlaryoke::soak
