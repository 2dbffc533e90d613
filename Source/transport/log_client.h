#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "transport/log_service.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

/// Client of the platform's log over HTTP. It never retries an append.
class log_client final : public log_service {
public:
    /// @param context runs the exchanges and the callbacks
    /// @param address IP address and port of the log service
    /// @param request_timeout longest wait for a reply; the `wait` of a read is added to it
    log_client(runtime& context, const std::string& address, duration request_timeout);
    log_client(const log_client&) = delete;
    log_client& operator=(const log_client&) = delete;
    log_client(log_client&&) = delete;
    log_client& operator=(log_client&&) = delete;

    /// Cancels pending requests; their callbacks are not called.
    ~log_client() override;

    void append(const std::string& stream, std::string data,
                std::function<void(append_result)> done) override;
    void read(const std::string& stream, std::uint64_t from, std::size_t limit, duration wait,
              std::function<void(read_result)> done) override;

    class implementation;

private:
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
