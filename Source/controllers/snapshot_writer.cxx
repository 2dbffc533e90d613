#include "controllers/snapshot_writer.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

#include <fmt/format.h>

#include "base/digest.h"
#include "base/identifiers.h"
#include "base/logging.h"
#include "controllers/config_feed.h"
#include "policy/config_ledger.h"

namespace medlaryoke::controllers {

namespace {

/// Splits text between characters, because JSON strings hold whole characters only.
std::vector<std::string> split(const std::string& text, std::size_t limit)
{
    std::vector<std::string> parts;
    for (std::size_t begin = 0; begin < text.size();) {
        auto end = std::min(begin + limit, text.size());
        while (end < text.size() && end > begin + 1 &&
               (static_cast<unsigned char>(text[end]) & 0xc0U) == 0x80U) {
            --end;
        }
        parts.push_back(text.substr(begin, end - begin));
        begin = end;
    }
    return parts;
}

} // namespace

class snapshot_writer::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::log_service& service, const config_store& source,
                   const clock_source& time, delayed_call timer, std::string name,
                   std::function<std::vector<std::string>()> entries,
                   snapshot_writer_options limits)
        : log_(service), store_(source), clock_(time), after_(std::move(timer)),
          instance_(std::move(name)), live_entries_(std::move(entries)), options_(limits),
          seen_since_(time.now())
    {
    }

    void check()
    {
        if (this->stopped) {
            return;
        }
        if (this->is_due() && !this->writing_.exchange(true)) {
            this->write();
        }
        this->after_(this->options_.check_interval, [self = this->weak_from_this()] {
            if (const auto writer = self.lock()) {
                writer->check();
            }
        });
    }

    std::atomic<bool> stopped = false;

private:
    struct snapshot {
        std::string id;
        std::uint64_t upto = 0;
        std::vector<std::string> chunks;
    };

    /// Called by the timer only, one call at a time.
    bool is_due()
    {
        const auto need = this->store_.need_of_snapshot();
        const auto now = this->clock_.now();
        if (need.covered_upto != this->seen_upto_) {
            this->seen_upto_ = need.covered_upto;
            this->seen_since_ = now;
            this->due_since_.reset();
        }
        const bool due =
            this->store_.view()->offset > 0 && (need.changes_since >= this->options_.max_changes ||
                                                now - this->seen_since_ >= this->options_.max_age);
        if (!due) {
            return false;
        }
        if (!this->due_since_) {
            this->due_since_ = now;
        }
        return this->is_chosen(fmt::format("{}/{}", this->seen_upto_,
                                           (now - *this->due_since_) / this->options_.turn));
    }

    [[nodiscard]] bool is_chosen(const std::string& round) const
    {
        const auto weight = [&round](const std::string& name) {
            return hash64(round + "/" + name);
        };
        const auto own = weight(this->instance_);
        return std::ranges::all_of(this->live_entries_(), [&](const std::string& name) {
            return name == this->instance_ || weight(name) < own;
        });
    }

    void write()
    {
        const auto ledger = this->store_.ledger();
        auto next = std::make_shared<snapshot>();
        next->id = make_unique_id("snapshot");
        next->upto = ledger.offset();
        next->chunks = split(ledger.to_snapshot(), this->options_.chunk_bytes);
        this->append(next, 0);
    }

    void append(const std::shared_ptr<snapshot>& current, std::size_t index)
    {
        if (this->stopped) {
            return;
        }
        if (index == current->chunks.size()) {
            this->messages_.info("snapshot up to {} written in {} chunks", current->upto, index);
            this->writing_ = false;
            return;
        }
        const policy::snapshot_chunk chunk{current->id, current->upto, index,
                                           current->chunks.size(), current->chunks[index]};
        this->log_.append(std::string(config_stream), policy::encode_record(chunk),
                          [self = this->weak_from_this(), current,
                           index](const transport::append_result& result) {
                              const auto writer = self.lock();
                              if (!writer) {
                                  return;
                              }
                              if (std::holds_alternative<transport::append_done>(result)) {
                                  writer->append(current, index + 1);
                                  return;
                              }
                              // The rest would be of no use; the next check starts a new snapshot.
                              writer->messages_.warning("snapshot up to {} was not completed",
                                                        current->upto);
                              writer->writing_ = false;
                          });
    }

    transport::log_service& log_;
    const config_store& store_;
    const clock_source& clock_;
    delayed_call after_;
    std::string instance_;
    std::function<std::vector<std::string>()> live_entries_;
    snapshot_writer_options options_;
    std::uint64_t seen_upto_ = 0;
    time_point seen_since_;
    std::optional<time_point> due_since_;
    std::atomic<bool> writing_ = false;
    logger messages_{"config"};
};

snapshot_writer::snapshot_writer(transport::log_service& log, const config_store& store,
                                 const clock_source& clock, delayed_call after,
                                 std::string instance,
                                 std::function<std::vector<std::string>()> live_entries,
                                 snapshot_writer_options options)
    : impl_(std::make_shared<implementation>(log, store, clock, std::move(after),
                                             std::move(instance), std::move(live_entries), options))
{
}

snapshot_writer::~snapshot_writer()
{
    this->impl_->stopped = true;
}

void snapshot_writer::start()
{
    this->impl_->check();
}

} // namespace medlaryoke::controllers
