use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

use super::*;
use crate::{Item, Tokens};

const MAX_CHANGE_BYTES: usize = 2_000;
const TEAMS_AT_TARGET: u64 = 28_000;
const TEAMS_PER_DOCUMENT: u64 = 2_000;

fn document(name: &str, revision: u64, body: &Value) -> Document {
    Document {
        name: name.parse().unwrap(),
        revision: Revision(revision),
        body: serde_json::value::to_raw_value(body).unwrap(),
    }
}

fn contract(team: &str, burst_tokens: u64) -> Value {
    json!({"team": team, "rate_tokens_per_s": 10, "burst_tokens": burst_tokens, "routes": ["drafts"]})
}

fn contracts(revision: u64, all: &[Value]) -> Document {
    document("contracts", revision, &json!({"contracts": all}))
}

fn published(documents: &[Document]) -> Published {
    let mut published = Published::default();
    for document in documents {
        published.apply(document).unwrap();
    }
    published
}

fn burst(published: &Published, team: &str) -> Option<Tokens> {
    let contract = published.contracts.get(&team.parse().unwrap())?;
    Some(contract.burst_tokens)
}

/// Relays each document that `to` does not have in a newer revision, as a peer does that knows its revisions.
fn relay(from: &Published, to: &mut Published) {
    for (name, revision) in from.revisions() {
        let held = to.revision(name);
        if held > revision {
            continue;
        }
        let update = from.update(name, Some(held)).unwrap();
        let text = serde_json::to_string(&update).unwrap();
        if to
            .apply_update(&serde_json::from_str(&text).unwrap())
            .is_err()
        {
            to.apply_update(&from.update(name, None).unwrap()).unwrap();
        }
    }
}

#[rstest]
#[case::no_table(json!({}))]
#[case::unknown_table(json!({"contracts": [], "teams": []}))]
#[case::no_list(json!({"contracts": {}}))]
#[case::no_object(json!([]))]
fn a_document_of_the_wrong_form_is_refused_entirely(#[case] body: Value) {
    let mut published = published(&[contracts(1, &[contract("marousi", 5)])]);
    let error = published
        .apply(&document("contracts", 2, &body))
        .unwrap_err();
    assert!(
        error.to_string().contains("publish a higher revision"),
        "{error}"
    );
    assert_eq!(
        published.revision(&"contracts".parse().unwrap()),
        Revision(1)
    );
    assert_eq!(burst(&published, "marousi"), Some(Tokens(5)));
}

#[rstest]
#[case::wrong_type(json!({"team": "kifisia", "rate_tokens_per_s": "fast", "burst_tokens": 1, "routes": []}))]
#[case::unknown_field(json!({"team": "kifisia", "rate": 1}))]
#[case::weight_zero(
    json!({"team": "kifisia", "rate_tokens_per_s": 1, "burst_tokens": 1, "weight": 0, "routes": []})
)]
fn an_invalid_contract_keeps_its_previous_value_and_the_others_come_into_force(
    #[case] invalid: Value,
) {
    let before = contracts(1, &[contract("marousi", 5), contract("kifisia", 6)]);
    let after = contracts(
        2,
        &[invalid, contract("marousi", 7), contract("piraeus", 8)],
    );
    let published = published(&[before, after]);
    let bursts = ["marousi", "kifisia", "piraeus"].map(|team| burst(&published, team));
    assert_eq!(bursts, [Some(Tokens(7)), Some(Tokens(6)), Some(Tokens(8))]);
    let refused: Vec<_> = published.refused().collect();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.to_string(), "contracts/kifisia");
}

#[test]
fn an_invalid_key_is_not_accepted_and_does_not_delay_the_withdrawal_of_another() {
    let digest = KeyDigest::of_key;
    let key = |key: &str, team: &str| json!({"digest": digest(key), "team": team});
    let before = json!({"keys": [key("first", "marousi"), key("second", "marousi")]});
    let after = json!({"keys": [{"digest": digest("first"), "tem": "marousi"}]});
    let published = published(&[document("keys", 1, &before), document("keys", 2, &after)]);
    assert!(published.keys.is_empty());
    assert_eq!(published.refused().count(), 1);
}

#[test]
fn a_team_has_several_keys_and_the_first_of_two_items_with_one_identity_is_used() {
    let key = |key: &str, team: &str| json!({"digest": KeyDigest::of_key(key), "team": team});
    let keys = json!({"keys": [key("first", "marousi"), key("second", "marousi"), key("second", "kifisia")]});
    let other = json!({"keys": [key("first", "piraeus")]});
    let published = published(&[document("keys.2", 1, &other), document("keys", 1, &keys)]);
    let team = |key: &str| published.keys[&KeyDigest::of_key(key)].to_string();
    assert_eq!(
        (team("first"), team("second")),
        ("marousi".into(), "marousi".into())
    );
}

#[test]
fn the_most_specific_route_matches_whatever_the_order() {
    let route = |name: &str, path: &str| {
        json!({"route": name, "method": "GET", "path": path, "service": "s", "kind": "plain", "idempotent": true,
            "deadline_ms": 1})
    };
    let routes = [
        route("all", "/"),
        route("below", "/a/"),
        route("one", "/a/b"),
    ];
    let published = published(&[document("routes", 1, &json!({"routes": routes}))]);
    let found = |path| published.route("GET", path).unwrap().route.to_string();
    assert_eq!(
        [found("/a/b"), found("/a/c"), found("/d")],
        ["one", "below", "all"]
    );
}

#[test]
fn processes_that_saw_different_revisions_agree_on_a_refused_contract() {
    let invalid = json!({"team": "kifisia"});
    let revisions = [
        contracts(1, &[contract("kifisia", 1)]),
        contracts(2, &[contract("kifisia", 2)]),
        contracts(3, &[invalid]),
    ];
    let mut missed_second = published(&[revisions[0].clone(), revisions[2].clone()]);
    let mut only_third = published(&revisions[2..]);
    let complete = published(&revisions);
    for one in [&mut missed_second, &mut only_third] {
        assert_ne!(one.digest(), complete.digest());
        relay(&complete, one);
        assert_eq!(one.digest(), complete.digest());
        assert_eq!(burst(one, "kifisia"), Some(Tokens(2)));
    }
    let mut complete = complete;
    relay(&published(&revisions[..1]), &mut complete);
    assert_eq!(burst(&complete, "kifisia"), Some(Tokens(2)));
}

#[test]
fn the_update_for_one_change_among_28_000_teams_is_smaller_than_2_kb() {
    let body = |part: u64, changed: Option<u64>| {
        let teams = part * TEAMS_PER_DOCUMENT..(part + 1) * TEAMS_PER_DOCUMENT;
        let burst = |team| if changed == Some(team) { 7 } else { 5 };
        let all: Vec<_> = teams
            .map(|team| contract(&format!("team-{team}"), burst(team)))
            .collect();
        json!({"contracts": all})
    };
    let name = |part| format!("contracts.{part}");
    let mut leader = Published::default();
    for part in 0..TEAMS_AT_TARGET / TEAMS_PER_DOCUMENT {
        leader
            .apply(&document(&name(part), part + 1, &body(part, None)))
            .unwrap();
    }
    let mut follower = Published::default();
    relay(&leader, &mut follower);
    assert_eq!(follower.contracts.len(), 28_000);
    leader
        .apply(&document(&name(3), 100, &body(3, Some(6_789))))
        .unwrap();
    let update = leader
        .update(&name(3).parse().unwrap(), Some(Revision(4)))
        .unwrap();
    let text = serde_json::to_string(&update).unwrap();
    println!("{} bytes for one change", text.len());
    assert!(text.len() < MAX_CHANGE_BYTES, "{}", text.len());
    assert_eq!(follower.apply_update(&update), Ok(true));
    assert_eq!(follower.digest(), leader.digest());
    assert_eq!(burst(&follower, "team-6789"), Some(Tokens(7)));
}

#[test]
fn an_update_that_was_altered_in_transit_is_refused() {
    let mut leader = published(&[contracts(1, &[contract("marousi", 1)])]);
    let mut follower = Published::default();
    relay(&leader, &mut follower);
    leader
        .apply(&contracts(2, &[contract("marousi", 2)]))
        .unwrap();
    let mut update = leader
        .update(&"contracts".parse().unwrap(), Some(Revision(1)))
        .unwrap();
    let item = serde_json::value::to_raw_value(&contract("marousi", 9)).unwrap();
    update.items.insert("contracts".into(), vec![item]);
    assert!(follower.apply_update(&update).is_err());
    assert_eq!(burst(&follower, "marousi"), Some(Tokens(1)));
}

#[test]
fn each_kind_of_item_is_relayed_unchanged() {
    let all = [
        ("contracts", json!({"contracts": [contract("marousi", 1)]})),
        (
            "data_centres",
            json!({
                "data_centres": [{"data_centre": "a", "region": "r", "budget_weight": 1}],
                "links": [{"from": "a", "to": "b", "rate_bytes_per_s": 1, "delay_us": 2}],
            }),
        ),
        (
            "instances",
            json!({"instances": [
                {"instance": "e", "role": "entry", "data_centre": "a", "peer_address": "10.0.0.1:1"},
            ]}),
        ),
        (
            "keys",
            json!({"keys": [{"digest": KeyDigest::of_key("k"), "team": "marousi"}]}),
        ),
        (
            "routes",
            json!({"routes": [{"route": "r", "method": "GET", "path": "/", "service": "s", "kind": "plain",
            "idempotent": true, "deadline_ms": 1}]}),
        ),
        ("services", json!({"services": [{"service": "s"}]})),
        (
            "deployments",
            json!({"deployments": [{"instance": "i", "engine_role": "decode", "model": "m", "version": "1"}]}),
        ),
    ];
    let documents: Vec<_> = all
        .iter()
        .map(|(name, body)| document(name, 1, body))
        .collect();
    let leader = published(&documents);
    assert_eq!(leader.refused().collect::<Vec<_>>(), []);
    let mut follower = Published::default();
    relay(&leader, &mut follower);
    assert_eq!(follower.digest(), leader.digest());
    assert_eq!(follower.links, leader.links);
    assert!(
        matches!(leader.update(&"keys".parse().unwrap(), None), Some(update) if update.items.len() == 1)
    );
    assert!(Item::parse("none", &documents[0].body).is_err());
}

/// Contracts of up to six teams; some are invalid.
fn any_contracts() -> impl Strategy<Value = Vec<Value>> {
    let any_contract = (0..6_u8, 0..4_u64).prop_map(|(team, burst_tokens)| {
        let team = format!("team-{team}");
        if burst_tokens == 0 {
            json!({"team": team})
        } else {
            contract(&team, burst_tokens)
        }
    });
    prop::collection::vec(any_contract, 0..8)
}

proptest! {
    #[test]
    fn followers_that_query_at_any_time_end_with_the_content_of_the_leader(
        history in prop::collection::vec(any_contracts(), 1..12), queries in prop::collection::vec(any::<bool>(), 12),
    ) {
        let (mut leader, mut follower, mut reader) =
            (Published::default(), Published::default(), Published::default());
        for (number, all) in history.iter().enumerate() {
            let document = contracts(number as u64 + 1, all);
            leader.apply(&document).unwrap();
            if queries[number] {
                relay(&leader, &mut follower);
                prop_assert_eq!(follower.digest(), leader.digest());
            } else {
                reader.apply(&document).unwrap();
            }
        }
        relay(&leader, &mut follower);
        relay(&leader, &mut reader);
        prop_assert_eq!(follower.digest(), leader.digest());
        prop_assert_eq!(&follower.contracts, &leader.contracts);
        prop_assert_eq!(&reader.contracts, &leader.contracts);
    }

    #[test]
    fn any_update_is_applied_or_refused_without_a_change(
        revision in 0..4_u64, from in prop::option::of(0..3_u64), table in "contracts|keys|[a-z]{1,5}", garbage in "[ -~]{0,40}",
    ) {
        let mut held = published(&[contracts(2, &[contract("marousi", 5)])]);
        let before = held.digest();
        let update = json!({
            "name": "contracts", "revision": revision, "from": from, "items": {table: [garbage.clone()]},
            "removed": [garbage.clone()], "refused": {garbage.clone(): garbage}, "digest": 7,
        });
        if let Ok(update) = serde_json::from_value::<DocumentUpdate>(update) {
            let applied = held.apply_update(&update);
            prop_assert!(applied == Ok(true) || held.digest() == before);
            prop_assert!(held.revision(&"contracts".parse().unwrap()) >= Revision(2));
        }
    }
}
