#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/burn_rate.h"

namespace medlaryoke::commands {

/// Samples of entries and the targets of the priorities, as kept in a sample file.
struct sample_set {
    std::map<std::string, double> attainments; ///< by priority
    std::vector<policy::counter_snapshot> snapshots;

    /// Adds samples and targets; later targets replace earlier ones.
    /// @param other what to add
    void merge(sample_set other);
};

/// @param text reply of an entry to `GET /v1/samples`
/// @param place where it comes from, for errors
/// @return the snapshot
/// @throws error of kind invalid_argument if the text is no such reply
policy::counter_snapshot parse_samples(const std::string& text, const std::string& place);

/// @param text reply of an entry to `GET /v1/resources/priority`
/// @param place where it comes from, for errors
/// @return the attainment of each priority
/// @throws error of kind invalid_argument if the text is no such reply
std::map<std::string, double> parse_attainments(const std::string& text, const std::string& place);

/// @param path a file that write_sample_file() wrote
/// @return its content
/// @throws error if it cannot be read, is truncated or has another version
sample_set read_sample_file(const std::string& path);

/// Replaces a file as a whole, so that an interrupted write leaves the old one in place.
/// @param path the file
/// @param samples its new content
/// @throws error of kind unavailable if it cannot be written
void write_sample_file(const std::string& path, const sample_set& samples);

} // namespace medlaryoke::commands
