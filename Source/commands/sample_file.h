#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/burn_rate.h"

namespace medlaryoke::commands {

/// Content of a sample file: samples of entries and the targets of the priorities.
struct sample_set {
    /// For each priority, the fraction of requests that must meet the targets.
    std::map<std::string, double> attainments;
    std::vector<policy::counter_snapshot> snapshots;

    /// Adds samples and targets. Targets of `other` replace those of the same priority.
    /// @param other the samples and targets to add
    void merge(sample_set other);
};

/// @param text reply of an entry to `GET /v1/samples`
/// @param source address or path that starts the messages of errors
/// @return the snapshot
/// @throws error of kind invalid_argument if the text is not a valid reply
policy::counter_snapshot parse_samples(const std::string& text, const std::string& source);

/// @param text reply of an entry to `GET /v1/resources/priority`
/// @param source address or path that starts the messages of errors
/// @return for each priority, the fraction of requests that must meet the targets
/// @throws error of kind invalid_argument if the text is not a valid reply
std::map<std::string, double> parse_attainments(const std::string& text, const std::string& source);

/// @param path a file written by write_sample_file()
/// @return its content
/// @throws error if the file cannot be read, is damaged or has an unsupported version
sample_set read_sample_file(const std::string& path);

/// Writes a temporary file and renames it, so that an interrupted write leaves the old file intact.
/// @param path the file
/// @param samples its new content
/// @throws error of kind unavailable if the file cannot be written
void write_sample_file(const std::string& path, const sample_set& samples);

} // namespace medlaryoke::commands
