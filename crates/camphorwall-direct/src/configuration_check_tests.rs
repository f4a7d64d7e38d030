use std::rc::Rc;

use rstest::rstest;

use crate::{
    configuration::{CallerLimits, ColdLimits, Configuration, Route, Service, Team},
    configuration_check::{
        Changes, ConfigurationDifferences, ConfigurationDocument, ConfigurationFinding, KeyChanges,
        Severity, check_configuration, compare_configurations,
    },
    contract::homes::AllowedRegions,
    names::RegionName,
    testing::{route, team},
};

fn document(routes: Vec<Route>, teams: Vec<(Team, &[&str])>) -> ConfigurationDocument {
    let routes: Vec<_> = routes.into_iter().map(Rc::new).collect();
    let keys = |keys: &[&str]| keys.iter().map(|key| Box::from(*key)).collect::<Vec<_>>();
    let teams: Vec<_> = teams
        .into_iter()
        .map(|(team, own)| (Rc::new(team), keys(own)))
        .collect();
    let mut configuration = Configuration {
        version: 2,
        routes: routes.iter().cloned().collect(),
        services: [("drafts".parse().expect("a name"), service(None))].into(),
        has_teams: !teams.is_empty(),
        ..Configuration::default()
    };
    for (team, keys) in &teams {
        let keys = keys.iter().cloned();
        configuration
            .keys
            .extend(keys.map(|key| (key, Rc::clone(team))));
    }
    ConfigurationDocument {
        configuration,
        routes,
        teams,
        errors: Vec::new(),
    }
}

fn service(cold: Option<ColdLimits>) -> Service {
    Service { engine: None, cold }
}

fn team_named(name: &str) -> Team {
    Team {
        name: name.parse().expect("a name"),
        ..team(100.0, 400.0)
    }
}

fn valid() -> ConfigurationDocument {
    let routes = vec![route("shop.example", "/a/"), route("shop.example", "/b/")];
    let teams: Vec<(Team, &[&str])> = vec![
        (team(100.0, 400.0), &["k1", "k2"]),
        (team_named("office"), &["k3"]),
    ];
    document(routes, teams)
}

fn messages(document: &ConfigurationDocument) -> Vec<String> {
    let findings = check_configuration(document, None);
    findings.iter().map(ToString::to_string).collect()
}

#[test]
fn a_document_without_faults_has_no_findings() {
    assert_eq!(messages(&valid()), [""; 0]);
}

/// Guards against contradictions of a route that are missed, and against findings for valid routes.
#[rstest]
#[case::valid(Route { ..base() }, None)]
#[case::target_of_the_timeout(Route { target_ms: 1_000, ..base() }, None)]
#[case::late_target(Route { target_ms: 1_001, ..base() }, Some((Severity::Warning, "target of 1001 ms above its timeout of 1000 ms")))]
#[case::no_target(Route { target_ms: 0, ..base() }, Some((Severity::Warning, "target of 0")))]
#[case::no_timeout(Route { timeout_ms: 0, target_ms: 0, ..base() }, Some((Severity::Error, "timeout of 0")))]
#[case::no_service(Route { services: Vec::new(), ..base() }, Some((Severity::Error, "has no service;")))]
#[case::no_weight(weighted(&[("drafts", 0)]), Some((Severity::Error, "no service of positive weight")))]
#[case::one_weight(weighted(&[("drafts", 0), ("drafts", 1)]), None)]
#[case::unknown_service(weighted(&[("drafts", 1), ("other", 1)]), Some((Severity::Warning, "service other, which the document lacks")))]
#[case::open_prefix(Route { path_prefix: "/a".into(), ..base() }, Some((Severity::Error, "slash at both ends")))]
#[case::relative_prefix(Route { path_prefix: "a/".into(), ..base() }, Some((Severity::Error, "slash at both ends")))]
fn contradictions_of_a_route_are_found(
    #[case] faulty: Route,
    #[case] expected: Option<(Severity, &str)>,
) {
    let document = document(vec![faulty, route("shop.example", "/b/")], Vec::new());
    let findings = check_configuration(&document, None);
    match (findings.as_slice(), expected) {
        ([], None) => {}
        ([finding], Some((severity, text))) => {
            assert_eq!(finding.severity(), severity);
            assert!(finding.to_string().contains(text), "{finding}");
        }
        (findings, expected) => panic!("{findings:?} instead of {expected:?}"),
    }
}

fn base() -> Route {
    route("shop.example", "/a/")
}

fn weighted(services: &[(&str, u32)]) -> Route {
    let services = services.iter();
    Route {
        services: services
            .map(|(name, weight)| (name.parse().expect("a name"), *weight))
            .collect(),
        ..base()
    }
}

/// Guards against a shadowed route that is missed, and against one that is reported of a longer prefix or another host.
#[test]
fn a_route_is_shadowed_only_by_one_with_its_host_and_prefix() {
    let named = |name: &str, host: &str, prefix: &str| Route {
        name: name.into(),
        ..route(host, prefix)
    };
    let routes = vec![
        named("first", "shop.example", "/a/"),
        named("longer", "shop.example", "/a/b/"),
        named("elsewhere", "mail.example", "/a/"),
        named("last", "shop.example", "/a/"),
    ];
    let expected = "route \"first\" (host \"shop.example\", path \"/a/\") gets no requests, since the later route \"last\" has its host and path; remove one";
    assert_eq!(messages(&document(routes, Vec::new())), [expected]);
}

#[test]
fn services_without_a_route_and_cold_rates_without_a_time_are_found() {
    let mut document = valid();
    let cold = |start_ms| {
        service(Some(ColdLimits {
            start_ms,
            requests_per_1000_s: 4_000,
        }))
    };
    let services = [
        ("drafts", cold(0)),
        ("idle", service(None)),
        ("spare", cold(1)),
    ];
    let services = services.map(|(name, service)| (name.parse().expect("a name"), service));
    document.configuration.services = services.into();
    let name = |name: &str| name.parse().expect("a name");
    assert_eq!(
        check_configuration(&document, None),
        [
            ConfigurationFinding::ColdRateWithoutTime(name("drafts")),
            ConfigurationFinding::UnusedService(name("idle")),
            ConfigurationFinding::UnusedService(name("spare")),
        ]
    );
}

/// Guards against counts that include keys of the team itself or keys that the document repeats within a team.
#[test]
fn keys_of_several_teams_are_counted_and_not_printed() {
    let unlimited = |name| Team {
        rate_per_s: None,
        ..team_named(name)
    };
    let teams: Vec<(Team, &[&str])> = vec![
        (unlimited("tills"), &["k1", "k1", "k2", "k3", "k4"]),
        (unlimited("office"), &["k2", "k5"]),
        (unlimited("mail"), &["k2", "k3", "k6", "k6"]),
    ];
    let document = document(vec![base()], teams);
    assert_eq!(
        messages(&document),
        [
            "team tills has keys that count for team mail, which has them too (keys: 2); remove them from one",
            "team office has keys that count for team mail, which has them too (keys: 1); remove them from one",
        ]
    );
}

#[rstest]
#[case::default_cost(200.0, 199.0, true, Some(200.0))]
#[case::enough(200.0, 200.0, true, None)]
#[case::no_burst(0.0, 1.0, true, Some(2.0))]
#[case::smallest(0.0, 2.0, true, None)]
#[case::requests(200.0, 1.0, false, None)]
fn a_burst_below_the_smallest_request_is_found(
    #[case] default_cost: f64,
    #[case] burst: f64,
    #[case] counts_tokens: bool,
    #[case] expected: Option<f64>,
) {
    let team = Team {
        counts_tokens,
        default_cost,
        ..team(10.0, burst)
    };
    let findings = check_configuration(&document(vec![base()], vec![(team, &["k1"])]), None);
    let costs: Vec<_> = findings
        .iter()
        .map(|finding| match finding {
            ConfigurationFinding::BurstBelowRequest { cost_tokens, .. } => Some(*cost_tokens),
            _ => None,
        })
        .collect();
    let expected: Vec<_> = expected.into_iter().map(Some).collect();
    assert_eq!(costs, expected);
}

/// Guards against a team whose requests on a route are all refused, since no region is allowed to both.
#[rstest]
#[case(&["north"], &["south"], false, 1)]
#[case(&["north"], &["north", "south"], false, 0)]
#[case(&["north"], &["south"], true, 0)]
fn a_route_and_a_team_without_a_common_region_are_found(
    #[case] of_route: &[&str],
    #[case] of_team: &[&str],
    #[case] is_open: bool,
    #[case] expected: usize,
) {
    let regions = |names: &[&str]| {
        AllowedRegions::only(names.iter().map(|name| RegionName::from(Box::from(*name))))
    };
    let homed_route = Route {
        allowed_regions: regions(of_route),
        is_open,
        ..route("shop.example", "/a/")
    };
    let homed_team = Team {
        allowed_regions: regions(of_team),
        ..team(100.0, 400.0)
    };
    let document = document(vec![homed_route], vec![(homed_team, &["k1"])]);
    assert_eq!(messages(&document).len(), expected);
}

#[rstest]
#[case(1_000, 999, 1)]
#[case(1_000, 1_000, 0)]
fn a_body_limit_below_the_head_limit_is_found(
    #[case] max_head_bytes: usize,
    #[case] max_body_bytes: usize,
    #[case] expected: usize,
) {
    let mut document = valid();
    document.configuration.limits = CallerLimits {
        max_head_bytes,
        max_body_bytes,
        ..CallerLimits::default()
    };
    assert_eq!(messages(&document).len(), expected);
}

/// Guards against a document that entries would ignore.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(3, 1)]
fn a_version_that_is_not_above_the_one_in_force_is_an_error(
    #[case] in_force_version: u64,
    #[case] expected: usize,
) {
    let mut in_force = valid();
    in_force.configuration.version = in_force_version;
    let findings = check_configuration(&valid(), Some(&in_force));
    let errors = findings.iter();
    let errors = errors.filter(|finding| finding.severity() == Severity::Error);
    assert_eq!(errors.count(), expected);
}

#[test]
fn a_part_that_cannot_be_read_is_an_error() {
    let mut document = valid();
    document.errors.push("routes[3], line 9: no kind".into());
    let findings = check_configuration(&document, None);
    let expected = ConfigurationFinding::Unreadable("routes[3], line 9: no kind".into());
    assert_eq!(findings, [expected]);
    assert_eq!(findings[0].severity(), Severity::Error);
}

#[test]
fn a_document_does_not_differ_from_itself() {
    let differences = compare_configurations(&valid(), &valid());
    assert_eq!(differences, ConfigurationDifferences::default());
    assert_eq!(differences.lines(), [""; 0]);
}

/// Guards against differences that are missed or reported for the wrong side.
#[test]
fn differences_are_told_by_kind() {
    let routes = vec![
        Route {
            timeout_ms: 900,
            ..route("shop.example", "/a/")
        },
        route("shop.example", "/c/"),
    ];
    let teams: Vec<(Team, &[&str])> = vec![
        (team(100.0, 500.0), &["k1", "k3", "k4", "k5"]),
        (team_named("mail"), &[]),
    ];
    let mut new = document(routes, teams);
    let services = [("orders".parse().expect("a name"), service(None))];
    new.configuration.services = services.into();
    new.configuration.limits.max_body_bytes = 5;
    new.configuration.has_teams = false;
    let differences = compare_configurations(&valid(), &new);
    let changes = |added: &str, removed: &str, changed: &str| {
        let names = |name: &str| {
            let name = Some(name.to_owned()).filter(|name| !name.is_empty());
            name.into_iter().collect()
        };
        Changes {
            added: names(added),
            removed: names(removed),
            changed: names(changed),
        }
    };
    let path = |prefix: &str| format!("\"shop.example\" \"{prefix}\"");
    assert_eq!(
        differences.routes,
        changes(&path("/c/"), &path("/b/"), &path("/a/"))
    );
    assert_eq!(differences.services, changes("orders", "drafts", ""));
    assert_eq!(differences.teams, changes("mail", "office", "tills"));
    let keys = KeyChanges {
        added: 2,
        removed: 1,
        moved: 1,
    };
    assert_eq!(differences.keys, keys);
    assert_eq!(
        differences.lines(),
        [
            "route \"shop.example\" \"/c/\" added",
            "route \"shop.example\" \"/b/\" removed",
            "route \"shop.example\" \"/a/\" changed",
            "service orders added",
            "service drafts removed",
            "team mail added",
            "team office removed",
            "team tills changed",
            "keys: 2 added, 1 removed, 1 moved to another team",
            "callers no longer need keys",
            "limits: head 16384 to 16384 bytes, body 4194304 to 5 bytes",
        ]
    );
}
