#include <chrono>
#include <map>
#include <memory>
#include <string>

#include <criterion/criterion.h>

#include "controllers/peer_directory.h"
#include "controllers/request_statistics.h"
#include "controllers/upstream_links.h"
#include "fakes/fake_response_stream.h"
#include "fakes/fake_upstream_link.h"

using namespace medlaryoke;
using namespace std::chrono_literals;
using fakes::fake_upstream_link;

namespace {

wire::peer_state make_peer(const std::string& instance, std::uint64_t confirmed = 0)
{
    wire::peer_state state;
    state.set_instance(instance);
    state.set_caller_address(instance + ":80");
    state.set_data_centre("oslo-1");
    state.set_confirmed_offset(confirmed);
    return state;
}

std::shared_ptr<controllers::config_view> make_config(std::uint64_t offset, unsigned upstreams)
{
    auto config = std::make_shared<controllers::config_view>();
    config->offset = offset;
    for (unsigned n = 0; n < upstreams; ++n) {
        const auto name = "engine-" + std::to_string(n);
        auto& spec = config->upstreams[name].spec;
        spec.serves = "assistant";
        spec.agent = name + ":1";
        spec.data_centre = n % 2 == 0 ? "oslo-1" : "oslo-2";
    }
    return config;
}

/// An entry with fake upstream links.
struct fixture {
    explicit fixture(std::size_t subset_size = 24)
        : links({"entry-1", "oslo-1", subset_size}, dispatcher,
                [this](const std::string& name, const model::upstream_spec&) {
                    auto link = std::make_shared<fake_upstream_link>();
                    this->opened[name] = link;
                    return link;
                })
    {
    }

    void submit()
    {
        controllers::work_request work;
        work.target = "assistant";
        work.idempotent = true;
        work.deadline = this->clock.now() + 10s;
        this->dispatcher.submit(std::move(work), std::make_shared<fakes::fake_response_stream>());
    }

    manual_clock clock;
    controllers::request_statistics statistics;
    controllers::request_dispatcher dispatcher{clock, {}, statistics};
    std::map<std::string, std::shared_ptr<fake_upstream_link>> opened;
    controllers::upstream_links links;
};

} // namespace

// Guards against sending callers to an entry that is draining, has failed, or is leaving.
Test(peer_directory, lists_only_usable_entries)
{
    manual_clock clock;
    controllers::peer_directory directory("entry-1", 1500ms);
    for (const auto* const name : {"entry-1", "entry-2", "entry-3", "entry-4"}) {
        directory.on_state(make_peer(name), clock.now());
    }
    cr_assert(directory.entries(clock.now()).size() == 3, "the entry must not list itself");
    auto draining = make_peer("entry-2");
    draining.set_draining(true);
    directory.on_state(draining, clock.now());
    directory.set_leaving({"entry-3"});
    const auto left = directory.entries(clock.now());
    cr_assert(left.size() == 1 && left[0].address == "entry-4:80");
    clock.advance(1501ms);
    cr_assert(directory.entries(clock.now()).empty());
    cr_assert(directory.peers(clock.now()).front().failed);
}

// Guards against a configuration reported as in force while a live entry lacks it, and against a
// failed entry that blocks this for ever.
Test(peer_directory, lowest_confirmed_counts_live_peers)
{
    manual_clock clock;
    controllers::peer_directory directory("entry-1", 1500ms);
    directory.on_state(make_peer("entry-2", 5), clock.now());
    cr_assert(directory.lowest_confirmed(clock.now(), 9) == 5);
    clock.advance(2s);
    cr_assert(directory.lowest_confirmed(clock.now(), 9) == 9);
}

// Guards against new requests for an upstream that is leaving according to the configuration or the
// instance list (P5), and against the loss of its link, which would abort running requests (P6).
Test(upstream_links, leaving_upstream_keeps_its_link_and_gets_no_requests)
{
    fixture f;
    f.links.apply(make_config(1, 2));
    f.links.set_leaving_agents({"engine-0:1"});
    f.submit();
    cr_assert(f.opened["engine-0"]->calls.empty() && f.opened["engine-1"]->calls.size() == 1);

    f.links.set_leaving_agents({});
    auto config = make_config(2, 2);
    config->upstreams["engine-1"].spec.state = model::upstream_state::leaving;
    f.links.apply(config);
    f.submit();
    cr_assert(f.opened["engine-0"]->calls.size() == 1);
    cr_assert(f.opened["engine-1"]->calls.size() == 1);
    cr_assert(f.links.status().size() == 2);
}

// Guards against an older configuration that arrives late and reopens a closed link (P7).
Test(upstream_links, older_configuration_is_ignored)
{
    fixture f;
    f.links.apply(make_config(2, 2));
    f.links.apply(make_config(1, 4));
    cr_assert(f.links.status().size() == 2);
}

// Guards against closing the link of a removed upstream while a request is running on it.
Test(upstream_links, removed_link_closes_after_its_last_request)
{
    fixture f;
    f.links.apply(make_config(1, 2));
    const std::weak_ptr<fake_upstream_link> removed = f.opened["engine-1"];
    f.opened["engine-1"]->running = 1;
    f.links.apply(make_config(2, 1));
    f.opened.erase("engine-1");
    f.links.tick();
    cr_assert(!removed.expired());
    removed.lock()->running = 0;
    f.links.tick();
    cr_assert(removed.expired());
}

// Guards against an entry of a large site that connects to all upstreams, or to upstreams in
// another data centre.
Test(upstream_links, large_sites_use_a_subset_in_the_own_data_centre)
{
    fixture f(3);
    f.links.apply(make_config(1, 20));
    f.links.set_entries({{"entry-2", "oslo-1"}, {"entry-1", "oslo-1"}});
    const auto links = f.links.status();
    cr_assert(links.size() == 3);
    for (const auto& it : links) {
        cr_assert((it.upstream.back() - '0') % 2 == 0, "%s is in another data centre",
                  it.upstream.c_str());
    }
}

// Guards against reporting a configuration as confirmed that a connected agent lacks.
Test(upstream_links, lowest_confirmed_counts_connected_agents)
{
    fixture f;
    f.links.apply(make_config(9, 2));
    f.opened["engine-0"]->state.confirmed_offset = 7;
    f.opened["engine-1"]->state.confirmed_offset = 3;
    cr_assert(f.links.lowest_confirmed_offset(9) == 3);
    f.opened["engine-1"]->state.connected = false;
    cr_assert(f.links.lowest_confirmed_offset(9) == 7);
}
