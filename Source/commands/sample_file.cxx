#include "commands/sample_file.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "base/error.h"
#include "policy/bounded_json.h"

namespace medlaryoke::commands {

namespace {

using nlohmann::json;
using policy::counter_snapshot;

constexpr int format_version = 1;
constexpr const char* format_name = "medlaryoke-samples";
/// JSON keys of the counters, in the order of policy::service_counter. The causes of misses are
/// nested below `missed`.
constexpr std::array counter_names{"within_target", "queueing", "upstream",
                                   "refusal",       "unknown",  "cancelled"};
constexpr std::size_t first_miss_index = 1;
constexpr std::size_t cancelled_index = 5;

/// Latest accepted time, in the year 5138. The bound prevents overflow of time differences.
constexpr std::uint64_t max_unix_ms = 100'000'000'000'000;

std::domain_error make_value_error(const char* key, const json& value, const char* expected)
{
    return std::domain_error(fmt::format("{}: {}, expected {}", key, value.dump(), expected));
}

std::uint64_t read_count(const json& object, const char* key, std::uint64_t max_value)
{
    const auto& value = object.at(key);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max_value) {
        throw make_value_error(key, value, "a number of requests or a time");
    }
    return value.get<std::uint64_t>();
}

bool is_miss_counter(std::size_t counter)
{
    return counter >= first_miss_index && counter < cancelled_index;
}

counter_snapshot to_snapshot(const json& body)
{
    /// Equals about 3 million requests/s for a century.
    constexpr std::uint64_t max_count = max_unix_ms * 100;
    const std::chrono::milliseconds time(read_count(body, "time_unix_ms", max_unix_ms));
    counter_snapshot result{
        body.at("instance"), body.at("incarnation"), policy::sample_time(time), {}};
    for (const auto& it : body.at("samples")) {
        auto& values = result.samples[{it.at("priority"), it.at("organisation"), it.at("target")}];
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < values.size(); ++i) {
            values.at(i) = read_count(is_miss_counter(i) ? it.at("missed") : it,
                                      counter_names.at(i), max_count);
            sum += i == cancelled_index ? 0 : values.at(i);
        }
        if (it.at("total") != sum) {
            throw make_value_error("total", it.at("total"), "the sum of the results");
        }
    }
    return result;
}

json to_json(const counter_snapshot& snapshot)
{
    json samples = json::array();
    for (const auto& [key, values] : snapshot.samples) {
        policy::request_sums sums;
        sums.add(values, 1);
        json it{{"priority", key.priority},
                {"organisation", key.organisation},
                {"target", key.target},
                {"total", static_cast<std::uint64_t>(sums.total())}};
        for (std::size_t i = 0; i < values.size(); ++i) {
            (is_miss_counter(i) ? it["missed"] : it)[counter_names.at(i)] = values.at(i);
        }
        samples.push_back(std::move(it));
    }
    return {{"instance", snapshot.instance},
            {"incarnation", snapshot.incarnation},
            {"time_unix_ms", snapshot.time.time_since_epoch().count()},
            {"samples", std::move(samples)}};
}

std::map<std::string, double> to_attainments(const json& resources)
{
    std::map<std::string, double> result;
    for (const auto& it : resources) {
        const auto& value = it.at("spec").at("attainment");
        const auto attainment = value.get<double>();
        if (!(attainment >= 0 && attainment <= 1)) {
            throw make_value_error("attainment", value, "0 to 1");
        }
        result[it.at("name").get<std::string>()] = attainment;
    }
    return result;
}

/// Parses a text and converts it with `read`. Errors start with `source`.
template <typename Read>
auto parse(const std::string& text, const std::string& source, const char* remedy, Read read)
{
    try {
        return read(policy::parse_bounded(text));
    }
    catch (const json::exception& e) {
        throw error(error_kind::invalid_argument, fmt::format("{}: {}", source, e.what()), remedy);
    }
    catch (const std::domain_error& e) {
        throw error(error_kind::invalid_argument, fmt::format("{}: {}", source, e.what()), remedy);
    }
}

constexpr const char* wrong_listener_remedy =
    "Check that the address is the operator listener of an entry.";

void check_header(const json& body, const std::string& path)
{
    if (!body.is_object() || body.value("format", json()) != format_name) {
        throw error(error_kind::invalid_argument, fmt::format("{}: not a sample file", path),
                    "Name a file that report --save wrote.");
    }
    const auto& version = body.at("version");
    if (version != format_version) {
        throw error(
            error_kind::protocol_mismatch,
            fmt::format("{}: sample format version {} is not supported, expected version {}", path,
                        version.dump(), format_version),
            "Read it with the release that wrote it, or save to another file.");
    }
}

} // namespace

void sample_set::merge(sample_set other)
{
    for (const auto& [name, value] : other.attainments) {
        this->attainments[name] = value;
    }
    std::ranges::move(other.snapshots, std::back_inserter(this->snapshots));
}

counter_snapshot parse_samples(const std::string& text, const std::string& source)
{
    return parse(text, source, wrong_listener_remedy, to_snapshot);
}

std::map<std::string, double> parse_attainments(const std::string& text, const std::string& source)
{
    return parse(text, source, wrong_listener_remedy,
                 [](const json& body) { return to_attainments(body.at("resources")); });
}

sample_set read_sample_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    if (!in) {
        throw error(error_kind::not_found, fmt::format("{}: cannot be read", path),
                    "Check the name and the permissions of the file.");
    }
    return parse(text, path,
                 "The file is truncated or damaged. Restore it from a copy, or leave it out.",
                 [&path](const json& body) {
                     check_header(body, path);
                     sample_set result{to_attainments(body.at("priorities")), {}};
                     for (const auto& it : body.at("snapshots")) {
                         result.snapshots.push_back(to_snapshot(it));
                     }
                     return result;
                 });
}

void write_sample_file(const std::string& path, const sample_set& samples)
{
    json body{{"format", format_name},
              {"version", format_version},
              {"priorities", json::array()},
              {"snapshots", json::array()}};
    for (const auto& [name, attainment] : samples.attainments) {
        body["priorities"].push_back({{"name", name}, {"spec", {{"attainment", attainment}}}});
    }
    for (const auto& it : samples.snapshots) {
        body["snapshots"].push_back(to_json(it));
    }
    const auto temporary_path = fmt::format("{}.{}.tmp", path, getpid());
    std::ofstream out(temporary_path, std::ios::binary);
    out << body.dump() << '\n';
    out.close();
    if (!out || std::rename(temporary_path.c_str(), path.c_str()) != 0) {
        std::remove(temporary_path.c_str());
        throw error(error_kind::unavailable, fmt::format("{}: cannot be written", path),
                    "Check the free space and the permissions of the directory.");
    }
}

} // namespace medlaryoke::commands
