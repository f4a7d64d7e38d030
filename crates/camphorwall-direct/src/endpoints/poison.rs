//! Finds out what crashes endpoints, a whole request or a part of its prompt, and blocks requests that contain it.
//!
//! Every request that was at an endpoint when it crashed is a suspect, whatever it had received. A request is blamed for
//! crashes that it met at the same point of its run, each after the one before, and that no other suspect explains: one that
//! only ran beside a harmful one, or at endpoints that were killed, meets them at points that differ, or with companions.
//!
//! So are all prompt parts of these requests. A part is cleared of a crash by an answer to a request that contains it, once the
//! answer has ended and has come as far, or by several that were shorter. That an answer has begun shows nothing, since the
//! crash may follow.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::crash_evidence::{
    BEGUN_EVENTS, Crash, MIN_CRASHES, PartEvidence, SAME_MOMENT, consecutive_crashes, crash_rounds,
    distinct_crashes, separate_crashes, separate_events,
};
use crate::{clock::Moment, configuration::EndpointIncarnation, dialect::PromptPart};

/// Number of crashes for what is less certain: those that a request met with a companion, or at points that differ, and those
/// of a prompt part after the beginning of an answer, where other streams were under way too.
const MIN_UNCERTAIN_CRASHES: usize = 5;

/// Time over which the crashes of one request must extend to incriminate its prompt parts, so that answers to other requests can
/// clear them meanwhile.
const MIN_PART_EVIDENCE: Duration = Duration::from_millis(300);

/// Number of complete answers that clear a prompt part of a crash before which a request with it had come further.
const CLEARING_ANSWERS: u32 = 3;

/// Time after the last crash for which a request or a prompt part with the minimum of crashes isn't tried.
const BLOCK_DURATION: Duration = Duration::from_secs(60);

/// Factor on that time for each further crash. Few crashes follow even if such requests come for hours.
const BLOCK_GROWTH: u32 = 4;

/// Upper limit on that time, and retention time of crash records.
const MAX_BLOCK_DURATION: Duration = Duration::from_secs(24 * 3_600);

/// Number of records at which one is dropped for a new one.
const MAX_RECORDS: usize = 512;

/// Number of heartbeats that report a new or changed record at once, since datagrams may be lost.
const URGENT_REPORTS: u32 = 3;

/// Time after which a record is reported again, for entries that have started or were unreachable.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Divisor of a record's age that gives the time after which it is reported again if it has nothing in common with other
/// crashes.
const LONE_REPORT_PART: u32 = 16;

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

/// Why a request is blocked. It is blocked until what crashes endpoints has been tried with success.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Block {
    pub(crate) cause: BlockCause,
    /// Identifies what is blocked, the same at all entries.
    pub(crate) key: u64,
    pub(crate) crashes: usize,
    /// Time until which it isn't tried.
    pub(crate) until: Moment,
}

impl Block {
    fn new(
        cause: BlockCause,
        fingerprint: Fingerprint,
        number: usize,
        crashes: impl Iterator<Item = Crash> + Clone,
    ) -> Option<Self> {
        let last = crashes.clone().map(|crash| crash.crashed_at).max()?;
        // Crashes before the first block don't make it longer.
        let rounds = crash_rounds(crashes, BLOCK_DURATION);
        let further = u32::try_from(rounds.saturating_sub(1)).unwrap_or(u32::MAX);
        let duration = BLOCK_DURATION.saturating_mul(BLOCK_GROWTH.saturating_pow(further));
        let key = match &cause {
            BlockCause::Request => fingerprint.0,
            BlockCause::Parts(parts) => {
                let names = parts.iter().flat_map(|part| part.0.to_le_bytes());
                xxh3_64(&names.collect::<Vec<_>>())
            }
        };
        Some(Self {
            cause,
            key,
            crashes: number,
            until: last + duration.min(MAX_BLOCK_DURATION),
        })
    }

    /// Whether what is blocked may not be tried yet.
    pub(crate) fn is_in_force(&self, now: Moment) -> bool {
        now <= self.until
    }
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
    parts: Vec<SuspectedPart>,
    /// Events that the endpoint had sent.
    run_events: u32,
    /// Whether the request went further later, so that another one caused the crash.
    is_cleared: bool,
    sent_at: Moment,
    crashed_at: Moment,
    urgent_reports: u32,
    /// When the record was last reported, or came from a peer.
    reported_at: Moment,
}

/// A prompt part that may have caused a crash.
#[derive(Clone, Copy, Debug)]
struct SuspectedPart {
    part: PromptPart,
    /// Complete answers to requests with the part since the crash.
    answers: u32,
}

fn suspected(parts: Vec<PromptPart>) -> Vec<SuspectedPart> {
    let parts = parts.into_iter();
    let parts = parts.map(|part| SuspectedPart { part, answers: 0 });
    parts.collect()
}

impl Suspect {
    /// Parts of its prompt that may be the cause.
    fn parts(&self) -> impl Iterator<Item = PromptPart> {
        self.parts.iter().map(|suspected| suspected.part)
    }

    fn suspects_part(&self, part: PromptPart) -> bool {
        self.parts().any(|suspected| suspected == part)
    }

    fn crash(&self) -> Crash {
        Crash {
            crashed_at: self.crashed_at,
            sent_at: self.sent_at,
            run_events: self.run_events,
            answers: 0,
        }
    }

    /// Adds another run of the request at the endpoint. The one that had come furthest counts, and of equal ones the last.
    /// Returns whether that is another one than before.
    fn add_run(&mut self, run_events: u32, sent_at: Moment) -> bool {
        // The time that reports take makes the same run look later.
        let known = (self.run_events, self.sent_at + SAME_MOMENT);
        let counts = run_events > self.run_events || (run_events, sent_at) > known;
        if counts {
            (self.run_events, self.sent_at) = (run_events, sent_at);
        }
        counts
    }

    const fn report_urgently(&mut self) {
        self.urgent_reports = URGENT_REPORTS;
    }

    fn is_due(&self, is_telling: bool, now: Moment) -> bool {
        let lone_period = now.since(self.crashed_at) / LONE_REPORT_PART;
        let period = if is_telling {
            REPORT_PERIOD
        } else {
            REPORT_PERIOD.max(lone_period)
        };
        self.urgent_reports > 0 || now.since(self.reported_at) >= period
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

/// Suspects of crashes.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    /// By the start of the endpoint that ended with the crash and by request.
    records: HashMap<(EndpointIncarnation, Fingerprint), Suspect>,
    /// What the records have in common; `None` when they have changed.
    recurrent: Option<Recurrent>,
}

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
        if let Some(known) = self.records.get_mut(&(crash, content.fingerprint)) {
            if known.add_run(run_events, sent_at) {
                known.report_urgently();
            }
            return;
        }
        let suspect = Suspect {
            parts: suspected(content.shared_parts.clone()),
            run_events,
            is_cleared: false,
            sent_at,
            crashed_at,
            urgent_reports: URGENT_REPORTS,
            reported_at: crashed_at,
        };
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
        if let Some(known) = self.records.get_mut(&(crash, fingerprint)) {
            let is_suspected = |known: &SuspectedPart| parts.contains(&known.part);
            let (parts_known, was_cleared) = (known.parts.len(), known.is_cleared);
            known.parts.retain(is_suspected);
            known.is_cleared |= is_cleared;
            if (known.parts.len(), known.is_cleared) != (parts_known, was_cleared) {
                self.recurrent = None;
            }
            known.add_run(run_events, now - Duration::from_millis(sent_age_ms.into()));
            return None;
        }
        let content = Content {
            fingerprint,
            shared_parts: parts.clone(),
        };
        let suspect = Suspect {
            parts: suspected(parts),
            run_events,
            is_cleared,
            sent_at: now - Duration::from_millis(sent_age_ms.into()),
            crashed_at: now - Duration::from_millis(crash_age_ms.into()),
            urgent_reports: 0,
            reported_at: now,
        };
        self.insert(crash, fingerprint, suspect);
        Some(content)
    }

    fn insert(&mut self, crash: EndpointIncarnation, fingerprint: Fingerprint, suspect: Suspect) {
        if self.records.len() >= MAX_RECORDS {
            let recurrent = recurrent(&self.records);
            let dropped = self
                .records
                .iter()
                .min_by_key(|(key, other)| (recurrent.is_telling(key.1, other), other.crashed_at));
            let dropped = dropped.map(|(key, _)| *key);
            dropped.map(|key| self.records.remove(&key));
        }
        self.records.insert((crash, fingerprint), suspect);
        self.recurrent = None;
    }

    /// Records that the answer to a request that was sent at `sent_at` is under way: the request caused none of the crashes
    /// that it met as its answer began before that.
    pub(crate) fn note_under_way(&mut self, fingerprint: Fingerprint, sent_at: Moment) {
        for ((_, suspected), suspect) in &mut self.records {
            let is_cleared = *suspected == fingerprint
                && suspect.run_events < BEGUN_EVENTS
                && suspect.crashed_at <= sent_at;
            if is_cleared && !suspect.is_cleared {
                suspect.is_cleared = true;
                suspect.report_urgently();
                self.recurrent = None;
            }
        }
    }

    /// Records an answer that ended as its endpoint meant it to, after a number of events: another request must have crashed
    /// the request's endpoints, and other parts those that its own had not come further before.
    pub(crate) fn note_answer(&mut self, content: &Content, run_events: u32) {
        self.note_end(content.fingerprint);
        for suspect in self.records.values_mut() {
            let known = suspect.parts.len();
            let came_as_far = run_events >= suspect.run_events;
            suspect.parts.retain_mut(|suspected| {
                if !content.shared_parts.contains(&suspected.part) {
                    return true;
                }
                suspected.answers += 1;
                !came_as_far && suspected.answers < CLEARING_ANSWERS
            });
            if suspect.parts.len() < known {
                suspect.report_urgently();
                self.recurrent = None;
            }
        }
    }

    /// Clears a request whose answer ended, be it an error: another request must have crashed its endpoints.
    pub(crate) fn note_end(&mut self, fingerprint: Fingerprint) {
        for ((_, suspected), suspect) in &mut self.records {
            if *suspected == fingerprint && !suspect.is_cleared {
                suspect.is_cleared = true;
                suspect.report_urgently();
                self.recurrent = None;
            }
        }
    }

    /// Takes the records that the next heartbeat reports, those that are due longest first.
    pub(crate) fn report(&mut self, now: Moment) -> Vec<ReportedSuspect> {
        let known = self.records.len();
        self.records
            .retain(|_, suspect| now.since(suspect.crashed_at) < MAX_BLOCK_DURATION);
        if self.records.len() < known {
            self.recurrent = None;
        }
        let records = &mut self.records;
        let recurrent = self.recurrent.get_or_insert_with(|| recurrent(records));
        let due = records.iter_mut().filter(|(key, suspect)| {
            let is_telling = recurrent.is_telling(key.1, suspect);
            suspect.is_due(is_telling, now)
        });
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, suspect)| (suspect.urgent_reports == 0, suspect.reported_at));
        due.truncate(MAX_REPORTS);
        let age_ms = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let report = |(key, suspect): (&(EndpointIncarnation, Fingerprint), &mut Suspect)| {
            suspect.urgent_reports = suspect.urgent_reports.saturating_sub(1);
            suspect.reported_at = now;
            ReportedSuspect {
                crash: key.0,
                fingerprint: key.1,
                parts: suspect.parts().collect(),
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
        self.records.len()
    }

    /// Whether an endpoint crashed on a request.
    pub(crate) fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        let mut records = self.records.iter();
        records.any(|((_, suspected), suspect)| *suspected == fingerprint && !suspect.is_cleared)
    }

    /// Why a request must not be sent, unless as a trial; `None` if it may be.
    #[must_use]
    pub(crate) fn block(&self, content: &Content) -> Option<Block> {
        if self.records.is_empty() {
            return None;
        }
        let request = self.request_block(content.fingerprint);
        let blocks = self.part_block(content).into_iter().chain(request);
        blocks.max_by_key(|block| block.until)
    }

    /// The block of a request for crashes that nothing else explains.
    fn request_block(&self, fingerprint: Fingerprint) -> Option<Block> {
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
            separate_crashes(meant.map(|suspect| suspect.crash()))
        };
        let alike = own
            .values()
            .map(|one| times(&|other| one.crash().is_at_point_of(&other.crash())));
        let alike = alike.max().unwrap_or(0);
        let all = times(&|_| true);
        let moments = distinct_crashes(own.values().map(|suspect| suspect.crash()));
        let has_companion = self
            .requests_in_all(own.keys().copied().copied())
            .any(|other| other != fingerprint);
        let crashes = match (alike, all) {
            (MIN_CRASHES.., _) if !has_companion => alike,
            (MIN_UNCERTAIN_CRASHES.., _) => alike,
            (_, MIN_UNCERTAIN_CRASHES..) if !has_companion => all,
            // Copies that run at the same time crash their endpoints one after another.
            _ if moments >= MIN_UNCERTAIN_CRASHES && !has_companion => moments,
            _ => return None,
        };
        let own = own.values().map(|suspect| suspect.crash());
        Block::new(BlockCause::Request, fingerprint, crashes, own)
    }

    /// Requests that are suspected of each of some crashes.
    fn requests_in_all(
        &self,
        mut crashes: impl Iterator<Item = EndpointIncarnation> + Clone,
    ) -> impl Iterator<Item = Fingerprint> {
        let first = crashes.next();
        let records = self.records.iter();
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
        let records = self.records.iter();
        let own = records
            .filter(|((_, suspected), suspect)| *suspected == fingerprint && !suspect.is_cleared);
        own.map(|((crash, _), suspect)| (*crash, suspect)).collect()
    }

    /// Whether other endpoints, without this request, crashed at the same time.
    fn has_others_at(&self, moment: Moment, own: &BTreeMap<EndpointIncarnation, &Suspect>) -> bool {
        self.records.iter().any(|((crash, _), other)| {
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
        let own_parts = self.records.get(&(crash, fingerprint));
        let own_parts: Vec<_> = own_parts.map_or_else(Vec::new, |own| own.parts().collect());
        let others = self.records.iter();
        let mut others = others.filter(|((at, other), _)| *at == crash && *other != fingerprint);
        others.any(|((_, other), suspect)| {
            let explains_by_part = |part: &PromptPart| {
                let crashes = self.crashes_with(*part);
                let evidence = PartEvidence::of(&crashes);
                !own_parts.contains(part) && self.part_crashes(&crashes, &evidence).is_some()
            };
            let its_crashes = self.crashes_of(*other);
            let count = its_crashes.len();
            let crashes = its_crashes.into_values().map(Suspect::crash);
            let explains_by_count = count > own_count
                && !suspect.is_cleared
                && consecutive_crashes(crashes) >= MIN_CRASHES;
            explains_by_count || suspect.parts().any(|part| explains_by_part(&part))
        })
    }

    /// The block of the prompt parts that explain most crashes, if a request has all of them.
    ///
    /// Parts with the same crashes are equally likely to be the cause. A request with only some of them is sent: its answer
    /// clears them, and a crash incriminates them.
    fn part_block(&self, content: &Content) -> Option<Block> {
        let parts = &content.shared_parts;
        let blocks = parts.iter().filter_map(|part| {
            let crashes = self.crashes_with(*part);
            let evidence = PartEvidence::of(&crashes);
            let count = self.part_crashes(&crashes, &evidence)?;
            let first = crashes.values().map(|crash| crash.crashed_at).min()?;
            let last = crashes.values().map(|crash| crash.crashed_at).max()?;
            let is_conclusive = evidence.is_certain && last.since(first) >= MIN_PART_EVIDENCE;
            if !is_conclusive && self.is_by_one_request(*part, &crashes) {
                return None;
            }
            let alike = self.inseparable_parts(*part, &crashes)?;
            let is_blocked = alike.iter().all(|part| parts.contains(part));
            let (cause, crashes) = (BlockCause::Parts(alike), crashes.values().copied());
            let block = Block::new(cause, content.fingerprint, count, crashes);
            block.filter(|_| is_blocked)
        });
        blocks.max_by_key(|block| block.until)
    }

    /// Whether one request with a part was in all of some crashes, so that the request may be the cause and not the part.
    fn is_by_one_request(
        &self,
        part: PromptPart,
        crashes: &BTreeMap<EndpointIncarnation, Crash>,
    ) -> bool {
        let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
        for ((crash, fingerprint), suspect) in &self.records {
            if crashes.contains_key(crash) && suspect.suspects_part(part) {
                *counts.entry(*fingerprint).or_default() += 1;
            }
        }
        counts.into_values().any(|count| count == crashes.len())
    }

    /// Number of crashes that incriminate a prompt part, of those with the part; `None` if they don't.
    fn part_crashes(
        &self,
        crashes: &BTreeMap<EndpointIncarnation, Crash>,
        evidence: &PartEvidence,
    ) -> Option<usize> {
        if evidence.is_certain {
            return Some(evidence.crashes.max(MIN_CRASHES));
        }
        let required = MIN_UNCERTAIN_CRASHES + evidence.answers;
        if evidence.crashes < required {
            return None;
        }
        let unexplained = crashes.iter();
        let unexplained =
            unexplained.filter(|(crash, _)| !self.is_explained_by_part(**crash, evidence));
        let count = separate_events(unexplained.map(|(_, crash)| *crash));
        (count >= required).then_some(count)
    }

    /// Whether there is more evidence against another prompt part that was in a crash.
    fn is_explained_by_part(&self, crash: EndpointIncarnation, evidence: &PartEvidence) -> bool {
        let records = self.records.iter().filter(|((at, _), _)| *at == crash);
        let mut parts = records.flat_map(|(_, suspect)| suspect.parts());
        parts.any(|other| PartEvidence::of(&self.crashes_with(other)).is_stronger_than(evidence))
    }

    /// Crashes of which a part is suspected, each at the furthest point that a request with the part had reached.
    fn crashes_with(&self, part: PromptPart) -> BTreeMap<EndpointIncarnation, Crash> {
        let mut crashes = BTreeMap::new();
        for ((incarnation, _), suspect) in &self.records {
            if let Some(suspected) = suspect.parts.iter().find(|known| known.part == part) {
                let crash = Crash {
                    answers: suspected.answers,
                    ..suspect.crash()
                };
                let known = crashes.entry(*incarnation).or_insert(crash);
                known.crashed_at = known.crashed_at.min(crash.crashed_at);
                known.sent_at = known.sent_at.max(crash.sent_at);
                known.run_events = known.run_events.max(crash.run_events);
                known.answers = known.answers.max(crash.answers);
            }
        }
        crashes
    }

    /// The parts that were in the same requests and in exactly the same crashes as a part, with the part itself; `None` if
    /// another part of these requests was in all these crashes and in more.
    fn inseparable_parts(
        &self,
        part: PromptPart,
        crashes: &BTreeMap<EndpointIncarnation, Crash>,
    ) -> Option<Vec<PromptPart>> {
        let with_part = self
            .records
            .values()
            .filter(|suspect| suspect.suspects_part(part));
        let companions: BTreeSet<_> = with_part.flat_map(Suspect::parts).collect();
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

/// Parts and requests that were in several crashes.
#[derive(Debug, Default)]
struct Recurrent {
    parts: HashSet<PromptPart>,
    requests: HashSet<Fingerprint>,
}

impl Recurrent {
    /// Whether a record has something in common with another crash.
    fn is_telling(&self, fingerprint: Fingerprint, suspect: &Suspect) -> bool {
        let mut parts = suspect.parts.iter();
        self.requests.contains(&fingerprint) || parts.any(|known| self.parts.contains(&known.part))
    }
}

fn recurrent(records: &HashMap<(EndpointIncarnation, Fingerprint), Suspect>) -> Recurrent {
    let mut parts = HashMap::new();
    let mut requests = HashMap::new();
    let mut recurrent = Recurrent::default();
    for ((crash, fingerprint), suspect) in records {
        for part in suspect.parts() {
            if parts.entry(part).or_insert(crash) != &crash {
                recurrent.parts.insert(part);
            }
        }
        if !suspect.is_cleared && requests.entry(*fingerprint).or_insert(crash) != &crash {
            recurrent.requests.insert(*fingerprint);
        }
    }
    recurrent
}
