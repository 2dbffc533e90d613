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

/// How the store handles calls: it answers them, refuses them with 503, or never answers.
enum class store_state { works, refuses, silent };

/// A route to the only service. It matches the host `desk.example` and all paths below `/<name>/`.
struct soak_route {
    std::string name;
    std::string kind; ///< `safe`, `unsafe` or `streaming`
    unsigned max_attempts = 1;
    bool resumable = false;
};

/// Implements the part of the platform's store that gateways use: keyed topics of one partition.
/// The test writes records directly, in the role of the operator. Thread safe.
class soak_store {
public:
    /// @param runtime event loop that handles the calls
    explicit soak_store(transport::runtime& runtime);

    /// @return IPv4 address and port
    [[nodiscard]] std::string address() const { return this->server_.address(); }

    /// Appends a record to a topic.
    /// @param topic name of the topic
    /// @param key key of the record
    /// @param value value of the record; an empty value deletes the key
    /// @return offset of the record
    std::uint64_t put(const std::string& topic, const std::string& key, const std::string& value);

    /// Writes the membership record of an upstream.
    /// @param upstream upstream to register
    /// @param state `ready` or `draining`
    void put_upstream(const soak_upstream& upstream, const std::string& state);

    /// Writes the membership record of an upstream.
    /// @param name name of the upstream
    /// @param address IPv4 address and port
    /// @param state `ready` or `draining`
    void put_upstream(const std::string& name, const std::string& address,
                      const std::string& state);

    /// Deletes the membership record of an upstream.
    void remove_upstream(const std::string& name);

    /// Writes a configuration record.
    /// @param version version of the configuration; must increase with each call
    /// @param routes complete list of routes
    void put_configuration(unsigned version, const std::vector<soak_route>& routes);

    /// @param state how the store handles calls from now on
    void set_state(store_state state);

private:
    struct topic_log {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::size_t> newest; ///< offset of the newest record of each key
    };
    using response = std::shared_ptr<transport::response_stream>;

    void handle(const transport::http_request& request, const response& reply);
    void append(const transport::http_request& request, const std::string& topic,
                const response& reply);
    void list_newest(const std::string& topic, const response& reply);
    void read_records(const std::string& topic, std::size_t from, time_point until,
                      const response& reply);

    transport::runtime& runtime_;
    std::mutex mutex_;
    std::map<std::string, topic_log> topics_;
    store_state state_ = store_state::works;
    transport::http_server server_;
};

} // namespace medlaryoke::soak
