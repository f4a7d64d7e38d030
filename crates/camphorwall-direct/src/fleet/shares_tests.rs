use std::{net::SocketAddr, time::Duration};

use crate::{fleet::shares::Shares, testing::at_ms};

const WINDOW: Duration = Duration::from_secs(10);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_500))
}

/// A fleet of five, of which this entry has heard the four others at the origin.
fn shares_of_five() -> Shares {
    let mut shares = Shares::default();
    for host in 2..=5 {
        shares.note_heard(address(host), 5, at_ms(0));
    }
    shares
}

fn hear(shares: &mut Shares, hosts: std::ops::RangeInclusive<u8>, size: u16, now_ms: u64) {
    for host in hosts {
        shares.note_heard(address(host), size, at_ms(now_ms));
    }
    shares.remove_expired(WINDOW, at_ms(now_ms));
}

/// A part that grows when a peer is forgotten would be used together with what the peer used until then.
#[test]
fn the_part_of_a_silent_peer_is_taken_over_after_a_further_window() {
    let mut shares = shares_of_five();
    for now_ms in (0..=26_000).step_by(200) {
        let size = shares.own_size();
        hear(&mut shares, 2..=4, size, now_ms);
        assert_eq!(shares.divisor(at_ms(now_ms)), Some(5), "after {now_ms} ms");
    }
    hear(&mut shares, 2..=4, 4, 26_200);
    assert_eq!(shares.divisor(at_ms(26_200)), Some(4));
}

/// The majority takes over the parts of the entries that it no longer hears.
#[test]
fn an_entry_that_hears_less_than_half_of_the_fleet_uses_no_allowance() {
    let mut shares = shares_of_five();
    for now_ms in (0..=60_000).step_by(200) {
        hear(&mut shares, 2..=2, 5, now_ms);
        let expected = (now_ms <= 15_000).then_some(5);
        assert_eq!(shares.divisor(at_ms(now_ms)), expected, "after {now_ms} ms");
    }
    hear(&mut shares, 2..=5, 5, 60_200);
    assert_eq!(shares.divisor(at_ms(60_200)), Some(5));
}

#[test]
fn equal_halves_keep_their_last_parts() {
    let mut shares = Shares::default();
    hear(&mut shares, 2..=4, 4, 0);
    for now_ms in (0..=60_000).step_by(200) {
        hear(&mut shares, 2..=2, 4, now_ms);
        assert_eq!(shares.divisor(at_ms(now_ms)), Some(4), "after {now_ms} ms");
    }
}

#[test]
fn the_part_of_an_entry_that_ended_is_taken_over_after_the_window() {
    let mut shares = Shares::default();
    hear(&mut shares, 2..=2, 2, 0);
    shares.note_ended(address(2), at_ms(100));
    shares.remove_expired(WINDOW, at_ms(11_000));
    assert_eq!(shares.divisor(at_ms(11_000)), Some(2));
    shares.remove_expired(WINDOW, at_ms(11_200));
    assert_eq!(shares.divisor(at_ms(11_200)), Some(1));
}

/// An entry that starts on the small side of a partition knows only some of the fleet.
#[test]
fn an_entry_that_starts_takes_the_size_of_the_fleet_from_its_peers() {
    let mut shares = Shares::default();
    hear(&mut shares, 2..=3, 36, 0);
    assert_eq!(shares.divisor(at_ms(0)), None);
    hear(&mut shares, 2..=20, 36, 0);
    assert_eq!(shares.divisor(at_ms(0)), Some(36));
}

#[test]
fn an_entry_that_hears_none_of_its_seeds_uses_no_allowance() {
    let mut shares = Shares::default();
    shares.learn(address(2), at_ms(0));
    shares.learn(address(3), at_ms(0));
    shares.remove_expired(WINDOW, at_ms(60_000));
    assert_eq!(shares.divisor(at_ms(60_000)), None);
    assert_eq!(Shares::default().divisor(at_ms(0)), Some(1));
}

/// Both sides of a partition that use the whole contract would send up to twice as much.
#[test]
fn both_sides_of_a_partition_stay_within_the_tolerance_of_a_contract() {
    const TAKEOVER: Duration = Duration::from_secs(6);
    let (mut large, mut small) = (shares_of_five(), shares_of_five());
    for now_ms in (0..=60_000).step_by(100) {
        let (large_size, small_size) = (large.own_size(), small.own_size());
        hear(&mut large, 2..=3, large_size, now_ms);
        hear(&mut small, 2..=2, small_size, now_ms);
        let now = at_ms(now_ms);
        let sum = large.rate_share(TAKEOVER, now) + small.rate_share(TAKEOVER, now);
        assert!(now_ms <= 500 || sum <= 1.25, "{sum} after {now_ms} ms");
    }
    // Two of five use a third of their shares; the other three have taken these over.
    let now = at_ms(60_000);
    assert!((small.rate_share(TAKEOVER, now) - 0.4 / 3.0).abs() < 1e-9);
    assert!((large.rate_share(TAKEOVER, now) - 1.0).abs() < 1e-9);
}

#[test]
fn the_share_of_a_peer_that_was_killed_is_used_after_the_takeover_time() {
    let mut shares = shares_of_five();
    let mut share_at = |now_ms| {
        hear(&mut shares, 2..=4, 5, now_ms);
        shares.rate_share(Duration::from_secs(6), at_ms(now_ms))
    };
    assert!((share_at(500) - 1.0).abs() < 1e-9);
    assert!((share_at(600) - 0.8).abs() < 1e-9);
    assert!((share_at(6_000) - 0.8).abs() < 1e-9);
    assert!((share_at(6_100) - 1.0).abs() < 1e-9);
}

/// An entry that starts had almost nothing of its teams' bursts until its peers' first heartbeats.
#[test]
fn an_entry_that_starts_spends_the_whole_rate_until_its_seeds_count_as_silent() {
    let mut shares = Shares::default();
    shares.learn(address(2), at_ms(0));
    shares.learn(address(3), at_ms(0));
    let share_at = |now_ms| shares.rate_share(Duration::from_secs(6), at_ms(now_ms));
    assert!((share_at(500) - 1.0).abs() < 1e-9);
    assert!((share_at(600) - 1.0 / 9.0).abs() < 1e-9);
}
