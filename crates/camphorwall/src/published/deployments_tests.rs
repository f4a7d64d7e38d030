use rstest::rstest;
use serde_json::{Value, json};

use super::*;
use crate::{Document, cross_check};

fn document(name: &str, revision: u64, body: &Value) -> Document {
    Document {
        name: name.parse().unwrap(),
        revision: Revision(revision),
        body: serde_json::value::to_raw_value(body).unwrap(),
    }
}

fn of_service(version: &str) -> Value {
    json!({"service": "s", "engine_role": "decode", "model": "m", "version": version})
}

fn of_instance(model: &str) -> Value {
    json!({"instance": "i", "engine_role": "prefill", "model": model, "version": "9"})
}

fn published(deployments: &[Value]) -> Published {
    let mut published = Published::default();
    let endpoint = json!({"instance": "i", "role": "endpoint", "data_centre": "a", "peer_address": "10.0.0.1:1",
        "service": "s", "engine_role": "decode"});
    let all = [
        ("instances", json!({"instances": [endpoint]})),
        (
            "services",
            json!({"services": [{"service": "s", "model": "m"}]}),
        ),
        ("deployments", json!({"deployments": deployments})),
    ];
    for (name, body) in all {
        published.apply(&document(name, 3, &body)).unwrap();
    }
    published
}

fn version(published: &Published) -> Option<String> {
    let (instance, service) = ("i".parse().unwrap(), "s".parse().unwrap());
    let found = published.deployment(&instance, &service, EngineRole::Decode)?;
    Some(found.version.to_string())
}

#[test]
fn the_deployment_of_an_instance_overrides_that_of_its_service() {
    assert_eq!(version(&published(&[])), None);
    let shared = published(&[of_service("1")]);
    assert_eq!(version(&shared).as_deref(), Some("1"));
    let own = published(&[of_service("1"), of_instance("m")]);
    assert_eq!(version(&own).as_deref(), Some("9"));
}

#[rstest]
#[case::none(&[], Some(EngineRole::Decode))]
#[case::service(&[of_service("1")], Some(EngineRole::Decode))]
#[case::other_role(&[of_instance("m")], Some(EngineRole::Prefill))]
#[case::other_model(&[of_instance("n")], None)]
fn the_deployment_decides_which_work_an_endpoint_is_offered(
    #[case] deployments: &[Value],
    #[case] offered: Option<EngineRole>,
) {
    let published = published(deployments);
    let instance = published.instances.values().next().unwrap();
    assert_eq!(published.offered_role(instance), offered);
}

#[test]
fn the_fencing_number_rises_with_each_document_and_never_falls() {
    let mut published = published(&[of_service("1")]);
    assert_eq!(published.deployments_revision(), Revision(3));
    let second = json!({"deployments": [of_instance("m")]});
    let second = document("deployments.1", 1, &second);
    published.apply(&second).unwrap();
    assert_eq!(published.deployments_revision(), Revision(4));
    let old = json!({"deployments": [of_service("0")]});
    published.apply(&document("deployments", 2, &old)).unwrap();
    assert_eq!(published.deployments_revision(), Revision(4));
    assert_eq!(version(&published).as_deref(), Some("9"));
}

#[rstest]
#[case::both(json!({"instance": "i", "service": "s", "engine_role": "decode", "model": "m", "version": "1"}))]
#[case::neither(json!({"engine_role": "decode", "model": "m", "version": "1"}))]
#[case::plain(json!({"instance": "i", "engine_role": "plain", "model": "m", "version": "1"}))]
#[case::no_store(json!({"instance": "i", "engine_role": "decode", "model": "m", "version": "1", "load_cost_tokens": 1}))]
fn an_invalid_deployment_is_refused_and_the_others_come_into_force(#[case] invalid: Value) {
    let published = published(&[invalid, of_service("1")]);
    assert_eq!(published.refused().count(), 1);
    assert_eq!(version(&published).as_deref(), Some("1"));
}

#[test]
fn the_cross_check_finds_probable_mistakes_in_deployments() {
    let mut unknown_instance = of_instance("n");
    unknown_instance["instance"] = json!("nobody");
    unknown_instance["weight_store"] = json!("store");
    unknown_instance["load_cost_tokens"] = json!(5);
    let mut other_model = of_instance("n");
    other_model["version"] = json!("2");
    let findings = cross_check(&published(&[
        unknown_instance,
        other_model,
        of_service("1"),
    ]));
    let of_deployments = findings
        .iter()
        .filter(|one| one.item.starts_with("deployments/"));
    let found: Vec<_> = of_deployments
        .map(|one| (one.item.as_str(), one.field))
        .collect();
    let expected = [
        ("deployments/i", "model"),
        ("deployments/nobody", "instance"),
        ("deployments/nobody", "weight_store"),
        ("deployments/s/decode", "engine_role"),
    ];
    assert_eq!(found, expected);
}
