#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
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
    /// @param data_centre its data centre
    /// @param born start of its incarnation
    void put_upstream(const std::string& name, const std::string& address, const std::string& state,
                      const std::string& data_centre = "dc-0", std::int64_t born = 0);

    /// Writes the membership record of an upstream as another writer would: one field is missing.
    /// @param key key of the record
    /// @param address IPv4 address and port
    /// @param choice selects the missing field
    /// @return name of the missing field
    std::string put_incomplete_upstream(const std::string& key, const std::string& address,
                                        unsigned choice);

    /// Deletes the membership record of an upstream.
    void remove_upstream(const std::string& name);

    /// Writes a configuration record.
    /// @param version version of the configuration; must increase with each call
    /// @param routes complete list of routes
    void put_configuration(unsigned version, const std::vector<soak_route>& routes);

    /// @param state how the store handles calls from now on
    void set_state(store_state state);

    /// How the store is restored from a copy.
    struct restore_options {
        time_point copied_at{};                    ///< what was written since is lost
        std::chrono::milliseconds outage{};        ///< calls are refused for this time
        std::chrono::milliseconds rewrite_after{}; ///< from the end of the outage
        std::chrono::milliseconds expire_after{};  ///< from the end of the outage
    };

    /// @param random source of the random numbers
    /// @return a restore from a copy that is 0.5 to 8 s old
    static restore_options random_restore(std::mt19937& random);

    /// Restores the store: topics lose their newest records, their offsets are given out again, and
    /// the epoch rises. The operator and the upstreams write what they wrote again after a time;
    /// entries of upstreams that were removed expire again.
    void restore(const restore_options& options);

    /// @return current value of a key; empty if there is none
    [[nodiscard]] std::string value(const std::string& topic, const std::string& key) const;

private:
    struct topic_log {
        struct record {
            std::string key;
            std::string value;
            time_point written_at{};
        };
        std::vector<record> records;
        std::map<std::string, std::size_t> newest; ///< offset of the newest record of each key
    };
    using response = std::shared_ptr<transport::response_stream>;

    std::uint64_t append_record(const std::string& topic, const std::string& key,
                                const std::string& value);
    static void index(topic_log& log, std::size_t offset);
    void drop_records_since(time_point since);
    /// Writes lost values, or lost removals, unless the store was restored again.
    void write_again(bool removals, std::uint64_t epoch);
    void respond(const response& reply, unsigned status, const std::string& body) const;
    void handle(const transport::http_request& request, const response& reply);
    void append(const transport::http_request& request, const std::string& topic,
                const response& reply);
    void list_newest(const std::string& topic, const response& reply);
    void read_records(const std::string& topic, std::size_t from, time_point until,
                      std::uint64_t epoch, const response& reply);

    transport::runtime& runtime_;
    mutable std::mutex mutex_;
    std::map<std::string, topic_log> topics_;
    std::atomic<std::uint64_t> epoch_ = 1;
    /// Values by topic and key, empty for removals, that were lost and not written again yet.
    std::map<std::pair<std::string, std::string>, std::string> lost_;
    store_state state_ = store_state::works;
    transport::http_server server_;
};

} // namespace medlaryoke::soak
