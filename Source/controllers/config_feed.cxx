#include "controllers/config_feed.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "controllers/snapshot_assembly.h"
#include "policy/config_ledger.h"

namespace medlaryoke::controllers {

class config_feed::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::log_service& service, config_store& target, delayed_call timer,
                   config_feed_options limits)
        : log_(service), store_(target), after_(std::move(timer)), options_(limits),
          retry_(limits.min_retry)
    {
    }

    void read()
    {
        if (this->stopped) {
            return;
        }
        const auto from = this->search_ ? this->search_->next : this->store_.view()->offset + 1;
        const auto wait = this->search_ ? duration::zero() : this->options_.poll_time;
        this->log_.read(std::string(config_stream), from, this->options_.batch, wait,
                        [self = this->weak_from_this()](transport::read_result result) {
                            if (const auto feed = self.lock(); feed && !feed->stopped) {
                                std::visit([&](auto& it) { feed->on_result(it); }, result);
                            }
                        });
    }

    std::atomic<bool> stopped = false;
    std::atomic<bool> available = true;

private:
    /// Search for a snapshot, from the earliest record that is kept to the end of the stream.
    struct snapshot_search {
        std::uint64_t earliest = 0;
        std::uint64_t next = 0;
        snapshot_assembly assembly;
        std::vector<transport::stored_record> records;
    };

    void on_result(transport::read_records& result)
    {
        this->set_available(true);
        if (this->search_) {
            this->continue_search(*this->search_, result);
            return;
        }
        const auto count = result.records.size();
        this->store_.fold(to_config_records(std::move(result.records)));
        const auto offset = this->store_.view()->offset;
        if (offset >= result.next || (count > 0 && offset + 1 == this->asked_)) {
            this->messages_.error("log ends before {} while the configuration is at {}",
                                  result.next, offset);
            this->read_later();
            return;
        }
        this->retry_ = this->options_.min_retry;
        this->read();
    }

    void on_result(const transport::read_expired& result)
    {
        this->set_available(true);
        this->messages_.warning("records before {} have expired; looking for a snapshot",
                                result.earliest);
        this->search_ = snapshot_search{result.earliest, result.earliest, {}, {}};
        this->read_later();
    }

    void on_result(const transport::read_unavailable& result)
    {
        if (this->set_available(false)) {
            this->messages_.warning("log is not available, the configuration is frozen at {}: {}",
                                    this->store_.view()->offset, result.reason);
        }
        this->read_later();
    }

    void continue_search(snapshot_search& search, transport::read_records& result)
    {
        for (auto& it : result.records) {
            search.assembly.add(it.offset, policy::decode_record(it.data));
            search.next = it.offset + 1;
            search.records.push_back(std::move(it));
        }
        if (!result.records.empty() && search.next < result.next) {
            this->read();
            return;
        }
        const bool found = this->use_snapshot(search);
        this->search_.reset();
        if (found) {
            this->read();
        }
        else {
            this->read_later();
        }
    }

    /// @return whether the store moved on
    bool use_snapshot(snapshot_search& search)
    {
        const auto& newest = search.assembly.newest();
        if (!newest || newest->upto + 1 < search.earliest) {
            this->messages_.error(
                "no snapshot in the log covers the expired records; waiting for a peer's state");
            return false;
        }
        std::erase_if(search.records, [&](const auto& it) { return it.offset <= newest->upto; });
        auto records = to_config_records(std::move(search.records));
        records.set_snapshot(newest->data);
        records.set_snapshot_offset(newest->upto);
        const bool moved = this->store_.fold(records);
        this->messages_.info("configuration taken from the snapshot up to {}, now at {}",
                             newest->upto, this->store_.view()->offset);
        return moved;
    }

    /// @return whether the state changed
    bool set_available(bool now)
    {
        const bool changed = this->available.exchange(now) != now;
        if (changed && now) {
            this->messages_.info("log is available again");
        }
        return changed;
    }

    void read_later()
    {
        const auto delay = this->retry_;
        this->retry_ = std::min(this->retry_ * 2, this->options_.max_retry);
        this->after_(delay, [self = this->weak_from_this()] {
            if (const auto feed = self.lock()) {
                feed->read();
            }
        });
    }

    // Only one read is open at a time, so the members below need no lock.
    transport::log_service& log_;
    config_store& store_;
    delayed_call after_;
    config_feed_options options_;
    duration retry_;
    std::uint64_t asked_ = 0; ///< first offset of the last read
    std::optional<snapshot_search> search_;
    logger messages_{"config"};
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
