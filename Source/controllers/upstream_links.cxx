#include "controllers/upstream_links.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "base/digest.h"
#include "base/logging.h"

namespace medlaryoke::controllers {

namespace {

const logger& route_log()
{
    static const logger instance("route");
    return instance;
}

} // namespace

upstream_links::upstream_links(upstream_links_options options, request_dispatcher& dispatcher,
                               link_factory open)
    : options_(std::move(options)), dispatcher_(dispatcher), open_link_(std::move(open)),
      entries_{{options_.instance, options_.data_centre}}
{
}

void upstream_links::apply(const std::shared_ptr<const config_view>& config)
{
    const std::scoped_lock change(this->change_mutex_);
    if (this->config_ != nullptr && config->offset < this->config_->offset) {
        return;
    }
    this->config_ = config;
    std::vector<policy::priority_rule> rules;
    for (const auto& [name, it] : config->priorities) {
        rules.push_back({it.spec.order, it.spec.floor, it.spec.worth, it.spec.first_token_target});
    }
    this->dispatcher_.set_priorities(rules);
    this->update_and_publish();
}

void upstream_links::set_entries(std::vector<policy::subset_member> entries)
{
    std::ranges::sort(entries, {}, &policy::subset_member::name);
    const std::scoped_lock change(this->change_mutex_);
    if (!std::ranges::equal(entries, this->entries_, {}, &policy::subset_member::name,
                            &policy::subset_member::name)) {
        this->entries_ = std::move(entries);
        this->update_and_publish();
    }
}

void upstream_links::update_and_publish()
{
    if (this->config_ != nullptr) {
        this->update_links(this->choose_upstreams(*this->config_));
        this->publish();
    }
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
    std::vector<std::shared_ptr<upstream_link>> closing_links;
    {
        const std::scoped_lock lock(this->mutex_);
        closing_links.swap(this->closing_links_);
    }
    // Links are destroyed here and not by the end of their last request, because the link itself
    // may be the caller of the function that ends the request.
    std::erase_if(closing_links, [](const std::shared_ptr<upstream_link>& link) {
        return link.use_count() == 1 && link->in_flight() == 0;
    });
    const std::scoped_lock lock(this->mutex_);
    std::ranges::move(closing_links, std::back_inserter(this->closing_links_));
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

std::uint64_t upstream_links::lowest_confirmed_offset(std::uint64_t own_offset) const
{
    for (const auto& it : this->status()) {
        if (it.view.connected) {
            own_offset = std::min(own_offset, it.view.confirmed_offset);
        }
    }
    return own_offset;
}

std::map<std::string, model::upstream_spec>
upstream_links::choose_upstreams(const config_view& config) const
{
    std::map<std::string, std::vector<policy::subset_member>> by_target;
    for (const auto& [name, it] : config.upstreams) {
        by_target[it.spec.serves].push_back({name, it.spec.data_centre});
    }
    std::map<std::string, model::upstream_spec> required_upstreams;
    for (const auto& [target, members] : by_target) {
        for (const auto& name : this->choose_subset(members)) {
            required_upstreams.emplace(name, config.upstreams.at(name).spec);
        }
    }
    return required_upstreams;
}

std::vector<std::string>
upstream_links::choose_subset(const std::vector<policy::subset_member>& members) const
{
    std::vector<std::string> names;
    if (members.size() > this->options_.subset_size) {
        policy::subset_options options;
        options.subset_size = static_cast<unsigned>(this->options_.subset_size);
        return policy::subset_assignment(this->entries_, members, options)
            .upstreams_of(this->options_.instance);
    }
    // All upstreams of a small group are used, also those in other data centres, so that an entry
    // keeps the remaining capacity when the upstreams in its own data centre fail.
    std::ranges::transform(members, std::back_inserter(names), &policy::subset_member::name);
    return names;
}

void upstream_links::update_links(
    const std::map<std::string, model::upstream_spec>& required_upstreams)
{
    link_map links;
    {
        const std::scoped_lock lock(this->mutex_);
        links = this->links_;
    }
    std::vector<std::shared_ptr<upstream_link>> closing_links;
    std::erase_if(links, [&](const auto& entry) {
        const auto it = required_upstreams.find(entry.first);
        const bool unused = it == required_upstreams.end() ||
                            it->second.agent != entry.second.spec.agent ||
                            it->second.serves != entry.second.spec.serves;
        if (unused) {
            closing_links.push_back(entry.second.link);
        }
        return unused;
    });
    for (const auto& [name, spec] : required_upstreams) {
        auto& it = links[name];
        it.spec = spec;
        if (it.link == nullptr) {
            route_log().info("Opening a link with upstream {} at {}.", name, spec.agent);
            it.link = this->open_link_(name, spec);
        }
    }
    const std::scoped_lock lock(this->mutex_);
    this->links_ = std::move(links);
    std::ranges::move(closing_links, std::back_inserter(this->closing_links_));
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
                                 leaving ? "is leaving and gets no new requests"
                                         : "is active again");
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
