use camphorwall::{Document, Revision};
use rstest::rstest;
use serde_json::json;

use super::*;

struct Fleet {
    published: Published,
    sources: BTreeMap<InstanceId, Sources>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, u8::try_from(number / 250).unwrap(), 1],
        7_000 + u16::try_from(number % 250).unwrap(),
    ))
}

/// A fleet of entries and endpoint daemons, spread evenly over data centres.
fn fleet(data_centres: usize, entries: usize, endpoints: usize, now: Instant) -> Fleet {
    let mut published = Published::default();
    let mut sources = BTreeMap::new();
    let mut instances = Vec::new();
    for number in 0..entries + endpoints {
        let is_entry = number < entries;
        let role = if is_entry {
            InstanceRole::Entry
        } else {
            InstanceRole::Endpoint
        };
        let data_centre: DataCentreId = format!("dc-{}", number % data_centres).parse().unwrap();
        let name: InstanceId = format!("instance-{number}").parse().unwrap();
        let mut instance = json!({
            "instance": name, "role": role, "data_centre": data_centre, "peer_address": address(number),
        });
        if !is_entry {
            instance["service"] = json!("llm");
            instance["engine_role"] = json!("decode");
        }
        instances.push(instance);
        sources.insert(
            name.clone(),
            Sources::new(name, data_centre, role, Vec::new(), now),
        );
    }
    let body = serde_json::value::to_raw_value(&json!({"instances": instances})).unwrap();
    let name = "instances".parse().unwrap();
    published
        .apply(&Document {
            name,
            revision: Revision(1),
            body,
        })
        .unwrap();
    Fleet { published, sources }
}

impl Fleet {
    fn plans(&self, now: Instant) -> BTreeMap<&InstanceId, Plan> {
        let plan = |(name, sources)| (name, Sources::plan(sources, &self.published, now));
        self.sources.iter().map(plan).collect()
    }

    fn readers(&self, now: Instant) -> Vec<&InstanceId> {
        let plans = self.plans(now).into_iter();
        plans
            .filter(|(_, plan)| plan.reads_service)
            .map(|(name, _)| name)
            .collect()
    }

    fn address_of(&self, name: &InstanceId) -> SocketAddr {
        self.published.instances[name].peer_address
    }
}

#[rstest]
#[case(1, 2)]
#[case(1, 17)]
#[case(1, 60)]
#[case(3, 6)]
#[case(7, 70)]
#[case(21, 350)]
fn the_number_of_readers_depends_on_the_data_centres_and_not_on_the_fleet(
    #[case] data_centres: usize,
    #[case] entries: usize,
) {
    let now = Instant::now();
    let fleet = fleet(data_centres, entries, 4 * entries, now);
    assert_eq!(fleet.readers(now).len(), READERS * data_centres);
}

#[test]
fn no_process_has_more_than_forty_followers_at_the_target_size() {
    let now = Instant::now();
    let fleet = fleet(21, 350, 2_800, now);
    let mut followers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for plan in fleet.plans(now).into_values() {
        assert!(plan.peers.len() <= 4);
        for peer in plan.peers {
            *followers.entry(peer).or_default() += 1;
        }
    }
    let maximum = followers.values().max().unwrap();
    println!("maximum followers {maximum}");
    assert!(*maximum <= 40, "{maximum}");
}

#[test]
fn another_entry_reads_while_a_reader_does_not_answer() {
    let now = Instant::now();
    let mut fleet = fleet(1, 10, 0, now);
    let dead = fleet.readers(now)[0].clone();
    let dead_address = fleet.address_of(&dead);
    let survivors: Vec<_> = fleet
        .sources
        .keys()
        .filter(|name| **name != dead)
        .cloned()
        .collect();
    for name in &survivors {
        fleet
            .sources
            .get_mut(name)
            .unwrap()
            .note_failure(dead_address, now);
    }
    let mut readers = fleet.readers(now);
    readers.retain(|name| **name != dead);
    assert_eq!(readers.len(), READERS);
    let later = now + PROBE_PERIOD;
    for name in &survivors {
        assert!(
            fleet.plans(later)[name].peers.contains(&dead_address),
            "the failed reader is probed"
        );
        let sources = fleet.sources.get_mut(name).unwrap();
        sources.note_answer(dead_address, Some(Duration::ZERO), later);
    }
    assert_eq!(fleet.readers(later).len(), READERS);
}

#[test]
fn two_more_entries_read_while_the_readers_cannot_reach_the_service() {
    let now = Instant::now();
    let mut fleet = fleet(1, 10, 0, now);
    let readers = fleet.readers(now).into_iter();
    let readers: Vec<_> = readers.map(|name| fleet.address_of(name)).collect();
    let mut note = |read_ago, now| {
        for sources in fleet.sources.values_mut() {
            for reader in &readers {
                sources.note_answer(*reader, read_ago, now);
            }
        }
        fleet.readers(now).len()
    };
    assert_eq!(note(Some(STALENESS_LIMIT), now), READERS);
    assert_eq!(
        note(Some(2 * STALENESS_LIMIT), now + STALENESS_LIMIT),
        2 * READERS
    );
    assert_eq!(note(Some(Duration::ZERO), now + STALENESS_LIMIT), READERS);
}

#[test]
fn without_a_published_list_an_entry_reads_the_service_and_all_follow_their_seeds() {
    let now = Instant::now();
    let (name, data_centre): (InstanceId, DataCentreId) =
        ("new".parse().unwrap(), "dc-0".parse().unwrap());
    let seeds = vec![address(1), address(2)];
    let published = Published::default();
    let entry = Sources::new(
        name.clone(),
        data_centre.clone(),
        InstanceRole::Entry,
        seeds.clone(),
        now,
    );
    assert_eq!(
        entry.plan(&published, now),
        Plan {
            reads_service: true,
            peers: seeds.clone()
        }
    );
    let daemon = Sources::new(
        name,
        data_centre,
        InstanceRole::Endpoint,
        seeds.clone(),
        now,
    );
    assert_eq!(
        daemon.plan(&published, now),
        Plan {
            reads_service: false,
            peers: seeds
        }
    );
}

#[test]
fn readers_follow_the_entries_of_other_data_centres_in_rotation() {
    let now = Instant::now();
    let fleet = fleet(3, 6, 0, now);
    let reader = fleet.readers(now)[0].clone();
    let mut followed = std::collections::BTreeSet::new();
    for rotation in 0..4 {
        let plan = &fleet.plans(now + rotation * ROTATION_PERIOD)[&reader];
        followed.extend(plan.peers.iter().copied());
    }
    let local = &fleet.published.instances[&reader].data_centre;
    let far = fleet
        .published
        .instances
        .values()
        .filter(|one| one.data_centre != *local);
    assert!(
        far.into_iter()
            .all(|one| followed.contains(&one.peer_address))
    );
}

#[test]
fn an_endpoint_daemon_that_reaches_no_listed_entry_follows_one_that_queries_it() {
    let now = Instant::now();
    let mut fleet = fleet(1, 2, 3, now);
    let daemon: InstanceId = "instance-4".parse().unwrap();
    let sources = fleet.sources.get_mut(&daemon).unwrap();
    sources.note_failure(address(0), now);
    sources.note_failure(address(1), now);
    assert_eq!(
        sources.plan(&fleet.published, now).peers.len(),
        2,
        "it follows both other daemons"
    );
    sources.note_entry_query(address(99));
    assert!(
        sources
            .plan(&fleet.published, now)
            .peers
            .contains(&address(99))
    );
}
