#include "controllers/agent_admission.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "policy/concurrency_limit.h"

namespace medlaryoke::controllers {

namespace {

using policy::call_outcome;
using policy::concurrency_limit;
using policy::concurrency_limit_options;
using policy::work_queue;

call_outcome to_call_outcome(slot_outcome outcome)
{
    switch (outcome) {
    case slot_outcome::answered:
        return call_outcome::succeeded;
    case slot_outcome::overloaded:
        return call_outcome::refused;
    case slot_outcome::failed:
        return call_outcome::failed;
    case slot_outcome::abandoned:
        break;
    }
    return call_outcome::abandoned;
}

std::vector<std::uint64_t> ids_of(const std::vector<policy::work_item>& items)
{
    std::vector<std::uint64_t> ids;
    std::ranges::transform(items, std::back_inserter(ids), &policy::work_item::id);
    return ids;
}

} // namespace

class agent_admission::implementation {
public:
    explicit implementation(const agent_admission_options& options)
        : limit(concurrency_limit_options{.initial =
                                              std::min(options.initial_limit, options.max_limit),
                                          .maximum = options.max_limit}),
          queue(policy::work_queue_options{.priorities = {},
                                           .max_items = options.max_queued_requests})
    {
    }

    concurrency_limit limit;
    work_queue queue;
};

agent_admission::agent_admission(const agent_admission_options& options)
    : impl_(std::make_unique<implementation>(options))
{
}

agent_admission::~agent_admission() = default;

admission_result agent_admission::start_or_queue(policy::work_item item, time_point now)
{
    if (this->impl_->queue.size() == 0 && this->impl_->limit.try_acquire()) {
        return {.start_now = true, .refused = {}};
    }
    return {.start_now = false, .refused = ids_of(this->impl_->queue.push(std::move(item), now))};
}

std::optional<std::uint64_t> agent_admission::start_next(time_point now)
{
    if (this->impl_->queue.size() == 0 || !this->impl_->limit.try_acquire()) {
        return std::nullopt;
    }
    if (const auto item = this->impl_->queue.pop(now)) {
        return item->id;
    }
    this->impl_->limit.release({}, call_outcome::abandoned);
    return std::nullopt;
}

void agent_admission::release(std::optional<duration> latency, slot_outcome outcome)
{
    // An answer without a first byte gives no latency sample and must not change the limit.
    this->impl_->limit.release(latency.value_or(duration{}),
                               outcome == slot_outcome::answered && !latency
                                   ? call_outcome::abandoned
                                   : to_call_outcome(outcome));
}

bool agent_admission::remove(std::uint64_t id)
{
    return this->impl_->queue.remove(id);
}

std::vector<std::uint64_t> agent_admission::remove_expired(time_point now)
{
    return ids_of(this->impl_->queue.expire(now));
}

void agent_admission::set_priorities(const std::vector<policy::priority_rule>& priorities)
{
    this->impl_->queue.set_priorities(priorities);
}

unsigned agent_admission::running() const
{
    return this->impl_->limit.in_flight();
}

std::size_t agent_admission::queued() const
{
    return this->impl_->queue.size();
}

unsigned agent_admission::limit() const
{
    return this->impl_->limit.limit();
}

} // namespace medlaryoke::controllers
