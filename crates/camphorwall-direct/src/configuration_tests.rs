use std::rc::Rc;

use rstest::rstest;

use crate::configuration::{Configuration, Route, RouteKind};

fn route(host: &str, path_prefix: &str, services: &[(&str, u32)]) -> Rc<Route> {
    let services = services
        .iter()
        .map(|(name, weight)| (name.parse().expect("a name"), *weight));
    Rc::new(Route {
        name: path_prefix.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        wait_limit_ms: 1_000,
        target_ms: 100,
        priority: 1,
        services: services.collect(),
        max_attempts: 2,
        is_open: false,
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
    let configuration = Configuration {
        routes: vec![
            route("shop.example", "/a/", &[]),
            route("shop.example", "/a/b/", &[]),
        ],
        ..Configuration::default()
    };
    let found = configuration.route(host, path);
    assert_eq!(found.map(|route| &*route.path_prefix), expected);
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
