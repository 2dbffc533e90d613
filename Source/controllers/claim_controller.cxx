#include "controllers/claim_controller.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "base/identifiers.h"
#include "base/logging.h"

namespace medlaryoke::controllers {

namespace {

constexpr std::size_t max_records_per_read = 500;

const logger& claim_log()
{
    static const logger instance("claim");
    return instance;
}

/// Joins strings, each after its length, so that different lists never give the same result.
std::string join_length_prefixed(std::initializer_list<const std::string*> parts)
{
    std::string joined;
    for (const auto* it : parts) {
        joined += fmt::format("{}:", it->size());
        joined += *it;
    }
    return joined;
}

digest128 claim_key_of(const wire::dispatch& request)
{
    return hash128(join_length_prefixed(
        {&request.organisation(), &request.service(), &request.idempotency_key()}));
}

std::uint64_t request_digest_of(const wire::dispatch& request)
{
    return hash64(join_length_prefixed({&request.method(), &request.target(), &request.body()}));
}

claim_answer make_refusal(claim_result result, std::string message)
{
    claim_answer answer;
    answer.result = result;
    answer.message = std::move(message);
    return answer;
}

claim_answer conflict_answer()
{
    return make_refusal(claim_result::conflict,
                        "the idempotency key was used for a different request");
}

claim_answer in_progress_answer()
{
    return make_refusal(claim_result::in_progress,
                        "an earlier request with the same idempotency key has not completed");
}

constexpr auto lost_history_message =
    "the log was restored from an older copy and may have lost a claim of the key; restart the "
    "agents when no call is repeated any more";

claim_answer repeated_answer(const wire::completion& completion)
{
    claim_answer answer;
    answer.result = claim_result::repeated;
    answer.completion = completion;
    return answer;
}

} // namespace

claim_controller::claim_controller(const clock_source& clock, transport::log_service& log,
                                   claim_controller_options options, claim_controller_ports ports)
    : clock_(clock), log_(log), options_(options), ports_(std::move(ports))
{
    for (unsigned n = 0; n < std::max(options.partitions, 1U); ++n) {
        this->partitions_.emplace_back(options.retention).stream = fmt::format("claims.{}", n);
    }
    this->last_append_at_ = clock.now() - options.batch_interval;
}

void claim_controller::start()
{
    {
        const std::scoped_lock lock(this->mutex_);
        for (std::size_t n = 0; n < this->partitions_.size(); ++n) {
            this->partitions_[n].catching_up = true;
            this->read(n);
        }
    }
    this->actions_.run();
}

void claim_controller::claim(const wire::dispatch& request, claim_callback done)
{
    const auto now = this->ports_.unix_now();
    const auto& text = request.idempotency_key();
    if (text.empty() || policy::check_key(text, now, this->options_.retention) !=
                            policy::key_check_result::accepted) {
        done(make_refusal(
            claim_result::expired,
            fmt::format("the idempotency key '{}' is empty, malformed or older than {} h", text,
                        this->options_.retention / std::chrono::hours(1))));
        return;
    }
    claim_ticket ticket{.key = claim_key_of(request),
                        .operation_id = make_random_id(),
                        .request_digest = request_digest_of(request)};
    {
        const std::scoped_lock lock(this->mutex_);
        if (auto value = this->answer_without_claim(ticket.key, ticket.request_digest)) {
            this->post_answer(std::move(done), std::move(*value));
        }
        else if (this->history_.is_lost()) {
            this->post_answer(std::move(done),
                              make_refusal(claim_result::unavailable, lost_history_message));
        }
        else {
            this->unconfirmed_keys_[ticket.key] = {.ticket = ticket, .completion = std::nullopt};
            pending_entry entry{
                .entry = {}, .ticket = ticket, .on_claimed = std::move(done), .on_attempted = {}};
            auto* claim = entry.entry.mutable_claim();
            claim->set_key_digest(policy::key_digest_bytes(ticket.key));
            claim->set_request_digest(ticket.request_digest);
            claim->set_agent_incarnation(this->options_.agent_incarnation);
            claim->set_operation_id(ticket.operation_id);
            // The claim is not older than its key, so that the key expires before its claim.
            const auto created = std::max(now, policy::creation_time_of_key(text).value_or(now));
            claim->set_created_unix_ms(
                static_cast<std::uint64_t>(created.time_since_epoch().count()));
            this->enqueue(std::move(entry));
        }
    }
    this->actions_.run();
}

void claim_controller::complete(const claim_ticket& ticket, completed_answer answer)
{
    {
        const std::scoped_lock lock(this->mutex_);
        pending_entry entry{.entry = {}, .ticket = ticket, .on_claimed = {}, .on_attempted = {}};
        auto* completion = entry.entry.mutable_completion();
        completion->set_key_digest(policy::key_digest_bytes(ticket.key));
        completion->set_operation_id(ticket.operation_id);
        completion->set_status(answer.status);
        // A content type without a response marks an omitted body; see body_was_omitted.
        if (!answer.body || !answer.body->empty()) {
            completion->set_content_type(std::move(answer.content_type));
            completion->set_response(std::move(answer.body).value_or(""));
        }
        this->unconfirmed_keys_[ticket.key] = {.ticket = ticket, .completion = *completion};
        this->enqueue(std::move(entry));
    }
    this->actions_.run();
}

void claim_controller::release(const claim_ticket& ticket, std::function<void()> done)
{
    {
        const std::scoped_lock lock(this->mutex_);
        this->erase_unconfirmed_key(ticket);
        this->enqueue_release(ticket, std::move(done));
    }
    this->actions_.run();
}

std::size_t claim_controller::pending() const
{
    const std::scoped_lock lock(this->mutex_);
    std::size_t count = 0;
    for (const auto& it : this->partitions_) {
        count += it.pending.size() + it.being_appended.size();
    }
    return count;
}

bool claim_controller::is_known_history(std::uint64_t epoch)
{
    const bool was_lost = this->history_.is_lost();
    if (!this->history_.continues(epoch) && !was_lost) {
        claim_log().error(
            "The log was restored from an older copy; new claims are refused. Restart "
            "the agents when no call is repeated any more.");
    }
    return !this->history_.is_lost();
}

std::optional<claim_answer> claim_controller::answer_without_claim(const digest128& key,
                                                                   std::uint64_t request_digest)
{
    if (const auto it = this->unconfirmed_keys_.find(key); it != this->unconfirmed_keys_.end()) {
        if (it->second.ticket.request_digest != request_digest) {
            return conflict_answer();
        }
        const auto& completion = it->second.completion;
        return completion ? repeated_answer(*completion) : in_progress_answer();
    }
    const auto& ledger = this->partitions_[this->partition_of(key)].ledger;
    if (const auto* it = ledger.completion(key, request_digest, this->ports_.unix_now())) {
        return repeated_answer(*it);
    }
    return std::nullopt;
}

std::size_t claim_controller::partition_of(const digest128& key) const
{
    return key.low % this->partitions_.size();
}

void claim_controller::enqueue(pending_entry entry)
{
    this->partitions_[this->partition_of(entry.ticket.key)].pending.push_back(std::move(entry));
    this->schedule_flush({});
}

void claim_controller::enqueue_release(const claim_ticket& ticket,
                                       std::function<void()> on_attempted)
{
    pending_entry entry{
        .entry = {}, .ticket = ticket, .on_claimed = {}, .on_attempted = std::move(on_attempted)};
    entry.entry.mutable_release()->set_key_digest(policy::key_digest_bytes(ticket.key));
    entry.entry.mutable_release()->set_operation_id(ticket.operation_id);
    this->enqueue(std::move(entry));
}

void claim_controller::schedule_flush(duration delay)
{
    if (std::exchange(this->flush_scheduled_, true)) {
        return;
    }
    const auto earliest = this->last_append_at_ + this->options_.batch_interval;
    delay = std::max(delay, earliest - this->clock_.now());
    this->actions_.add([this, delay] {
        const auto run_flush = [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->flush();
            }
        };
        if (delay <= duration{}) {
            run_flush();
        }
        else {
            this->ports_.after(delay, run_flush);
        }
    });
}

void claim_controller::flush()
{
    {
        const std::scoped_lock lock(this->mutex_);
        this->flush_scheduled_ = false;
        const auto count = this->partitions_.size();
        for (std::size_t n = 0; n < count; ++n) {
            const auto index = (this->next_partition_ + n) % count;
            if (this->can_append(this->partitions_[index])) {
                this->next_partition_ = index + 1;
                this->append(index);
                break;
            }
        }
        if (std::ranges::any_of(this->partitions_,
                                [this](const auto& it) { return this->can_append(it); })) {
            this->schedule_flush(this->options_.batch_interval);
        }
        else if (std::ranges::any_of(this->partitions_, [](const auto& it) {
                     return !it.appending && !it.pending.empty();
                 })) {
            this->schedule_flush(this->options_.retry_interval);
        }
    }
    this->actions_.run();
}

bool claim_controller::can_append(const partition_state& partition) const
{
    if (partition.appending || partition.pending.empty()) {
        return false;
    }
    return partition.retry_not_before <= this->clock_.now() ||
           std::ranges::any_of(partition.pending,
                               [](const auto& it) { return it.entry.has_claim(); });
}

void claim_controller::append(std::size_t index)
{
    auto& partition = this->partitions_[index];
    partition.appending = true;
    partition.being_appended = std::exchange(partition.pending, {});
    this->last_append_at_ = this->clock_.now();
    wire::claim_batch batch;
    batch.set_batch_id(make_random_id());
    for (const auto& it : partition.being_appended) {
        *batch.add_entries() = it.entry;
    }
    this->actions_.add([this, index, stream = partition.stream, data = batch.SerializeAsString()] {
        this->log_.append(
            stream, data,
            [weak = this->weak_from_this(), index](const transport::append_result& result) {
                if (const auto self = weak.lock()) {
                    self->on_appended(index, result);
                }
            });
    });
}

void claim_controller::on_appended(std::size_t index, const transport::append_result& result)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto& partition = this->partitions_[index];
        partition.appending = false;
        if (const auto* stored = std::get_if<transport::append_done>(&result)) {
            if (this->is_known_history(stored->epoch)) {
                this->on_stored(partition, stored->offset);
                this->read(index);
            }
            else {
                this->refuse_lost_claims(partition);
            }
        }
        else if (const auto* rejected = std::get_if<transport::append_rejected>(&result)) {
            this->on_not_stored(partition, false, rejected->reason);
        }
        else {
            this->on_not_stored(partition, true,
                                std::get<transport::append_ambiguous>(result).reason);
        }
        if (!partition.pending.empty()) {
            this->schedule_flush({});
        }
    }
    this->actions_.run();
}

void claim_controller::on_stored(partition_state& partition, std::uint64_t offset)
{
    partition.last_appended_offset = std::max(partition.last_appended_offset, offset);
    for (auto& it : std::exchange(partition.being_appended, {})) {
        if (it.on_attempted) {
            this->actions_.add(std::move(it.on_attempted));
        }
        if (!it.entry.has_release()) {
            partition.unread.push_back(
                {.offset = offset, .ticket = it.ticket, .on_claimed = std::move(it.on_claimed)});
        }
    }
}

void claim_controller::on_not_stored(partition_state& partition, bool maybe_stored,
                                     const std::string& reason)
{
    claim_log().warning("Appending to stream {} failed: {}", partition.stream, reason);
    partition.retry_not_before = this->clock_.now() + this->options_.retry_interval;
    for (auto& it : std::exchange(partition.being_appended, {})) {
        if (it.on_attempted) {
            this->actions_.add(std::exchange(it.on_attempted, {}));
        }
        if (!it.entry.has_claim()) {
            partition.pending.push_back(std::move(it));
            continue;
        }
        this->erase_unconfirmed_key(it.ticket);
        if (maybe_stored) {
            this->enqueue_release(it.ticket, {});
        }
        this->post_answer(
            std::move(it.on_claimed),
            make_refusal(claim_result::unavailable,
                         fmt::format("the log did not confirm the claim: {}", reason)));
    }
}

void claim_controller::refuse_lost_claims(partition_state& partition)
{
    for (auto& it : std::exchange(partition.being_appended, {})) {
        if (it.on_attempted) {
            this->actions_.add(std::move(it.on_attempted));
        }
        if (it.on_claimed) {
            this->erase_unconfirmed_key(it.ticket);
            this->post_answer(std::move(it.on_claimed),
                              make_refusal(claim_result::unavailable, lost_history_message));
        }
    }
}

void claim_controller::read(std::size_t index)
{
    auto& partition = this->partitions_[index];
    if (std::exchange(partition.reading, true)) {
        return;
    }
    this->actions_.add([this, index, stream = partition.stream, from = partition.next_read_offset] {
        this->log_.read(stream, from, max_records_per_read, duration{},
                        [weak = this->weak_from_this(), index](const transport::read_result& it) {
                            if (const auto self = weak.lock()) {
                                self->on_read(index, it);
                            }
                        });
    });
}

void claim_controller::on_read(std::size_t index, const transport::read_result& result)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto& partition = this->partitions_[index];
        partition.reading = false;
        bool progress = false;
        std::string reason = "the record that was appended is not there";
        if (const auto* read = std::get_if<transport::read_records>(&result)) {
            if (this->is_known_history(read->epoch)) {
                progress = !read->records.empty();
                for (const auto& record : read->records) {
                    this->apply_record(partition, record);
                }
            }
        }
        else if (const auto* expired = std::get_if<transport::read_expired>(&result);
                 expired != nullptr && this->is_known_history(expired->epoch)) {
            progress = expired->earliest > partition.next_read_offset;
            partition.next_read_offset = std::max(partition.next_read_offset, expired->earliest);
        }
        else if (const auto* failure = std::get_if<transport::read_unavailable>(&result)) {
            reason = failure->reason;
        }
        if (this->history_.is_lost()) {
            reason = lost_history_message;
        }
        this->answer_read_claims(partition);
        partition.catching_up = partition.catching_up && progress;
        if (partition.next_read_offset <= partition.last_appended_offset && !progress) {
            this->fail_unread_claims(partition, reason);
        }
        else if (partition.next_read_offset <= partition.last_appended_offset ||
                 partition.catching_up) {
            this->read(index);
        }
    }
    this->actions_.run();
}

void claim_controller::apply_record(partition_state& partition,
                                    const transport::stored_record& record)
{
    if (record.offset < partition.next_read_offset) {
        return;
    }
    partition.next_read_offset = record.offset + 1;
    wire::claim_batch batch;
    if (!batch.ParseFromString(record.data)) {
        claim_log().error("Record {} of stream {} cannot be parsed and is ignored.", record.offset,
                          partition.stream);
        return;
    }
    partition.ledger.apply_record(record.offset, batch, this->ports_.unix_now());
}

void claim_controller::answer_read_claims(partition_state& partition)
{
    std::vector<unread_entry> remaining;
    for (auto& it : partition.unread) {
        if (it.offset >= partition.next_read_offset) {
            remaining.push_back(std::move(it));
            continue;
        }
        if (it.on_claimed) {
            this->post_answer(std::move(it.on_claimed), this->evaluate_claim(partition, it.ticket));
        }
        this->erase_unconfirmed_key(it.ticket);
    }
    partition.unread = std::move(remaining);
}

claim_answer claim_controller::evaluate_claim(const partition_state& partition,
                                              const claim_ticket& ticket)
{
    const auto now = this->ports_.unix_now();
    switch (partition.ledger.claim_state_of(ticket.key, ticket.operation_id)) {
    case policy::claim_state::won: {
        claim_answer answer;
        answer.result = claim_result::run;
        answer.ticket = ticket;
        return answer;
    }
    case policy::claim_state::completed:
        if (const auto* it = partition.ledger.completion(ticket.key, ticket.request_digest, now)) {
            return repeated_answer(*it);
        }
        return in_progress_answer();
    case policy::claim_state::in_progress:
        this->enqueue_release(ticket, {});
        return in_progress_answer();
    case policy::claim_state::conflict:
        this->enqueue_release(ticket, {});
        return conflict_answer();
    case policy::claim_state::unknown:
        break;
    }
    this->enqueue_release(ticket, {});
    return make_refusal(claim_result::unavailable, "the claim is not in the log");
}

void claim_controller::fail_unread_claims(partition_state& partition, const std::string& reason)
{
    claim_log().warning("Reading claims back from stream {} failed: {}", partition.stream, reason);
    std::vector<unread_entry> remaining;
    for (auto& it : partition.unread) {
        if (!it.on_claimed) {
            remaining.push_back(std::move(it));
            continue;
        }
        this->erase_unconfirmed_key(it.ticket);
        this->enqueue_release(it.ticket, {});
        this->post_answer(
            std::move(it.on_claimed),
            make_refusal(claim_result::unavailable,
                         fmt::format("the claim could not be read back: {}", reason)));
    }
    partition.unread = std::move(remaining);
}

void claim_controller::post_answer(claim_callback done, claim_answer value)
{
    this->actions_.add([done = std::move(done), value = std::move(value)] { done(value); });
}

void claim_controller::erase_unconfirmed_key(const claim_ticket& ticket)
{
    const auto it = this->unconfirmed_keys_.find(ticket.key);
    if (it != this->unconfirmed_keys_.end() &&
        it->second.ticket.operation_id == ticket.operation_id) {
        this->unconfirmed_keys_.erase(it);
    }
}

} // namespace medlaryoke::controllers
