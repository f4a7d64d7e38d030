use super::*;

fn team(number: usize) -> TeamId {
    format!("team-{number}").parse().expect("a valid name")
}

#[test]
fn the_number_of_team_names_and_counters_is_bounded() {
    let now = Instant::now();
    let mut names = TeamNames::new(now);
    for number in 0..28_000 {
        names.count(&team(number), now);
    }
    let distinct: BTreeSet<_> = (0..28_000)
        .map(|number| names.name(&team(number)).to_owned())
        .collect();
    assert_eq!(distinct.len(), MAX_NAMED_TEAMS + 1);
    assert!(names.requests.len() <= MAX_COUNTED_TEAMS);
}

#[test]
fn the_largest_teams_of_a_period_are_named_in_the_next() {
    let now = Instant::now();
    let mut names = TeamNames::new(now);
    for number in 0..100 {
        for _ in 0..=number {
            names.count(&team(number), now);
        }
    }
    assert_eq!(names.name(&team(99)), OTHER_TEAMS);
    let removed = names.count(&team(99), now + SELECTION_PERIOD);
    assert_eq!(removed.len(), MAX_NAMED_TEAMS);
    assert_eq!(names.name(&team(99)), "team-99");
    assert_eq!(names.name(&team(0)), OTHER_TEAMS);
}
