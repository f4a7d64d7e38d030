use std::rc::Rc;

use rstest::rstest;

use crate::{
    configuration::{Configuration, Endpoint, Route, Stage, Team},
    contract::homes::{AllowedRegions, HomesFaults, RequestHomes, check_homes},
    endpoints::registry::{Closure, Registry},
    names::RegionName,
    testing::{at_ms, endpoint, entry_with_empty_dialect, route, team},
};

fn region(name: &str) -> RegionName {
    name.parse().expect("a name")
}

/// Allowed regions by their names; any without a list.
fn homes(names: Option<&[&str]>) -> AllowedRegions {
    names.map_or_else(AllowedRegions::any, |names| {
        AllowedRegions::only(names.iter().map(|name| region(name)))
    })
}

fn homed_route(names: Option<&[&str]>) -> Rc<Route> {
    Rc::new(Route {
        allowed_regions: homes(names),
        ..route("shop.example", "/a/")
    })
}

fn homed_team(names: Option<&[&str]>) -> Rc<Team> {
    Rc::new(Team {
        allowed_regions: homes(names),
        ..team(100.0, 100.0)
    })
}

fn configuration(version: u64, route: &Rc<Route>, team: &Rc<Team>) -> Configuration {
    Configuration {
        version,
        routes: [Rc::clone(route)].into_iter().collect(),
        has_teams: true,
        keys: [("key-1".into(), Rc::clone(team))].into(),
        ..Configuration::default()
    }
}

/// Guards against a request that is served where only its route, or only its team, allows it.
#[rstest]
#[case::neither(None, None, &["eu", "us", "unknown"])]
#[case::route(Some(&["eu"][..]), None, &["eu"])]
#[case::team(None, Some(&["us"][..]), &["us"])]
#[case::both(Some(&["eu", "us"][..]), Some(&["us", "asia"][..]), &["us"])]
#[case::no_region_in_common(Some(&["eu"][..]), Some(&["us"][..]), &[])]
#[case::an_empty_list(Some(&[][..]), None, &[])]
fn both_route_and_team_apply(
    #[case] route: Option<&[&str]>,
    #[case] team: Option<&[&str]>,
    #[case] allowed: &[&str],
) {
    let team = ("key-1".into(), homed_team(team));
    let homes = RequestHomes::new(homed_route(route), Some(team));
    let by_homes = homes.by(None);
    for name in ["eu", "us", "unknown"] {
        let is_allowed = allowed.contains(&name);
        assert_eq!(by_homes.permits(Some(&region(name))), is_allowed, "{name}");
    }
    // A data centre whose region is not known is in none of a list.
    assert_eq!(by_homes.permits(None), !by_homes.is_restricted());
}

/// Guards against a waiting request that is served by the homes of the configuration with which it was admitted.
#[test]
fn a_request_follows_the_newest_configuration() {
    let (route, team) = (homed_route(None), homed_team(Some(&["eu", "us"])));
    let homes = RequestHomes::new(Rc::clone(&route), Some(("key-1".into(), Rc::clone(&team))));
    let mut registry = Registry::default();
    let eu = region("eu");
    let is_allowed = |registry: &Registry| homes.allowed(registry).permits(Some(&eu));
    assert!(is_allowed(&registry));
    registry.apply_configuration(configuration(1, &route, &team), 3);
    assert!(is_allowed(&registry));
    registry.apply_configuration(configuration(2, &homed_route(Some(&["us"])), &team), 5);
    assert!(!is_allowed(&registry));
    registry.apply_configuration(configuration(3, &route, &homed_team(Some(&["us"]))), 7);
    assert!(!is_allowed(&registry));
    // The same version, written again.
    registry.apply_configuration(configuration(3, &route, &team), 9);
    assert!(is_allowed(&registry));
}

/// Guards against homes that are lost with a route or key that a newer configuration lacks or that can't be read in it.
#[test]
fn homes_outlast_their_route_and_key() {
    let (route, team) = (homed_route(Some(&["eu"])), homed_team(Some(&["us"])));
    let of_route = RequestHomes::new(Rc::clone(&route), None);
    let of_team = RequestHomes::new(homed_route(None), Some(("key-1".into(), team)));
    let without = Configuration::default();
    let unreadable = Rc::new(Route {
        services: Vec::new(),
        ..Route::clone(&homed_route(None))
    });
    let with_unreadable = Configuration {
        routes: [unreadable].into_iter().collect(),
        ..Configuration::default()
    };
    for newest in [&without, &with_unreadable] {
        assert_eq!(of_route.by(Some(newest)), homes(Some(&["eu"])));
        assert_eq!(of_team.by(Some(newest)), homes(Some(&["us"])));
    }
}

fn in_centre(id: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        data_centre: data_centre.parse().expect("a name"),
        ..endpoint(id, Stage::Whole)
    }
}

/// Guards against a request that waits, or gets a wrong cause, when no endpoint may take it.
#[test]
fn a_service_is_closed_to_a_request_without_an_endpoint_at_home() {
    let mut registry = Registry::default();
    let service = in_centre("n", "north").service;
    let closure = |registry: &Registry, home: &str| {
        let is_home = |name: &crate::names::DataCentreName| name.as_str() == home;
        registry.closure(&service, Stage::Whole, is_home, at_ms(0))
    };
    assert_eq!(closure(&registry, "north"), None);
    registry.register(in_centre("n", "north"), 1);
    assert_eq!(closure(&registry, "north"), None);
    assert_eq!(closure(&registry, "south"), Some(Closure::OutsideHomes));
    let north = "north".parse().expect("a name");
    registry.evacuations.apply(&north, true, 2, at_ms(0));
    let evacuated = Closure::Evacuated(std::time::Duration::ZERO);
    assert_eq!(closure(&registry, "north"), Some(evacuated));
    registry.register(in_centre("s", "south"), 3);
    assert_eq!(closure(&registry, "south"), None);
    assert_eq!(closure(&registry, "north"), Some(evacuated));
}

/// Guards against requests with homes that are served in a region that the settings don't know.
#[rstest]
#[case::own_region(Some(&["here"][..]), None)]
#[case::none_known(Some(&["elsewhere"][..]), Some(Closure::NoRegion))]
#[case::one_known(Some(&["elsewhere", "there"][..]), Some(Closure::OutsideHomes))]
#[case::without_homes(None, None)]
fn a_region_that_the_settings_lack_is_none(
    #[case] names: Option<&[&str]>,
    #[case] expected: Option<Closure>,
) {
    let entry = entry_with_empty_dialect();
    let mut settings = (*entry.settings()).clone();
    settings.region = Some(region("here"));
    settings.data_centres = Some([("south".parse().expect("a name"), region("there"))].into());
    entry.replace_settings(settings);
    // The entry's own data centre, which the table lacks.
    let north = in_centre("n", "north");
    entry.registry.borrow_mut().register(north.clone(), 1);
    let homes = RequestHomes::new(homed_route(names), None);
    let closure = entry.closure(&north.service, Stage::Whole, &homes);
    assert_eq!(closure, expected);
    assert_eq!(entry.may_send(&north, &homes), expected.is_none());
}

/// Guards against homes that can never be met and that no operator hears of.
#[test]
fn a_check_names_unknown_regions_and_homes_without_a_region_in_common() {
    let route = homed_route(Some(&["eu", "atlantis"]));
    let open = Rc::new(Route {
        is_open: true,
        path_prefix: "/open/".into(),
        ..Route::clone(&homed_route(Some(&["eu"])))
    });
    let mut checked = configuration(1, &route, &homed_team(Some(&["us"])));
    checked.routes = [route, open].into_iter().collect();
    let faults = check_homes(&checked, |region| region.as_str() != "atlantis");
    let expected = HomesFaults {
        unknown: vec![(region("atlantis"), "route /a/".into())],
        disjoint: vec![("route /a/".into(), "team tills".into())],
    };
    assert_eq!(faults, expected);
    let fine = configuration(1, &homed_route(None), &homed_team(None));
    assert_eq!(check_homes(&fine, |_| false), HomesFaults::default());
}

/// Guards against logs that fill up because each of thousands of routes names an unknown region.
#[test]
fn a_check_names_a_few_faults_of_many() {
    let routes = (0..1_000).map(|number| {
        Rc::new(Route {
            path_prefix: format!("/{number}/").into(),
            allowed_regions: AllowedRegions::only([region(&format!("r{number}"))]),
            ..route("shop.example", "/")
        })
    });
    let mut checked = configuration(1, &homed_route(None), &homed_team(Some(&["us"])));
    checked.routes = routes.collect();
    let faults = check_homes(&checked, |_| false);
    assert_eq!((faults.unknown.len(), faults.disjoint.len()), (8, 8));
}
