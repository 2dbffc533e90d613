#include "gateway/prompt_guard.h"

#include <utility>

namespace medlaryoke::gateway {

prompt_guard::prompt_guard(transport::runtime& context, const clock_source& clock,
                           const policy::quarantine_options& options, gateway_metrics& metrics,
                           quarantine_handler on_quarantined)
    : clock_(clock), metrics_(metrics), on_quarantined_(std::move(on_quarantined)),
      quarantine_(options), detector_(context, clock, [this](const policy::upstream_crash& crash) {
          this->metrics_.count("upstreams_ended");
          this->quarantine_.on_crash(crash, this->clock_.now());
      })
{
}

void prompt_guard::on_request(const std::vector<std::string>& parts)
{
    this->quarantine_.on_request(parts, this->clock_.now());
}

void prompt_guard::on_answered(const std::vector<std::string>& parts)
{
    this->quarantine_.on_answered(parts, this->clock_.now());
}

std::optional<duration> prompt_guard::refused_for(const std::vector<std::string>& parts) const
{
    const auto now = this->clock_.now();
    const auto until = this->quarantine_.refused_until(parts, now);
    return until ? std::optional<duration>(*until - now) : std::nullopt;
}

bool prompt_guard::try_test(const std::vector<std::string>& parts)
{
    if (!this->may_test_() || !this->quarantine_.try_test(parts, this->clock_.now())) {
        return false;
    }
    this->log_.note(log_level::warning, "quarantine is tested with one request", {});
    this->on_quarantined_(this->quarantined());
    return true;
}

void prompt_guard::check_upstream(std::uint64_t upstream, const std::string& address,
                                  const policy::crash_suspect& suspect,
                                  std::function<void(bool ended, bool is_suspicious)> done)
{
    this->detector_.check(upstream, address, suspect,
                          [this, parts = suspect.parts, done = std::move(done)](bool ended) {
                              done(ended,
                                   this->quarantine_.is_suspicious(parts, this->clock_.now()));
                          });
}

void prompt_guard::tick()
{
    this->announce(this->quarantine_.decide(this->clock_.now()), "crashes");
    for (const auto& part : this->quarantine_.take_lifted()) {
        this->log_.note(log_level::warning, "quarantine lifted after an answer",
                        {{"prompt_part", part}});
    }
}

std::optional<policy::quarantine_report> prompt_guard::report()
{
    return this->quarantine_.report(this->clock_.now());
}

void prompt_guard::merge(const policy::quarantine_report& report)
{
    this->announce(this->quarantine_.merge(report, this->clock_.now()), "peer");
}

void prompt_guard::adopt(const policy::quarantined_part& part)
{
    if (this->quarantine_.adopt(part, this->clock_.now())) {
        this->announce({part}, "store");
    }
}

void prompt_guard::on_stored(const std::string& part, std::uint64_t epoch)
{
    this->quarantine_.on_stored(part, epoch, this->clock_.now());
}

void prompt_guard::announce(const std::vector<policy::quarantined_part>& parts,
                            std::string_view source)
{
    for (const auto& it : parts) {
        const auto left =
            std::chrono::duration_cast<std::chrono::seconds>(it.until - this->clock_.now());
        this->log_.note(log_level::warning, "part of prompts quarantined",
                        {{"prompt_part", it.part}, {"source", source}, {"left_s", left.count()}});
    }
    if (!parts.empty()) {
        this->on_quarantined_(parts);
    }
}

} // namespace medlaryoke::gateway
