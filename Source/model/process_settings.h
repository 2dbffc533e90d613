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

/// Where the platform's services are.
struct platform_settings {
    std::string log;           ///< IP address and port of the log service
    std::string instance_list; ///< IP address and port; empty: not used
    std::string weight_store;  ///< IP address and port; empty: not used
    duration request_timeout = std::chrono::seconds(2);
};

/// Settings of an entry.
struct entry_settings {
    instance_settings instance;
    platform_settings platform;
    std::string caller_address;     ///< IP address and port that callers connect to
    std::string operator_address;   ///< IP address and port of the operator interface
    std::string peer_address;       ///< IP address and port for other entries
    std::vector<std::string> peers; ///< peer addresses of other entries, to start from
    duration address_lifetime = std::chrono::seconds(5); ///< how long callers keep addresses
    duration default_timeout = std::chrono::seconds(60); ///< of a request that names none
    duration drain_timeout = std::chrono::minutes(10);   ///< longest graceful shutdown
    std::size_t max_body_bytes = 4U * 1024U * 1024U;
    std::size_t max_queue_items = 10'000;
    unsigned subset_size = 24; ///< upstreams of each model that this entry connects to
    unsigned watched_peers = 8;
};

/// Settings of an agent.
struct agent_settings {
    instance_settings instance;
    platform_settings platform;
    std::string upstream;         ///< name of the upstream resource served
    std::string serves;           ///< name of the model group or service
    std::string upstream_type;    ///< engine or service
    std::string upstream_address; ///< IP address and port of the engine or service
    std::string listen_address;   ///< IP address and port for entries
    std::string operator_address; ///< IP address and port of metrics and health
    unsigned initial_limit = 16;  ///< requests admitted at once before the limit has adapted
    unsigned max_limit = 256;
    unsigned claim_partitions = 16;
    duration claim_retention = std::chrono::hours(24);
    duration claim_batch_interval = std::chrono::milliseconds(20);
    duration drain_timeout = std::chrono::minutes(10);
};

/// Reads the settings of an entry. Checked strictly: an unknown key, a missing value, a wrong
/// unit or a malformed address is refused.
/// @param path the YAML file
/// @return the settings
/// @throws error of kind invalid_argument that names file, line, value and remedy
entry_settings load_entry_settings(const std::string& path);

/// Reads the settings of an agent, checked in the same way.
/// @param path the YAML file
/// @return the settings
/// @throws error of kind invalid_argument that names file, line, value and remedy
agent_settings load_agent_settings(const std::string& path);

/// Reads settings from text, checked in the same way.
/// @param text the content of the YAML file
/// @param source name of the file, for errors
/// @return the settings
/// @throws error of kind invalid_argument that names file, line, value and remedy
entry_settings parse_entry_settings(const std::string& text, const std::string& source);
agent_settings parse_agent_settings(const std::string& text, const std::string& source);

/// @return each key of an entry's or an agent's settings, for the manual
std::vector<field_description> entry_setting_keys();
std::vector<field_description> agent_setting_keys();

} // namespace medlaryoke::model
