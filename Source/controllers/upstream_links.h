#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "controllers/config_store.h"
#include "controllers/request_dispatcher.h"
#include "controllers/upstream_link.h"
#include "policy/subset_assignment.h"

namespace medlaryoke::controllers {

struct upstream_links_options {
    std::string instance;         ///< name of this entry
    std::string data_centre;      ///< of this entry
    std::size_t subset_size = 24; ///< most upstreams of each model group or service
};

/// State of one link, for the status.
struct upstream_status {
    std::string upstream;
    std::string target; ///< model group or service
    bool leaving = false;
    agent_link_view view;
};

/// Keeps links with the agents of the upstreams that this entry uses and tells the dispatcher. An
/// upstream gets no new work from the first sign that it leaves: the configuration, the instance
/// list, or the word of its agent, which the dispatcher sees in the load reports. Thread safe.
class upstream_links {
public:
    /// Opens a link.
    using link_factory = std::function<std::shared_ptr<upstream_link>(const std::string& upstream,
                                                                      const model::upstream_spec&)>;

    /// @param options names and limits
    /// @param dispatcher told of each change; outlives this object
    /// @param open opens links
    upstream_links(upstream_links_options options, request_dispatcher& dispatcher,
                   link_factory open);

    /// Opens and closes links after a change of configuration. Links with running requests stay
    /// open until these have ended.
    /// @param config the configuration; an older one than the last is ignored
    void apply(const std::shared_ptr<const config_view>& config);

    /// Divides the upstreams of large groups among the entries.
    /// @param entries all entries, this one included, in any order
    void set_entries(std::vector<policy::subset_member> entries);

    /// @param agents addresses of agents that leave according to the instance list
    void set_leaving_agents(std::set<std::string> agents);

    /// Closes links without running requests that are no longer used; to be called regularly.
    void tick();

    /// @return the links in use, in order of upstream names
    [[nodiscard]] std::vector<upstream_status> status() const;

    /// @param own offset in force at this entry
    /// @return lowest offset in force at this entry and the agents it is connected with
    [[nodiscard]] std::uint64_t lowest_confirmed(std::uint64_t own) const;

private:
    struct open_link {
        model::upstream_spec spec;
        std::shared_ptr<upstream_link> link;
        bool leaving = false;
    };
    using link_map = std::map<std::string, open_link>;

    std::map<std::string, model::upstream_spec> choose_upstreams(const config_view& config) const;
    std::vector<std::string>
    choose_members(const std::vector<policy::subset_member>& members) const;
    void update_links(const std::map<std::string, model::upstream_spec>& wanted);
    void refresh();
    void publish();

    upstream_links_options options_;
    request_dispatcher& dispatcher_;
    link_factory open_;
    std::mutex change_mutex_; ///< held while links change; no callback of a link takes it
    std::shared_ptr<const config_view> config_; ///< the newest one applied; null before
    std::vector<policy::subset_member> entries_;
    std::set<std::string> leaving_agents_;
    std::set<std::string> published_targets_;
    mutable std::mutex mutex_; ///< guards the members below, never held while a link is called
    link_map links_;
    std::vector<std::shared_ptr<upstream_link>> retired_;
};

} // namespace medlaryoke::controllers
