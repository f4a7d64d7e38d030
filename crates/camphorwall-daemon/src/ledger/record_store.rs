//! Records of the calls that this owner knows, and the decision how a call is answered.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use camphorwall::{
    InstanceId, LedgerKey, LedgerOutcome, LedgerRecord, milliseconds, rendezvous_winner,
};

use crate::membership::Ownership;

/// Bytes that one record takes besides its key, content digest and answer.
const RECORD_BYTES: usize = 256;

/// Maximum size of a stored answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// An ownership that begins within this time of a hand-over relies on the records that were handed over. Only a process
/// that held its lease at the hand-over may do so: it ranked whoever owned the key in between, and once it loses such a
/// member without a hand-over, the records no longer count as complete.
const HAND_OVER_WINDOW: Duration = Duration::from_secs(5);

/// One moment on both clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    /// Monotonic time, for leases.
    pub(crate) now: Instant,
    /// Unix time in milliseconds, for the issue times of keys.
    pub(crate) unix_ms: u64,
}

impl Moment {
    pub(crate) fn now() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            now: Instant::now(),
            unix_ms: milliseconds(unix.unwrap_or_default()),
        }
    }

    /// Unix time of an earlier moment.
    fn unix_ms_at(self, instant: Instant) -> u64 {
        let age = self.now.saturating_duration_since(instant);
        self.unix_ms.saturating_sub(milliseconds(age))
    }
}

/// Limits of a record store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordLimits {
    /// How long an outcome is kept.
    pub(crate) retention: Duration,
    /// One half is the maximum by which a caller's clock may be ahead of an owner's, the other half the maximum by
    /// which two owners' clocks may differ.
    pub(crate) skew_margin: Duration,
    /// Maximum size of all records.
    pub(crate) max_bytes: usize,
}

/// How a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// The key is now recorded and the call may run; [`RecordStore::settle`] must follow.
    Run,
    /// The call is already running.
    Running,
    /// The call ran before, or may have.
    Settled(LedgerOutcome),
    /// The key was used with another content.
    ContentDiffers,
    /// This process does not own the key.
    NotOwner,
    /// The key's issue time is further in the future than clock skew allows.
    IssuedInFuture,
    /// The key may have been used before this owner's records begin.
    IssuedBeforeRecords,
    /// The store has no free capacity until the given time has passed.
    Full { retry_after: Duration },
}

enum State {
    Running,
    Settled { outcome: LedgerOutcome, at: Instant },
}

struct Record {
    issued_ms: u64,
    content: String,
    state: State,
    bytes: usize,
}

struct ReceivedHandOver {
    from: InstanceId,
    complete_from_ms: u64,
    at: Instant,
}

/// A started call on which [`RecordStore::admit`] decides.
#[derive(Clone, Debug)]
pub(crate) struct IncomingCall<'a> {
    pub(crate) key: &'a LedgerKey,
    pub(crate) issued_ms: u64,
    /// Digest of the call's content.
    pub(crate) content: &'a str,
}

/// Whether, and since when, this process may act for a key, as reported by its membership group at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyStatus {
    /// Right to act for the key; `None` if this process does not own it.
    pub(crate) ownership: Option<Ownership>,
    /// Since when the lease has been held and no other member was lost without a hand-over.
    pub(crate) state_complete_since: Instant,
}

/// Records of the calls that this owner knows.
pub(crate) struct RecordStore {
    local_instance: InstanceId,
    records: BTreeMap<LedgerKey, Record>,
    hand_overs: Vec<ReceivedHandOver>,
    /// Unix time in milliseconds; the outcomes of keys issued at or before it may have been dropped.
    expired_until_ms: u64,
    bytes: usize,
}

impl RecordStore {
    pub(crate) const fn new(local_instance: InstanceId) -> Self {
        Self {
            local_instance,
            records: BTreeMap::new(),
            hand_overs: Vec::new(),
            expired_until_ms: 0,
            bytes: 0,
        }
    }

    /// Number of calls that were permitted and have no outcome yet.
    pub(crate) fn running(&self) -> usize {
        let is_running = |record: &&Record| matches!(record.state, State::Running);
        self.records.values().filter(is_running).count()
    }

    /// Record of a settled call. It stays valid whichever process owns the key now.
    pub(crate) fn recall(&self, key: &LedgerKey, now: Instant) -> Option<LedgerRecord> {
        let record = self.records.get(key)?;
        match &record.state {
            State::Running => None,
            State::Settled { outcome, at } => Some(LedgerRecord {
                key: key.clone(),
                issued_ms: record.issued_ms,
                content: record.content.clone(),
                outcome: outcome.clone(),
                age_ms: milliseconds(now.saturating_duration_since(*at)),
            }),
        }
    }

    /// Decides how a call is answered without recording it; [`Verdict::Run`] means that it could run.
    pub(crate) fn decide(
        &self,
        incoming: &IncomingCall,
        key_status: KeyStatus,
        limits: &RecordLimits,
        moment: Moment,
    ) -> Verdict {
        if let Some(record) = self.records.get(incoming.key) {
            let is_same =
                record.content == incoming.content && record.issued_ms == incoming.issued_ms;
            return match &record.state {
                _ if !is_same => Verdict::ContentDiffers,
                State::Running => Verdict::Running,
                State::Settled { outcome, .. } => Verdict::Settled(outcome.clone()),
            };
        }
        let Some(ownership) = key_status.ownership else {
            return Verdict::NotOwner;
        };
        let margin_ms = milliseconds(limits.skew_margin);
        let unrecorded_until_ms =
            self.unrecorded_until_ms(incoming.key, ownership, key_status, limits, moment);
        match incoming.issued_ms {
            issued_ms if issued_ms > moment.unix_ms.saturating_add(margin_ms / 2) => {
                Verdict::IssuedInFuture
            }
            issued_ms if issued_ms <= unrecorded_until_ms => Verdict::IssuedBeforeRecords,
            _ if self.bytes + reserved_bytes(incoming) > limits.max_bytes => Verdict::Full {
                retry_after: self.next_expiry(limits, moment.now),
            },
            _ => Verdict::Run,
        }
    }

    /// Decides how a call is answered, and records its key if the call may run.
    pub(crate) fn admit(
        &mut self,
        incoming: &IncomingCall,
        key_status: KeyStatus,
        limits: &RecordLimits,
        moment: Moment,
    ) -> Verdict {
        let verdict = self.decide(incoming, key_status, limits, moment);
        if verdict == Verdict::Run {
            let bytes = reserved_bytes(incoming);
            let record = Record {
                issued_ms: incoming.issued_ms,
                content: incoming.content.to_owned(),
                state: State::Running,
                bytes,
            };
            self.records.insert(incoming.key.clone(), record);
            self.bytes += bytes;
        }
        verdict
    }

    /// Records the outcome of a permitted call; `None` if it certainly did not run, so that a repeated call may run.
    pub(crate) fn settle(
        &mut self,
        key: &LedgerKey,
        outcome: Option<LedgerOutcome>,
        now: Instant,
    ) -> Option<LedgerOutcome> {
        let Some(outcome) = outcome.map(bounded) else {
            self.remove(key);
            return None;
        };
        if let Some(record) = self.records.get_mut(key) {
            let bytes = record_bytes(key, &record.content, &outcome);
            self.bytes = self.bytes - record.bytes + bytes;
            record.bytes = bytes;
            record.state = State::Settled {
                outcome: outcome.clone(),
                at: now,
            };
        }
        Some(outcome)
    }

    /// Imports the records of a leaving owner; a known key keeps its record. Returns whether all of them fit.
    pub(crate) fn import(
        &mut self,
        records: Vec<LedgerRecord>,
        limits: &RecordLimits,
        now: Instant,
    ) -> bool {
        let mut is_kept = true;
        for record in records {
            let bytes = record_bytes(&record.key, &record.content, &record.outcome);
            if self.bytes + bytes > limits.max_bytes {
                is_kept = false;
                break;
            }
            let age = Duration::from_millis(record.age_ms);
            let state = State::Settled {
                outcome: record.outcome,
                at: now.checked_sub(age).unwrap_or(now),
            };
            if let std::collections::btree_map::Entry::Vacant(vacant) =
                self.records.entry(record.key)
            {
                vacant.insert(Record {
                    issued_ms: record.issued_ms,
                    content: record.content,
                    state,
                    bytes,
                });
                self.bytes += bytes;
            }
        }
        is_kept
    }

    /// Notes that all records of a leaving owner are here, so that calls with its keys may run as if
    /// this process had owned them.
    pub(crate) fn note_hand_over(&mut self, from: InstanceId, complete_from_ms: u64, now: Instant) {
        self.hand_overs.retain(|hand_over| hand_over.from != from);
        self.hand_overs.push(ReceivedHandOver {
            from,
            complete_from_ms,
            at: now,
        });
    }

    /// Whether the records of a member that sent its goodbye at this time are here.
    pub(crate) fn is_handed_over(&self, member: &InstanceId, at: Instant) -> bool {
        let is_near = |hand_over: &ReceivedHandOver| {
            hand_over.from == *member && gap(hand_over.at, at) <= HAND_OVER_WINDOW
        };
        self.hand_overs.iter().any(is_near)
    }

    /// The store has a record of every call whose key was issued after the returned Unix time in milliseconds.
    pub(crate) fn complete_from_ms(
        &self,
        state_complete_since: Instant,
        limits: &RecordLimits,
        moment: Moment,
    ) -> u64 {
        let local_ms = moment.unix_ms_at(state_complete_since) + milliseconds(limits.skew_margin);
        let hand_overs = self.hand_overs.iter();
        hand_overs
            .map(|hand_over| hand_over.complete_from_ms)
            .fold(local_ms, u64::max)
    }

    /// Settled records, for a hand-over.
    pub(crate) fn settled(&self, now: Instant) -> Vec<LedgerRecord> {
        self.records
            .keys()
            .filter_map(|key| self.recall(key, now))
            .collect()
    }

    /// Keys issued at or before the returned Unix time in milliseconds may have been used without a record here.
    fn unrecorded_until_ms(
        &self,
        key: &LedgerKey,
        ownership: Ownership,
        key_status: KeyStatus,
        limits: &RecordLimits,
        moment: Moment,
    ) -> u64 {
        let margin_ms = milliseconds(limits.skew_margin);
        let expired_until_ms = expired_until_ms(limits, moment).max(self.expired_until_ms);
        let is_predecessor = |hand_over: &&ReceivedHandOver| {
            let pair = [&hand_over.from, &self.local_instance];
            gap(hand_over.at, ownership.since) <= HAND_OVER_WINDOW
                && rendezvous_winner(&key.to_string(), pair) == Some(&hand_over.from)
        };
        let owned_ms = match self.hand_overs.iter().rfind(is_predecessor) {
            Some(_) => self.complete_from_ms(key_status.state_complete_since, limits, moment),
            None => moment.unix_ms_at(ownership.since) + margin_ms,
        };
        owned_ms.max(expired_until_ms)
    }

    /// Drops outcomes past the retention whose keys are too old to run again.
    pub(crate) fn expire(&mut self, limits: &RecordLimits, moment: Moment) {
        let expired_until_ms = expired_until_ms(limits, moment).max(self.expired_until_ms);
        self.expired_until_ms = expired_until_ms;
        let is_kept = |record: &Record| match record.state {
            State::Running => true,
            State::Settled { at, .. } => {
                moment.now.saturating_duration_since(at) < limits.retention
                    || record.issued_ms > expired_until_ms
            }
        };
        let mut freed_bytes = 0;
        self.records.retain(|_, record| {
            let is_kept = is_kept(record);
            freed_bytes += if is_kept { 0 } else { record.bytes };
            is_kept
        });
        self.bytes -= freed_bytes;
    }

    fn next_expiry(&self, limits: &RecordLimits, now: Instant) -> Duration {
        let left = self
            .records
            .values()
            .filter_map(|record| match record.state {
                State::Running => None,
                State::Settled { at, .. } => {
                    Some((at + limits.retention).saturating_duration_since(now))
                }
            });
        left.min().unwrap_or(limits.retention)
    }

    fn remove(&mut self, key: &LedgerKey) {
        if let Some(record) = self.records.remove(key) {
            self.bytes -= record.bytes;
        }
    }
}

fn gap(one: Instant, other: Instant) -> Duration {
    let earlier = one.saturating_duration_since(other);
    earlier.max(other.saturating_duration_since(one))
}

/// Keys issued at or before the returned Unix time in milliseconds are too old to run.
fn expired_until_ms(limits: &RecordLimits, moment: Moment) -> u64 {
    let known_ms = moment.unix_ms + milliseconds(limits.skew_margin);
    known_ms.saturating_sub(milliseconds(limits.retention))
}

/// The outcome as it is stored: without its answer if that exceeds [`MAX_ANSWER_BYTES`].
fn bounded(outcome: LedgerOutcome) -> LedgerOutcome {
    match answer_bytes(&outcome) {
        bytes if bytes > MAX_ANSWER_BYTES => LedgerOutcome::Ran,
        _ => outcome,
    }
}

fn answer_bytes(outcome: &LedgerOutcome) -> usize {
    match outcome {
        LedgerOutcome::Answer { headers, body, .. } => {
            let headers = headers.iter().map(|(name, value)| name.len() + value.len());
            body.len() + headers.sum::<usize>()
        }
        LedgerOutcome::Ran | LedgerOutcome::MayHaveRun => 0,
    }
}

fn record_bytes(key: &LedgerKey, content: &str, outcome: &LedgerOutcome) -> usize {
    RECORD_BYTES + key.key.len() + content.len() + answer_bytes(outcome)
}

/// Bytes that are reserved while a call runs.
fn reserved_bytes(incoming: &IncomingCall) -> usize {
    RECORD_BYTES + incoming.key.key.len() + incoming.content.len() + MAX_ANSWER_BYTES
}

#[cfg(test)]
#[path = "record_store_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "history_tests.rs"]
mod history_tests;
