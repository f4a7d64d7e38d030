use camphorwall::{EngineRole, EngineSetup, Revision};

use super::*;

#[test]
fn desired_and_running_setup_are_both_shown() {
    let setup = |version: &str| EngineSetup {
        model: "ledger-1".parse().unwrap(),
        adapter: None,
        version: version.parse().unwrap(),
        engine_role: EngineRole::Decode,
    };
    let lines = describe_deployment(&DeploymentStatus {
        revision: Revision(7),
        wanted: setup("v2"),
        running: Some(setup("v1")),
        ordered_revision: None,
        closed: Some("the engine loads".into()),
    });
    let expected = [
        "engine wanted ledger-1 v2 for decode, revision 7",
        "engine runs   ledger-1 v1 for decode",
        "last order    none",
        "engine closed the engine loads",
    ];
    assert_eq!(lines, expected);
}
