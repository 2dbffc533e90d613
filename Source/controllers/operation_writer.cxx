#include "controllers/operation_writer.h"

#include <utility>
#include <variant>

#include <fmt/format.h>

namespace medlaryoke::controllers {

namespace {

constexpr std::size_t read_batch = 512;

} // namespace

class operation_writer::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::log_service& service, operation_stream target,
                   const clock_source& source, delayed_call timer, operation_writer_options limits)
        : log_(service), stream_(std::move(target)), clock_(source), after_(std::move(timer)),
          options_(limits)
    {
    }

    void submit(stream_operation operation)
    {
        auto current = std::make_shared<pending>(pending{std::move(operation), {}});
        // Reading first shows an outage before anything is appended, and checks the operation
        // against the newest records.
        this->catch_up([self = this->shared_from_this(), current](bool reached) {
            if (current->operation.answer_if_known()) {
                return;
            }
            if (!reached) {
                current->operation.refuse({"the log is not available"});
                return;
            }
            if (!current->operation.answer_if_refused()) {
                self->append(current);
            }
        });
    }

private:
    struct pending {
        stream_operation operation;
        time_point lost_at; ///< when the append ended
    };

    using pending_ptr = std::shared_ptr<pending>;

    void append(const pending_ptr& current)
    {
        this->log_.append(
            this->stream_.name, current->operation.record,
            [self = this->shared_from_this(), current](const transport::append_result& result) {
                if (const auto* refused = std::get_if<transport::append_rejected>(&result)) {
                    current->operation.refuse({refused->reason});
                    return;
                }
                current->lost_at = self->clock_.now();
                if (const auto* stored = std::get_if<transport::append_done>(&result)) {
                    self->read_back(current, stored->offset);
                }
                else {
                    self->search(current);
                }
            });
    }

    /// Reads up to a record that is known to be stored.
    void read_back(const pending_ptr& current, std::uint64_t offset)
    {
        this->catch_up([self = this->shared_from_this(), current, offset](bool) {
            if (current->operation.answer_if_known()) {
                return;
            }
            if (self->is_late(*current)) {
                current->operation.leave_unknown(
                    {fmt::format("record {} is stored but could not be read back", offset)});
                return;
            }
            self->later([self, current, offset] { self->read_back(current, offset); });
        });
    }

    /// Looks for a record whose answer was lost.
    void search(const pending_ptr& current)
    {
        this->catch_up([self = this->shared_from_this(), current](bool reached) {
            if (current->operation.answer_if_known()) {
                return;
            }
            const auto waited = self->clock_.now() - current->lost_at;
            if (self->is_late(*current)) {
                current->operation.leave_unknown(
                    {"the answer of the log was lost, and the log could not be read since"});
            }
            else if (reached && waited >= self->options_.search_time) {
                self->cancel(current);
            }
            else {
                self->later([self, current] { self->search(current); });
            }
        });
    }

    /// Appends a record that voids the operation. Further cancellations change nothing, so this
    /// record may be appended again.
    void cancel(const pending_ptr& current)
    {
        this->log_.append(
            this->stream_.name, current->operation.cancellation,
            [self = this->shared_from_this(), current](const transport::append_result&) {
                self->later([self, current] { self->search(current); });
            });
    }

    /// Folds everything that is stored now.
    /// @param done told whether the end of the stream was reached
    void catch_up(std::function<void(bool)> done)
    {
        this->log_.read(this->stream_.name, this->stream_.offset() + 1, read_batch,
                        duration::zero(),
                        [self = this->shared_from_this(),
                         done = std::move(done)](transport::read_result result) {
                            auto* found = std::get_if<transport::read_records>(&result);
                            if (found == nullptr) {
                                done(false);
                                return;
                            }
                            const auto before = self->stream_.offset();
                            self->stream_.fold(std::move(found->records));
                            const auto offset = self->stream_.offset();
                            if (offset + 1 >= found->next) {
                                done(true);
                            }
                            else if (offset == before) {
                                done(false);
                            }
                            else {
                                self->catch_up(done);
                            }
                        });
    }

    [[nodiscard]] bool is_late(const pending& current) const
    {
        return this->clock_.now() - current.lost_at >= this->options_.settle_time;
    }

    void later(std::function<void()> fn)
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
