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
    std::size_t subset_size = 24; ///< maximum links with upstreams of one model group or service
};

/// State of one link, for the status report.
struct upstream_status {
    std::string upstream; ///< name of the upstream
    std::string target;   ///< model group or service that the upstream serves
    bool leaving = false; ///< gets no new requests, by the configuration or the instance list
    agent_link_view view;
};

/// Maintains links with the agents of the upstreams that this entry uses and passes them to the
/// dispatcher. An upstream gets no new requests as soon as the configuration, the instance list or
/// the load report of its agent, which the dispatcher evaluates, says that it is leaving. Thread
/// safe.
class upstream_links {
public:
    /// Opens a link with the agent of an upstream.
    using link_factory = std::function<std::shared_ptr<upstream_link>(const std::string& upstream,
                                                                      const model::upstream_spec&)>;

    /// @param options names and limits
    /// @param dispatcher gets the upstreams of each target after a change; outlives this object
    /// @param open function that opens links
    upstream_links(upstream_links_options options, request_dispatcher& dispatcher,
                   link_factory open);

    /// Opens and closes links after a change of the configuration. A link with running requests
    /// stays open until they have ended.
    /// @param config the configuration; ignored if older than the last one applied
    void apply(const std::shared_ptr<const config_view>& config);

    /// Sets the entries among which the upstreams of groups larger than subset_size are divided.
    /// @param entries all entries including this one, in any order
    void set_entries(std::vector<policy::subset_member> entries);

    /// Sets the agents whose upstreams get no new requests.
    /// @param agents addresses of the agents that are leaving according to the instance list
    void set_leaving_agents(std::set<std::string> agents);

    /// Closes links that are no longer used and have no running requests; to be called regularly.
    void tick();

    /// @return the links in use, ordered by the name of the upstream
    [[nodiscard]] std::vector<upstream_status> status() const;

    /// Finds the lowest configuration offset in force at this entry and its connected agents.
    /// @param own_offset offset in force at this entry
    /// @return the lowest offset
    [[nodiscard]] std::uint64_t lowest_confirmed_offset(std::uint64_t own_offset) const;

private:
    struct open_link {
        model::upstream_spec spec;
        std::shared_ptr<upstream_link> link;
        bool leaving = false;
    };
    using link_map = std::map<std::string, open_link>;

    std::map<std::string, model::upstream_spec> choose_upstreams(const config_view& config) const;
    std::vector<std::string> choose_subset(const std::vector<policy::subset_member>& members) const;
    void update_links(const std::map<std::string, model::upstream_spec>& required_upstreams);
    void update_and_publish();
    void publish();

    upstream_links_options options_;
    request_dispatcher& dispatcher_;
    link_factory open_link_;
    std::mutex change_mutex_; ///< serialises changes of links; no callback of a link locks it
    std::shared_ptr<const config_view> config_; ///< the last one applied; null before the first
    std::vector<policy::subset_member> entries_;
    std::set<std::string> leaving_agents_;
    std::set<std::string> published_targets_; ///< also those that have no upstream any more
    mutable std::mutex mutex_; ///< guards the members below; never held during a call of a link
    link_map links_;
    /// Links that are no longer used but may still have running requests.
    std::vector<std::shared_ptr<upstream_link>> closing_links_;
};

} // namespace medlaryoke::controllers
