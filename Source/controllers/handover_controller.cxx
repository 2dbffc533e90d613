#include "controllers/handover_controller.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/identifiers.h"
#include "base/json_text.h"
#include "base/logging.h"
#include "controllers/log_history.h"

namespace medlaryoke::controllers {

namespace {

using policy::handover_action;
using policy::handover_record;
using policy::handover_work;
using policy::work_owner;
using policy::work_state;

constexpr auto handover_stream = "handover";
constexpr std::size_t max_records_per_read = 512;

} // namespace

class handover_controller::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::log_service& log, const clock_source& clock, std::string runner,
                   handover_ports ports, handover_options options)
        : log_(log), clock_(clock), runner_(std::move(runner)), ports_(std::move(ports)),
          options_(options),
          writer_(log,
                  {.name = handover_stream,
                   .offset = [this] { return this->offset(); },
                   .fold =
                       [this](const std::vector<transport::stored_record>& records) {
                           this->fold(records);
                       },
                   .continues =
                       [this](std::uint64_t epoch) {
                           const std::scoped_lock lock(this->mutex_);
                           return this->history_.continues(epoch);
                       }},
                  clock, this->ports_.after, {})
    {
    }

    void read()
    {
        if (this->stopped) {
            return;
        }
        this->log_.read(
            handover_stream, this->offset() + 1, max_records_per_read, this->options_.poll_timeout,
            [self = this->weak_from_this()](const transport::read_result& result) {
                if (const auto controller = self.lock()) {
                    std::visit([&](const auto& it) { controller->on_result(it); }, result);
                }
            });
    }

    void check()
    {
        if (this->stopped) {
            return;
        }
        for (const auto& [id, item] : this->find_due_work()) {
            this->start_or_resume(id, item);
        }
        this->run_later(this->options_.check_interval, [](auto& self) { self.check(); });
    }

    void submit(handover_record record, const std::function<void(handover_result)>& done)
    {
        const auto shared = std::make_shared<const handover_record>(std::move(record));
        auto cancellation = *shared;
        cancellation.action = handover_action::cancel;
        cancellation.content.clear();
        stream_operation operation;
        operation.record = policy::encode_record(*shared);
        operation.cancellation = policy::encode_record(cancellation);
        operation.answer_if_known = [self = this->shared_from_this(), shared, done] {
            const auto outcome = self->outcome_of(shared->operation_id);
            if (outcome) {
                done(*outcome);
            }
            return outcome.has_value();
        };
        operation.answer_if_refused = [self = this->shared_from_this(), shared, done] {
            const auto expected = self->evaluate(*shared);
            const bool refused = std::holds_alternative<policy::handover_refused>(expected);
            if (refused) {
                done(std::get<policy::handover_refused>(expected));
            }
            return refused;
        };
        operation.answer_refused = [done](write_refused it) { done(std::move(it)); };
        operation.answer_unknown = [done](write_unknown it) { done(std::move(it)); };
        this->writer_.submit(std::move(operation));
    }

    std::optional<handover_work> find(const std::string& work_id) const
    {
        const std::scoped_lock lock(this->mutex_);
        const auto* item = this->ledger_.find(work_id);
        return item == nullptr ? std::nullopt : std::optional(*item);
    }

    std::size_t active_work_count() const
    {
        const std::scoped_lock lock(this->mutex_);
        return this->active_work_.size();
    }

    std::atomic<bool> stopped = false;
    std::atomic<bool> started = false;
    std::atomic<bool> draining = false;

private:
    using work_list = std::vector<std::pair<std::string, handover_work>>;

    std::uint64_t offset() const
    {
        const std::scoped_lock lock(this->mutex_);
        return this->ledger_.offset();
    }

    void fold(const std::vector<transport::stored_record>& records)
    {
        const std::scoped_lock lock(this->mutex_);
        for (const auto& it : records) {
            if (it.offset > this->ledger_.offset()) {
                this->ledger_.apply_record(it.offset, policy::decode_handover(it.data));
            }
        }
    }

    std::optional<handover_result> outcome_of(const std::string& operation_id) const
    {
        const std::scoped_lock lock(this->mutex_);
        const auto* outcome = this->ledger_.outcome_of(operation_id);
        if (outcome == nullptr) {
            return std::nullopt;
        }
        if (const auto* accepted = std::get_if<policy::handover_accepted>(outcome)) {
            return *accepted;
        }
        if (const auto* refused = std::get_if<policy::handover_refused>(outcome)) {
            return *refused;
        }
        return write_refused{
            "the operation was cancelled because the reply to its append was lost"};
    }

    policy::handover_outcome evaluate(const handover_record& record) const
    {
        const std::scoped_lock lock(this->mutex_);
        return this->ledger_.evaluate(record);
    }

    void on_result(const transport::read_records& result)
    {
        if (!this->is_known_history(result.epoch)) {
            return;
        }
        const auto previous_offset = this->offset();
        this->fold(result.records);
        if (this->offset() == previous_offset && !result.records.empty()) {
            this->read_later();
            return;
        }
        this->read();
    }

    void on_result(const transport::read_expired& result)
    {
        if (!this->is_known_history(result.epoch)) {
            return;
        }
        this->logger_.warning("handover records before offset {} have expired", result.earliest);
        {
            const std::scoped_lock lock(this->mutex_);
            this->ledger_.skip_to(result.earliest - 1);
        }
        this->read_later();
    }

    void on_result(const transport::read_unavailable&) { this->read_later(); }

    /// @param epoch of the log
    /// @return whether the log continues the history that this controller has read
    bool is_known_history(std::uint64_t epoch)
    {
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->history_.continues(epoch)) {
                return true;
            }
        }
        if (!this->reported_loss_.exchange(true)) {
            this->logger_.error("the log was restored from an older copy; no work is handed over "
                                "any more. Settle what is open and restart all processes.");
        }
        this->read_later();
        return false;
    }

    void read_later()
    {
        this->run_later(this->options_.check_interval, [](auto& self) { self.read(); });
    }

    /// Finds the work that this entry has to start or resume now, and marks it as active.
    work_list find_due_work()
    {
        if (this->draining) {
            return {};
        }
        auto live = this->ports_.live_runners();
        live.push_back({this->runner_, false});
        const auto now = this->clock_.now();
        const std::scoped_lock lock(this->mutex_);
        work_list due;
        const auto open = this->ledger_.open_work();
        std::erase_if(this->runner_lost_since_, [&open](const auto& it) {
            return !std::ranges::binary_search(open, it.first);
        });
        for (const auto& id : open) {
            const auto* item = this->ledger_.find(id);
            if (item != nullptr && !this->active_work_.contains(id) &&
                this->is_due(id, *item, live, now)) {
                this->active_work_.insert(id);
                due.emplace_back(id, *item);
            }
        }
        return due;
    }

    /// @return whether this entry has to start, resume or take over a piece of work now
    bool is_due(const std::string& id, const handover_work& item,
                const std::vector<live_runner>& live, time_point now)
    {
        if (item.state == work_state::started) {
            if (item.runner == this->runner_) {
                return true;
            }
            if (std::ranges::find(live, item.runner, &live_runner::name) != live.end()) {
                this->runner_lost_since_.erase(id);
                return false;
            }
            const auto lost_since = this->runner_lost_since_.emplace(id, now).first->second;
            if (now - lost_since < this->options_.takeover_delay) {
                return false;
            }
        }
        const auto weight = [&id](const live_runner& it) {
            return it.draining ? 0 : hash64(id + "/" + it.name);
        };
        return std::ranges::max(live, {}, weight).name == this->runner_;
    }

    /// Starts the work, or resumes it if this entry has already started it.
    void start_or_resume(const std::string& id, const handover_work& item)
    {
        if (item.state == work_state::started && item.runner == this->runner_) {
            this->execute(id);
            return;
        }
        this->submit({.operation_id = make_unique_id("start"),
                      .work_id = id,
                      .action = handover_action::start,
                      .by = work_owner::new_router,
                      .content = "",
                      .runner = this->runner_,
                      .previous_start = item.start_offset},
                     [self = this->weak_from_this(), id](const handover_result& result) {
                         const auto controller = self.lock();
                         if (!controller || controller->stopped) {
                             return;
                         }
                         if (std::holds_alternative<policy::handover_accepted>(result)) {
                             controller->execute(id);
                         }
                         else {
                             controller->deactivate(id);
                         }
                     });
    }

    /// Runs work that this entry has started, unless another entry has taken it over.
    void execute(const std::string& id)
    {
        const auto item = this->find(id);
        if (!item || item->state != work_state::started || item->runner != this->runner_) {
            this->deactivate(id);
            return;
        }
        this->ports_.execute(
            id, item->content,
            [self = this->weak_from_this(), id, item = *item](const work_result& result) {
                if (const auto controller = self.lock()) {
                    std::visit([&](const auto& it) { controller->on_executed(id, item, it); },
                               result);
                }
            });
    }

    void on_executed(const std::string& id, const handover_work& item, const work_done& result)
    {
        this->append_end(id, item, handover_action::complete, result.result);
    }

    void on_executed(const std::string& id, const handover_work& item, const work_unknown& result)
    {
        const nlohmann::json content{{"outcome", "unknown"}, {"reason", result.reason}};
        this->append_end(id, item, handover_action::complete, to_json_text(content));
    }

    void on_executed(const std::string& id, const handover_work& item, const work_not_run& result)
    {
        this->logger_.info("work \"{}\" was not run: {}", id, result.reason);
        if (item.starts == 1) {
            this->append_end(id, item, handover_action::give_back, "");
            return;
        }
        // An entry that started the work earlier may have run it, so it cannot be given back to the
        // old router.
        this->run_later(this->options_.retry_interval, [id](auto& self) { self.execute(id); });
    }

    /// Appends the record that completes the work or gives it back. Retries until the record has
    /// been accepted or refused.
    void append_end(const std::string& id, const handover_work& item, handover_action action,
                    const std::string& content)
    {
        this->submit({.operation_id = make_unique_id("close"),
                      .work_id = id,
                      .action = action,
                      .by = work_owner::new_router,
                      .content = content,
                      .runner = this->runner_,
                      .previous_start = item.start_offset},
                     [self = this->weak_from_this(), id, item, action,
                      content](const handover_result& result) {
                         const auto controller = self.lock();
                         if (!controller) {
                             return;
                         }
                         if (std::holds_alternative<policy::handover_accepted>(result) ||
                             std::holds_alternative<policy::handover_refused>(result)) {
                             controller->deactivate(id);
                             return;
                         }
                         controller->run_later(controller->options_.retry_interval,
                                               [id, item, action, content](auto& that) {
                                                   that.append_end(id, item, action, content);
                                               });
                     });
    }

    /// Marks work as no longer active on this entry.
    void deactivate(const std::string& id)
    {
        const std::scoped_lock lock(this->mutex_);
        this->active_work_.erase(id);
    }

    /// Calls a function with this object after a delay, unless the controller has been stopped.
    template <typename Function>
    void run_later(duration delay, Function fn)
    {
        this->ports_.after(delay, [self = this->weak_from_this(), fn = std::move(fn)] {
            if (const auto controller = self.lock(); controller && !controller->stopped) {
                fn(*controller);
            }
        });
    }

    transport::log_service& log_;
    const clock_source& clock_;
    std::string runner_;
    handover_ports ports_;
    handover_options options_;
    mutable std::mutex mutex_;
    policy::handover_ledger ledger_;
    std::set<std::string> active_work_; ///< ids of work that this entry starts, runs or ends
    std::map<std::string, time_point> runner_lost_since_; ///< by work id
    operation_writer writer_;
    log_history history_;
    std::atomic<bool> reported_loss_ = false;
    logger logger_{"entry"};
};

handover_controller::handover_controller(transport::log_service& log, const clock_source& clock,
                                         std::string runner, handover_ports ports,
                                         handover_options options)
    : impl_(std::make_shared<implementation>(log, clock, std::move(runner), std::move(ports),
                                             options))
{
}

handover_controller::~handover_controller()
{
    this->impl_->stopped = true;
}

void handover_controller::start()
{
    if (!this->impl_->started.exchange(true)) {
        this->impl_->read();
        this->impl_->check();
    }
}

void handover_controller::drain()
{
    this->impl_->draining = true;
}

std::size_t handover_controller::active_work_count() const
{
    return this->impl_->active_work_count();
}

void handover_controller::submit(policy::handover_record record,
                                 const std::function<void(handover_result)>& done)
{
    this->impl_->submit(std::move(record), done);
}

std::optional<policy::handover_work> handover_controller::find(const std::string& work_id) const
{
    return this->impl_->find(work_id);
}

} // namespace medlaryoke::controllers
