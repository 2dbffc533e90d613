#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "Soak/soak_upstream.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::soak {

/// How the store answers.
enum class store_state { works, refuses, silent };

/// A route to the only service, for the host `desk.example` and the paths below its name.
struct soak_route {
    std::string name;
    std::string kind; ///< `safe`, `unsafe` or `streaming`
    unsigned max_attempts = 1;
    bool resumable = false;
};

/// The platform's store, as far as gateways use it: keyed topics of one partition. Also the
/// operator, who writes without the network. Thread safe.
class soak_store {
public:
    /// @param context runs the calls
    explicit soak_store(transport::runtime& context);

    /// @return IPv4 address and port
    [[nodiscard]] std::string address() const { return this->server_.address(); }

    /// Writes a record.
    /// @param topic the topic
    /// @param key of the record
    /// @param value empty: the key is dropped
    /// @return offset of the record
    std::uint64_t put(const std::string& topic, const std::string& key, const std::string& value);

    /// Writes the entry of an upstream.
    /// @param upstream the upstream
    /// @param state `ready` or `draining`
    void list(const soak_upstream& upstream, const std::string& state);

    /// Writes a configuration.
    /// @param version higher than all before
    /// @param routes all routes
    void configure(unsigned version, const std::vector<soak_route>& routes);

    /// @param state how calls are answered from now on
    void set_state(store_state state);

private:
    struct topic_log {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::size_t> newest; ///< offset by key
    };
    using response = std::shared_ptr<transport::response_stream>;

    void handle(const transport::http_request& request, const response& reply);
    void append(const transport::http_request& request, const std::string& topic,
                const response& reply);
    void list(const std::string& topic, const response& reply);
    void read(const std::string& topic, std::size_t from, time_point until, const response& reply);

    transport::runtime& context_;
    std::mutex mutex_;
    std::map<std::string, topic_log> topics_;
    store_state state_ = store_state::works;
    transport::http_server server_;
};

} // namespace medlaryoke::soak
