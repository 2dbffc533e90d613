#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/manual_time.h"
#include "transport/log_service.h"

namespace medlaryoke::fakes {

/// Whether an append stores its record and whether it is answered.
enum class append_outcome {
    answered,          ///< stored at once and confirmed
    stored_unanswered, ///< stored at once, but the answer is lost
    stored_late, ///< the answer is lost, and the record is stored `late_store_delay` after that
    dropped_unanswered, ///< never stored, and the answer is lost
};

/// Keeps one log stream in memory and simulates latency, outages, lost answers, late writes and
/// expired records. All stream names stand for the same stream.
class fake_log final : public transport::log_service {
public:
    explicit fake_log(manual_time& time) : time_(time) {}

    bool outage = false; ///< whether appends are rejected and reads fail
    duration latency = std::chrono::milliseconds(2);     ///< of each append and read
    duration late_store_delay = std::chrono::seconds(3); ///< see append_outcome::stored_late
    std::vector<append_outcome>
        append_outcomes;     ///< of the next appends, taken from the back; then `answered`
    std::size_t appends = 0; ///< number of attempts, failed ones included

    void append(const std::string&, std::string data,
                std::function<void(transport::append_result)> done) override
    {
        ++this->appends;
        this->time_.after(this->latency, [this, data = std::move(data), done = std::move(done)] {
            this->finish_append(data, done);
        });
    }

    void read(const std::string&, std::uint64_t from, std::size_t limit, duration wait,
              std::function<void(transport::read_result)> done) override
    {
        const auto deadline = this->time_.clock.now() + wait;
        this->time_.after(this->latency, [this, from, limit, deadline, done = std::move(done)] {
            this->poll(from, limit, deadline, done);
        });
    }

    /// Stores a record at once.
    /// @return its offset
    std::uint64_t store(std::string data)
    {
        this->records_.push_back(std::move(data));
        return this->records_.size();
    }

    /// Makes the records before an offset unreadable, as if their retention had ended.
    void expire_before(std::uint64_t offset) { this->earliest_ = offset; }

    /// Restores the log from a copy: later records are lost and their offsets given out again.
    /// @param count number of records that the copy holds
    void restore(std::size_t count)
    {
        this->records_.resize(std::min(this->records_.size(), count));
        ++this->epoch_;
    }

    [[nodiscard]] const std::vector<std::string>& records() const { return this->records_; }

private:
    void finish_append(const std::string& data,
                       const std::function<void(transport::append_result)>& done)
    {
        if (this->outage) {
            done(transport::append_rejected{"outage"});
            return;
        }
        auto outcome = append_outcome::answered;
        if (!this->append_outcomes.empty()) {
            outcome = this->append_outcomes.back();
            this->append_outcomes.pop_back();
        }
        if (outcome == append_outcome::answered) {
            done(transport::append_done{this->store(data), this->epoch_});
            return;
        }
        if (outcome == append_outcome::stored_unanswered) {
            this->store(data);
        }
        if (outcome == append_outcome::stored_late) {
            this->time_.after(this->late_store_delay, [this, data] { this->store(data); });
        }
        done(transport::append_ambiguous{"answer lost"});
    }

    /// Answers a read, or tries again after the latency if there is no record yet and time is left.
    void poll(std::uint64_t from, std::size_t limit, time_point deadline,
              const std::function<void(transport::read_result)>& done)
    {
        const auto next = this->records_.size() + 1;
        if (this->outage) {
            done(transport::read_unavailable{"outage"});
            return;
        }
        if (from < this->earliest_ || from > next) {
            done(transport::read_expired{this->earliest_, this->epoch_});
            return;
        }
        if (from >= next && this->time_.clock.now() < deadline) {
            this->time_.after(this->latency, [this, from, limit, deadline, done] {
                this->poll(from, limit, deadline, done);
            });
            return;
        }
        transport::read_records found{this->earliest_, next, {}, this->epoch_};
        for (auto it = from; it < next && found.records.size() < limit; ++it) {
            found.records.push_back({it, this->records_[it - 1]});
        }
        done(std::move(found));
    }

    manual_time& time_;
    std::uint64_t earliest_ = 1;
    std::uint64_t epoch_ = 0;
    std::vector<std::string> records_;
};

} // namespace medlaryoke::fakes
