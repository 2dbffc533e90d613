#include "controllers/upstream_links.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "base/digest.h"
#include "base/logging.h"

namespace medlaryoke::controllers {

namespace {

using named_spec = std::pair<std::string, model::upstream_spec>;

const logger& route_log()
{
    static const logger instance("route");
    return instance;
}

/// Keeps the upstreams with the highest weights for this entry.
void keep_subset(std::vector<named_spec>& upstreams, const std::string& instance, std::size_t size)
{
    if (upstreams.size() <= size) {
        return;
    }
    const auto seed = hash64(instance);
    std::ranges::sort(upstreams, std::ranges::greater{},
                      [seed](const named_spec& it) { return hash64(it.first, seed); });
    upstreams.resize(size);
}

} // namespace

upstream_links::upstream_links(upstream_links_options options, request_dispatcher& dispatcher,
                               link_factory open)
    : options_(std::move(options)), dispatcher_(dispatcher), open_(std::move(open))
{
}

void upstream_links::apply(const std::shared_ptr<const config_view>& config)
{
    const std::scoped_lock change(this->change_mutex_);
    if (config->offset < this->applied_offset_) {
        return;
    }
    this->applied_offset_ = config->offset;
    std::vector<policy::priority_rule> rules;
    for (const auto& [name, it] : config->priorities) {
        rules.push_back({it.spec.order, it.spec.floor, it.spec.worth, it.spec.first_token_target});
    }
    this->dispatcher_.set_priorities(rules);
    this->update_links(this->choose_upstreams(*config));
    this->publish();
}

void upstream_links::set_leaving_agents(std::set<std::string> agents)
{
    const std::scoped_lock change(this->change_mutex_);
    if (agents != this->leaving_agents_) {
        this->leaving_agents_ = std::move(agents);
        this->publish();
    }
}

void upstream_links::tick()
{
    std::vector<std::shared_ptr<upstream_link>> retired;
    {
        const std::scoped_lock lock(this->mutex_);
        retired.swap(this->retired_);
    }
    // A link is closed here rather than by the last request, whose end may be called by the link.
    std::erase_if(retired, [](const std::shared_ptr<upstream_link>& link) {
        return link.use_count() == 1 && link->in_flight() == 0;
    });
    const std::scoped_lock lock(this->mutex_);
    std::ranges::move(retired, std::back_inserter(this->retired_));
}

std::vector<upstream_status> upstream_links::status() const
{
    link_map links;
    {
        const std::scoped_lock lock(this->mutex_);
        links = this->links_;
    }
    std::vector<upstream_status> result;
    for (const auto& [name, it] : links) {
        result.push_back({name, it.spec.serves, it.leaving, it.link->view()});
    }
    return result;
}

std::uint64_t upstream_links::lowest_confirmed(std::uint64_t own) const
{
    for (const auto& it : this->status()) {
        if (it.view.connected) {
            own = std::min(own, it.view.confirmed_offset);
        }
    }
    return own;
}

std::map<std::string, model::upstream_spec>
upstream_links::choose_upstreams(const config_view& config) const
{
    std::map<std::string, std::vector<named_spec>> by_target;
    for (const auto& [name, it] : config.upstreams) {
        by_target[it.spec.serves].emplace_back(name, it.spec);
    }
    std::map<std::string, model::upstream_spec> wanted;
    for (auto& [target, upstreams] : by_target) {
        const auto is_near = [this](const named_spec& it) {
            return it.second.data_centre == this->options_.data_centre &&
                   it.second.state == model::upstream_state::active;
        };
        // Small sites use all upstreams; large ones stay in their data centre if it has any.
        if (upstreams.size() > this->options_.subset_size &&
            std::ranges::any_of(upstreams, is_near)) {
            std::erase_if(upstreams, std::not_fn(is_near));
        }
        keep_subset(upstreams, this->options_.instance, this->options_.subset_size);
        wanted.insert(upstreams.begin(), upstreams.end());
    }
    return wanted;
}

void upstream_links::update_links(const std::map<std::string, model::upstream_spec>& wanted)
{
    link_map links;
    {
        const std::scoped_lock lock(this->mutex_);
        links = this->links_;
    }
    std::vector<std::shared_ptr<upstream_link>> retired;
    std::erase_if(links, [&](const auto& entry) {
        const auto it = wanted.find(entry.first);
        const bool unused = it == wanted.end() || it->second.agent != entry.second.spec.agent ||
                            it->second.serves != entry.second.spec.serves;
        if (unused) {
            retired.push_back(entry.second.link);
        }
        return unused;
    });
    for (const auto& [name, spec] : wanted) {
        auto& it = links[name];
        it.spec = spec;
        if (it.link == nullptr) {
            route_log().info("Opening a link with upstream {} at {}.", name, spec.agent);
            it.link = this->open_(name, spec);
        }
    }
    const std::scoped_lock lock(this->mutex_);
    this->links_ = std::move(links);
    std::ranges::move(retired, std::back_inserter(this->retired_));
}

void upstream_links::publish()
{
    std::map<std::string, std::vector<dispatch_target>> by_target;
    {
        const std::scoped_lock lock(this->mutex_);
        for (auto& [name, it] : this->links_) {
            const bool leaving = it.spec.state == model::upstream_state::leaving ||
                                 this->leaving_agents_.contains(it.spec.agent);
            if (leaving != it.leaving) {
                route_log().info("Upstream {} {}.", name,
                                 leaving ? "is leaving and gets no new work" : "is active again");
            }
            it.leaving = leaving;
            by_target[it.spec.serves].push_back({name, it.link, leaving});
        }
    }
    for (const auto& target : this->published_targets_) {
        by_target.try_emplace(target);
    }
    for (auto& [target, upstreams] : by_target) {
        this->published_targets_.insert(target);
        this->dispatcher_.set_upstreams(target, std::move(upstreams));
    }
}

} // namespace medlaryoke::controllers
