//! Finds out what crashes endpoints, a whole request or a part of its prompt, and blocks requests that contain it.
//!
//! An engine that can't bear a prompt crashes as soon as it begins to write the answer. Therefore the suspects of a crash
//! are the requests that the endpoint had not begun to answer. Their prompt parts stay suspected until an answer to a
//! later request with the same part begins.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{clock::Moment, configuration::EndpointIncarnation, dialect::PromptPart};

/// Number of crashes from which on what they have in common is blocked.
const MIN_CRASHES: usize = 3;

/// Time after its last crash for which a request is blocked, and a prompt part with the minimum of crashes. For a part,
/// each further crash doubles it.
const BLOCK_DURATION: Duration = Duration::from_secs(60);

/// Upper limit on the block of a prompt part, and retention time of crash records.
const MAX_BLOCK_DURATION: Duration = Duration::from_secs(600);

/// Number of records at which the oldest one is dropped for a new one.
const MAX_RECORDS: usize = 512;

/// Number of heartbeats that report a new or changed record at once, since datagrams may be lost.
const URGENT_REPORTS: u32 = 3;

/// Time after which a record is reported again, for entries that have started or were unreachable.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of records in one heartbeat.
const MAX_REPORTS: usize = 8;

/// Identifies a request; it is the same for every retry by the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Fingerprint(pub u64);

/// What a request contains that may crash endpoints.
#[derive(Clone, Debug)]
pub(crate) struct Content {
    pub(crate) fingerprint: Fingerprint,
    /// Parts of its prompt that other requests may share.
    pub(crate) shared_parts: Vec<PromptPart>,
}

/// Why a request is blocked, and until when.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Block {
    pub(crate) cause: BlockCause,
    pub(crate) crashes: usize,
    pub(crate) until: Moment,
}

/// What crashes endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BlockCause {
    /// The request as a whole.
    Request,
    /// Parts of the prompt that were in the same crashes: one of them is the cause.
    Parts(Vec<PromptPart>),
}

/// A request that an endpoint had not begun to answer when it crashed.
#[derive(Debug)]
struct Suspect {
    /// Parts of its prompt that may be the cause.
    parts: Vec<PromptPart>,
    /// Whether the whole request was answered later.
    is_answered: bool,
    sent_at: Moment,
    crashed_at: Moment,
    urgent_reports: u32,
    next_report_at: Moment,
}

impl Suspect {
    fn report_urgently(&mut self, now: Moment) {
        self.urgent_reports = URGENT_REPORTS;
        self.next_report_at = now;
    }
}

/// A suspect as reported to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ReportedSuspect {
    /// The start of the endpoint that ended with the crash.
    pub(crate) crash: EndpointIncarnation,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) parts: Vec<PromptPart>,
    pub(crate) is_answered: bool,
    /// Time since the request was sent to the endpoint, in milliseconds.
    pub(crate) sent_age_ms: u32,
    /// Time since the crash, in milliseconds.
    pub(crate) crash_age_ms: u32,
}

/// Suspects of crashes, by the start of the endpoint that ended with the crash and by request.
#[derive(Debug, Default)]
pub(crate) struct Poison(HashMap<(EndpointIncarnation, Fingerprint), Suspect>);

impl Poison {
    /// Records that an endpoint crashed at `crashed_at` before it began to answer a request.
    pub(crate) fn note_crash(
        &mut self,
        crash: EndpointIncarnation,
        content: &Content,
        sent_at: Moment,
        crashed_at: Moment,
    ) {
        let mut suspect = Suspect {
            parts: content.shared_parts.clone(),
            is_answered: false,
            sent_at,
            crashed_at,
            urgent_reports: 0,
            next_report_at: crashed_at,
        };
        suspect.report_urgently(crashed_at);
        self.insert(crash, content.fingerprint, suspect);
    }

    /// Adds a suspect that a peer reports; returns its content if it is new here.
    ///
    /// A part is suspected only while all entries suspect it, so that reports in any order lead to the same records.
    pub(crate) fn note_peer(&mut self, reported: ReportedSuspect, now: Moment) -> Option<Content> {
        let ReportedSuspect {
            crash,
            fingerprint,
            parts,
            is_answered,
            sent_age_ms,
            crash_age_ms,
        } = reported;
        if let Some(known) = self.0.get_mut(&(crash, fingerprint)) {
            known.parts.retain(|part| parts.contains(part));
            known.is_answered |= is_answered;
            return None;
        }
        let content = Content {
            fingerprint,
            shared_parts: parts.clone(),
        };
        let suspect = Suspect {
            parts,
            is_answered,
            sent_at: now - Duration::from_millis(sent_age_ms.into()),
            crashed_at: now - Duration::from_millis(crash_age_ms.into()),
            urgent_reports: 0,
            next_report_at: now + REPORT_PERIOD,
        };
        self.insert(crash, fingerprint, suspect);
        Some(content)
    }

    fn insert(&mut self, crash: EndpointIncarnation, fingerprint: Fingerprint, suspect: Suspect) {
        if self.0.len() >= MAX_RECORDS {
            let oldest = self.0.iter().min_by_key(|(_, other)| other.crashed_at);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.map(|key| self.0.remove(&key));
        }
        self.0.insert((crash, fingerprint), suspect);
    }

    /// Records that an endpoint began to answer a request that was sent at `sent_at`: none of its prompt parts caused the
    /// crashes before that.
    pub(crate) fn note_begun(&mut self, content: &Content, sent_at: Moment, now: Moment) {
        for suspect in self.0.values_mut() {
            if suspect.crashed_at > sent_at {
                continue;
            }
            let known = suspect.parts.len();
            let is_suspected = |part: &PromptPart| !content.shared_parts.contains(part);
            suspect.parts.retain(is_suspected);
            if suspect.parts.len() < known {
                suspect.report_urgently(now);
            }
        }
    }

    /// Clears a request that was answered completely: another request must have crashed its endpoints.
    pub(crate) fn note_answer(&mut self, fingerprint: Fingerprint, now: Moment) {
        for ((_, suspected), suspect) in &mut self.0 {
            if *suspected == fingerprint && !suspect.is_answered {
                suspect.is_answered = true;
                suspect.report_urgently(now);
            }
        }
    }

    /// Takes the records that the next heartbeat reports, those that are due longest first.
    pub(crate) fn report(&mut self, now: Moment) -> Vec<ReportedSuspect> {
        self.0
            .retain(|_, suspect| now.since(suspect.crashed_at) < MAX_BLOCK_DURATION);
        let due = self.0.iter_mut();
        let mut due: Vec<_> = due
            .filter(|(_, suspect)| suspect.next_report_at <= now)
            .collect();
        due.sort_by_key(|(_, suspect)| suspect.next_report_at);
        due.truncate(MAX_REPORTS);
        let age_ms = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let report = |(key, suspect): (&(EndpointIncarnation, Fingerprint), &mut Suspect)| {
            suspect.urgent_reports = suspect.urgent_reports.saturating_sub(1);
            if suspect.urgent_reports == 0 {
                suspect.next_report_at = now + REPORT_PERIOD;
            }
            ReportedSuspect {
                crash: key.0,
                fingerprint: key.1,
                parts: suspect.parts.clone(),
                is_answered: suspect.is_answered,
                sent_age_ms: age_ms(suspect.sent_at),
                crash_age_ms: age_ms(suspect.crashed_at),
            }
        };
        due.into_iter().map(report).collect()
    }

    /// Number of records.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Why a request must not be sent; `None` if it may be.
    #[must_use]
    pub(crate) fn block(&self, content: &Content, now: Moment) -> Option<Block> {
        if self.0.is_empty() {
            return None;
        }
        self.part_block(&content.shared_parts, now)
            .or_else(|| self.request_block(content.fingerprint, now))
    }

    fn request_block(&self, fingerprint: Fingerprint, now: Moment) -> Option<Block> {
        let suspects = self.0.iter();
        let crashed_at = suspects.filter_map(|((_, suspected), suspect)| {
            (*suspected == fingerprint && !suspect.is_answered).then_some(suspect.crashed_at)
        });
        let crashed_at: Vec<_> = crashed_at.collect();
        let until = *crashed_at.iter().max()? + BLOCK_DURATION;
        (crashed_at.len() >= MIN_CRASHES && now <= until).then_some(Block {
            cause: BlockCause::Request,
            crashes: crashed_at.len(),
            until,
        })
    }

    /// The block of the prompt parts that explain most crashes, if a request has all of them.
    ///
    /// Parts with the same crashes are equally likely to be the cause. A request with only some of them is sent: its answer
    /// clears them, and a crash incriminates them.
    fn part_block(&self, parts: &[PromptPart], now: Moment) -> Option<Block> {
        let blocks = parts.iter().filter_map(|part| {
            let crashes = self.crashes_with(*part);
            let count = consecutive_crashes(&crashes);
            let doublings = u32::try_from(count.checked_sub(MIN_CRASHES)?).unwrap_or(u32::MAX);
            let last = crashes.values().map(|times| times.crashed_at).max()?;
            let duration = BLOCK_DURATION.saturating_mul(2_u32.saturating_pow(doublings));
            let until = last + duration.min(MAX_BLOCK_DURATION);
            let alike = self.inseparable_parts(*part, &crashes)?;
            let is_blocked = now <= until && alike.iter().all(|part| parts.contains(part));
            is_blocked.then_some(Block {
                cause: BlockCause::Parts(alike),
                crashes: count,
                until,
            })
        });
        blocks.max_by_key(|block| block.until)
    }

    /// Crashes of which a part is suspected.
    fn crashes_with(&self, part: PromptPart) -> BTreeMap<EndpointIncarnation, CrashTimes> {
        let mut crashes = BTreeMap::new();
        for ((crash, _), suspect) in &self.0 {
            if suspect.parts.contains(&part) {
                let times = CrashTimes {
                    crashed_at: suspect.crashed_at,
                    sent_at: suspect.sent_at,
                };
                let known = crashes.entry(*crash).or_insert(times);
                known.crashed_at = known.crashed_at.min(times.crashed_at);
                known.sent_at = known.sent_at.max(times.sent_at);
            }
        }
        crashes
    }

    /// The parts that were in the same requests and in exactly the same crashes as a part, with the part itself; `None` if
    /// another part of these requests was in all these crashes and in more.
    fn inseparable_parts(
        &self,
        part: PromptPart,
        crashes: &BTreeMap<EndpointIncarnation, CrashTimes>,
    ) -> Option<Vec<PromptPart>> {
        let with_part = self
            .0
            .values()
            .filter(|suspect| suspect.parts.contains(&part));
        let companions: BTreeSet<_> = with_part
            .flat_map(|suspect| suspect.parts.iter().copied())
            .collect();
        let mut alike = Vec::new();
        for companion in companions {
            let its_crashes = self.crashes_with(companion);
            if !crashes.keys().all(|crash| its_crashes.contains_key(crash)) {
                continue;
            }
            if its_crashes.len() > crashes.len() {
                return None;
            }
            alike.push(companion);
        }
        Some(alike)
    }
}

/// When an endpoint crashed, and when the last suspect of the crash had been sent to it.
#[derive(Clone, Copy, Debug)]
struct CrashTimes {
    crashed_at: Moment,
    sent_at: Moment,
}

/// Number of crashes each of whose suspects was sent after the crash before. Several endpoints that crash together, for
/// another reason, count once: a part that many requests share may be in the requests that begin at all of them.
fn consecutive_crashes(crashes: &BTreeMap<EndpointIncarnation, CrashTimes>) -> usize {
    let mut times: Vec<_> = crashes.values().collect();
    times.sort_by_key(|times| times.crashed_at);
    let mut last_counted: Option<Moment> = None;
    let mut count = 0;
    for times in times {
        if last_counted.is_none_or(|crashed_at| times.sent_at >= crashed_at) {
            last_counted = Some(times.crashed_at);
            count += 1;
        }
    }
    count
}
