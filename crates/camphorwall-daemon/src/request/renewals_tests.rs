use super::*;

fn active(endpoints: &[u16]) -> RequestsByEndpoint {
    let one = |port: &u16| {
        let request = RequestId::from_u128(u128::from(*port));
        (SocketAddr::from(([10, 0, 0, 1], *port)), vec![request])
    };
    endpoints.iter().map(one).collect()
}

/// Times at which the leases at one endpoint daemon are renewed while work runs there for `length_ms`.
fn renewed_ms(length_ms: u64) -> Vec<u64> {
    let started_at = Instant::now();
    let mut times = RenewalTimes::default();
    let polls = (0..=length_ms).step_by(200);
    let is_due = |at_ms: &u64| {
        let now = started_at + Duration::from_millis(*at_ms);
        !times.due(active(&[1]), now).is_empty()
    };
    polls.filter(is_due).collect()
}

#[test]
fn leases_are_first_renewed_after_one_period_and_then_once_per_period() {
    assert_eq!(renewed_ms(2_000), Vec::<u64>::new());
    assert_eq!(renewed_ms(7_000), [2_200, 4_400, 6_600]);
}

#[test]
fn an_endpoint_daemon_that_gets_work_again_is_due_a_full_period_later() {
    let started_at = Instant::now();
    let mut times = RenewalTimes::default();
    assert!(times.due(active(&[1, 2]), started_at).is_empty());
    assert!(
        times
            .due(active(&[2]), started_at + RENEWAL_PERIOD / 2)
            .is_empty()
    );
    let due = times.due(active(&[1, 2]), started_at + RENEWAL_PERIOD);
    assert_eq!(due, active(&[2]));
}
