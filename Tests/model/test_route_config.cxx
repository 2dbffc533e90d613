#include "model/route_config.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke::model;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    return result;
}

/// Reference implementation that compares every route.
const route* find_by_full_search(const std::vector<route>& routes, std::string_view host,
                                 std::string_view path)
{
    const route* best = nullptr;
    for (const auto& it : routes) {
        if (it.host == host && path.starts_with(it.path_prefix) &&
            (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
            best = &it;
        }
    }
    return best;
}

} // namespace

// Guards against a request being sent to the route of a shorter prefix or of another host.
Test(route_table, finds_the_longest_prefix_like_a_full_search)
{
    const std::vector<route> routes{
        make_route("root", "a.example", "/"),
        make_route("one", "a.example", "/x/"),
        make_route("deep", "a.example", "/x/y/z/"),
        make_route("other", "b.example", "/x/y/"),
    };
    const route_table table(routes);
    for (const std::string host : {"a.example", "b.example", "c.example"}) {
        for (const std::string path : {"/", "/x", "/x/", "/x/1", "/x/y/", "/x/y/z", "/x/y/z/",
                                       "/x/y/z/1/2", "/xx/", "//", "", "x/"}) {
            cr_assert(table.find(host, path) == find_by_full_search(routes, host, path), "%s%s",
                      host.c_str(), path.c_str());
        }
    }
}

// Guards against a Host header that matches no route because of its case or its port.
Test(route_table, ignores_case_and_port_of_the_host)
{
    const std::vector<route> routes{make_route("one", "Shop.Example", "/")};
    const route_table table(routes);
    cr_assert(table.find("shop.example:8080", "/a") == &routes.front());
    cr_assert(table.find("SHOP.EXAMPLE", "/a") == &routes.front());
}
