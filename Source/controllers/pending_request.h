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

/// A dispatch to be cancelled at its agent.
struct running_dispatch {
    std::string upstream; ///< name of the upstream
    std::shared_ptr<upstream_link> link;
    std::uint64_t dispatch_id = 0;
};

/// What follows an attempt without a complete answer.
enum class attempt_end {
    stale,       ///< the attempt or the request had ended before
    waits_again, ///< another attempt may follow
    still_open,  ///< the request has to be ended
};

/// A request from its receipt to its end, with one dispatch at a time. Its end is decided once:
/// whoever comes first, the agent, the deadline or the caller, wins. Thread safe.
class pending_request {
public:
    /// @param id unique within the dispatcher
    /// @param request what to run
    /// @param response where the answer goes
    pending_request(std::uint64_t id, work_request request,
                    std::shared_ptr<transport::response_stream> response);

    [[nodiscard]] std::uint64_t id() const { return this->id_; }
    [[nodiscard]] const work_request& request() const { return this->request_; }

    /// Starts the next attempt.
    /// @param upstream name of the upstream
    /// @param link the link that dispatches
    /// @param now the current time
    /// @return number of the attempt, empty if the request has ended
    std::optional<unsigned> begin_attempt(const std::string& upstream,
                                          std::shared_ptr<upstream_link> link, time_point now);

    /// Notes the id of the dispatch, for cancel.
    /// @param attempt number of the attempt
    /// @param dispatch_id id at the link
    /// @return whether the request ended meanwhile, so that the dispatch is to be cancelled
    bool set_dispatch_id(unsigned attempt, std::uint64_t dispatch_id);

    /// Ends an attempt without a complete answer; another one can follow.
    /// @param attempt number of the attempt
    /// @param may_have_run whether the upstream may have run the request
    /// @param allow called if the request is still open and nothing was written to the caller
    /// @param now the current time
    /// @return what follows
    template <typename Predicate>
    attempt_end end_attempt(unsigned attempt, bool may_have_run, Predicate allow, time_point now)
    {
        const std::scoped_lock lock(this->mutex_);
        if (!this->is_current(attempt)) {
            return attempt_end::stale;
        }
        this->may_have_run_ = this->may_have_run_ || may_have_run;
        this->running_.reset();
        this->waiting_since_ = now;
        if (this->writer_.started() || !allow()) {
            return attempt_end::still_open;
        }
        this->writer_.reset();
        this->first_data_.reset();
        this->data_parts_ = 0;
        return attempt_end::waits_again;
    }

    /// @param attempt number of the attempt
    /// @param head status and headers of the answer
    void on_head(unsigned attempt, const transport::http_head& head);

    /// @param attempt number of the attempt
    /// @param data next part of the answer
    /// @param now the current time
    /// @return an empty string, or why no more of the answer can be taken
    [[nodiscard]] std::string on_data(unsigned attempt, const std::string& data, time_point now);

    /// Ends the request with the complete answer.
    /// @param attempt number of the attempt
    /// @param now the current time
    /// @return the record, empty if the request had ended already
    std::optional<request_record> finish(unsigned attempt, time_point now);

    /// Ends the request without a complete answer. If an earlier attempt may have been run, the
    /// outcome is unknown whatever the failure says.
    /// @param failure why
    /// @param now the current time
    /// @param running receives the dispatch to cancel, if there is one
    /// @return the record, empty if the request had ended already
    std::optional<request_record> fail(request_failure failure, time_point now,
                                       std::optional<running_dispatch>& running);

    /// Ends the request because its caller went away or reads too slowly.
    /// @param now the current time
    /// @param running receives the dispatch to cancel, if there is one
    /// @return the record, empty if the request had ended already
    std::optional<request_record> drop(time_point now, std::optional<running_dispatch>& running);

    /// @return whether a part of the answer has arrived in the last attempt
    [[nodiscard]] bool has_data() const;

    /// @return whether an attempt is running
    [[nodiscard]] bool is_running() const;

    /// @return upstreams that were tried, in order; stable while the request waits
    [[nodiscard]] const std::vector<std::string>& tried() const { return this->tried_; }

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
    unsigned attempt_ = 0;
    std::vector<std::string> tried_;
    std::optional<running_dispatch> running_;
    time_point waiting_since_;
    duration queue_wait_{};
    std::optional<time_point> first_data_;
    time_point last_data_{};
    unsigned data_parts_ = 0;
};

} // namespace medlaryoke::controllers
