#pragma once

#include <memory>
#include <string>

#include "base/digest.h"
#include "controllers/config_store.h"

namespace medlaryoke::fakes {

/// Credential of the caller in make_sample_config().
constexpr const char* sample_credential = "shop-secret";

/// @return a configuration with one model group, one service upstream, three priorities, and one
/// caller that may use two of them
inline std::shared_ptr<const controllers::config_view> make_sample_config()
{
    auto config = std::make_shared<controllers::config_view>();
    config->offset = 7;
    config->model_groups["assistant"].spec.model = "boba-8b";
    auto& desk = config->upstreams["desk-1"].spec;
    desk.type = model::upstream_type::service;
    desk.serves = "desk";
    desk.repeatable = {{"GET", "/stock"}};
    auto& urgent = config->priorities["urgent"].spec;
    urgent.order = 0;
    urgent.first_token_target = std::chrono::milliseconds(400);
    config->priorities["batch"].spec.order = 2;
    config->priorities["normal"].spec.order = 1;
    auto& caller = config->callers["shop"].spec;
    caller.organisation = "perlefjord";
    caller.credential_sha256 = sha256_hex(sample_credential);
    caller.share = 2;
    caller.priorities = {"urgent", "batch"};
    return config;
}

} // namespace medlaryoke::fakes
