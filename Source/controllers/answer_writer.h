#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "controllers/outcome.h"
#include "transport/http_server.h"

namespace medlaryoke::controllers {

/// Writes one answer to a caller together with its outcome. An answer that is not streamed is
/// buffered until it is complete, so that the caller cannot mistake a partial answer for a complete
/// one. A stream is forwarded in complete events. Not thread safe.
class answer_writer {
public:
    /// @param response stream to the caller
    /// @param request_id id of the request, sent to the caller in a header
    /// @param stream whether the caller asked for server-sent events
    /// @param json_answer whether the field `outcome` is added to a JSON object
    answer_writer(std::shared_ptr<transport::response_stream> response, std::string request_id,
                  bool stream, bool json_answer);

    /// Sets the head of the answer.
    /// @param head status and headers from the upstream
    void set_head(const transport::http_head& head);

    /// Appends a part of the answer.
    /// @param data next part of the answer
    /// @return an empty string, or the reason why the request has to be cancelled: the answer is
    /// too large or the caller reads too slowly
    [[nodiscard]] std::string append_data(const std::string& data);

    /// Ends the request with the complete answer.
    void finish();

    /// Ends the request without a complete answer.
    /// @param failure outcome and error for the caller
    void fail(const request_failure& failure);

    /// Discards the received part before another attempt; allowed only if nothing was written to
    /// the caller.
    void reset();

    /// Closes the connection to the caller.
    void abort();

    /// @return whether a part of the answer was written to the caller
    [[nodiscard]] bool started() const { return this->started_; }

private:
    void start();
    void write_outcome(outcome value);
    std::string take_complete_events();

    std::shared_ptr<transport::response_stream> response_;
    std::string request_id_;
    bool stream_;
    bool json_answer_;
    bool started_ = false;
    transport::http_head head_;
    std::string buffer_; ///< the received answer, or the incomplete last event of a stream
};

} // namespace medlaryoke::controllers
