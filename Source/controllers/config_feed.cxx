#include "controllers/config_feed.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "controllers/snapshot_assembler.h"
#include "policy/config_ledger.h"

namespace medlaryoke::controllers {

class config_feed::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::log_service& log, config_store& store, delayed_call after,
                   config_feed_options options)
        : log_(log), store_(store), after_(std::move(after)), options_(options),
          retry_delay_(options.min_retry_delay)
    {
    }

    void read()
    {
        if (this->stopped) {
            return;
        }
        const auto from = this->snapshot_search_ ? this->snapshot_search_->next_offset
                                                 : this->store_.view()->offset + 1;
        const auto timeout =
            this->snapshot_search_ ? duration::zero() : this->options_.poll_timeout;
        this->log_.read(std::string(config_stream), from, this->options_.max_records_per_read,
                        timeout, [self = this->weak_from_this()](transport::read_result result) {
                            if (const auto feed = self.lock(); feed && !feed->stopped) {
                                std::visit([&](auto& it) { feed->on_result(it); }, result);
                            }
                        });
    }

    std::atomic<bool> stopped = false;
    std::atomic<bool> available = true;

private:
    /// State of a search for a snapshot, from the oldest record in the log to the end of the
    /// stream.
    struct snapshot_search {
        std::uint64_t first_offset = 0; ///< oldest record in the log
        std::uint64_t next_offset = 0;  ///< record to be read next
        snapshot_assembler assembler;
        std::vector<transport::stored_record> records;
    };

    void on_result(transport::read_records& result)
    {
        if (!this->is_known_history(result.epoch)) {
            return;
        }
        this->set_available(true);
        if (this->snapshot_search_) {
            this->continue_search(*this->snapshot_search_, result);
            return;
        }
        const auto count = result.records.size();
        this->store_.fold(to_config_records(std::move(result.records)));
        const auto offset = this->store_.view()->offset;
        if (offset >= result.next || (count > 0 && offset + 1 == this->last_read_offset_)) {
            this->logger_.error(
                "the log ends before offset {}, but the configuration is at offset {}", result.next,
                offset);
            this->read_later();
            return;
        }
        this->retry_delay_ = this->options_.min_retry_delay;
        this->read();
    }

    void on_result(const transport::read_expired& result)
    {
        if (!this->is_known_history(result.epoch)) {
            return;
        }
        this->set_available(true);
        this->logger_.warning(
            "records before offset {} have expired; searching the log for a snapshot",
            result.earliest);
        this->snapshot_search_ = snapshot_search{result.earliest, result.earliest, {}, {}};
        this->read_later();
    }

    /// @param epoch of the log
    /// @return whether the log continues the history that this feed has read
    bool is_known_history(std::uint64_t epoch)
    {
        if (this->store_.continues_history(epoch)) {
            return true;
        }
        if (this->set_available(false)) {
            this->logger_.error(
                "the log was restored from an older copy; the configuration stays "
                "at offset {}. Apply the newest configuration again and restart all "
                "processes.",
                this->store_.view()->offset);
        }
        this->read_later();
        return false;
    }

    void on_result(const transport::read_unavailable& result)
    {
        if (this->set_available(false)) {
            this->logger_.warning(
                "the log is unavailable; the configuration stays at offset {}: {}",
                this->store_.view()->offset, result.reason);
        }
        this->read_later();
    }

    void continue_search(snapshot_search& search, transport::read_records& result)
    {
        for (auto& it : result.records) {
            search.assembler.add(it.offset, policy::decode_record(it.data));
            search.next_offset = it.offset + 1;
            search.records.push_back(std::move(it));
        }
        if (!result.records.empty() && search.next_offset < result.next) {
            this->read();
            return;
        }
        const bool found = this->load_snapshot(search);
        this->snapshot_search_.reset();
        if (found) {
            this->read();
        }
        else {
            this->read_later();
        }
    }

    /// Folds the newest snapshot found and the records after it into the store.
    /// @return whether the offset of the store increased
    bool load_snapshot(snapshot_search& search)
    {
        const auto& newest = search.assembler.newest();
        if (!newest || newest->covered_offset + 1 < search.first_offset) {
            this->logger_.error("no snapshot in the log covers the expired records; waiting for a "
                                "peer to send its state");
            return false;
        }
        std::erase_if(search.records,
                      [&](const auto& it) { return it.offset <= newest->covered_offset; });
        auto records = to_config_records(std::move(search.records));
        records.set_snapshot(newest->data);
        records.set_snapshot_offset(newest->covered_offset);
        const bool advanced = this->store_.fold(records);
        this->logger_.info(
            "loaded the snapshot at offset {}; the configuration is now at offset {}",
            newest->covered_offset, this->store_.view()->offset);
        return advanced;
    }

    /// @return whether the availability changed
    bool set_available(bool value)
    {
        const bool changed = this->available.exchange(value) != value;
        if (changed && value) {
            this->logger_.info("the log is available again");
        }
        return changed;
    }

    void read_later()
    {
        const auto delay = this->retry_delay_;
        this->retry_delay_ = std::min(this->retry_delay_ * 2, this->options_.max_retry_delay);
        this->after_(delay, [self = this->weak_from_this()] {
            if (const auto feed = self.lock()) {
                feed->read();
            }
        });
    }

    // The feed has at most one read open at a time, so the members below need no lock.
    transport::log_service& log_;
    config_store& store_;
    delayed_call after_;
    config_feed_options options_;
    duration retry_delay_;
    std::uint64_t last_read_offset_ = 0; ///< never assigned, so on_result() compares with 0
    std::optional<snapshot_search> snapshot_search_;
    logger logger_{"config"};
};

config_feed::config_feed(transport::log_service& log, config_store& store, delayed_call after,
                         config_feed_options options)
    : impl_(std::make_shared<implementation>(log, store, std::move(after), options))
{
}

config_feed::~config_feed()
{
    this->impl_->stopped = true;
}

void config_feed::start()
{
    this->impl_->read();
}

bool config_feed::is_log_available() const
{
    return this->impl_->available;
}

wire::config_records to_config_records(std::vector<transport::stored_record> records)
{
    wire::config_records result;
    if (!records.empty()) {
        result.set_from_offset(records.front().offset);
    }
    for (auto& it : records) {
        auto* record = result.add_records();
        record->set_offset(it.offset);
        record->set_data(std::move(it.data));
    }
    return result;
}

} // namespace medlaryoke::controllers
