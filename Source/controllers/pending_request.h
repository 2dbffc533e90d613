#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controllers/answer_writer.h"
#include "controllers/request_record.h"
#include "controllers/upstream_link.h"
#include "controllers/work_request.h"

namespace medlaryoke::controllers {

/// A dispatch that an agent is running; identifies it for cancellation.
struct running_dispatch {
    std::string upstream; ///< name of the upstream
    std::shared_ptr<upstream_link> link;
    std::uint64_t dispatch_id = 0;
};

/// What follows an attempt that ended without a complete answer.
enum class attempt_followup {
    stale,  ///< the attempt or the request had already ended
    retry,  ///< the request has to be queued for another attempt
    failed, ///< the request is still open and has to be failed
};

/// A request from its receipt to its end, with at most one running dispatch. The request ends
/// exactly once: the first of the agent, the deadline and the caller decides the outcome. Thread
/// safe.
class pending_request {
public:
    /// @param id unique within the dispatcher
    /// @param request the request to run
    /// @param response stream that receives the answer
    pending_request(std::uint64_t id, work_request request,
                    std::shared_ptr<transport::response_stream> response);

    [[nodiscard]] std::uint64_t id() const { return this->id_; }
    [[nodiscard]] const work_request& request() const { return this->request_; }

    /// Starts the next attempt.
    /// @param upstream name of the upstream
    /// @param link link to the agent of the upstream
    /// @param now the current time
    /// @return number of the attempt, empty if the request has ended
    std::optional<unsigned> begin_attempt(const std::string& upstream,
                                          std::shared_ptr<upstream_link> link, time_point now);

    /// Stores the id of the dispatch, which is needed to cancel it.
    /// @param attempt number of the attempt
    /// @param dispatch_id id that the link assigned
    /// @return whether the request has ended meanwhile, so that the dispatch has to be cancelled
    bool set_dispatch_id(unsigned attempt, std::uint64_t dispatch_id);

    /// Ends an attempt without a complete answer; another attempt can follow.
    /// @param attempt number of the attempt
    /// @param may_have_run whether the upstream may have run the request
    /// @param may_retry called if the request is still open and nothing was written to the caller;
    /// returns whether another attempt is allowed
    /// @param now the current time
    /// @return what the caller of this function has to do next
    template <typename Predicate>
    attempt_followup end_attempt(unsigned attempt, bool may_have_run, Predicate may_retry,
                                 time_point now)
    {
        const std::scoped_lock lock(this->mutex_);
        if (!this->is_current(attempt)) {
            return attempt_followup::stale;
        }
        this->may_have_run_ = this->may_have_run_ || may_have_run;
        this->running_.reset();
        this->waiting_since_ = now;
        if (this->writer_.started() || !may_retry()) {
            return attempt_followup::failed;
        }
        this->writer_.reset();
        this->first_data_.reset();
        this->data_part_count_ = 0;
        return attempt_followup::retry;
    }

    /// Takes the head of the answer.
    /// @param attempt number of the attempt
    /// @param head status and headers of the answer
    void on_head(unsigned attempt, const transport::http_head& head);

    /// Takes a part of the answer and passes it to the caller if possible.
    /// @param attempt number of the attempt
    /// @param data next part of the answer
    /// @param now the current time
    /// @return an empty string, or the reason why the request has to be cancelled
    [[nodiscard]] std::string on_data(unsigned attempt, const std::string& data, time_point now);

    /// Ends the request with the complete answer.
    /// @param attempt number of the attempt
    /// @param now the current time
    /// @return the record, empty if the request had already ended
    std::optional<request_record> finish(unsigned attempt, time_point now);

    /// Ends the request without a complete answer. If an earlier attempt may have been run, the
    /// outcome is unknown, whatever outcome the failure has.
    /// @param failure outcome and error for the caller
    /// @param now the current time
    /// @param running receives the dispatch to cancel, if there is one
    /// @return the record, empty if the request had already ended
    std::optional<request_record> fail(request_failure failure, time_point now,
                                       std::optional<running_dispatch>& running);

    /// Ends the request because its caller disconnected, reads too slowly, or the answer is too
    /// large.
    /// @param now the current time
    /// @param running receives the dispatch to cancel, if there is one
    /// @return the record, empty if the request had already ended
    std::optional<request_record> cancel(time_point now, std::optional<running_dispatch>& running);

    /// @return whether a part of the answer has arrived in the last attempt
    [[nodiscard]] bool has_data() const;

    /// @return whether an attempt is running
    [[nodiscard]] bool is_running() const;

    /// @return names of the upstreams of all attempts, in order; does not change while the request
    /// waits
    [[nodiscard]] const std::vector<std::string>& tried_upstreams() const
    {
        return this->tried_upstreams_;
    }

private:
    [[nodiscard]] bool is_current(unsigned attempt) const;
    [[nodiscard]] request_record make_record(time_point now) const;
    std::optional<request_record> end(time_point now, std::optional<running_dispatch>& running);

    std::uint64_t id_;
    work_request request_;
    mutable std::mutex mutex_;
    answer_writer writer_;
    bool ended_ = false;
    bool may_have_run_ = false;
    unsigned attempt_number_ = 0;
    std::vector<std::string> tried_upstreams_;
    std::optional<running_dispatch> running_;
    time_point waiting_since_;
    duration queue_wait_{};
    std::optional<time_point> first_data_;
    time_point last_data_{};
    unsigned data_part_count_ = 0;
};

} // namespace medlaryoke::controllers
