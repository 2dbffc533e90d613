#include "StandIns/rank_group_standin.h"

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/identifiers.h"
#include "StandIns/standin_http.h"
#include "transport/http_server.h"

namespace medlaryoke::standins {

namespace {

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr std::uint64_t tokens_per_slot_and_step = 10;
constexpr std::uint64_t extra_hot_tokens_per_step = 2000;
constexpr std::size_t hot_rank = 1;

/// State of one rank. A map is the placement of experts on ranks. The rank enforces a hold by
/// itself, as the engines of the platform do: it does not start the held step before it uses the
/// held map.
struct rank_state {
    std::uint64_t incarnation = make_random_id();
    std::uint64_t active_map = 0;  ///< map in use; 0: none yet
    std::uint64_t loading_map = 0; ///< map whose weights are being loaded; 0: none
    std::uint64_t loaded_map = 0;  ///< map whose weights are loaded and not yet used; 0: none
    std::uint64_t held_step = 0;   ///< first step that may not start; 0: no hold
    std::uint64_t held_map = 0;    ///< map for which the step is held; 0: no hold
    std::uint64_t next_step = 1;
    std::uint64_t completed_step = 0;
    std::vector<std::vector<std::uint64_t>> tokens; ///< tokens handled, by layer and slot

    /// @return whether the rank may start its next step
    [[nodiscard]] bool may_start() const
    {
        return this->active_map != 0 && (this->held_step == 0 || this->next_step < this->held_step);
    }

    /// Holds the rank before a step. A rank without a map in use begins with that step.
    /// @return false if the map is not loaded or the rank has already started the step
    bool hold(std::uint64_t map, std::uint64_t step)
    {
        const bool has_no_map = this->active_map == 0;
        if (this->loaded_map != map || (!has_no_map && this->next_step > step)) {
            return false;
        }
        if (has_no_map) {
            this->next_step = step;
            this->completed_step = step - 1;
        }
        this->held_step = step;
        this->held_map = map;
        return true;
    }

    /// Uses the held map from the held step on. Repeating the order has no effect.
    /// @return false if the rank neither uses the map nor is held at this step for it
    bool use_map(std::uint64_t map, std::uint64_t step)
    {
        if (this->active_map == map) {
            return true;
        }
        if (this->held_map != map || this->held_step != step || this->next_step != step) {
            return false;
        }
        this->active_map = map;
        this->release();
        return true;
    }

    /// Ends the hold and drops the loaded map. Returns true, as this never fails.
    bool release()
    {
        this->loading_map = this->loaded_map = this->held_step = this->held_map = 0;
        return true;
    }
};

json to_json(const rank_state& it)
{
    return {{"incarnation", it.incarnation}, {"active_map", it.active_map},
            {"loaded_map", it.loaded_map},   {"held_step", it.held_step},
            {"held_map", it.held_map},       {"next_step", it.next_step},
            {"tokens", it.tokens},           {"completed_step", it.completed_step}};
}

} // namespace

class rank_group_standin::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, rank_group_options options)
        : context_(context), options_(std::move(options)), ranks_(options_.addresses.size())
    {
        std::ranges::for_each(this->ranks_, [this](rank_state& it) { this->reset(it); });
    }

    void start()
    {
        for (std::size_t n = 0; n < this->ranks_.size(); ++n) {
            transport::http_server_options server;
            server.address = this->options_.addresses[n];
            this->servers_.push_back(std::make_unique<transport::http_server>(
                this->context_, server,
                [weak = this->weak_from_this(), n](const transport::http_request& request,
                                                   const auto& response) {
                    if (const auto self = weak.lock()) {
                        self->handle_request(n, request, *response);
                    }
                }));
        }
        this->schedule_next_step();
    }

    [[nodiscard]] std::vector<std::string> addresses() const
    {
        std::vector<std::string> result;
        std::ranges::transform(this->servers_, std::back_inserter(result),
                               [](const auto& it) { return it->address(); });
        return result;
    }

private:
    void reset(rank_state& it) const
    {
        it = {};
        it.tokens.assign(this->options_.layers,
                         std::vector<std::uint64_t>(this->options_.slots_per_rank));
    }

    void handle_request(std::size_t rank, const transport::http_request& request,
                        transport::response_stream& response)
    {
        const std::scoped_lock lock(this->mutex_);
        if (request.target == "/rank") {
            respond_json(response, status_ok, to_json(this->ranks_[rank]));
        }
        else if (request.target == "/orders") {
            const bool executed = this->execute_order(rank, parse_body(request));
            respond_json(response, executed ? status_ok : status_conflict,
                         to_json(this->ranks_[rank]));
        }
        else if (request.target == "/load") {
            respond_json(response, status_ok, {{"running", 0}, {"queued", 0}});
        }
        else if (request.target == "/control/steps") {
            respond_json(response, status_ok,
                         {{"steps", this->completed_steps_}, {"split", this->split_steps_}});
        }
        else if (request.target == "/control/faults") {
            this->set_faults(parse_body(request));
            respond_json(response, status_ok, json::object());
        }
        else {
            respond_json(response, status_not_found, json::object());
        }
    }

    bool execute_order(std::size_t rank, const json& order)
    {
        auto& it = this->ranks_[rank];
        const auto action = order.at("action").get<std::string>();
        if (action == "load_map") {
            this->load_map(rank, order.at("map").get<std::uint64_t>());
            return true;
        }
        if (action == "hold") {
            return it.hold(order.at("map").get<std::uint64_t>(),
                           order.at("step").get<std::uint64_t>());
        }
        if (action == "use_map") {
            return it.use_map(order.at("map").get<std::uint64_t>(),
                              order.at("step").get<std::uint64_t>());
        }
        return action == "release" && it.release();
    }

    void load_map(std::size_t rank, std::uint64_t map)
    {
        auto& it = this->ranks_[rank];
        if (it.loaded_map == map || it.loading_map == map) {
            return;
        }
        it.loading_map = map;
        this->context_.after(this->options_.map_load_time, [weak = this->weak_from_this(), rank,
                                                            map, incarnation = it.incarnation] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            const std::scoped_lock lock(self->mutex_);
            auto& loaded = self->ranks_[rank];
            // A restart of the rank in the meantime discards the load.
            if (loaded.incarnation == incarnation && loaded.loading_map == map) {
                loaded.loaded_map = map;
                loaded.loading_map = 0;
            }
        });
    }

    void set_faults(const json& faults)
    {
        if (faults.contains("restart")) {
            this->reset(this->ranks_.at(faults.at("restart").get<std::size_t>()));
        }
        this->stalled_rank_ = faults.value("stall", this->stalled_rank_);
        this->hot_slot_ = faults.value("hot_slot", this->hot_slot_);
    }

    void schedule_next_step()
    {
        this->context_.after(this->options_.step_time, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->run_step();
                self->schedule_next_step();
            }
        });
    }

    /// Runs a step of the whole group if every rank may start the same step.
    void run_step()
    {
        const std::scoped_lock lock(this->mutex_);
        const auto& first = this->ranks_.front();
        const bool ready = std::ranges::all_of(this->ranks_, [&first](const rank_state& it) {
            return it.may_start() && it.next_step == first.next_step;
        });
        if (!ready || this->stalled_rank_ >= 0) {
            return;
        }
        const bool is_split = std::ranges::any_of(this->ranks_, [&first](const rank_state& it) {
            return it.active_map != first.active_map;
        });
        this->split_steps_ += is_split ? 1 : 0;
        ++this->completed_steps_;
        for (std::size_t n = 0; n < this->ranks_.size(); ++n) {
            auto& it = this->ranks_[n];
            it.completed_step = it.next_step++;
            for (auto& layer : it.tokens) {
                std::ranges::for_each(
                    layer, [](std::uint64_t& count) { count += tokens_per_slot_and_step; });
                if (n == hot_rank && this->hot_slot_ >= 0) {
                    layer.at(static_cast<std::size_t>(this->hot_slot_)) +=
                        extra_hot_tokens_per_step;
                }
            }
        }
    }

    transport::runtime& context_;
    const rank_group_options options_;
    std::vector<std::unique_ptr<transport::http_server>> servers_;
    std::mutex mutex_;
    std::vector<rank_state> ranks_;
    std::uint64_t completed_steps_ = 0;
    std::uint64_t split_steps_ = 0; ///< steps that ranks began on different maps
    int stalled_rank_ = -1;         ///< rank that does not start steps; -1: none
    int hot_slot_ = -1;             ///< slot of hot_rank that takes most of the tokens; -1: none
};

rank_group_standin::rank_group_standin(transport::runtime& context, rank_group_options options)
    : impl_(std::make_shared<implementation>(context, std::move(options)))
{
    this->impl_->start();
}

rank_group_standin::~rank_group_standin() = default;

std::vector<std::string> rank_group_standin::addresses() const
{
    return this->impl_->addresses();
}

} // namespace medlaryoke::standins
