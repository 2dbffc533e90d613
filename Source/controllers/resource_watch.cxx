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

constexpr std::size_t max_streams = 64;
// A stream with more unsent bytes is aborted, because its client reads too slowly. The client can
// reconnect and resume after the last event that it received.
constexpr std::size_t max_unsent_bytes = 8U * 1024U * 1024U;
// Clients close a stream on which nothing arrives for 10 s.
constexpr duration keep_alive_interval = std::chrono::seconds(4);

std::string make_event(std::uint64_t id, std::string_view type, const json& data)
{
    return fmt::format("id: {}\nevent: {}\ndata: {}\n\n", id, type, to_json_text(data));
}

/// @return the events of all changes and deletions after a version, in version order
std::string format_events_after(const policy::config_ledger& ledger, std::uint64_t version)
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
    for (const auto& [key, deletion] : ledger.deletions()) {
        if (deletion.version > version) {
            events.emplace_back(deletion.version, make_event(deletion.version, "deletion",
                                                             {{"kind", key.first},
                                                              {"name", key.second},
                                                              {"version", deletion.version},
                                                              {"author", deletion.author}}));
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

void resource_watch::open(std::uint64_t from_version,
                          const std::shared_ptr<transport::response_stream>& response)
{
    const std::scoped_lock lock(this->mutex_);
    std::erase_if(this->streams_, [](const watch_stream& it) { return it.closed->load(); });
    if (this->streams_.size() >= max_streams) {
        throw error(error_kind::overloaded,
                    fmt::format("the limit of {} open streams is reached", max_streams),
                    "Close other streams, or ask another entry.");
    }
    response->start({200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}}});
    // The callback may run while the lock is held, so it only sets a flag and takes no lock.
    const auto closed = std::make_shared<std::atomic<bool>>(false);
    response->on_closed([closed] { closed->store(true); });
    this->streams_.push_back({response, closed, from_version, 0, {}});
    this->send(this->streams_.back(), this->store_.ledger(), this->confirmed_offset_());
}

void resource_watch::update(time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    std::erase_if(this->streams_, [](const watch_stream& it) { return it.closed->load(); });
    if (this->streams_.empty()) {
        return;
    }
    const auto ledger = this->store_.ledger();
    const auto in_force_version = this->confirmed_offset_();
    for (auto& it : this->streams_) {
        const bool up_to_date =
            it.sent_version >= ledger.offset() && it.sent_in_force_version >= in_force_version;
        if (!up_to_date) {
            this->send(it, ledger, in_force_version);
            it.last_write_at = now;
        }
        else if (now - it.last_write_at >= keep_alive_interval) {
            it.response->write(": idle\n\n");
            it.last_write_at = now;
        }
    }
}

void resource_watch::send(watch_stream& stream, const policy::config_ledger& ledger,
                          std::uint64_t in_force_version) const
{
    auto text = format_events_after(ledger, stream.sent_version);
    stream.sent_version = std::max(stream.sent_version, ledger.offset());
    if (in_force_version > stream.sent_in_force_version) {
        stream.sent_in_force_version = in_force_version;
        text += make_event(stream.sent_version, "in_force", {{"version", in_force_version}});
    }
    if (!text.empty() && stream.response->write(std::move(text)) > max_unsent_bytes) {
        stream.response->abort();
        stream.closed->store(true);
    }
}

} // namespace medlaryoke::controllers
