use super::*;

fn labels(team: &str) -> TeamLabels {
    TeamLabels {
        team: team.into(),
        class: 2,
    }
}

fn latencies() -> Latencies {
    Latencies::new(LatencyMeasure::TokenGap, team_histograms())
}

#[test]
fn an_observation_at_a_bound_counts_in_the_bucket_of_that_bound() {
    let latencies = latencies();
    latencies.observe(&labels("kiosks"), Duration::from_millis(29));
    latencies.observe(&labels("kiosks"), Duration::from_millis(30));
    latencies.observe(&labels("kiosks"), Duration::from_secs(60));
    let histograms = latencies.histograms();
    let filled: Vec<_> = histograms[0]
        .buckets
        .iter()
        .filter(|bucket| bucket.count > 0)
        .map(|bucket| bucket.up_to_s)
        .collect();
    assert_eq!(filled, [Some(0.029), Some(0.05), None]);
}

#[test]
fn a_removed_team_has_no_series_and_no_counts() {
    let latencies = latencies();
    for team in ["bakeries", "kiosks"] {
        latencies.observe(&labels(team), Duration::from_millis(1));
    }
    latencies.remove_team("kiosks");
    let teams: Vec<_> = latencies
        .histograms()
        .into_iter()
        .map(|one| one.team)
        .collect();
    assert_eq!(teams, ["bakeries"]);
    assert!(!latencies.series.remove(&labels("kiosks")));
}
