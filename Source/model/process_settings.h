#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/field_descriptions.h"
#include "base/logging.h"

namespace medlaryoke::model {

/// Settings shared by all processes.
struct instance_settings {
    std::string instance; ///< name of the instance
    std::string data_centre;
    unsigned threads = 2; ///< worker threads
    log_format log_output = log_format::text;
    log_level log_detail = log_level::info;
};

/// Addresses of the platform's services. A service with an empty address is not used.
struct platform_settings {
    std::string log;           ///< IP address and port of the log service
    std::string instance_list; ///< IP address and port of the instance list; may be empty
    std::string weight_store;  ///< IP address and port of the weight store; may be empty
    duration request_timeout = std::chrono::seconds(2);
};

/// Settings of an entry process, which accepts requests from callers.
struct entry_settings {
    instance_settings instance;
    platform_settings platform;
    std::string caller_address;     ///< IP address and port that callers connect to
    std::string operator_address;   ///< IP address and port of the operator interface
    std::string peer_address;       ///< IP address and port for other entries
    std::vector<std::string> peers; ///< peer addresses of other entries to contact at start
    duration address_lifetime = std::chrono::seconds(5); ///< how long callers cache entry addresses
    duration default_timeout = std::chrono::seconds(60); ///< timeout of a request that sets none
    duration drain_timeout = std::chrono::minutes(10); ///< longest duration of a graceful shutdown
    std::size_t max_body_bytes = 4U * 1024U * 1024U;   ///< largest request body
    std::size_t max_queue_items = 10'000;              ///< most requests that wait in the queue
    unsigned subset_size = 24;  ///< number of upstreams of each model that this entry connects to
    unsigned watched_peers = 8; ///< most other entries that this entry connects to
};

/// Settings of an agent process, which runs beside one upstream.
struct agent_settings {
    instance_settings instance;
    platform_settings platform;
    std::string upstream;      ///< name of the agent's upstream resource
    std::string serves;        ///< name of the model group or service that the upstream belongs to
    std::string upstream_type; ///< engine or service
    std::string upstream_address;   ///< IP address and port of the engine or service
    std::string listen_address;     ///< IP address and port that entries connect to
    std::string operator_address;   ///< IP address and port of metrics and health
    unsigned initial_limit = 16;    ///< initial value of the adaptive limit on concurrent requests
    unsigned max_limit = 256;       ///< upper bound of the adaptive limit
    unsigned claim_partitions = 16; ///< number of claim streams
    duration claim_retention = std::chrono::hours(24); ///< how long claims are kept
    /// Shortest interval between two appends of claim records, over all partitions.
    duration claim_batch_interval = std::chrono::milliseconds(20);
    duration drain_timeout = std::chrono::minutes(10); ///< longest duration of a graceful shutdown
};

/// Reads the settings of an entry from a file. An unknown key, a missing value, a wrong unit or a
/// malformed address is an error.
/// @param path the YAML file
/// @return the settings
/// @throws error of kind invalid_argument that names file, line, value and remedy
entry_settings load_entry_settings(const std::string& path);

/// Reads the settings of an agent from a file, with the same checks.
/// @param path the YAML file
/// @return the settings
/// @throws error of kind invalid_argument that names file, line, value and remedy
agent_settings load_agent_settings(const std::string& path);

/// Parses settings from text, with the same checks.
/// @param text the content of the YAML file
/// @param source name of the file, for error messages
/// @return the settings
/// @throws error of kind invalid_argument that names file, line, value and remedy
entry_settings parse_entry_settings(const std::string& text, const std::string& source);
agent_settings parse_agent_settings(const std::string& text, const std::string& source);

/// @return a description of each key of an entry's or an agent's settings, for the manual
std::vector<field_description> entry_setting_keys();
std::vector<field_description> agent_setting_keys();

} // namespace medlaryoke::model
