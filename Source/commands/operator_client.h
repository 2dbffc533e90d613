#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/runtime.h"

namespace medlaryoke::commands {

/// Sends blocking requests to the operator listener of one entry. Used by the subcommands.
class operator_client {
public:
    /// @param address IP address and port of the operator listener
    /// @param timeout longest wait for the first byte of a reply and between its bytes
    /// @throws error of kind invalid_argument if the address is malformed
    explicit operator_client(std::string address, duration timeout = std::chrono::seconds(15));
    operator_client(const operator_client&) = delete;
    operator_client& operator=(const operator_client&) = delete;
    operator_client(operator_client&&) = delete;
    operator_client& operator=(operator_client&&) = delete;
    ~operator_client();

    /// Sends a request and waits for the whole reply.
    /// @param request the request
    /// @return the body of a successful reply
    /// @throws error as reported by the entry; of kind unavailable if there was no reply; of kind
    /// outcome_unknown if there was no reply to a change that may have been sent
    std::string fetch(const transport::http_request& request);

    /// Reads a stream until it ends.
    /// @param target path and query
    /// @param on_data called with each chunk of data
    /// @throws error as reported by the entry, or of kind unavailable if the connection fails
    void follow(const std::string& target, const std::function<void(const std::string&)>& on_data);

private:
    std::string address_;
    duration timeout_;
    transport::runtime runtime_;
    transport::http_client client_;
};

} // namespace medlaryoke::commands
