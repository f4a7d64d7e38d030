use serde_json::json;

use super::*;

fn team(name: &str, is_owner: bool) -> TeamBudgetStatus {
    let owned = is_owner.then_some(40);
    serde_json::from_value(json!({
        "team": name, "rate_tokens_per_s": 500, "burst_tokens": 1000, "owner": "entry-1", "is_owner": is_owner,
        "lease_left_ms": 19_250, "level_tokens": owned, "outstanding_tokens": owned, "held_tokens": 7,
        "spent_tokens": 1200, "refused": 3,
    }))
    .expect("a status")
}

#[test]
fn lease_and_level_are_shown_for_owned_teams_only() {
    let text = describe(&[team("marousi-tills", true), team("kifisia", false)]);
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "team           rate/s  burst  owner    lease s  level  outstanding  held  spent  refused",
            "marousi-tills  500     1000   entry-1  19.2     40     40           7     1200   3",
            "kifisia        500     1000   entry-1  -        -      -            7     1200   3",
        ]
    );
}

#[test]
fn an_entry_without_active_teams_gives_a_message() {
    assert_eq!(describe(&[]), "no team is active at this entry");
}
