#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "transport/log_service.h"

namespace medlaryoke::fakes {

/// Keeps log streams in memory, holds every answer back until deliver(), and fails in the way that
/// the test selects.
class faulty_log final : public transport::log_service {
public:
    /// How appends and reads fail.
    enum class fault {
        none,
        outage,      ///< nothing is stored or read
        answer_lost, ///< appends are stored, but reported as ambiguous
        stored_late, ///< appends are reported as ambiguous and stored by store_late_records();
                     ///< reads fail
        unreadable,  ///< appends work, but reads fail
    };

    fault mode = fault::none;
    std::size_t appends = 0; ///< number of attempts, failed ones included

    void append(const std::string& stream, std::string data,
                std::function<void(transport::append_result)> done) override
    {
        ++this->appends;
        transport::append_result result = transport::append_ambiguous{"lost"};
        if (this->mode == fault::outage) {
            result = transport::append_rejected{"outage"};
        }
        else if (this->mode == fault::stored_late) {
            this->late_.emplace_back(stream, std::move(data));
        }
        else {
            this->streams_[stream].push_back(std::move(data));
            if (this->mode != fault::answer_lost) {
                result = transport::append_done{this->streams_[stream].size(), this->epoch_};
            }
        }
        this->answers_.emplace_back([done = std::move(done), result] { done(result); });
    }

    void read(const std::string& stream, std::uint64_t from, std::size_t limit, duration,
              std::function<void(transport::read_result)> done) override
    {
        transport::read_result result = transport::read_unavailable{"outage"};
        if (this->mode == fault::none || this->mode == fault::answer_lost) {
            const auto& records = this->streams_[stream];
            transport::read_records found{
                .earliest = 1, .next = records.size() + 1, .records = {}, .epoch = this->epoch_};
            for (auto n = from; n <= records.size() && found.records.size() < limit; ++n) {
                found.records.push_back({.offset = n, .data = records[n - 1]});
            }
            result = std::move(found);
            if (from > records.size() + 1) {
                result = transport::read_expired{.earliest = 1, .epoch = this->epoch_};
            }
        }
        this->answers_.emplace_back([done = std::move(done), result] { done(result); });
    }

    /// Stores the records of all appends made in mode `stored_late`.
    void store_late_records()
    {
        for (auto& [stream, data] : std::exchange(this->late_, {})) {
            this->streams_[stream].push_back(std::move(data));
        }
    }

    /// Restores all streams from a copy.
    /// @param count number of records of each stream that the copy holds
    void restore(std::size_t count)
    {
        for (auto& [name, records] : this->streams_) {
            records.resize(std::min(records.size(), count));
        }
        ++this->epoch_;
    }

    /// Delivers the oldest answer that is held back.
    /// @return whether there was one
    bool deliver()
    {
        if (this->answers_.empty()) {
            return false;
        }
        const auto fn = std::move(this->answers_.front());
        this->answers_.pop_front();
        fn();
        return true;
    }

private:
    std::uint64_t epoch_ = 0;
    std::map<std::string, std::vector<std::string>> streams_;
    std::vector<std::pair<std::string, std::string>> late_;
    std::deque<std::function<void()>> answers_;
};

} // namespace medlaryoke::fakes
