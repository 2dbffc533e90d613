#include <optional>
#include <string>
#include <variant>

#include <criterion/criterion.h>

#include "controllers/config_feed.h"
#include "controllers/config_store.h"
#include "controllers/config_writer.h"
#include "fakes/fake_log.h"
#include "fakes/manual_time.h"
#include "policy/config_ledger.h"

using namespace std::chrono_literals;
using namespace medlaryoke;
using controllers::write_result;

// Guards against an accepted change that is lost, and against a later one that is not in force,
// after the log was restored from an older copy.
Test(restored_config_log, accepted_changes_are_in_force_after_a_restore)
{
    fakes::manual_time time;
    fakes::fake_log log(time);
    controllers::config_store store;
    controllers::config_feed feed(log, store, time.timer());
    controllers::config_writer writer(log, store, time.clock, time.timer());
    feed.start();
    const auto submit = [&](const std::string& group) {
        std::optional<write_result> result;
        writer.submit({"op-" + group, "anna", {{{"model_group", group}, 0, R"({"model":"m"})"}}},
                      [&result](write_result it) { result = std::move(it); });
        time.run_for(20s);
        cr_assert(result && std::holds_alternative<policy::change_accepted>(*result),
                  "the change of %s was not accepted", group.c_str());
    };
    submit("a");
    submit("b");
    submit("c");
    log.restore(1);
    time.run_for(20s);
    cr_assert(store.view()->model_groups.size() == 3, "an accepted change was lost");
    submit("d");
    cr_assert(store.view()->model_groups.size() == 4);
    controllers::config_store late_store;
    controllers::config_feed late_feed(log, late_store, time.timer());
    late_feed.start();
    time.run_for(20s);
    cr_assert(late_store.view()->model_groups.size() == 4, "a new reader misses a change");
}
