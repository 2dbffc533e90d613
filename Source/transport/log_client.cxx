#include "transport/log_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "transport/base64.h"
#include "transport/http_client.h"

namespace medlaryoke::transport {

namespace {

using json = nlohmann::json;
using fetch_result = std::variant<http_response, http_failure>;

/// Statuses that mean that the record was not stored. After any other failure it may be stored.
constexpr std::array<unsigned, 8> rejecting_statuses{400, 401, 403, 404, 413, 414, 429, 503};
constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr unsigned first_error_status = 400;

/// Header of all answers with the epoch of the log; missing if the log was never restored.
constexpr auto epoch_header = "Log-Epoch";

/// @param request_timeout bounds each phase of the exchange
/// @param wait how long the service may wait for a record before it replies
http_timeouts make_timeouts(duration request_timeout, duration wait)
{
    http_timeouts timeouts;
    timeouts.connect = std::min<duration>(timeouts.connect, request_timeout);
    timeouts.write = request_timeout;
    timeouts.first_byte = request_timeout + wait;
    timeouts.between_bytes = request_timeout;
    return timeouts;
}

std::optional<std::uint64_t> get_unsigned(const json& object, const char* key)
{
    const auto it = object.find(key);
    if (it == object.end() || !it->is_number_unsigned()) {
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

/// @return epoch of the log that an answer states; 0 if it states none
std::uint64_t epoch_of(const http_response& response)
{
    const auto text = find_header(response.head.headers, epoch_header);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

append_result to_append_result(const fetch_result& result)
{
    if (const auto* failure = std::get_if<http_failure>(&result)) {
        if (failure->maybe_sent) {
            return append_ambiguous{failure->message};
        }
        return append_rejected{failure->message};
    }
    const auto& response = std::get<http_response>(result);
    const auto status = response.head.status;
    if (status != status_ok) {
        auto reason = fmt::format("log service replied with status {}", status);
        if (std::ranges::find(rejecting_statuses, status) != rejecting_statuses.end()) {
            return append_rejected{std::move(reason)};
        }
        return append_ambiguous{std::move(reason)};
    }
    const auto body = json::parse(response.body, nullptr, false);
    if (body.is_object()) {
        if (const auto offset = get_unsigned(body, "offset")) {
            return append_done{*offset, epoch_of(response)};
        }
    }
    return append_ambiguous{"log service replied without an offset"};
}

/// @return the records, empty if the reply is malformed or its offsets are out of order
std::optional<read_result> parse_records(const json& body, std::uint64_t from, std::uint64_t epoch)
{
    const auto earliest = get_unsigned(body, "earliest");
    const auto next = get_unsigned(body, "next");
    const auto records = body.find("records");
    if (!earliest || !next || records == body.end() || !records->is_array()) {
        return std::nullopt;
    }
    read_records result{*earliest, *next, {}, epoch};
    result.records.reserve(records->size());
    for (const auto& item : *records) {
        const auto offset = item.is_object() ? get_unsigned(item, "offset") : std::nullopt;
        if (!offset || *offset < from || !item.contains("data") || !item["data"].is_string()) {
            return std::nullopt;
        }
        auto data = decode_base64(item["data"].get_ref<const std::string&>());
        if (!data) {
            return std::nullopt;
        }
        from = *offset + 1;
        result.records.push_back({*offset, std::move(*data)});
    }
    return result;
}

read_result to_read_result(const fetch_result& result, std::uint64_t from)
{
    if (const auto* failure = std::get_if<http_failure>(&result)) {
        return read_unavailable{failure->message};
    }
    const auto& response = std::get<http_response>(result);
    const auto body = json::parse(response.body, nullptr, false);
    if (body.is_object()) {
        const auto earliest = get_unsigned(body, "earliest");
        if (response.head.status == status_gone && earliest) {
            return read_expired{*earliest, epoch_of(response)};
        }
        if (response.head.status == status_ok) {
            if (auto records = parse_records(body, from, epoch_of(response))) {
                return std::move(*records);
            }
        }
    }
    if (response.head.status < first_error_status) {
        return read_unavailable{"log service replied with malformed records"};
    }
    return read_unavailable{
        fmt::format("log service replied with status {}", response.head.status)};
}

} // namespace

class log_client::implementation {
public:
    implementation(runtime& context, const std::string& address, duration timeout)
        : client(context, address), request_timeout(timeout)
    {
    }

    http_client client;
    duration request_timeout;
};

log_client::log_client(runtime& context, const std::string& address, duration request_timeout)
    : impl_(std::make_unique<implementation>(context, address, request_timeout))
{
}

log_client::~log_client() = default;

void log_client::append(const std::string& stream, std::string data,
                        std::function<void(append_result)> done)
{
    this->impl_->client.fetch(
        {"POST",
         fmt::format("/streams/{}/records", stream),
         {{"Content-Type", "application/octet-stream"}},
         std::move(data)},
        make_timeouts(this->impl_->request_timeout, {}),
        [done = std::move(done)](const fetch_result& result) { done(to_append_result(result)); });
}

void log_client::read(const std::string& stream, std::uint64_t from, std::size_t limit,
                      duration wait, std::function<void(read_result)> done)
{
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    this->impl_->client.fetch({"GET",
                               fmt::format("/streams/{}/records?from={}&limit={}&wait_ms={}",
                                           stream, from, limit, wait_ms),
                               {},
                               {}},
                              make_timeouts(this->impl_->request_timeout, wait),
                              [from, done = std::move(done)](const fetch_result& result) {
                                  done(to_read_result(result, from));
                              });
}

} // namespace medlaryoke::transport
