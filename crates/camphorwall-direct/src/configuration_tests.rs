use std::rc::Rc;

use rstest::rstest;

use crate::{configuration::Route, route_table::RouteTable, testing};

fn route(host: &str, path_prefix: &str, services: &[(&str, u32)]) -> Rc<Route> {
    let services = services
        .iter()
        .map(|(name, weight)| (name.parse().expect("a name"), *weight));
    Rc::new(Route {
        services: services.collect(),
        ..testing::route(host, path_prefix)
    })
}

#[rstest]
#[case("shop.example", "/a/b/c", Some("/a/b/"))]
#[case("SHOP.example", "/a/x", Some("/a/"))]
#[case("shop.example", "/a", None)]
#[case("shop.example", "/ab/", None)]
#[case("other.example", "/a/b/c", None)]
fn of_the_routes_of_a_host_the_longest_matching_prefix_is_selected(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = [
        route("shop.example", "/a/", &[]),
        route("shop.example", "/a/b/", &[]),
    ];
    let found = RouteTable::from_iter(routes).find(host, path).cloned();
    assert_eq!(found.as_ref().map(|route| &*route.path_prefix), expected);
}

#[rstest]
#[case(0.0, "old")]
#[case(0.89, "old")]
#[case(0.91, "new")]
#[case(1.0, "new")]
fn services_are_picked_by_weight(#[case] point: f64, #[case] expected: &str) {
    let route = route("shop.example", "/", &[("old", 90), ("new", 10)]);
    let service = route.service(point).expect("a service");
    assert_eq!(service.as_str(), expected);
}

#[test]
fn a_service_of_weight_zero_is_not_picked_if_another_has_weight() {
    let route = route("shop.example", "/", &[("gone", 0), ("only", 5)]);
    let service = route.service(0.0).expect("a service");
    assert_eq!(service.as_str(), "only");
}

#[test]
fn of_routes_with_one_host_and_prefix_the_last_one_is_in_force() {
    let routes = [
        route("shop.example", "/a/", &[("old", 1)]),
        route("shop.example", "/a/", &[("new", 1)]),
        route("shop.example", "/b/", &[]),
    ];
    let table = RouteTable::from_iter(routes);
    let found = table.find("shop.example", "/a/x").expect("a route");
    assert_eq!(found.services[0].0.as_str(), "new");
    assert_eq!(table.iter().count(), 2);
}
