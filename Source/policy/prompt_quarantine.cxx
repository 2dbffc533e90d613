#include "policy/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace medlaryoke::policy {

namespace {

// Crashes, requests and answers that one report names, so that it fits into a datagram.
constexpr std::size_t max_reported_crashes = 16;
constexpr std::size_t max_reported_suspects = 16;
constexpr std::size_t max_reported_answers = 128;
constexpr std::size_t max_reported_quarantines = 128;

// Requests added to those that were counted for a part, as this gateway sees few of all requests.
constexpr double assumed_requests = 5;

bool holds_part(const crash_suspect& suspect, const std::string& part)
{
    return std::ranges::find(suspect.parts, part) != suspect.parts.end();
}

std::set<std::string> parts_of(const upstream_crash& crash)
{
    std::set<std::string> parts;
    for (const auto& it : crash.suspects) {
        parts.insert(it.parts.begin(), it.parts.end());
    }
    return parts;
}

/// Counts the crashes that speak against a part.
/// @param crashes sorted by time
/// @param part the part
/// @param answered_at when a request with the part was answered last
/// @return number of crashes since, each with a request that was sent after the crash before
unsigned count_separate_crashes(const std::vector<const upstream_crash*>& crashes,
                                const std::string& part, time_point answered_at)
{
    unsigned count = 0;
    time_point last{};
    for (const auto* crash : crashes) {
        const bool counts = crash->at > answered_at &&
                            std::ranges::any_of(crash->suspects, [&](const crash_suspect& suspect) {
                                return suspect.sent_at > last && holds_part(suspect, part);
                            });
        if (counts) {
            ++count;
            last = crash->at;
        }
    }
    return count;
}

} // namespace

prompt_quarantine::prompt_quarantine(quarantine_options options) : options_(options) {}

void prompt_quarantine::on_request(const std::vector<std::string>& parts, time_point now)
{
    for (auto& [part, count] : this->refusals_) {
        ++count.requests;
    }
    for (const auto& part : parts) {
        if (const auto found = this->parts_.find(part); found != this->parts_.end()) {
            ++found->second.requests;
            found->second.seen_at = now;
        }
        else if (this->parts_.size() < this->options_.max_parts) {
            this->parts_[part] = {1, now, {}};
        }
    }
}

void prompt_quarantine::on_answered(const std::vector<std::string>& parts, time_point now)
{
    for (const auto& part : parts) {
        this->clear(part, now, now);
    }
}

void prompt_quarantine::clear(const std::string& part, time_point answered_at, time_point now)
{
    auto found = this->parts_.find(part);
    if (found == this->parts_.end()) {
        if (this->parts_.size() >= this->options_.max_parts) {
            return;
        }
        found = this->parts_.emplace(part, part_state{}).first;
        found->second.seen_at = now;
    }
    found->second.answered_at = std::max(found->second.answered_at, answered_at);
    const auto quarantine = this->quarantined_.find(part);
    if (quarantine != this->quarantined_.end() && answered_at > quarantine->second.since) {
        this->quarantined_.erase(quarantine);
        this->refusals_.erase(part);
        this->lifted_.push_back(part);
        this->next_decision_ = now; // its crashes have another cause
        this->report_again(now);
    }
}

void prompt_quarantine::on_crash(const upstream_crash& crash, time_point now)
{
    if (now - crash.at > this->options_.evidence_time) {
        return;
    }
    auto found = this->crashes_.find(crash.upstream);
    if (found == this->crashes_.end()) {
        if (this->crashes_.size() >= this->options_.max_crashes) {
            this->crashes_.erase(std::ranges::min_element(
                this->crashes_, {}, [](const auto& it) { return it.second.crash.at; }));
        }
        found =
            this->crashes_.emplace(crash.upstream, crash_state{{crash.upstream, crash.at, {}}, {}})
                .first;
    }
    auto& known = found->second.crash;
    known.at = std::min(known.at, crash.at);
    bool is_new = false;
    for (const auto& suspect : crash.suspects) {
        const auto same = std::ranges::find(known.suspects, suspect.parts, &crash_suspect::parts);
        if (same != known.suspects.end()) {
            same->sent_at = std::max(same->sent_at, suspect.sent_at);
        }
        else if (known.suspects.size() < max_reported_suspects) {
            known.suspects.push_back(suspect);
            is_new = true;
        }
    }
    if (!is_new) {
        return;
    }
    found->second.decide_at = now + this->options_.decision_delay;
    this->next_decision_ =
        std::min(this->next_decision_.value_or(found->second.decide_at), found->second.decide_at);
    this->report_again(now);
}

std::vector<quarantined_part> prompt_quarantine::decide(time_point now)
{
    this->forget(now);
    std::vector<quarantined_part> decided;
    if (!this->next_decision_ || now < *this->next_decision_) {
        return decided;
    }
    this->next_decision_.reset();
    std::vector<const upstream_crash*> crashes;
    for (const auto& [upstream, it] : this->crashes_) {
        if (it.decide_at > now) {
            this->next_decision_ =
                std::min(this->next_decision_.value_or(it.decide_at), it.decide_at);
        }
        else if (!this->is_explained(it.crash, now)) {
            crashes.push_back(&it.crash);
        }
    }
    std::ranges::sort(crashes, {}, [](const upstream_crash* it) { return it->at; });
    while (const auto cause = this->choose_cause(crashes)) {
        decided.push_back(this->quarantine(*cause, now));
        std::erase_if(crashes, [&cause](const upstream_crash* it) {
            return std::ranges::any_of(it->suspects, [&cause](const crash_suspect& suspect) {
                return holds_part(suspect, *cause);
            });
        });
    }
    return decided;
}

std::optional<std::string>
prompt_quarantine::choose_cause(const std::vector<const upstream_crash*>& crashes) const
{
    std::set<std::string> parts;
    for (const auto* crash : crashes) {
        parts.merge(parts_of(*crash));
    }
    std::optional<std::string> cause;
    std::tuple<bool, double> best;
    for (const auto& part : parts) {
        const auto answered = this->answered_at(part);
        const auto count = count_separate_crashes(crashes, part, answered);
        const auto needed =
            this->quarantined_.contains(part) ? 1U : this->options_.crashes_to_quarantine;
        if (count < needed) {
            continue;
        }
        const auto known = this->parts_.find(part);
        const auto requests = known == this->parts_.end() ? 0 : known->second.requests;
        // A part with many requests is less likely to be the cause of a few crashes.
        const std::tuple rank(answered == time_point{},
                              count / (static_cast<double>(requests) + assumed_requests));
        if (!cause || rank > best) {
            cause = part;
            best = rank;
        }
    }
    return cause;
}

quarantined_part prompt_quarantine::quarantine(const std::string& part, time_point now)
{
    auto length = this->options_.quarantine_time;
    if (const auto earlier = this->quarantined_.find(part); earlier != this->quarantined_.end()) {
        length = std::min(2 * (earlier->second.until - earlier->second.since),
                          this->options_.max_quarantine_time);
    }
    quarantined_part result{part, now, now + length};
    this->quarantined_[part] = result;
    this->refusals_[part] = {};
    this->report_again(now);
    return result;
}

std::optional<time_point> prompt_quarantine::refused_until(const std::vector<std::string>& parts,
                                                           time_point now) const
{
    std::optional<time_point> until;
    if (this->quarantined_.empty()) {
        return until;
    }
    for (const auto& part : parts) {
        const auto found = this->quarantined_.find(part);
        if (found != this->quarantined_.end() && found->second.until > now) {
            until = std::max(until.value_or(found->second.until), found->second.until);
        }
    }
    return until;
}

bool prompt_quarantine::try_test(const std::vector<std::string>& parts, time_point now)
{
    std::vector<std::string> refusing;
    std::ranges::copy_if(parts, std::back_inserter(refusing), [this, now](const std::string& part) {
        return this->is_quarantined(part, now);
    });
    if (refusing.size() != 1) {
        return false; // the outcome would not show which part is the cause
    }
    auto& it = this->quarantined_.at(refusing.front());
    auto& count = this->refusals_[refusing.front()];
    ++count.refused;
    if (it.is_tested || now < it.since + this->options_.test_delay ||
        count.refused < this->options_.min_tested_requests ||
        static_cast<double>(count.refused) <
            this->options_.min_tested_share * static_cast<double>(count.requests)) {
        return false;
    }
    it.is_tested = true;
    it.stored_epoch.reset(); // written again, so that a restart does not repeat the test
    this->report_again(now);
    return true;
}

bool prompt_quarantine::is_suspicious(const std::vector<std::string>& parts, time_point now) const
{
    return std::ranges::any_of(parts, [this, now](const std::string& part) {
        const auto answered = this->answered_at(part);
        return answered == time_point{} || now - answered > this->options_.trust_time;
    });
}

std::optional<quarantine_report> prompt_quarantine::report(time_point now)
{
    const bool is_idle =
        this->crashes_.empty() && this->quarantined_.empty() && this->disputed_.empty();
    if (is_idle || (now >= this->report_until_ && now < this->next_report_)) {
        return std::nullopt;
    }
    this->next_report_ = now + this->options_.report_interval;
    quarantine_report report;
    std::set<std::string> named = this->disputed_;
    std::vector<const upstream_crash*> crashes;
    for (const auto& [upstream, it] : this->crashes_) {
        if (!this->is_explained(it.crash, now)) {
            crashes.push_back(&it.crash);
        }
    }
    std::ranges::sort(crashes, std::ranges::greater{}, [](const auto* it) { return it->at; });
    crashes.resize(std::min(crashes.size(), max_reported_crashes));
    for (const auto* it : crashes) {
        quarantine_report::crash crash{it->upstream, now - it->at, {}};
        for (const auto& suspect : it->suspects) {
            crash.suspects.push_back({now - suspect.sent_at, suspect.parts});
        }
        named.merge(parts_of(*it));
        report.crashes.push_back(std::move(crash));
    }
    for (const auto& it : this->quarantined(now)) {
        if (report.quarantined.size() < max_reported_quarantines) {
            report.quarantined.push_back(
                {it.part, now - it.since, it.until - now, it.stored_epoch, it.is_tested});
        }
    }
    for (const auto& part : named) {
        const auto answered = this->answered_at(part);
        if (answered != time_point{} && report.answers.size() < max_reported_answers) {
            report.answers.push_back({part, now - answered});
        }
    }
    return report;
}

std::vector<quarantined_part> prompt_quarantine::merge(const quarantine_report& report,
                                                       time_point now)
{
    for (const auto& it : report.answers) {
        this->clear(it.part, now - it.ago, now);
    }
    for (const auto& it : report.crashes) {
        upstream_crash crash{it.upstream, now - it.ago, {}};
        for (const auto& suspect : it.suspects) {
            crash.suspects.push_back({now - suspect.sent_ago, suspect.parts});
        }
        this->on_crash(crash, now);
    }
    std::vector<quarantined_part> adopted;
    for (const auto& it : report.quarantined) {
        const quarantined_part part{it.part, now - it.since, now + it.left, it.stored_epoch,
                                    it.is_tested};
        if (this->adopt(part, now)) {
            adopted.push_back(part);
        }
    }
    return adopted;
}

bool prompt_quarantine::adopt(const quarantined_part& part, time_point now)
{
    const auto limit = now + this->options_.max_quarantine_time;
    if (part.until <= now || part.until > limit) {
        return false;
    }
    if (this->answered_at(part.part) > part.since) {
        if (this->disputed_.size() < max_reported_answers &&
            this->disputed_.insert(part.part).second) {
            this->report_again(now);
        }
        return false;
    }
    const bool is_new = !this->is_quarantined(part.part, now);
    if (is_new && this->quarantined_.size() >= this->options_.max_quarantined) {
        return false;
    }
    auto& known = this->quarantined_[part.part];
    if (is_new) {
        known = part;
        this->refusals_[part.part] = {};
        this->report_again(now);
        return true;
    }
    known.stored_epoch = std::max(known.stored_epoch, part.stored_epoch);
    known.is_tested = known.is_tested || part.is_tested;
    return false;
}

void prompt_quarantine::on_stored(const std::string& part, std::uint64_t epoch, time_point now)
{
    const auto found = this->quarantined_.find(part);
    if (found != this->quarantined_.end()) {
        found->second.stored_epoch = epoch;
        this->report_again(now);
    }
}

std::vector<quarantined_part> prompt_quarantine::quarantined(time_point now) const
{
    std::vector<quarantined_part> active;
    for (const auto& [name, it] : this->quarantined_) {
        if (it.until > now) {
            active.push_back(it);
        }
    }
    return active;
}

bool prompt_quarantine::is_quarantined(const std::string& part, time_point now) const
{
    const auto found = this->quarantined_.find(part);
    return found != this->quarantined_.end() && found->second.until > now;
}

bool prompt_quarantine::is_explained(const upstream_crash& crash, time_point now) const
{
    return !this->quarantined_.empty() &&
           std::ranges::any_of(crash.suspects, [this, now](const crash_suspect& suspect) {
               return this->refused_until(suspect.parts, now).has_value();
           });
}

time_point prompt_quarantine::answered_at(const std::string& part) const
{
    const auto found = this->parts_.find(part);
    return found == this->parts_.end() ? time_point{} : found->second.answered_at;
}

void prompt_quarantine::forget(time_point now)
{
    constexpr auto interval = std::chrono::seconds(10);
    if (now < this->next_forget_) {
        return;
    }
    this->next_forget_ = now + interval;
    this->disputed_.clear();
    std::erase_if(this->parts_, [this, now](const auto& it) {
        return now - it.second.seen_at > this->options_.forget_time;
    });
    std::erase_if(this->crashes_, [this, now](const auto& it) {
        return now - it.second.crash.at > this->options_.evidence_time;
    });
    std::erase_if(this->quarantined_, [now](const auto& it) {
        return now > it.second.until + (it.second.until - it.second.since);
    });
    std::erase_if(this->refusals_,
                  [this](const auto& it) { return !this->quarantined_.contains(it.first); });
}

} // namespace medlaryoke::policy
