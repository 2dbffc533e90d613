#include "policy/upstream_notices.h"

#include <chrono>
#include <vector>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "policy/upstream_scheduler.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};

struct noticed_service {
    explicit noticed_service(unsigned count) : scheduler({}, 1)
    {
        this->entries.reserve(count);
        for (unsigned n = 0; n < count; ++n) {
            model::upstream_entry entry;
            entry.id = "u" + std::to_string(n);
            entry.slots = 4;
            entry.started_at = 7;
            this->entries.push_back(entry);
        }
        this->scheduler.set_notices(this->notices);
        this->update();
    }

    void update()
    {
        std::vector<std::uint64_t> incarnations;
        incarnations.reserve(this->entries.size());
        for (const auto& entry : this->entries) {
            incarnations.push_back(model::incarnation_hash(entry));
        }
        this->notices.set_upstreams(1, incarnations, start);
        this->scheduler.set_upstreams(this->entries, "dc-1");
    }

    /// Pushes a request.
    /// @return the upstream that it is sent to at once, if any
    std::optional<std::uint64_t> send(time_point now, duration wait = 1s)
    {
        scheduled_request request;
        request.id = ++this->last_id;
        request.may_probe = true;
        request.arrived = now;
        request.wait_until = now + wait;
        this->scheduler.push(request);
        const auto ready = this->scheduler.take_ready(now);
        return ready.empty() ? std::nullopt : std::optional(ready.front().upstream);
    }

    [[nodiscard]] std::uint64_t incarnation(std::size_t n) const
    {
        return model::incarnation_hash(this->entries[n]);
    }

    std::vector<model::upstream_entry> entries;
    upstream_notices notices;
    upstream_scheduler scheduler;
    std::uint64_t last_id = 0;
};

} // namespace

// Guards against requests to an upstream that has said that it leaves, while the store still lists
// it as ready; the next incarnation with its id is another upstream.
Test(upstream_notices, leaving_upstream_gets_nothing)
{
    noticed_service service(2);
    cr_assert(service.notices.on_leaving(service.incarnation(0), start));
    cr_assert(!service.notices.on_leaving(service.incarnation(0), start));
    for (int n = 0; n < 4; ++n) {
        cr_assert(service.send(start) == hash64("u1"));
    }
    cr_assert(!service.scheduler.is_usable(hash64("u0")));
    cr_assert(!service.scheduler.has_alternative({hash64("u1")}));
    cr_assert(service.notices.leaving() == std::vector{service.incarnation(0)});
    service.entries[0].started_at = 8;
    service.update();
    cr_assert(service.send(start) == hash64("u0"));
}

// Guards against probes of an ejected upstream that leaves.
Test(upstream_notices, leaving_upstream_is_not_probed)
{
    noticed_service service(3);
    for (int n = 0; n < 5; ++n) {
        service.scheduler.on_result(hash64("u0"), call_outcome::failed, std::nullopt, start);
    }
    service.notices.on_leaving(service.incarnation(0), start);
    for (int n = 0; n < 12; ++n) {
        const auto used = service.send(start + 2s);
        cr_assert(!used || *used != hash64("u0"));
    }
}

// Guards against requests to an upstream that wants none for a time, and against one that gets none
// afterwards.
Test(upstream_notices, pausing_upstream_gets_nothing_until_the_pause_ends)
{
    noticed_service service(2);
    cr_assert(service.notices.on_pause(service.incarnation(0), 2s, start) == 2s);
    cr_assert(service.send(start) == hash64("u1"));
    cr_assert(service.send(start + 1999ms) == hash64("u1"));
    cr_assert(service.send(start + 2s) == hash64("u0"));
}

// Guards against a request that waits for upstreams of which none takes it in time. Load: all
// upstreams of a service shed their load at once.
Test(upstream_notices, request_is_refused_at_once_while_all_pause)
{
    noticed_service service(2);
    service.notices.on_pause(service.incarnation(0), 3s, start);
    service.notices.on_pause(service.incarnation(1), 2s, start);
    cr_assert(!service.send(start, 1s));
    cr_assert(service.scheduler.take_expired(start).size() == 1);
    cr_assert(service.scheduler.pause_left(start) == 2s);
    cr_assert(!service.send(start, 4s));
    cr_assert(service.scheduler.take_expired(start).empty());
    cr_assert(service.scheduler.take_ready(start + 2s).size() == 1);
    cr_assert(service.scheduler.pause_left(start + 2s) == 0s);
}

// Guards against a mistake of an upstream that keeps it out of use for good, and against notices
// that pile up.
Test(upstream_notices, notices_are_bounded)
{
    upstream_notices notices({60s, 120s, 2});
    cr_assert(notices.on_pause(1, 8760h, start) == 60s);
    cr_assert(!notices.paused_until(1, start + 60s));
    notices.set_upstreams(1, {1, 2}, start);
    cr_assert(notices.on_leaving(1, start) && notices.on_leaving(2, start));
    cr_assert(!notices.on_leaving(3, start));
    notices.set_upstreams(1, {2}, start + 10s);
    cr_assert(notices.leaving() == std::vector<std::uint64_t>{2});
    notices.on_tick(start + 129s);
    cr_assert(notices.is_leaving(1), "a restored store may list it again");
    notices.on_tick(start + 131s);
    cr_assert(!notices.is_leaving(1) && notices.is_leaving(2));
}
