#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fakes/raw_socket.h"
#include "Soak/soak_store.h"

namespace medlaryoke::soak {

/// Engines that end when they begin to answer a request whose prompt holds a crashing part. An
/// ended engine is back after a while with another id and address, and its entry in the store
/// lapses as long after the end. Sound requests are answered with a stream of three events.
class crashing_engines {
public:
    using timer = std::chrono::steady_clock;

    /// A request with a crashing part that has reached an engine.
    struct arrival {
        timer::time_point at;
        std::string request_id;
        std::string part;
    };

    /// @param store lists the engines
    /// @param count number of engines
    /// @param parts ids of the crashing parts
    crashing_engines(soak_store& store, unsigned count, std::vector<std::string> parts);
    crashing_engines(const crashing_engines&) = delete;
    crashing_engines& operator=(const crashing_engines&) = delete;
    crashing_engines(crashing_engines&&) = delete;
    crashing_engines& operator=(crashing_engines&&) = delete;
    ~crashing_engines();

    /// @return requests with crashing parts that ended an engine, in the order of their times
    [[nodiscard]] std::vector<arrival> arrivals() const;

private:
    struct engine {
        std::string id;
        std::unique_ptr<fakes::raw_listener> listener; ///< null while the engine is down
        timer::time_point back_at;
    };

    void run();
    void start_engine(engine& it);
    void answer(engine& it);

    soak_store& store_;
    std::vector<std::string> parts_;
    std::vector<engine> engines_; ///< used by `thread_` only
    unsigned started_ = 0;
    mutable std::mutex mutex_;
    std::vector<arrival> arrivals_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace medlaryoke::soak
