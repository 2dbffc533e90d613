#pragma once

#include <string>
#include <string_view>

#include "policy/config_ledger.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// Parses the change in a `PUT` or `DELETE` of one resource. The headers are `If-Match`,
/// `Medlaryoke-Author` and `Medlaryoke-Operation`.
/// @param request the request; the body of a `PUT` is the specification
/// @param key the resource in the path
/// @return the change
/// @throws error of kind invalid_argument that names the value and the remedy
policy::config_change parse_resource_request(const transport::http_request& request,
                                             const policy::resource_key& key);

/// Parses the body of `POST /v1/changes`:
/// `{"author", "operation_id", "items": [{"kind", "name", "expected_version",
/// "spec"|"deletion"}]}`.
/// @param body the JSON text
/// @return the change
/// @throws error of kind invalid_argument that names the value and the remedy
policy::config_change parse_change_body(const std::string& body);

} // namespace medlaryoke::controllers
