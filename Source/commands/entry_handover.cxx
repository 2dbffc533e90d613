#include "commands/entry_handover.h"

#include <utility>

#include <fmt/format.h>

namespace medlaryoke::commands {

std::string make_runner_name(const std::string& instance, std::uint64_t incarnation)
{
    return fmt::format("{}/{:016x}", instance, incarnation);
}

entry_handover::entry_handover(transport::log_service& log, const clock_source& clock,
                               const controllers::config_store& config,
                               controllers::request_dispatcher& dispatcher, std::string runner,
                               entry_handover_ports ports)
    : executor_(clock,
                {.config = [&config] { return config.view(); },
                 .submit =
                     [&dispatcher](controllers::work_request work,
                                   const std::shared_ptr<transport::response_stream>& response) {
                         dispatcher.submit(std::move(work), response);
                     }}),
      controller_(log, clock, std::move(runner),
                  {std::move(ports.after), std::move(ports.live_runners),
                   [this](const std::string& work_id, const std::string& payload,
                          const std::function<void(controllers::work_result)>& done) {
                       this->executor_.execute(work_id, payload, done);
                   }}),
      api_(this->controller_, &filters::handover_executor::check)
{
}

} // namespace medlaryoke::commands
