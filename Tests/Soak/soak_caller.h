#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Soak/soak_upstream.h"

namespace medlaryoke::soak {

/// Collects the results of all calls of a run and the violations found in them. Thread safe.
class call_results {
public:
    /// The result of one call.
    struct entry {
        std::string id;
        bool is_unsafe = false;
        unsigned status = 0;           ///< 0: no answer or a truncated one
        bool has_server_stamp = false; ///< an upstream answered, not the gateway itself
    };

    /// Adds the result of a call.
    void add(entry it);

    /// Adds a violation.
    /// @param what name of the check and a description
    void add_violation(const std::string& what);

    /// Checks the results against the executions that the upstreams counted and adds a violation
    /// for each contradiction.
    /// @param executions executions counted by all upstreams
    /// @param max_attempts maximum number of executions of one call
    void check_executions(const execution_counter& executions, unsigned max_attempts);

    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t calls() const;

    /// @return number of calls answered with status 200
    [[nodiscard]] std::size_t answered() const;

    /// While true, each call that does not succeed is a violation.
    std::atomic<bool> expects_success = false;

private:
    mutable std::mutex mutex_;
    std::vector<entry> entries_;
    std::vector<std::string> violations_;
};

/// Sends one request after another over persistent connections, each to a randomly chosen gateway,
/// and checks each answer. Runs in its own thread until it is destroyed.
class soak_caller {
public:
    /// @param seed seed of the random choices
    /// @param gateways IPv4 addresses and ports of the gateways
    /// @param results receives the result of each call
    soak_caller(unsigned seed, std::vector<std::string> gateways, call_results& results);
    soak_caller(const soak_caller&) = delete;
    soak_caller& operator=(const soak_caller&) = delete;
    soak_caller(soak_caller&&) = delete;
    soak_caller& operator=(soak_caller&&) = delete;
    ~soak_caller();

private:
    void run();

    unsigned seed_;
    std::vector<std::string> gateways_;
    call_results& results_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// Sends one request on a new connection.
/// @param address IPv4 address and port
/// @param target path of the request
/// @param id request id
/// @return status of the answer; 0 if there is none
unsigned get_status(const std::string& address, const std::string& target,
                    const std::string& id = "probe");

} // namespace medlaryoke::soak
