//! `losses`: counts the requests in saved logs that were not answered, by route and outcome.

use std::collections::{BTreeMap, HashMap};

use getopts::Matches;

use super::{
    command::{Command, CommandError},
    log_lines::{field, read_logs},
    table::table,
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "losses",
    arguments: "--log FILE",
    summary: "count the unanswered requests in saved logs by route and outcome",
    run,
};

/// Requests of one route that ended with the same outcome.
#[derive(Default)]
struct Group<'a> {
    requests: u64,
    /// Sums of the fields in `TIMES`, in milliseconds.
    times_ms: [u64; TIMES.len()],
    endpoints: HashMap<&'a str, u64>,
}

/// Fields with times in milliseconds whose means are shown.
const TIMES: [&str; 4] = ["quota_wait_ms", "place_wait_ms", "prefill_ms", "elapsed_ms"];

fn run(matches: &Matches) -> Result<String, CommandError> {
    let logs = matches.opt_strs("log");
    if logs.is_empty() {
        return Err(CommandError::Usage {
            message: "name the saved log of each entry with --log".into(),
        });
    }
    let texts = read_logs(&logs)?;
    Ok(losses(texts.iter().flat_map(|text| text.lines())))
}

fn losses<'a>(lines: impl Iterator<Item = &'a str>) -> String {
    let mut groups: BTreeMap<(&str, &str), Group<'_>> = BTreeMap::new();
    for line in lines.filter(|line| field(line, "event") == Some("request_ended")) {
        let outcome = field(line, "outcome").unwrap_or_default();
        if outcome == "answered" {
            continue;
        }
        let route = field(line, "route").filter(|route| !route.is_empty());
        let route = route.unwrap_or("(none)");
        let group = groups.entry((route, outcome)).or_default();
        group.requests += 1;
        for (sum, name) in group.times_ms.iter_mut().zip(TIMES) {
            *sum += field(line, name)
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0);
        }
        let endpoint = field(line, "endpoint").filter(|endpoint| !endpoint.is_empty());
        if let Some(endpoint) = endpoint {
            *group.endpoints.entry(endpoint).or_default() += 1;
        }
    }
    let total: u64 = groups.values().map(|group| group.requests).sum();
    let head = [
        "route",
        "outcome",
        "requests",
        "quota ms",
        "place ms",
        "prefill ms",
        "elapsed ms",
        "most often at",
    ];
    let rows = groups.iter().map(row).collect();
    format!("{}\n{total} requests were not answered", table(head, rows))
}

/// A group's counts, the means of its times, and the endpoint that occurs most often in it.
fn row(((route, outcome), group): (&(&str, &str), &Group<'_>)) -> [String; 8] {
    let [quota, place, prefill, elapsed] =
        group.times_ms.map(|sum| (sum / group.requests).to_string());
    let endpoints = group.endpoints.iter();
    let most = endpoints.max_by_key(|(endpoint, count)| (**count, **endpoint));
    [
        (*route).to_owned(),
        (*outcome).to_owned(),
        group.requests.to_string(),
        quota,
        place,
        prefill,
        elapsed,
        most.map_or_else(String::new, |(endpoint, count)| {
            format!("{endpoint} ({count})")
        }),
    ]
}

#[cfg(test)]
#[path = "losses_tests.rs"]
mod tests;
