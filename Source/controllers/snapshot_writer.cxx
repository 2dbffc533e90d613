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

/// Splits UTF-8 text into chunks. A chunk ends between two characters, because a JSON string
/// cannot hold part of a character.
std::vector<std::string> split_utf8(const std::string& text, std::size_t max_bytes)
{
    std::vector<std::string> chunks;
    for (std::size_t begin = 0; begin < text.size();) {
        auto end = std::min(begin + max_bytes, text.size());
        while (end < text.size() && end > begin + 1 &&
               (static_cast<unsigned char>(text[end]) & 0xc0U) == 0x80U) {
            --end;
        }
        chunks.push_back(text.substr(begin, end - begin));
        begin = end;
    }
    return chunks;
}

} // namespace

class snapshot_writer::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::log_service& log, const config_store& store,
                   const clock_source& clock, delayed_call after, std::string entry_name,
                   std::function<std::vector<std::string>()> live_entries,
                   snapshot_writer_options options)
        : log_(log), store_(store), clock_(clock), after_(std::move(after)),
          entry_name_(std::move(entry_name)), live_entries_(std::move(live_entries)),
          options_(options), covered_since_(clock.now())
    {
    }

    void check()
    {
        if (this->stopped) {
            return;
        }
        if (this->must_write() && !this->writing_.exchange(true)) {
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
        std::uint64_t covered_offset = 0; ///< last offset that the snapshot covers
        std::vector<std::string> chunks;
    };

    /// Called only by check(), so calls never overlap and the members need no lock.
    /// @return whether a snapshot is due and this entry is selected to write it
    bool must_write()
    {
        const auto coverage = this->store_.coverage();
        const auto now = this->clock_.now();
        if (coverage.covered_offset != this->covered_offset_) {
            this->covered_offset_ = coverage.covered_offset;
            this->covered_since_ = now;
            this->due_since_.reset();
        }
        const bool due = this->store_.view()->offset > 0 &&
                         (coverage.change_count >= this->options_.max_changes ||
                          now - this->covered_since_ >= this->options_.max_age);
        if (!due) {
            return false;
        }
        if (!this->due_since_) {
            this->due_since_ = now;
        }
        return this->is_selected(
            fmt::format("{}/{}", this->covered_offset_,
                        (now - *this->due_since_) / this->options_.selection_interval));
    }

    /// @param selection_key covered offset and number of selection intervals since the snapshot
    /// became due; a new key may select another entry
    /// @return whether this entry has the highest hash of all live entries
    [[nodiscard]] bool is_selected(const std::string& selection_key) const
    {
        const auto weight = [&selection_key](const std::string& name) {
            return hash64(selection_key + "/" + name);
        };
        const auto own_weight = weight(this->entry_name_);
        return std::ranges::all_of(this->live_entries_(), [&](const std::string& name) {
            return name == this->entry_name_ || weight(name) < own_weight;
        });
    }

    void write()
    {
        const auto ledger = this->store_.ledger();
        auto next = std::make_shared<snapshot>();
        next->id = make_unique_id("snapshot");
        next->covered_offset = ledger.offset();
        next->chunks = split_utf8(ledger.to_snapshot(), this->options_.max_chunk_bytes);
        this->append(next, 0);
    }

    /// Appends the chunks one after the other, starting with the one at an index.
    void append(const std::shared_ptr<snapshot>& current, std::size_t index)
    {
        if (this->stopped) {
            return;
        }
        if (index == current->chunks.size()) {
            this->logger_.info("wrote the snapshot at offset {} in {} chunks",
                               current->covered_offset, index);
            this->writing_ = false;
            return;
        }
        const policy::snapshot_chunk chunk{current->id, current->covered_offset, index,
                                           current->chunks.size(), current->chunks[index]};
        this->log_.append(
            std::string(config_stream), policy::encode_record(chunk),
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
                // An incomplete snapshot is useless; a later check starts a new one.
                writer->logger_.warning(
                    "the snapshot at offset {} is incomplete because an append failed",
                    current->covered_offset);
                writer->writing_ = false;
            });
    }

    transport::log_service& log_;
    const config_store& store_;
    const clock_source& clock_;
    delayed_call after_;
    std::string entry_name_;
    std::function<std::vector<std::string>()> live_entries_;
    snapshot_writer_options options_;
    std::uint64_t covered_offset_ = 0; ///< last offset in the newest complete snapshot
    time_point covered_since_;         ///< when this entry first saw that snapshot
    std::optional<time_point> due_since_;
    std::atomic<bool> writing_ = false;
    logger logger_{"config"};
};

snapshot_writer::snapshot_writer(transport::log_service& log, const config_store& store,
                                 const clock_source& clock, delayed_call after,
                                 std::string entry_name,
                                 std::function<std::vector<std::string>()> live_entries,
                                 snapshot_writer_options options)
    : impl_(std::make_shared<implementation>(log, store, clock, std::move(after),
                                             std::move(entry_name), std::move(live_entries),
                                             options))
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
