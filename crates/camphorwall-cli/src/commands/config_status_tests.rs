use super::*;

fn status(instance: &str, contracts: u64) -> Status {
    let refused = if contracts == 7 {
        "{\"contracts contracts/kifisia\": \"field weight: 0\"}"
    } else {
        "{}"
    };
    let text = format!(
        r#"{{"instance": "{instance}", "role": "entry", "data_centre": "marousi", "ready": true, "requests": 0,
            "revisions": {{"contracts": {contracts}}}, "refused_documents": {refused}, "reads_configuration": true,
            "configuration_confirmed_ago_ms": 1500}}"#
    );
    serde_json::from_str(&text).unwrap()
}

#[test]
fn an_instance_that_is_behind_and_a_refused_item_are_shown() {
    let unreachable = BTreeMap::from([(
        "127.0.0.1:9".parse().unwrap(),
        "127.0.0.1:9: not reachable".into(),
    )]);
    let text = describe(&compare(
        vec![status("entry-1", 7), status("entry-2", 6)],
        unreachable,
    ));
    let expected = "\
entry-1: reads the service, confirmed by the service 1.5s ago
    contracts        revision 7
    contracts contracts/kifisia refused: field weight: 0
entry-2: reads the service, confirmed by the service 1.5s ago
    contracts        revision 6  behind
127.0.0.1:9: not reachable";
    assert_eq!(text, expected);
}
