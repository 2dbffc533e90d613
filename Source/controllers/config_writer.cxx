#include "controllers/config_writer.h"

#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "controllers/config_feed.h"

namespace medlaryoke::controllers {

namespace {

constexpr std::size_t read_batch = 512;

write_result to_result(const policy::change_outcome& outcome)
{
    return std::visit(
        [](const auto& it) -> write_result {
            if constexpr (std::is_same_v<std::decay_t<decltype(it)>, policy::change_cancelled>) {
                return write_refused{"the operation was cancelled after the log lost the answer"};
            }
            else {
                return it;
            }
        },
        outcome);
}

} // namespace

class config_writer::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::log_service& service, config_store& target,
                   const clock_source& source, delayed_call timer, config_writer_options limits)
        : log_(service), store_(target), clock_(source), after_(std::move(timer)), options_(limits)
    {
    }

    void submit(policy::config_change change, std::function<void(write_result)> done)
    {
        auto operation = std::make_shared<pending>();
        operation->change = std::move(change);
        operation->done = std::move(done);
        // Reading first shows an outage before anything is appended, and checks the change
        // against the newest configuration.
        this->catch_up([self = this->shared_from_this(), operation](bool reached) {
            if (self->answer_if_known(*operation)) {
                return;
            }
            if (!reached) {
                operation->done(write_refused{"the log is not available"});
                return;
            }
            self->append(operation);
        });
    }

private:
    struct pending {
        policy::config_change change;
        std::function<void(write_result)> done;
        time_point lost_at{}; ///< when the answer of the append was lost
    };

    using operation_ptr = std::shared_ptr<pending>;

    bool answer_if_known(const pending& operation)
    {
        const auto outcome = this->store_.outcome_of(operation.change.operation_id);
        if (outcome) {
            operation.done(to_result(*outcome));
        }
        return outcome.has_value();
    }

    void append(const operation_ptr& operation)
    {
        const auto expected = this->store_.evaluate(operation->change);
        if (!std::holds_alternative<policy::change_accepted>(expected)) {
            operation->done(to_result(expected));
            return;
        }
        this->log_.append(
            std::string(config_stream), policy::encode_record(operation->change),
            [self = this->shared_from_this(), operation](const transport::append_result& result) {
                if (const auto* refused = std::get_if<transport::append_rejected>(&result)) {
                    operation->done(write_refused{refused->reason});
                    return;
                }
                operation->lost_at = self->clock_.now();
                if (const auto* stored = std::get_if<transport::append_done>(&result)) {
                    self->read_back(operation, stored->offset);
                }
                else {
                    self->search(operation);
                }
            });
    }

    /// Reads up to a record that is known to be stored.
    void read_back(const operation_ptr& operation, std::uint64_t offset)
    {
        this->catch_up([self = this->shared_from_this(), operation, offset](bool) {
            if (self->answer_if_known(*operation)) {
                return;
            }
            if (self->is_late(*operation)) {
                operation->done(write_unknown{
                    fmt::format("record {} is stored but could not be read back", offset)});
                return;
            }
            self->later([self, operation, offset] { self->read_back(operation, offset); });
        });
    }

    /// Looks for a record whose answer was lost.
    void search(const operation_ptr& operation)
    {
        this->catch_up([self = this->shared_from_this(), operation](bool reached) {
            if (self->answer_if_known(*operation)) {
                return;
            }
            const auto waited = self->clock_.now() - operation->lost_at;
            if (self->is_late(*operation)) {
                operation->done(write_unknown{"the answer of the log was lost, and the log could "
                                              "not be read since"});
            }
            else if (reached && waited >= self->options_.search_time) {
                self->cancel(operation);
            }
            else {
                self->later([self, operation] { self->search(operation); });
            }
        });
    }

    /// Appends a record that voids the operation, unless its change is stored before it. Further
    /// cancellations change nothing, so this record may be appended again.
    void cancel(const operation_ptr& operation)
    {
        this->log_.append(
            std::string(config_stream),
            policy::encode_record(policy::change_cancel{operation->change.operation_id}),
            [self = this->shared_from_this(), operation](const transport::append_result&) {
                self->later([self, operation] { self->search(operation); });
            });
    }

    /// Folds everything that is stored now.
    /// @param done told whether the end of the stream was reached
    void catch_up(std::function<void(bool)> done)
    {
        const auto from = this->store_.view()->offset + 1;
        this->log_.read(std::string(config_stream), from, read_batch, duration::zero(),
                        [self = this->shared_from_this(),
                         done = std::move(done)](transport::read_result result) {
                            auto* found = std::get_if<transport::read_records>(&result);
                            if (found == nullptr) {
                                done(false);
                                return;
                            }
                            self->store_.fold(to_config_records(std::move(found->records)));
                            if (self->store_.view()->offset + 1 >= found->next) {
                                done(true);
                                return;
                            }
                            self->catch_up(done);
                        });
    }

    [[nodiscard]] bool is_late(const pending& operation) const
    {
        return this->clock_.now() - operation.lost_at >= this->options_.settle_time;
    }

    void later(std::function<void()> fn)
    {
        this->after_(this->options_.retry_interval, std::move(fn));
    }

    transport::log_service& log_;
    config_store& store_;
    const clock_source& clock_;
    delayed_call after_;
    config_writer_options options_;
};

config_writer::config_writer(transport::log_service& log, config_store& store,
                             const clock_source& clock, delayed_call after,
                             config_writer_options options)
    : impl_(std::make_shared<implementation>(log, store, clock, std::move(after), options))
{
}

config_writer::~config_writer() = default;

void config_writer::submit(policy::config_change change, std::function<void(write_result)> done)
{
    this->impl_->submit(std::move(change), std::move(done));
}

} // namespace medlaryoke::controllers
