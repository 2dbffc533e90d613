#include "controllers/config_writer.h"

#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "controllers/config_feed.h"

namespace medlaryoke::controllers {

namespace {

write_result to_result(const policy::change_outcome& outcome)
{
    return std::visit(
        [](const auto& it) -> write_result {
            if constexpr (std::is_same_v<std::decay_t<decltype(it)>, policy::change_cancelled>) {
                return write_refused{
                    "the operation was cancelled because the reply to its append was lost"};
            }
            else {
                return it;
            }
        },
        outcome);
}

} // namespace

config_writer::config_writer(transport::log_service& log, config_store& store,
                             const clock_source& clock, delayed_call after,
                             operation_writer_options options)
    : store_(store),
      writer_(
          log,
          {.name = std::string(config_stream),
           .offset = [&store] { return store.view()->offset; },
           .fold =
               [&store](std::vector<transport::stored_record> records) {
                   store.fold(to_config_records(std::move(records)));
               },
           .continues = [&store](std::uint64_t epoch) { return store.continues_history(epoch); }},
          clock, std::move(after), options)
{
}

void config_writer::submit(policy::config_change change,
                           const std::function<void(write_result)>& done)
{
    const auto shared = std::make_shared<const policy::config_change>(std::move(change));
    auto& store = this->store_;
    stream_operation operation;
    operation.record = policy::encode_record(*shared);
    operation.cancellation = policy::encode_record(policy::change_cancel{shared->operation_id});
    operation.answer_if_known = [&store, shared, done] {
        const auto outcome = store.outcome_of(shared->operation_id);
        if (outcome) {
            done(to_result(*outcome));
        }
        return outcome.has_value();
    };
    operation.answer_if_refused = [&store, shared, done] {
        const auto expected = store.evaluate(*shared);
        const bool refused = !std::holds_alternative<policy::change_accepted>(expected);
        if (refused) {
            done(to_result(expected));
        }
        return refused;
    };
    operation.answer_refused = [done](write_refused it) { done(std::move(it)); };
    operation.answer_unknown = [done](write_unknown it) { done(std::move(it)); };
    this->writer_.submit(std::move(operation));
}

} // namespace medlaryoke::controllers
