#include "Soak/soak_caller.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <system_error>
#include <utility>

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/http_status.h"
#include "fakes/raw_socket.h"

namespace medlaryoke::soak {

namespace {

constexpr unsigned ok_status = 200;
constexpr unsigned min_client_error = 400;

// Exceeds the routes' timeout of 2 s; a call without an answer by then counts as failed.
constexpr timeval answer_timeout{4, 0};

struct answer {
    unsigned status = 0;
    std::string head;
    std::string body;
    bool closes = false;
};

/// A client connection that sends one request at a time and reads exactly one answer for it.
class caller_connection {
public:
    explicit caller_connection(const std::string& address) : descriptor_(fakes::connect_to(address))
    {
        setsockopt(this->descriptor_, SOL_SOCKET, SO_RCVTIMEO, &answer_timeout,
                   sizeof answer_timeout);
    }
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection() { close(this->descriptor_); }

    /// @return the answer; nothing if it times out or is truncated
    std::optional<answer> call(const std::string& request)
    {
        fakes::send_all(this->descriptor_, request);
        answer result;
        if (!this->read_to("\r\n\r\n", result.head)) {
            return std::nullopt;
        }
        std::string lower = result.head;
        std::ranges::transform(lower, lower.begin(),
                               [](unsigned char c) { return std::tolower(c); });
        constexpr std::size_t status_offset = 9;
        std::from_chars(lower.data() + status_offset, lower.data() + status_offset + 3,
                        result.status);
        result.closes = lower.find("connection: close") != std::string::npos;
        if (lower.find("transfer-encoding: chunked") != std::string::npos) {
            return this->read_chunks(result.body) ? std::optional(result) : std::nullopt;
        }
        constexpr std::string_view length_name = "content-length: ";
        const auto at = lower.find(length_name);
        std::size_t length = 0;
        if (at != std::string::npos) {
            const auto* const begin = lower.data() + at + length_name.size();
            std::from_chars(begin, lower.data() + lower.size(), length);
        }
        return this->read_size(length, result.body) ? std::optional(result) : std::nullopt;
    }

    /// @return whether bytes were received that belong to no request
    [[nodiscard]] bool has_surplus() const { return !this->buffer_.empty(); }

private:
    bool fill()
    {
        std::array<char, 4096> block{};
        const auto size = recv(this->descriptor_, block.data(), block.size(), 0);
        if (size > 0) {
            this->buffer_.append(block.data(), static_cast<std::size_t>(size));
        }
        return size > 0;
    }

    bool read_to(std::string_view marker, std::string& out)
    {
        auto at = this->buffer_.find(marker);
        for (; at == std::string::npos; at = this->buffer_.find(marker)) {
            if (!this->fill()) {
                return false;
            }
        }
        return this->read_size(at + marker.size(), out);
    }

    bool read_size(std::size_t size, std::string& out)
    {
        while (this->buffer_.size() < size) {
            if (!this->fill()) {
                return false;
            }
        }
        out += this->buffer_.substr(0, size);
        this->buffer_.erase(0, size);
        return true;
    }

    bool read_chunks(std::string& body)
    {
        while (true) {
            std::string line;
            std::string end;
            std::size_t size = 0;
            constexpr int hexadecimal = 16;
            if (!this->read_to("\r\n", line)) {
                return false;
            }
            std::from_chars(line.data(), line.data() + line.size(), size, hexadecimal);
            if (!this->read_size(size, body) || !this->read_size(2, end)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    int descriptor_;
    std::string buffer_;
};

std::string expected_stream(const std::string& target)
{
    std::string body;
    for (unsigned n = 1; n <= soak_upstream::stream_events; ++n) {
        body += stream_event(target, n);
    }
    return body;
}

std::string request_text(const std::string& target, const std::string& id)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: desk.example\r\nMedlaryoke-Request-Id: {}\r\n"
                       "Medlaryoke-Deadline-Ms: 3000\r\n\r\n",
                       target, id);
}

} // namespace

void call_results::add(entry it)
{
    if (this->expects_success && it.status != ok_status) {
        this->add_violation(fmt::format("RECOVER: {} ended with {}", it.id, it.status));
    }
    const std::scoped_lock lock(this->mutex_);
    this->entries_.push_back(std::move(it));
}

void call_results::add_violation(const std::string& what)
{
    const std::scoped_lock lock(this->mutex_);
    this->violations_.push_back(what);
}

void call_results::check_executions(const execution_counter& executions, unsigned max_attempts)
{
    const std::scoped_lock lock(this->mutex_);
    for (const auto& it : this->entries_) {
        const auto count = executions.count_of(it.id);
        // Whoever gave the status: callers repeat the request either way.
        const bool reports_not_executed =
            it.status == 503 || it.status == 429 || it.status == 408 || it.status == 421;
        if (it.is_unsafe && count > 1) {
            this->violations_.push_back(fmt::format("TWICE: {} ran {} times", it.id, count));
        }
        if (it.is_unsafe && reports_not_executed && count > 0) {
            this->violations_.push_back(
                fmt::format("REFUSED: {} ran and got {}", it.id, it.status));
        }
        if (count > max_attempts) {
            this->violations_.push_back(
                fmt::format("BUDGET: {} ran on {} upstreams", it.id, count));
        }
        if (it.status >= min_client_error && it.status < 408 && !it.has_server_stamp) {
            this->violations_.push_back(fmt::format("DENIED: {} got {}", it.id, it.status));
        }
    }
}

std::vector<std::string> call_results::violations() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->violations_;
}

std::size_t call_results::calls() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->entries_.size();
}

std::size_t call_results::answered() const
{
    const std::scoped_lock lock(this->mutex_);
    return static_cast<std::size_t>(std::ranges::count(this->entries_, ok_status, &entry::status));
}

soak_caller::soak_caller(unsigned seed, std::vector<std::string> gateways, call_results& results)
    : seed_(seed), gateways_(std::move(gateways)), results_(results),
      thread_([this] { this->run(); })
{
}

soak_caller::~soak_caller()
{
    this->stopping_ = true;
    this->thread_.join();
}

void soak_caller::run()
{
    constexpr std::array<const char*, 3> routes{"/safe/", "/unsafe/", "/stream/"};
    std::mt19937 random(this->seed_);
    std::map<std::string, std::unique_ptr<caller_connection>> connections;
    for (unsigned n = 0; !this->stopping_; ++n) {
        const auto& gateway = this->gateways_[random() % this->gateways_.size()];
        const std::string route = routes.at(random() % routes.size());
        call_results::entry entry{fmt::format("r{}-{}", this->seed_, n), route == "/unsafe/"};
        const auto target = route + entry.id;
        auto& connection = connections[gateway];
        std::optional<answer> reply;
        try {
            if (!connection) {
                connection = std::make_unique<caller_connection>(gateway);
            }
            reply = connection->call(request_text(target, entry.id));
        }
        catch (const std::system_error&) {
            reply.reset(); // the gateway is not reachable
        }
        if (reply) {
            entry.status = reply->status;
            entry.has_server_stamp =
                reply->head.find("Medlaryoke-Server-Stamp") != std::string::npos;
            if (!is_final_status(reply->status)) {
                this->results_.add_violation(
                    fmt::format("MIXED: {} got status {}", entry.id, reply->status));
            }
            const auto expected =
                route == "/stream/" ? expected_stream(target) : "answer to " + target;
            if (reply->status == ok_status && reply->body != expected) {
                this->results_.add_violation(
                    fmt::format("MIXED: {} got '{}'", entry.id, reply->body));
            }
        }
        if (!reply || reply->closes || connection->has_surplus()) {
            if (reply && connection->has_surplus()) {
                this->results_.add_violation("UNASKED: bytes after the answer to " + entry.id);
            }
            connection.reset();
        }
        this->results_.add(std::move(entry));
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 20));
    }
}

unsigned get_status(const std::string& address, const std::string& target, const std::string& id)
{
    try {
        const auto reply = caller_connection(address).call(request_text(target, id));
        return reply ? reply->status : 0;
    }
    catch (const std::system_error&) {
        return 0;
    }
}

} // namespace medlaryoke::soak
