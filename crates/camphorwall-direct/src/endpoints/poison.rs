//! Finds out what crashes endpoints, a whole request or a part of its prompt, and blocks requests that contain it.
//!
//! Every request that was at an endpoint when it crashed is a suspect, whatever it had received. A request is blamed for
//! crashes that it met at the same point of its run, each after the one before, and that no other suspect explains: one that
//! only ran beside a harmful one, or at endpoints that were killed, meets them at points that differ, or with companions.
//!
//! An engine that can't bear a prompt part crashes as soon as it begins to write the answer. Prompt parts are suspected in
//! requests that the endpoint had not begun to answer, until an answer to a later request with the same part begins.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{clock::Moment, configuration::EndpointIncarnation, dialect::PromptPart};

/// Number of crashes from which on what they have in common is blocked.
const MIN_CRASHES: usize = 3;

/// Number of crashes for what is less certain: those that a request met with a companion, or at points that differ.
const MIN_UNCERTAIN_CRASHES: usize = 5;

/// Number of events from which on an answer is under way. An endpoint that crashes as it begins an answer may have sent one.
pub(crate) const BEGUN_EVENTS: u32 = 2;

/// Divisor of a run's events that gives the difference within which two crashes happened at the same point of a run.
const POINT_PART: u32 = 16;

/// Time over which the crashes of one request must extend to incriminate its prompt parts: other requests with a part that
/// many share begin within it, and clear the part.
const MIN_PART_EVIDENCE: Duration = Duration::from_millis(300);

/// Time within which crashes of several endpoints count as one event.
const SAME_MOMENT: Duration = Duration::from_millis(100);

/// Time between two crashes from which on both count against a request although its second run began before the first crash.
const SEPARATE_CRASHES: Duration = Duration::from_millis(500);

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

/// A request that was at an endpoint when it crashed.
#[derive(Debug)]
struct Suspect {
    /// Parts of its prompt that may be the cause.
    parts: Vec<PromptPart>,
    /// Events that the endpoint had sent.
    run_events: u32,
    /// Whether the request went further later, so that another one caused the crash.
    is_cleared: bool,
    sent_at: Moment,
    crashed_at: Moment,
    urgent_reports: u32,
    next_report_at: Moment,
}

impl Suspect {
    fn times(&self) -> CrashTimes {
        CrashTimes {
            crashed_at: self.crashed_at,
            sent_at: self.sent_at,
        }
    }

    /// Whether another crash happened at the same point of the run.
    fn is_at_point_of(&self, other: &Self) -> bool {
        if self.run_events < BEGUN_EVENTS {
            return other.run_events < BEGUN_EVENTS;
        }
        let difference = self.run_events.abs_diff(other.run_events);
        difference <= 1 + self.run_events / POINT_PART
    }

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
    /// Events that the endpoint had sent.
    pub(crate) run_events: u32,
    pub(crate) is_cleared: bool,
    /// Time since the request was sent to the endpoint, in milliseconds.
    pub(crate) sent_age_ms: u32,
    /// Time since the crash, in milliseconds.
    pub(crate) crash_age_ms: u32,
}

/// Suspects of crashes, by the start of the endpoint that ended with the crash and by request.
#[derive(Debug, Default)]
pub(crate) struct Poison(HashMap<(EndpointIncarnation, Fingerprint), Suspect>);

impl Poison {
    /// Records that an endpoint crashed at `crashed_at` when it had sent `run_events` events of the answer to a request.
    pub(crate) fn note_crash(
        &mut self,
        crash: EndpointIncarnation,
        content: &Content,
        run_events: u32,
        sent_at: Moment,
        crashed_at: Moment,
    ) {
        let known = self.0.get(&(crash, content.fingerprint));
        if known.is_some_and(|known| known.run_events > run_events) {
            // Of several runs of one request, the one that had gone furthest counts.
            return;
        }
        let parts = match run_events {
            0 => content.shared_parts.clone(),
            _ => Vec::new(),
        };
        let mut suspect = Suspect {
            parts,
            run_events,
            is_cleared: false,
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
            run_events,
            is_cleared,
            sent_age_ms,
            crash_age_ms,
        } = reported;
        if let Some(known) = self.0.get_mut(&(crash, fingerprint)) {
            known.parts.retain(|part| parts.contains(part));
            known.is_cleared |= is_cleared;
            if known.run_events < run_events {
                known.run_events = run_events;
                known.sent_at = now - Duration::from_millis(sent_age_ms.into());
            }
            return None;
        }
        let content = Content {
            fingerprint,
            shared_parts: parts.clone(),
        };
        let suspect = Suspect {
            parts,
            run_events,
            is_cleared,
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

    /// Records that the answer to a request that was sent at `sent_at` is under way: the request caused none of the crashes
    /// that it met as its answer began before that.
    pub(crate) fn note_under_way(
        &mut self,
        fingerprint: Fingerprint,
        sent_at: Moment,
        now: Moment,
    ) {
        for ((_, suspected), suspect) in &mut self.0 {
            let is_cleared = *suspected == fingerprint
                && suspect.run_events < BEGUN_EVENTS
                && suspect.crashed_at <= sent_at;
            if is_cleared && !suspect.is_cleared {
                suspect.is_cleared = true;
                suspect.report_urgently(now);
            }
        }
    }

    /// Clears a request that was answered completely: another request must have crashed its endpoints.
    pub(crate) fn note_answer(&mut self, fingerprint: Fingerprint, now: Moment) {
        for ((_, suspected), suspect) in &mut self.0 {
            if *suspected == fingerprint && !suspect.is_cleared {
                suspect.is_cleared = true;
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
                run_events: suspect.run_events,
                is_cleared: suspect.is_cleared,
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

    /// The block of a request for crashes that nothing else explains.
    fn request_block(&self, fingerprint: Fingerprint, now: Moment) -> Option<Block> {
        let own = self.crashes_of(fingerprint);
        if own.len() < MIN_CRASHES {
            return None;
        }
        let is_unexplained = |(crash, suspect): &(&EndpointIncarnation, &&Suspect)| {
            !self.is_explained(**crash, fingerprint, own.len())
                && !self.has_others_at(suspect.crashed_at, &own)
        };
        let own: BTreeMap<_, _> = own.iter().filter(is_unexplained).collect();
        let times = |is_meant: &dyn Fn(&Suspect) -> bool| {
            let meant = own.values().filter(|suspect| is_meant(suspect));
            separate_crashes(meant.map(|suspect| suspect.times()))
        };
        let alike = own
            .values()
            .map(|one| times(&|other| one.is_at_point_of(other)));
        let alike = alike.max().unwrap_or(0);
        let all = times(&|_| true);
        let has_companion = self
            .requests_in_all(own.keys().copied().copied())
            .any(|other| other != fingerprint);
        let crashes = match (alike, all) {
            (MIN_CRASHES.., _) if !has_companion => alike,
            (MIN_UNCERTAIN_CRASHES.., _) => alike,
            (_, MIN_UNCERTAIN_CRASHES..) if !has_companion => all,
            _ => return None,
        };
        let last = own.values().map(|suspect| suspect.crashed_at).max()?;
        let until = last + BLOCK_DURATION;
        (now <= until).then_some(Block {
            cause: BlockCause::Request,
            crashes,
            until,
        })
    }

    /// Requests that are suspected of each of some crashes.
    fn requests_in_all(
        &self,
        mut crashes: impl Iterator<Item = EndpointIncarnation> + Clone,
    ) -> impl Iterator<Item = Fingerprint> {
        let first = crashes.next();
        let records = self.0.iter();
        let suspects = records
            .filter(move |((crash, _), suspect)| Some(*crash) == first && !suspect.is_cleared);
        let suspects = suspects.map(|((_, fingerprint), _)| *fingerprint);
        suspects.filter(move |fingerprint| {
            let its_crashes = self.crashes_of(*fingerprint);
            crashes
                .clone()
                .all(|crash| its_crashes.contains_key(&crash))
        })
    }

    /// Crashes of which a request is suspected.
    fn crashes_of(&self, fingerprint: Fingerprint) -> BTreeMap<EndpointIncarnation, &Suspect> {
        let records = self.0.iter();
        let own = records
            .filter(|((_, suspected), suspect)| *suspected == fingerprint && !suspect.is_cleared);
        own.map(|((crash, _), suspect)| (*crash, suspect)).collect()
    }

    /// Whether other endpoints, without this request, crashed at the same time.
    fn has_others_at(&self, moment: Moment, own: &BTreeMap<EndpointIncarnation, &Suspect>) -> bool {
        self.0.iter().any(|((crash, _), other)| {
            let distance = other
                .crashed_at
                .since(moment)
                .max(moment.since(other.crashed_at));
            distance <= SAME_MOMENT && !own.contains_key(crash)
        })
    }

    /// Whether another request, or a prompt part that a request lacks, explains a crash better than the request itself, which
    /// is suspected of `own_count` crashes.
    fn is_explained(
        &self,
        crash: EndpointIncarnation,
        fingerprint: Fingerprint,
        own_count: usize,
    ) -> bool {
        let own_parts = self.0.get(&(crash, fingerprint));
        let own_parts = own_parts.map_or(&[][..], |suspect| &suspect.parts);
        let others = self.0.iter();
        let mut others = others.filter(|((at, other), _)| *at == crash && *other != fingerprint);
        others.any(|((_, other), suspect)| {
            let explains_by_part = |part: &&PromptPart| {
                let crashes = self.crashes_with(**part).into_values();
                !own_parts.contains(part) && consecutive_crashes(crashes) >= MIN_CRASHES
            };
            let its_crashes = self.crashes_of(*other);
            let count = its_crashes.len();
            let times = its_crashes.into_values().map(Suspect::times);
            let explains_by_count = count > own_count
                && !suspect.is_cleared
                && consecutive_crashes(times) >= MIN_CRASHES;
            explains_by_count || suspect.parts.iter().any(|part| explains_by_part(&part))
        })
    }

    /// The block of the prompt parts that explain most crashes, if a request has all of them.
    ///
    /// Parts with the same crashes are equally likely to be the cause. A request with only some of them is sent: its answer
    /// clears them, and a crash incriminates them.
    fn part_block(&self, parts: &[PromptPart], now: Moment) -> Option<Block> {
        let blocks = parts.iter().filter_map(|part| {
            let crashes = self.crashes_with(*part);
            let count = consecutive_crashes(crashes.values().copied());
            let doublings = u32::try_from(count.checked_sub(MIN_CRASHES)?).unwrap_or(u32::MAX);
            let first = crashes.values().map(|times| times.crashed_at).min()?;
            let last = crashes.values().map(|times| times.crashed_at).max()?;
            let is_by_one = || {
                self.requests_in_all(crashes.keys().copied())
                    .next()
                    .is_some()
            };
            if last.since(first) < MIN_PART_EVIDENCE && is_by_one() {
                return None;
            }
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
                let times = suspect.times();
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
fn consecutive_crashes(crashes: impl Iterator<Item = CrashTimes>) -> usize {
    count_crashes(crashes, |times, last| times.sent_at >= last)
}

/// Number of crashes that don't belong to one event, also those of a request that comes again before its last run has crashed.
fn separate_crashes(crashes: impl Iterator<Item = CrashTimes>) -> usize {
    count_crashes(crashes, |times, last| {
        times.sent_at >= last || times.crashed_at >= last + SEPARATE_CRASHES
    })
}

/// Counts crashes in the order of time, those that count after the last counted one.
fn count_crashes(
    crashes: impl Iterator<Item = CrashTimes>,
    counts_after: impl Fn(&CrashTimes, Moment) -> bool,
) -> usize {
    let mut times: Vec<_> = crashes.collect();
    times.sort_by_key(|times| times.crashed_at);
    let mut last_counted: Option<Moment> = None;
    let mut count = 0;
    for times in times {
        if last_counted.is_none_or(|last| counts_after(&times, last)) {
            last_counted = Some(times.crashed_at);
            count += 1;
        }
    }
    count
}
