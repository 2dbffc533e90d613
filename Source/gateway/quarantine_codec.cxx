#include "gateway/quarantine_codec.h"

#include <algorithm>

namespace medlaryoke::gateway {

namespace {

// Longer times in messages of other processes are cut, so that they can be added to a time point.
constexpr auto max_time = std::chrono::hours(24 * 7);

std::uint64_t to_ms(duration value)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0));
}

duration from_ms(std::uint64_t ms)
{
    constexpr auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(max_time).count();
    return std::chrono::milliseconds(std::min(ms, static_cast<std::uint64_t>(limit)));
}

std::int64_t to_unix_ms(std::chrono::system_clock::time_point at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

} // namespace

void write_report(const policy::quarantine_report& report, wire::gateway_beat& message)
{
    for (const auto& it : report.crashes) {
        auto& crash = *message.add_crash();
        crash.set_upstream(it.upstream);
        crash.set_ago_ms(to_ms(it.ago));
        for (const auto& from : it.suspects) {
            auto& suspect = *crash.add_suspect();
            suspect.set_sent_ago_ms(to_ms(from.sent_ago));
            *suspect.mutable_part() = {from.parts.begin(), from.parts.end()};
        }
    }
    for (const auto& it : report.answers) {
        auto& answer = *message.add_answer();
        answer.set_part(it.part);
        answer.set_ago_ms(to_ms(it.ago));
    }
    for (const auto& it : report.quarantined) {
        auto& quarantine = *message.add_quarantine();
        quarantine.set_part(it.part);
        quarantine.set_since_ms(to_ms(it.since));
        quarantine.set_left_ms(to_ms(it.left));
        if (it.stored_epoch) {
            quarantine.set_stored_epoch(*it.stored_epoch);
        }
        quarantine.set_is_tested(it.is_tested);
    }
}

policy::quarantine_report read_report(const wire::gateway_beat& message)
{
    policy::quarantine_report report;
    for (const auto& it : message.crash()) {
        auto& crash = report.crashes.emplace_back();
        crash.upstream = it.upstream();
        crash.ago = from_ms(it.ago_ms());
        for (const auto& suspect : it.suspect()) {
            crash.suspects.push_back(
                {from_ms(suspect.sent_ago_ms()), {suspect.part().begin(), suspect.part().end()}});
        }
    }
    for (const auto& it : message.answer()) {
        report.answers.push_back({it.part(), from_ms(it.ago_ms())});
    }
    for (const auto& it : message.quarantine()) {
        report.quarantined.push_back(
            {it.part(), from_ms(it.since_ms()), from_ms(it.left_ms()),
             it.has_stored_epoch() ? std::optional(it.stored_epoch()) : std::nullopt,
             it.is_tested()});
    }
    return report;
}

std::string encode_quarantine(const policy::quarantined_part& part, time_point now,
                              std::chrono::system_clock::time_point unix_now)
{
    wire::stored_quarantine message;
    const auto unix_ms = to_unix_ms(unix_now);
    message.set_since_unix_ms(unix_ms - static_cast<std::int64_t>(to_ms(now - part.since)));
    message.set_until_unix_ms(unix_ms + static_cast<std::int64_t>(to_ms(part.until - now)));
    message.set_is_tested(part.is_tested);
    return message.SerializeAsString();
}

std::optional<policy::quarantined_part>
decode_quarantine(const std::string& part, const std::string& record, std::uint64_t epoch,
                  time_point now, std::chrono::system_clock::time_point unix_now)
{
    wire::stored_quarantine message;
    if (!message.ParseFromString(record)) {
        return std::nullopt;
    }
    const auto unix_ms = to_unix_ms(unix_now);
    if (message.until_unix_ms() <= unix_ms) {
        return std::nullopt;
    }
    const auto past = std::max<std::int64_t>(unix_ms - message.since_unix_ms(), 0);
    const auto left = message.until_unix_ms() - unix_ms;
    return policy::quarantined_part{part, now - from_ms(static_cast<std::uint64_t>(past)),
                                    now + from_ms(static_cast<std::uint64_t>(left)), epoch,
                                    message.is_tested()};
}

} // namespace medlaryoke::gateway
