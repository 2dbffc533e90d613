#include "gateway/quarantine_store.h"

#include <algorithm>
#include <utility>

#include "gateway/quarantine_codec.h"

namespace medlaryoke::gateway {

namespace {

constexpr auto retry_delay = std::chrono::seconds(1);

// Longer than a call to the store and a heartbeat take.
constexpr auto delay_per_peer = std::chrono::milliseconds(500);

constexpr auto max_delay = std::chrono::seconds(10);

} // namespace

quarantine_store::quarantine_store(transport::runtime& context, const clock_source& clock,
                                   keyed_log& store, std::string topic, prompt_guard& guard,
                                   std::function<std::size_t()> lower_peers)
    : context_(context), clock_(clock), store_(store), topic_(std::move(topic)), guard_(guard),
      lower_peers_(std::move(lower_peers))
{
}

void quarantine_store::load()
{
    this->store_.list(this->topic_, [self = this->shared_from_this()](const keyed_result& result) {
        const auto* page = std::get_if<keyed_records>(&result);
        if (page == nullptr) {
            self->log_.sample(log_level::info, "quarantines cannot be read, trying again", {});
            self->context_.after(retry_delay, [self] { self->load(); });
            return;
        }
        const auto now = self->clock_.now();
        for (const auto& record : page->records) {
            const auto part = decode_quarantine(record.key, record.value, page->epoch, now,
                                                std::chrono::system_clock::now());
            if (part) {
                self->guard_.adopt(*part);
            }
            else {
                self->log_.sample(log_level::info, "stored quarantine has passed or is unreadable",
                                  {{"prompt_part", record.key}});
            }
        }
    });
}

void quarantine_store::save(const std::vector<policy::quarantined_part>& parts)
{
    for (const auto& it : parts) {
        if (!this->is_stored(it)) {
            const auto peers = static_cast<int>(this->lower_peers_());
            this->save_after(std::min<duration>(peers * delay_per_peer, max_delay), it.part);
        }
    }
}

void quarantine_store::on_store_epoch(std::uint64_t epoch)
{
    if (epoch > this->store_epoch_) {
        this->store_epoch_ = epoch;
        this->save(this->guard_.quarantined());
    }
}

bool quarantine_store::is_stored(const policy::quarantined_part& part) const
{
    return part.stored_epoch && *part.stored_epoch >= this->store_epoch_;
}

void quarantine_store::save_after(duration delay, const std::string& part)
{
    this->context_.after(delay, [self = this->shared_from_this(), part] { self->save_now(part); });
}

void quarantine_store::save_now(const std::string& part)
{
    const auto parts = this->guard_.quarantined();
    const auto found = std::ranges::find(parts, part, &policy::quarantined_part::part);
    if (found == parts.end() || this->is_stored(*found)) {
        return;
    }
    const auto record =
        encode_quarantine(*found, this->clock_.now(), std::chrono::system_clock::now());
    this->store_.put(
        this->topic_, part, record,
        [self = this->shared_from_this(), part](std::optional<policy::log_position> position) {
            if (position) {
                self->guard_.on_stored(part, position->epoch);
                self->log_.note(log_level::info, "quarantine stored",
                                {{"prompt_part", part},
                                 {"store_epoch", static_cast<std::int64_t>(position->epoch)}});
                if (position->epoch < self->store_epoch_) {
                    self->save_after(retry_delay, part); // acknowledged before the restore
                }
                return;
            }
            self->save_after(retry_delay, part);
        });
}

} // namespace medlaryoke::gateway
