#include "controllers/operation_writer.h"

#include <utility>
#include <variant>

#include <fmt/format.h>

namespace medlaryoke::controllers {

namespace {

constexpr std::size_t max_records_per_read = 512;

} // namespace

class operation_writer::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::log_service& log, operation_stream stream, const clock_source& clock,
                   delayed_call after, operation_writer_options options)
        : log_(log), stream_(std::move(stream)), clock_(clock), after_(std::move(after)),
          options_(options)
    {
    }

    void submit(stream_operation operation)
    {
        auto current =
            std::make_shared<pending_operation>(pending_operation{std::move(operation), {}});
        // Reading first detects an outage before anything is appended, and allows the operation to
        // be checked against the newest records.
        this->catch_up([self = this->shared_from_this(), current](bool reached_end) {
            if (current->operation.answer_if_known()) {
                return;
            }
            if (!reached_end) {
                current->operation.answer_refused({"the log is unavailable"});
                return;
            }
            if (!current->operation.answer_if_refused()) {
                self->append(current);
            }
        });
    }

private:
    struct pending_operation {
        stream_operation operation;
        time_point append_ended_at; ///< when the append completed or lost its reply
    };

    using pending_ptr = std::shared_ptr<pending_operation>;

    void append(const pending_ptr& current)
    {
        this->log_.append(
            this->stream_.name, current->operation.record,
            [self = this->shared_from_this(), current](const transport::append_result& result) {
                if (const auto* refused = std::get_if<transport::append_rejected>(&result)) {
                    current->operation.answer_refused({refused->reason});
                    return;
                }
                current->append_ended_at = self->clock_.now();
                const auto* stored = std::get_if<transport::append_done>(&result);
                if (stored != nullptr && self->stream_.continues(stored->epoch)) {
                    self->read_back(current, stored->offset);
                }
                else {
                    self->find_record(current);
                }
            });
    }

    /// Reads the stream until a record that is known to be stored has been folded.
    void read_back(const pending_ptr& current, std::uint64_t offset)
    {
        this->catch_up([self = this->shared_from_this(), current, offset](bool) {
            if (current->operation.answer_if_known()) {
                return;
            }
            if (self->is_timed_out(*current)) {
                current->operation.answer_unknown({fmt::format(
                    "the record is stored at offset {} but could not be read back", offset)});
                return;
            }
            self->retry_later([self, current, offset] { self->read_back(current, offset); });
        });
    }

    /// Searches the stream for a record whose append had no reply.
    void find_record(const pending_ptr& current)
    {
        this->catch_up([self = this->shared_from_this(), current](bool reached_end) {
            if (current->operation.answer_if_known()) {
                return;
            }
            const auto elapsed = self->clock_.now() - current->append_ended_at;
            if (self->is_timed_out(*current)) {
                current->operation.answer_unknown({"the reply to the append was lost, and the "
                                                   "outcome could not be read from the log"});
            }
            else if (reached_end && elapsed >= self->options_.cancel_delay) {
                self->cancel(current);
            }
            else {
                self->retry_later([self, current] { self->find_record(current); });
            }
        });
    }

    /// Appends the record that cancels the operation. A repeated cancellation has no effect, so
    /// the record may be appended more than once.
    void cancel(const pending_ptr& current)
    {
        this->log_.append(
            this->stream_.name, current->operation.cancellation,
            [self = this->shared_from_this(), current](const transport::append_result&) {
                self->retry_later([self, current] { self->find_record(current); });
            });
    }

    /// Reads and folds records up to the current end of the stream.
    /// @param done called with whether the end of the stream was reached
    void catch_up(std::function<void(bool)> done)
    {
        this->log_.read(this->stream_.name, this->stream_.offset() + 1, max_records_per_read,
                        duration::zero(),
                        [self = this->shared_from_this(),
                         done = std::move(done)](transport::read_result result) {
                            auto* read = std::get_if<transport::read_records>(&result);
                            if (read == nullptr || !self->stream_.continues(read->epoch)) {
                                done(false);
                                return;
                            }
                            const auto previous_offset = self->stream_.offset();
                            self->stream_.fold(std::move(read->records));
                            const auto offset = self->stream_.offset();
                            if (offset + 1 >= read->next) {
                                done(true);
                            }
                            else if (offset == previous_offset) {
                                done(false);
                            }
                            else {
                                self->catch_up(done);
                            }
                        });
    }

    [[nodiscard]] bool is_timed_out(const pending_operation& current) const
    {
        return this->clock_.now() - current.append_ended_at >= this->options_.resolve_timeout;
    }

    void retry_later(std::function<void()> fn)
    {
        this->after_(this->options_.retry_interval, std::move(fn));
    }

    transport::log_service& log_;
    operation_stream stream_;
    const clock_source& clock_;
    delayed_call after_;
    operation_writer_options options_;
};

operation_writer::operation_writer(transport::log_service& log, operation_stream stream,
                                   const clock_source& clock, delayed_call after,
                                   operation_writer_options options)
    : impl_(std::make_shared<implementation>(log, std::move(stream), clock, std::move(after),
                                             options))
{
}

operation_writer::~operation_writer() = default;

void operation_writer::submit(stream_operation operation)
{
    this->impl_->submit(std::move(operation));
}

} // namespace medlaryoke::controllers
