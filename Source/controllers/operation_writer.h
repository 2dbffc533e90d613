#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controllers/delayed_call.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

/// The operation was not accepted and never will be under its id, unless it is sent again.
struct write_refused {
    std::string reason;
};

/// The answer of the log was lost and could not be settled yet.
struct write_unknown {
    std::string reason;
};

struct operation_writer_options {
    duration settle_time = std::chrono::seconds(10); ///< to settle a lost answer
    /// A record whose answer was lost is looked for this long before the operation is cancelled.
    duration search_time = std::chrono::seconds(1);
    duration retry_interval = std::chrono::milliseconds(100);
};

/// The stream that operations are appended to, and the state that its records are folded into.
struct operation_stream {
    std::string name;
    std::function<std::uint64_t()> offset; ///< last record folded
    std::function<void(std::vector<transport::stored_record>)> fold;
};

/// One operation. Exactly one of the callbacks answers the caller.
struct stream_operation {
    std::string record;
    std::string cancellation; ///< record that voids the operation, unless `record` comes before it
    /// Answers if the folded records hold the operation.
    /// @return whether it has answered
    std::function<bool()> answer_if_known;
    /// Answers if the operation would be refused behind the records folded now.
    /// @return whether it has answered
    std::function<bool()> answer_if_refused;
    std::function<void(write_refused)> refuse;
    std::function<void(write_unknown)> leave_unknown;
};

/// Appends operations to a stream and answers after reading them back. A lost answer of the log is
/// settled by reading; if the record is not there, the cancellation is appended, so that the
/// operation has no effect should it be stored later. No operation is appended twice. Thread safe.
class operation_writer {
public:
    /// @param log the log; outlives the writer and its callbacks
    /// @param stream the stream
    /// @param clock measures the limits; outlives the writer and its callbacks
    /// @param after timer
    /// @param options limits
    operation_writer(transport::log_service& log, operation_stream stream,
                     const clock_source& clock, delayed_call after,
                     operation_writer_options options);
    operation_writer(const operation_writer&) = delete;
    operation_writer& operator=(const operation_writer&) = delete;
    operation_writer(operation_writer&&) = delete;
    operation_writer& operator=(operation_writer&&) = delete;
    ~operation_writer();

    /// @param operation what to append and how to answer
    void submit(stream_operation operation);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
