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
constexpr std::uint64_t tokens_per_step = 10;
constexpr std::uint64_t hot_tokens_per_step = 2000;
constexpr std::size_t hot_rank = 1;

/// State of one rank. Enforces holds by itself, as the platform's engines do.
struct rank_state {
    std::uint64_t incarnation = make_incarnation();
    std::uint64_t active_map = 0;
    std::uint64_t loading_map = 0;
    std::uint64_t loaded_map = 0;
    std::uint64_t held_step = 0;
    std::uint64_t held_map = 0;
    std::uint64_t next_step = 1;
    std::uint64_t completed_step = 0;
    std::vector<std::vector<std::uint64_t>> tokens;

    [[nodiscard]] bool may_start() const
    {
        return this->active_map != 0 && (this->held_step == 0 || this->next_step < this->held_step);
    }

    bool hold(std::uint64_t map, std::uint64_t step)
    {
        const bool is_new = this->active_map == 0;
        if (this->loaded_map != map || (!is_new && this->next_step > step)) {
            return false;
        }
        if (is_new) {
            this->next_step = step;
            this->completed_step = step - 1;
        }
        this->held_step = step;
        this->held_map = map;
        return true;
    }

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
                        self->handle(n, request, *response);
                    }
                }));
        }
        this->step_regularly();
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

    void handle(std::size_t rank, const transport::http_request& request,
                transport::response_stream& response)
    {
        const std::scoped_lock lock(this->mutex_);
        if (request.target == "/rank") {
            respond_json(response, status_ok, to_json(this->ranks_[rank]));
        }
        else if (request.target == "/orders") {
            const bool obeyed = this->obey(rank, parse_body(request));
            respond_json(response, obeyed ? status_ok : status_conflict,
                         to_json(this->ranks_[rank]));
        }
        else if (request.target == "/load") {
            respond_json(response, status_ok, {{"running", 0}, {"queued", 0}});
        }
        else if (request.target == "/control/steps") {
            respond_json(response, status_ok, {{"steps", this->steps_}, {"split", this->split_}});
        }
        else if (request.target == "/control/faults") {
            this->set_faults(parse_body(request));
            respond_json(response, status_ok, json::object());
        }
        else {
            respond_json(response, status_not_found, json::object());
        }
    }

    bool obey(std::size_t rank, const json& order)
    {
        auto& it = this->ranks_[rank];
        const auto action = order.at("action").get<std::string>();
        if (action == "load_map") {
            this->load(rank, order.at("map").get<std::uint64_t>());
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

    void load(std::size_t rank, std::uint64_t map)
    {
        auto& it = this->ranks_[rank];
        if (it.loaded_map == map || it.loading_map == map) {
            return;
        }
        it.loading_map = map;
        this->context_.after(this->options_.load_time, [weak = this->weak_from_this(), rank, map,
                                                        incarnation = it.incarnation] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            const std::scoped_lock lock(self->mutex_);
            auto& loaded = self->ranks_[rank];
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
        this->stalled_ = faults.value("stall", this->stalled_);
        this->hot_slot_ = faults.value("hot_slot", this->hot_slot_);
    }

    void step_regularly()
    {
        this->context_.after(this->options_.step_time, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->run_step();
                self->step_regularly();
            }
        });
    }

    void run_step()
    {
        const std::scoped_lock lock(this->mutex_);
        const auto& first = this->ranks_.front();
        const bool ready = std::ranges::all_of(this->ranks_, [&first](const rank_state& it) {
            return it.may_start() && it.next_step == first.next_step;
        });
        if (!ready || this->stalled_ >= 0) {
            return;
        }
        const bool is_split = std::ranges::any_of(this->ranks_, [&first](const rank_state& it) {
            return it.active_map != first.active_map;
        });
        this->split_ += is_split ? 1 : 0;
        ++this->steps_;
        for (std::size_t n = 0; n < this->ranks_.size(); ++n) {
            auto& it = this->ranks_[n];
            it.completed_step = it.next_step++;
            for (auto& layer : it.tokens) {
                std::ranges::for_each(layer,
                                      [](std::uint64_t& count) { count += tokens_per_step; });
                if (n == hot_rank && this->hot_slot_ >= 0) {
                    layer.at(static_cast<std::size_t>(this->hot_slot_)) += hot_tokens_per_step;
                }
            }
        }
    }

    transport::runtime& context_;
    const rank_group_options options_;
    std::vector<std::unique_ptr<transport::http_server>> servers_;
    std::mutex mutex_;
    std::vector<rank_state> ranks_;
    std::uint64_t steps_ = 0;
    std::uint64_t split_ = 0;
    int stalled_ = -1;
    int hot_slot_ = -1;
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
