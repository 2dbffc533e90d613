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

/// The operation was refused and has no effect. It can take effect only if it is submitted again.
struct write_refused {
    std::string reason;
};

/// The log's reply to the append was lost or the record could not be read back, so it is not known
/// whether the operation took effect.
struct write_unknown {
    std::string reason;
};

struct operation_writer_options {
    /// Maximum time after an append in which the writer finds out whether the operation took
    /// effect. After that, the outcome is reported as unknown.
    duration resolve_timeout = std::chrono::seconds(10);
    /// Minimum time after an append without a reply before the operation is cancelled. Until then
    /// the writer searches the stream for the record.
    duration cancel_delay = std::chrono::seconds(1);
    /// Time between two attempts to read a record back or to find it.
    duration retry_interval = std::chrono::milliseconds(100);
};

/// The stream that operations are appended to, and the state that its records are folded into.
struct operation_stream {
    std::string name;
    std::function<std::uint64_t()> offset; ///< returns the offset of the last record folded
    /// Folds records into the state; skips records that were folded before.
    std::function<void(std::vector<transport::stored_record>)> fold;
    /// Returns whether the log, whose epoch is given, still has the history of the state.
    std::function<bool(std::uint64_t epoch)> continues;
};

/// One operation. Exactly one of the callbacks answers the caller, exactly once.
struct stream_operation {
    std::string record;       ///< record that carries out the operation
    std::string cancellation; ///< record that cancels the operation unless `record` precedes it
    /// Answers with the outcome if the operation or its cancellation has been folded.
    /// @return whether the caller was answered
    std::function<bool()> answer_if_known;
    /// Answers with a refusal if the operation would be refused as the next record.
    /// @return whether the caller was answered
    std::function<bool()> answer_if_refused;
    std::function<void(write_refused)> answer_refused;
    std::function<void(write_unknown)> answer_unknown;
};

/// Appends operations to a stream, reads them back and then answers the caller. If the log's reply
/// to an append is lost, the writer searches the stream for the record. If the record is not there,
/// the writer appends the cancellation, so that the operation has no effect if it is stored later.
/// No operation is appended twice. Thread safe.
class operation_writer {
public:
    /// @param log the log service; outlives the writer and its callbacks
    /// @param stream the stream that operations are appended to
    /// @param clock measures timeouts; outlives the writer and its callbacks
    /// @param after runs a function after a delay
    /// @param options timeouts and intervals
    operation_writer(transport::log_service& log, operation_stream stream,
                     const clock_source& clock, delayed_call after,
                     operation_writer_options options);
    operation_writer(const operation_writer&) = delete;
    operation_writer& operator=(const operation_writer&) = delete;
    operation_writer(operation_writer&&) = delete;
    operation_writer& operator=(operation_writer&&) = delete;
    ~operation_writer();

    /// Submits an operation.
    /// @param operation the records to append and the callbacks that answer the caller
    void submit(stream_operation operation);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
