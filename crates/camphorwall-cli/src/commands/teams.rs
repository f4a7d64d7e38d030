//! `teams`: shows the budgets of the teams that are active at an entry.

use camphorwall::{METHOD_TEAMS, TeamBudgetStatus, Tokens};
use getopts::Matches;

use super::{
    command::{Command, CommandError},
    instance::{address, call_instance, format_output},
    table::table,
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "teams",
    arguments: "--address IP:PORT",
    summary: "show the budgets of the teams that are active at an entry",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let teams: Vec<TeamBudgetStatus> =
        call_instance(matches, address(matches)?, METHOD_TEAMS, &())?;
    format_output(matches, &teams, |teams| describe(teams))
}

fn describe(teams: &[TeamBudgetStatus]) -> String {
    if teams.is_empty() {
        return "no team is active at this entry".into();
    }
    let head = [
        "team",
        "rate/s",
        "burst",
        "owner",
        "lease s",
        "level",
        "outstanding",
        "held",
        "spent",
        "refused",
    ];
    table(head, teams.iter().map(cells).collect())
}

fn cells(team: &TeamBudgetStatus) -> [String; 10] {
    let tokens = |tokens: Option<Tokens>| tokens.map_or("-".into(), |one| one.to_string());
    let owner = team.owner.as_ref().map(ToString::to_string);
    let lease = format!(
        "{}.{}",
        team.lease_left_ms / 1_000,
        team.lease_left_ms % 1_000 / 100
    );
    [
        team.team.to_string(),
        team.rate_tokens_per_s.to_string(),
        team.burst_tokens.to_string(),
        owner.unwrap_or("-".into()),
        if team.is_owner { lease } else { "-".into() },
        tokens(team.level_tokens),
        tokens(team.outstanding_tokens),
        team.held_tokens.to_string(),
        team.spent_tokens.to_string(),
        team.refused.to_string(),
    ]
}

#[cfg(test)]
#[path = "teams_tests.rs"]
mod tests;
