#pragma once

#include <string>
#include <string_view>

#include "policy/config_ledger.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// Parses a `PUT` or `DELETE` of one resource. The header `If-Match` holds the expected version,
/// and the optional headers `Medlaryoke-Author` and `Medlaryoke-Operation` hold the author and the
/// operation id.
/// @param request the request; the body of a `PUT` holds the specification
/// @param key kind and name of the resource, from the path
/// @return the change
/// @throws error of kind invalid_argument that names the invalid value and the remedy
policy::config_change parse_resource_request(const transport::http_request& request,
                                             const policy::resource_key& key);

/// Parses the body of `POST /v1/changes`, which changes several resources atomically:
/// `{"author", "operation_id", "items": [{"kind", "name", "expected_version",
/// "spec"|"deletion"}]}`.
/// @param body the JSON text
/// @return the change
/// @throws error of kind invalid_argument that names the invalid value and the remedy
policy::config_change parse_change_body(const std::string& body);

} // namespace medlaryoke::controllers
