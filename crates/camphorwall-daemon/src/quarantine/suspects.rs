//! Records of requests that were running when an engine crashed.
//!
//! A record is a set of crashes, so that the records of several processes can be merged in any order.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use camphorwall::{
    CrashId, EngineRole, QuarantineEntry, ReportedCrash, ServiceId, SuspectRecord, milliseconds,
};

/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// How long a crash counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(30 * 60);

/// Maximum number of records.
const MAX_RECORDS: usize = 1_024;

/// Maximum number of crashes in one record.
const MAX_CRASHES: usize = 8;

/// Identifies the content of a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SuspectKey {
    pub(crate) service: ServiceId,
    pub(crate) fingerprint: u64,
}

struct Crash {
    role: EngineRole,
    at: Instant,
    is_cleared: bool,
}

type Crashes = BTreeMap<CrashId, Crash>;

/// Known suspects.
#[derive(Default)]
pub(super) struct Suspects {
    records: BTreeMap<SuspectKey, Crashes>,
}

fn counted(crashes: &Crashes, now: Instant) -> impl Iterator<Item = (&CrashId, &Crash)> {
    let is_counted = move |(_, crash): &(&CrashId, &Crash)| {
        !crash.is_cleared && now.saturating_duration_since(crash.at) < CRASH_LIFETIME
    };
    crashes.iter().filter(is_counted)
}

impl Suspects {
    /// Records that an engine crashed while a request ran.
    pub(super) fn note_crash(
        &mut self,
        suspect: SuspectKey,
        crash: CrashId,
        role: EngineRole,
        at: Instant,
    ) {
        self.expire(at);
        let noted = Crash {
            role,
            at,
            is_cleared: false,
        };
        self.insert(suspect, crash, noted);
    }

    fn insert(&mut self, suspect: SuspectKey, id: CrashId, crash: Crash) {
        if !self.records.contains_key(&suspect) && !self.ensure_capacity(crash.at) {
            tracing::warn!(event = "suspect_not_kept", service = %suspect.service);
            return;
        }
        let crashes = self.records.entry(suspect).or_default();
        let has_capacity = crashes.len() < MAX_CRASHES;
        match crashes.get_mut(&id) {
            Some(known) => {
                known.is_cleared |= crash.is_cleared;
                known.at = known.at.min(crash.at);
            }
            None if has_capacity => {
                crashes.insert(id, crash);
            }
            None => {}
        }
    }

    /// Ensures that one more record fits, by removing the suspect whose last crash is the oldest. Quarantined requests
    /// are kept; returns `false` when there are no others.
    fn ensure_capacity(&mut self, now: Instant) -> bool {
        if self.records.len() < MAX_RECORDS {
            return true;
        }
        let is_droppable = |crashes: &Crashes| counted(crashes, now).count() < QUARANTINE_CRASHES;
        let candidates = self
            .records
            .iter()
            .filter(|(_, crashes)| is_droppable(crashes));
        let oldest = candidates
            .min_by_key(|(_, crashes)| crashes.values().map(|crash| crash.at).max())
            .map(|(suspect, _)| suspect.clone());
        oldest.is_some_and(|suspect| self.records.remove(&suspect).is_some())
    }

    /// Whether a request is quarantined.
    pub(super) fn is_quarantined(&self, suspect: &SuspectKey, now: Instant) -> bool {
        let crashes = self.records.get(suspect);
        crashes.is_some_and(|crashes| counted(crashes, now).count() >= QUARANTINE_CRASHES)
    }

    /// Whether a request was running when an engine of this role crashed.
    pub(super) fn is_suspect(&self, suspect: &SuspectKey, role: EngineRole, now: Instant) -> bool {
        let crashes = self.records.get(suspect);
        crashes.is_some_and(|crashes| counted(crashes, now).any(|(_, crash)| crash.role == role))
    }

    /// Clears a request of the crashes of one role, because it ran to its end; returns whether it was cleared. A
    /// quarantined request stays quarantined.
    pub(super) fn clear_suspect(
        &mut self,
        suspect: &SuspectKey,
        role: EngineRole,
        now: Instant,
    ) -> bool {
        if self.is_quarantined(suspect, now) || !self.is_suspect(suspect, role, now) {
            return false;
        }
        let crashes = self.records.get_mut(suspect).into_iter();
        for crash in crashes.flat_map(BTreeMap::values_mut) {
            crash.is_cleared |= crash.role == role;
        }
        true
    }

    /// Clears all requests with a fingerprint of all their crashes; returns whether there were any.
    pub(super) fn lift(&mut self, fingerprint: u64) -> bool {
        let mut is_found = false;
        for (suspect, crashes) in &mut self.records {
            if suspect.fingerprint == fingerprint {
                is_found = true;
                for crash in crashes.values_mut() {
                    crash.is_cleared = true;
                }
            }
        }
        is_found
    }

    /// Merges the records of another process.
    pub(super) fn merge(&mut self, records: Vec<SuspectRecord>, now: Instant) {
        for record in records {
            let Ok(fingerprint) = u64::from_str_radix(&record.fingerprint, 16) else {
                continue;
            };
            let suspect = SuspectKey {
                service: record.service,
                fingerprint,
            };
            for reported in record.crashes {
                let age = Duration::from_millis(reported.age_ms);
                let crash = Crash {
                    role: reported.role,
                    at: now.checked_sub(age).unwrap_or(now),
                    is_cleared: reported.is_cleared,
                };
                if age < CRASH_LIFETIME {
                    self.insert(suspect.clone(), reported.crash, crash);
                }
            }
        }
    }

    /// All records, as reported to other processes.
    pub(super) fn records(&self, now: Instant) -> Vec<SuspectRecord> {
        let reported = |(id, crash): (&CrashId, &Crash)| ReportedCrash {
            crash: id.clone(),
            role: crash.role,
            age_ms: milliseconds(now.saturating_duration_since(crash.at)),
            is_cleared: crash.is_cleared,
        };
        let record = |(suspect, crashes): (&SuspectKey, &Crashes)| SuspectRecord {
            service: suspect.service.clone(),
            fingerprint: format!("{:016x}", suspect.fingerprint),
            crashes: crashes.iter().map(reported).collect(),
        };
        self.records.iter().map(record).collect()
    }

    /// All suspects, as shown to operators.
    pub(super) fn list(&self, now: Instant) -> Vec<QuarantineEntry> {
        let entry = |(suspect, crashes): (&SuspectKey, &Crashes)| {
            let count = counted(crashes, now).count();
            let last = counted(crashes, now).map(|(_, crash)| crash.at).max()?;
            Some(QuarantineEntry {
                service: suspect.service.clone(),
                fingerprint: format!("{:016x}", suspect.fingerprint),
                crashes: count,
                is_quarantined: count >= QUARANTINE_CRASHES,
                expires_in_ms: milliseconds((last + CRASH_LIFETIME).saturating_duration_since(now)),
            })
        };
        self.records.iter().filter_map(entry).collect()
    }

    /// Removes crashes that are past their lifetime.
    pub(super) fn expire(&mut self, now: Instant) {
        for crashes in self.records.values_mut() {
            crashes.retain(|_, crash| now.saturating_duration_since(crash.at) < CRASH_LIFETIME);
        }
        self.records.retain(|_, crashes| !crashes.is_empty());
    }
}

#[cfg(test)]
#[path = "suspects_tests.rs"]
mod tests;
