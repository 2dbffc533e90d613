#include "controllers/resource_watch.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_text.h"
#include "policy/config_ledger.h"

namespace medlaryoke::controllers {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_watchers = 64;
/// A reader that lags by more is cut off; it goes on from its last event after a reconnect.
constexpr std::size_t max_unsent_bytes = 8U * 1024U * 1024U;
/// Clients give up on a stream that is silent for 10 s.
constexpr duration keep_alive_interval = std::chrono::seconds(4);

std::string make_event(std::uint64_t id, std::string_view type, const json& data)
{
    return fmt::format("id: {}\nevent: {}\ndata: {}\n\n", id, type, to_json_text(data));
}

/// @return events after a version, in order of their versions
std::string events_after(const policy::config_ledger& ledger, std::uint64_t version)
{
    std::vector<std::pair<std::uint64_t, std::string>> events;
    for (const auto& [key, entry] : ledger.entries()) {
        if (entry->version > version) {
            events.emplace_back(entry->version, make_event(entry->version, "change",
                                                           {{"kind", key.first},
                                                            {"name", key.second},
                                                            {"version", entry->version},
                                                            {"author", entry->author},
                                                            {"spec", json::parse(entry->spec)}}));
        }
    }
    for (const auto& [key, gone] : ledger.deletions()) {
        if (gone.version > version) {
            events.emplace_back(gone.version, make_event(gone.version, "deletion",
                                                         {{"kind", key.first},
                                                          {"name", key.second},
                                                          {"version", gone.version},
                                                          {"author", gone.author}}));
        }
    }
    std::ranges::stable_sort(events, {}, &std::pair<std::uint64_t, std::string>::first);
    std::string text;
    for (auto& it : events) {
        text += it.second;
    }
    return text;
}

} // namespace

resource_watch::resource_watch(const config_store& store,
                               std::function<std::uint64_t()> confirmed_offset)
    : store_(store), confirmed_offset_(std::move(confirmed_offset))
{
}

void resource_watch::open(std::uint64_t from,
                          const std::shared_ptr<transport::response_stream>& response)
{
    const std::scoped_lock lock(this->mutex_);
    std::erase_if(this->watchers_, [](const watcher& it) { return it.closed->load(); });
    if (this->watchers_.size() >= max_watchers) {
        throw error(error_kind::overloaded, fmt::format("{} streams are open", max_watchers),
                    "Close other streams, or ask another entry.");
    }
    response->start({200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}}});
    // The callback may be called while the lock is held, so it only sets a flag.
    const auto closed = std::make_shared<std::atomic<bool>>(false);
    response->on_closed([closed] { closed->store(true); });
    this->watchers_.push_back({response, closed, from, 0, {}});
    this->send(this->watchers_.back(), this->store_.ledger(), this->confirmed_offset_());
}

void resource_watch::update(time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    std::erase_if(this->watchers_, [](const watcher& it) { return it.closed->load(); });
    if (this->watchers_.empty()) {
        return;
    }
    const auto ledger = this->store_.ledger();
    const auto in_force = this->confirmed_offset_();
    for (auto& it : this->watchers_) {
        const bool silent = it.sent_upto >= ledger.offset() && it.sent_in_force >= in_force;
        if (!silent) {
            this->send(it, ledger, in_force);
            it.last_write = now;
        }
        else if (now - it.last_write >= keep_alive_interval) {
            it.response->write(": idle\n\n");
            it.last_write = now;
        }
    }
}

void resource_watch::send(watcher& target, const policy::config_ledger& ledger,
                          std::uint64_t in_force) const
{
    auto text = events_after(ledger, target.sent_upto);
    target.sent_upto = std::max(target.sent_upto, ledger.offset());
    if (in_force > target.sent_in_force) {
        target.sent_in_force = in_force;
        text += make_event(target.sent_upto, "in_force", {{"version", in_force}});
    }
    if (!text.empty() && target.response->write(std::move(text)) > max_unsent_bytes) {
        target.response->abort();
        target.closed->store(true);
    }
}

} // namespace medlaryoke::controllers
