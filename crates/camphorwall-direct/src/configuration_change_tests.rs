use std::rc::Rc;

use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    configuration::{ColdLimits, Configuration, Route, Service, Team},
    configuration_change::ConfigurationChange,
    testing::{route, team},
};

fn random_route(number: u32, random: &mut impl Rng) -> Route {
    Route {
        priority: random.random_range(0..3),
        services: vec![("drafts".parse().expect("a name"), random.random_range(1..3))],
        is_open: random.random(),
        ..route(
            &format!("shop{}.example", number % 3),
            &format!("/p{number}/"),
        )
    }
}

fn random_configuration(version: u64, random: &mut impl Rng) -> Configuration {
    let mut routes = Vec::new();
    for number in 0..60 {
        if random.random_bool(0.7) {
            routes.push(Rc::new(random_route(number, random)));
        }
    }
    let teams: Vec<_> = (0..3).map(|_| Rc::new(team(100.0, 100.0))).collect();
    let key = |number: usize, random: &mut dyn Rng| {
        (
            format!("key-{number}").into(),
            Rc::clone(&teams[random.random_range(0..3)]),
        )
    };
    let keys = (0..4).filter(|_| random.random_bool(0.8));
    let keys: Vec<usize> = keys.collect();
    let keys = keys.into_iter().map(|number| key(number, random)).collect();
    Configuration {
        version,
        routes: routes.into_iter().collect(),
        services: [(
            "drafts".parse().expect("a name"),
            Service {
                engine: None,
                cold: Some(ColdLimits {
                    start_ms: 20_000,
                    requests_per_1000_s: 4_500,
                }),
            },
        )]
        .into(),
        has_teams: random.random(),
        keys,
        ..Configuration::default()
    }
}

/// Sends a change as bytes.
fn sent(change: &ConfigurationChange) -> ConfigurationChange {
    let bytes = postcard::to_stdvec(change).expect("bytes");
    postcard::from_bytes(&bytes).expect("a change")
}

#[test]
fn a_change_turns_any_configuration_into_any_other() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut base = Configuration::default();
    for version in 1..200 {
        let new = random_configuration(version, &mut random);
        let change = sent(&ConfigurationChange::between(&base, &new));
        base = change.apply(&base);
        assert_eq!(base, new);
    }
}

#[test]
fn a_change_of_one_route_among_thousands_is_small() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let routes: Vec<_> = (0..4_000)
        .map(|number| random_route(number, &mut random))
        .collect();
    let table = |routes: &[Route]| routes.iter().cloned().map(Rc::new).collect();
    let base = Configuration {
        version: 1,
        routes: table(&routes),
        ..Configuration::default()
    };
    let mut routes = routes;
    routes[17].timeout_ms += 1;
    let new = Configuration {
        version: 2,
        routes: table(&routes),
        ..Configuration::default()
    };
    let bytes = postcard::to_stdvec(&ConfigurationChange::between(&base, &new)).expect("bytes");
    assert!(bytes.len() < 200, "{} bytes", bytes.len());
}

#[test]
fn routes_that_stay_the_same_share_their_memory() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let base = random_configuration(1, &mut random);
    let change = ConfigurationChange::between(&base, &random_configuration(2, &mut random));
    let new = sent(&change).apply(&base);
    for route in new.routes.iter() {
        let earlier = base.routes.get(&route.host, &route.path_prefix);
        let earlier = earlier.filter(|earlier| *earlier == route);
        assert!(earlier.is_none_or(|earlier| Rc::ptr_eq(earlier, route)));
    }
}

#[test]
fn teams_with_one_name_keep_their_own_contracts() {
    let mut base = Configuration::default();
    let teams = [team(1.0, 1.0), team(2.0, 2.0)].map(Rc::<Team>::new);
    let new = Configuration {
        keys: [
            ("a".into(), Rc::clone(&teams[0])),
            ("b".into(), Rc::clone(&teams[1])),
        ]
        .into(),
        ..Configuration::default()
    };
    base = sent(&ConfigurationChange::between(&base, &new)).apply(&base);
    assert_eq!(base, new);
}
