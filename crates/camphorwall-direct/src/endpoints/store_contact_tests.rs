//! Plays calls of entries to a store, from outages of the store and interruptions of single ways to it.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{dialect::StoreRevision, endpoints::store_contact::StoreContact, testing::at_ms};

/// Long-poll timeout of a watch, and the pauses after a failure and after changes.
const WAIT_MS: u64 = 1_500;
const RETRY_MS: u64 = 100;

/// Time after which a call to a silent store fails, beyond its wait.
const SILENCE_MS: u64 = 900;

/// Time after which nothing may be sent to an endpoint that has left.
const DRAIN_MS: u64 = 2_000;

/// Spans in which an entry can't reach the store.
type Spans = Vec<(u64, u64)>;

/// An entry that watches the store.
struct Reader {
    contact: StoreContact,
    /// Spans in which its calls fail, and whether by silence.
    away: Spans,
    is_silent: bool,
    sent_ms: u64,
    fails_from_ms: Option<u64>,
    known_ms: u64,
}

impl Reader {
    fn new(away: Spans, is_silent: bool, start_ms: u64) -> Self {
        Self {
            contact: StoreContact::default(),
            away,
            is_silent,
            sent_ms: start_ms,
            fails_from_ms: None,
            known_ms: 0,
        }
    }

    /// Plays the time up to `now_ms`, in which endpoints were removed at the given moments. A revision is the moment of its
    /// change.
    fn play(&mut self, now_ms: u64, removals: &[u64]) {
        if now_ms < self.sent_ms {
            return;
        }
        let is_away = |ms: u64| {
            self.away
                .iter()
                .any(|(from, to)| (*from..*to).contains(&ms))
        };
        if is_away(now_ms) {
            let from_ms = *self.fails_from_ms.get_or_insert(now_ms);
            let gives_up_ms = self.sent_ms.max(from_ms) + WAIT_MS + SILENCE_MS;
            if !self.is_silent {
                self.contact.note_failure(at_ms(now_ms));
                (self.sent_ms, self.fails_from_ms) = (now_ms + RETRY_MS, None);
            } else if now_ms >= gives_up_ms {
                self.contact.note_failure(at_ms(self.sent_ms));
                (self.sent_ms, self.fails_from_ms) = (now_ms + RETRY_MS, None);
            }
            return;
        }
        let newest = removals.iter().copied().filter(|at| *at <= now_ms).max();
        let newest = newest.unwrap_or(0);
        let has_changes = newest > self.known_ms;
        let wait_ms = if self.contact.is_failing() {
            1
        } else {
            WAIT_MS
        };
        if has_changes || now_ms >= self.sent_ms + wait_ms {
            let (sent_at, now) = (at_ms(self.sent_ms), at_ms(now_ms));
            let wait = Duration::from_millis(wait_ms);
            self.contact.note_answer(sent_at, wait, now);
            self.contact.note_known_revision(newest.max(1), now);
            (self.sent_ms, self.fails_from_ms) = (now_ms + 10, None);
            self.known_ms = newest;
        }
    }
}

/// Plays entries that exchange their sound revisions. Returns for each how long it keeps the removed endpoint, in
/// milliseconds.
fn play(readers: &mut [Reader], removed_ms: u64, end_ms: u64) -> Vec<u64> {
    let mut kept_ms = vec![0; readers.len()];
    for now_ms in (1_000..end_ms).step_by(10) {
        for reader in &mut *readers {
            reader.play(now_ms, &[removed_ms]);
        }
        if now_ms % 240 == 0 {
            let sound = readers.iter().map(|one| one.contact.sound_revision());
            let sound = sound.max().unwrap_or_default();
            for reader in &mut *readers {
                reader.contact.note_sound_revision(sound);
            }
        }
        for (reader, kept_ms) in readers.iter().zip(&mut kept_ms) {
            let is_unknown = reader.known_ms < removed_ms;
            let is_kept = is_unknown || reader.contact.is_in_doubt(removed_ms, at_ms(now_ms));
            if now_ms >= removed_ms && is_kept {
                *kept_ms = now_ms - removed_ms;
            }
        }
    }
    kept_ms
}

/// Interruptions of one way: for `cut_ms` in each second.
fn flaky(cut_ms: u64) -> Spans {
    (5..30)
        .map(|second| (second * 1_000, second * 1_000 + cut_ms))
        .collect()
}

/// Guards against a flaky way to the store that keeps an endpoint which has left, as if the store had been away.
#[rstest]
#[case::now_and_then(200, 1)]
#[case::often(800, 1)]
#[case::now_and_then_beside_sound_entries(200, 3)]
#[case::mostly_beside_sound_entries(850, 3)]
fn a_removal_is_final_while_single_calls_fail(#[case] cut_ms: u64, #[case] count: usize) {
    for seed in 0..100 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let removed_ms = random.random_range(8_000..20_000);
        let start = |number| {
            let away = if number == 0 {
                flaky(cut_ms)
            } else {
                Vec::new()
            };
            Reader::new(away, false, 1_000 + 370 * number as u64)
        };
        let mut readers: Vec<_> = (0..count).map(start).collect();
        let kept_ms = play(&mut readers, removed_ms, 30_000);
        assert!(
            kept_ms.iter().all(|kept_ms| *kept_ms < DRAIN_MS),
            "seed {seed}: {kept_ms:?} ms"
        );
    }
}

/// Guards against an entry that was cut off from the store alone and keeps an endpoint that left meanwhile.
#[test]
fn a_removal_is_final_for_an_entry_that_alone_was_cut_off() {
    for seed in 0..100 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let removed_ms = random.random_range(9_000..14_500);
        let away = vec![(9_000, 14_500)];
        let mut readers = [
            Reader::new(away, seed % 2 == 0, 1_000),
            Reader::new(Vec::new(), false, 1_400),
        ];
        let kept_ms = play(&mut readers, removed_ms, 30_000);
        // What it doesn't know it can't heed; once it knows, the removal is final.
        let known_after_ms = 14_500 - removed_ms + WAIT_MS + SILENCE_MS + RETRY_MS;
        assert!(kept_ms[0] <= known_after_ms, "seed {seed}: {kept_ms:?} ms");
        assert!(kept_ms[1] < DRAIN_MS, "seed {seed}: {kept_ms:?} ms");
    }
}

/// Guards against living endpoints that are lost because their registrations expired in an outage of the store.
#[rstest]
#[case::reset(false)]
#[case::silent(true)]
fn a_registration_that_expires_in_an_outage_is_kept_until_it_can_be_back(#[case] is_silent: bool) {
    for seed in 0..200_u8 {
        let mut random = ChaCha8Rng::seed_from_u64(seed.into());
        let from_ms = random.random_range(8_000..10_000);
        let to_ms = from_ms + random.random_range(2_600..6_000);
        let count = 1 + usize::from(seed) % 4;
        let start = |_| {
            let start_ms = random.random_range(1_000..2_500);
            Reader::new(vec![(from_ms, to_ms)], is_silent, start_ms)
        };
        let mut readers: Vec<_> = (0..count).map(start).collect();
        let kept_ms = play(&mut readers, to_ms, 30_000);
        assert!(
            kept_ms.iter().all(|kept_ms| *kept_ms >= 2_000),
            "seed {seed}: {kept_ms:?} ms after {} ms without the store",
            to_ms - from_ms
        );
    }
}

/// Guards against a second outage that begins before the endpoints are back from the first.
#[test]
fn a_second_outage_in_the_recovery_keeps_what_expired_in_the_first() {
    let away = vec![(8_000, 12_000), (13_000, 17_000)];
    let mut readers = [Reader::new(away, false, 1_000)];
    let kept_ms = play(&mut readers, 12_000, 30_000);
    assert!((7_000..8_000).contains(&kept_ms[0]), "{kept_ms:?} ms");
}

/// Guards against an entry that stood still and takes what expired meanwhile for final.
#[test]
fn a_removal_after_a_time_without_any_call_is_in_doubt() {
    let mut contact = StoreContact::default();
    let no_wait = Duration::ZERO;
    contact.note_answer(at_ms(1_000), no_wait, at_ms(1_005));
    contact.note_answer(at_ms(5_000), no_wait, at_ms(5_005));
    assert!(contact.is_in_doubt(7, at_ms(5_010)));
    contact.note_sound_revision(7);
    assert!(!contact.is_in_doubt(7, at_ms(5_010)));
    assert!(contact.is_in_doubt(8, at_ms(5_010)));
    assert!(!contact.is_in_doubt(8, at_ms(7_300)));
}

/// Guards against removals that an entry of another era of the store has seen, at revisions that were issued again.
#[test]
fn a_sound_revision_of_another_era_proves_no_removal() {
    let revision = |era, number| StoreRevision { era, number };
    let mut contact = StoreContact::default();
    contact.note_sound_revision(revision(1, 90));
    contact.note_restored(at_ms(1_000));
    assert!(contact.is_in_doubt(revision(2, 40), at_ms(1_100)));
    contact.note_sound_revision(revision(2, 50));
    assert!(!contact.is_in_doubt(revision(2, 40), at_ms(1_200)));
    assert!(contact.is_in_doubt(revision(1, 95), at_ms(1_200)));
    assert!(!contact.is_in_doubt(revision(2, 60), at_ms(3_300)));
}
