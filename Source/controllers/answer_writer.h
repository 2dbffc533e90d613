#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "controllers/outcome.h"
#include "transport/http_server.h"

namespace medlaryoke::controllers {

/// Writes one answer to a caller together with its outcome. An answer that is not streamed is kept
/// until it is complete, so that a part of it never passes for the whole. A stream is passed on in
/// whole events. Not thread safe.
class answer_writer {
public:
    /// @param response the reply to the caller
    /// @param request_id sent back in a header
    /// @param stream whether the caller asked for server-sent events
    /// @param json_answer whether the field `outcome` is added to a JSON object
    answer_writer(std::shared_ptr<transport::response_stream> response, std::string request_id,
                  bool stream, bool json_answer);

    /// @param head status and headers from the upstream
    void head(const transport::http_head& head);

    /// @param data next part of the answer
    /// @return an empty string, or why no more can be taken: the answer is too large or the
    /// caller reads too slowly
    [[nodiscard]] std::string data(const std::string& data);

    /// Ends a complete answer.
    void finish();

    /// Ends the request without a complete answer.
    /// @param failure why
    void fail(const request_failure& failure);

    /// Forgets what was received, before another attempt; only if nothing was written.
    void reset();

    /// Closes the connection to the caller.
    void abort();

    /// @return whether a part of the answer was written to the caller
    [[nodiscard]] bool started() const { return this->started_; }

private:
    void start();
    void write_outcome(outcome value);
    std::string take_whole_events();

    std::shared_ptr<transport::response_stream> response_;
    std::string request_id_;
    bool stream_;
    bool json_answer_;
    bool started_ = false;
    transport::http_head head_;
    std::string buffer_; ///< the answer so far, or the part of a stream after its last whole event
};

} // namespace medlaryoke::controllers
