#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/hand_driven_time.h"
#include "transport/log_service.h"

namespace medlaryoke::fakes {

/// What becomes of the next append.
enum class append_fate {
    answered,
    stored_unanswered,  ///< stored at once, the answer is lost
    stored_late,        ///< the answer is lost, and the record is stored after late_by
    dropped_unanswered, ///< never stored, and no answer says so
};

/// One log stream in memory with outages, delays, lost answers and retention.
class fake_log final : public transport::log_service {
public:
    explicit fake_log(hand_driven_time& time) : time_(time) {}

    bool outage = false;
    duration latency = std::chrono::milliseconds(2);
    duration late_by = std::chrono::seconds(3);
    std::vector<append_fate> fates; ///< of the next appends, last one first
    std::size_t appends = 0;        ///< attempts

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
        const auto end = this->time_.clock.now() + wait;
        this->time_.after(this->latency, [this, from, limit, end, done = std::move(done)] {
            this->poll(from, limit, end, done);
        });
    }

    /// Stores a record at once.
    std::uint64_t store(std::string data)
    {
        this->records_.push_back(std::move(data));
        return this->records_.size();
    }

    /// Drops all records before an offset.
    void expire_before(std::uint64_t offset) { this->earliest_ = offset; }

    [[nodiscard]] const std::vector<std::string>& records() const { return this->records_; }

private:
    void finish_append(const std::string& data,
                       const std::function<void(transport::append_result)>& done)
    {
        if (this->outage) {
            done(transport::append_rejected{"outage"});
            return;
        }
        auto fate = append_fate::answered;
        if (!this->fates.empty()) {
            fate = this->fates.back();
            this->fates.pop_back();
        }
        if (fate == append_fate::answered) {
            done(transport::append_done{this->store(data)});
            return;
        }
        if (fate == append_fate::stored_unanswered) {
            this->store(data);
        }
        if (fate == append_fate::stored_late) {
            this->time_.after(this->late_by, [this, data] { this->store(data); });
        }
        done(transport::append_ambiguous{"answer lost"});
    }

    void poll(std::uint64_t from, std::size_t limit, time_point end,
              const std::function<void(transport::read_result)>& done)
    {
        const auto next = this->records_.size() + 1;
        if (this->outage) {
            done(transport::read_unavailable{"outage"});
            return;
        }
        if (from < this->earliest_) {
            done(transport::read_expired{this->earliest_});
            return;
        }
        if (from >= next && this->time_.clock.now() < end) {
            this->time_.after(this->latency, [this, from, limit, end, done] {
                this->poll(from, limit, end, done);
            });
            return;
        }
        transport::read_records found{this->earliest_, next, {}};
        for (auto it = from; it < next && found.records.size() < limit; ++it) {
            found.records.push_back({it, this->records_[it - 1]});
        }
        done(std::move(found));
    }

    hand_driven_time& time_;
    std::uint64_t earliest_ = 1;
    std::vector<std::string> records_;
};

} // namespace medlaryoke::fakes
