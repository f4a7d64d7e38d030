//! Plays the load on engines of unequal and changing speed without a network, with the present choice and with the one
//! by expected times, and compares what callers get.
//!
//! Several entries place requests at one pool. Each knows its own work at once, that of the others after a heartbeat,
//! and of the engines only what their answers show.

use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    balance::{
        choice::{
            CacheEvidence, Candidate, Expectation, choose_decode, choose_plain, choose_prefill,
            expect_plain, expect_prefill,
        },
        loads::Run,
        placement::kv_fill_limit,
        prefixes::{CacheState, PrefixIndex},
        speeds::Speeds,
    },
    configuration::{Endpoint, Stage},
    dialect::{PromptPart, SizedPart, StatedLoad},
    testing::{at_ms, endpoint},
};

const ENTRIES: usize = 4;
/// Time in which requests arrive.
const ARRIVALS_MS: u64 = 40_000;
/// Requests before this are not counted: the entries learn the speeds first.
const COUNTED_FROM_MS: u64 = 5_000;
/// Time until the placements of an entry are known at the others.
const REPORT_MS: u64 = 6;
const HEARTBEAT_MS: u64 = 40;
/// Usual prefill speed of an engine with a step of 1 ms.
const TOKENS_PER_MS: f64 = 50.0;
const PLAIN_MS: f64 = 30.0;
const PLAIN_SLOTS: u32 = 6;
/// Time of a generated token alone on an engine with a step of 1 ms, and what each run beside it adds.
const TOKEN_MS: f64 = 0.4;
const TOKEN_MS_PER_RUN: f64 = 0.012;
const EVENT_TOKENS: f64 = 72.0;
const DECODE_SLOTS: u32 = 12;
const CAPACITY_TOKENS: u64 = 106_978;
const SLOW_FACTOR: f64 = 2.5;
const PATIENCE_MS: u64 = 3_600;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Present,
    ExpectedTimes,
    /// A broken variant: what an engine states replaces what its answers show.
    BelievesStatements,
    /// A broken variant: an engine without a history counts as five times as fast as the mean.
    TrustsNewEngines,
    /// A broken variant: the engine that holds most of the prompt gets it.
    IgnoresWait,
}

/// What an engine states of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Statement {
    True,
    /// No work and the usual pace, whatever happens.
    Idle,
    /// The same figures for ever: some work and a slow machine.
    Frozen,
    /// Half the usual time and no work.
    Fast,
}

#[derive(Clone, Debug)]
struct Scenario {
    stage: Stage,
    /// Time of a step on each engine, in milliseconds.
    steps: Vec<f64>,
    statements: Vec<Statement>,
    requests_per_s: f64,
    /// Share of the time in which each machine is slow for 100 to 600 ms.
    slow_share: f64,
    /// Time in which all machines are slow.
    all_slow: std::ops::Range<u64>,
    /// When the last engines start.
    late: (usize, u64),
    lost_heartbeats: f64,
    shared: Option<SharedParts>,
    capacity_tokens: u64,
    /// When the first engine starts again at the same address, with an empty cache.
    restart_ms: u64,
}

/// Parts that prompts begin with.
#[derive(Clone, Copy, Debug)]
struct SharedParts {
    tokens: u32,
    count: u64,
    /// Share of the prompts that begin with the first one.
    popular_share: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            stage: Stage::Prefill,
            steps: vec![0.55, 0.68, 0.8, 0.93, 1.06, 1.2],
            statements: vec![Statement::True; 6],
            requests_per_s: 40.0,
            slow_share: 0.1,
            all_slow: 0..0,
            late: (0, 0),
            lost_heartbeats: 0.0,
            shared: None,
            capacity_tokens: CAPACITY_TOKENS,
            restart_ms: 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    at_ms: u64,
    entry: usize,
    prompt: u32,
    output: u32,
    /// Tokens of the answer as its caller estimates them.
    estimate: u32,
    parts: [SizedPart; 2],
}

impl Request {
    fn parts(&self) -> &[SizedPart] {
        if self.parts[0].tokens == 0 {
            &[]
        } else {
            &self.parts
        }
    }
}

#[derive(Clone, Debug)]
struct Job {
    request: Request,
    entry: usize,
    placed_ms: u64,
    /// When each other entry learns of it.
    known_from_ms: Vec<u64>,
    /// Work left, in milliseconds of an engine with a step of 1 ms; tokens left of a decode.
    left: f64,
    expectation: Option<Expectation>,
    is_started: bool,
    /// End of the pause in which a preempted decode is prefilled again.
    resumes_ms: u64,
    /// When the last measurement of a decode began, and the tokens left then.
    measured_from: (u64, f64),
    first_ms: Option<u64>,
}

impl Job {
    fn run(&self, stage: Stage) -> Run {
        let generated = if stage == Stage::Decode {
            f64::from(self.request.output) - self.left
        } else {
            0.0
        };
        let held = self.expectation.map_or(0, |expected| expected.held_tokens);
        Run {
            held_tokens: self.request.prompt - held + tokens(generated),
            left_tokens: if stage == Stage::Decode {
                let estimate = f64::from(self.request.estimate);
                tokens((estimate - generated).max(generated * 0.25))
            } else {
                0
            },
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range"
)]
fn tokens(count: f64) -> u32 {
    count.clamp(0.0, 1e9) as u32
}

struct Engine {
    endpoint: Endpoint,
    jobs: VecDeque<Job>,
    slow_until_ms: u64,
    placed: usize,
    placed_early: usize,
    longest: usize,
    placed_tokens: u64,
    /// Cached parts, the least recently used one first.
    cache: VecDeque<SizedPart>,
}

impl Engine {
    /// Takes a prompt into the cache and returns its tokens that are to be prefilled.
    fn begin_prefill(&mut self, request: &Request, capacity_tokens: u64) -> u32 {
        let parts = request.parts();
        let is_cached = |sized: &&SizedPart| self.cache.contains(sized);
        let held: u32 = parts
            .iter()
            .take_while(is_cached)
            .map(|sized| sized.tokens)
            .sum();
        for sized in parts {
            self.cache.retain(|cached| cached != sized);
            self.cache.push_back(*sized);
        }
        // Requests that wait at an engine hold no KV cache yet.
        let running = u64::from(request.prompt);
        let mut used = running
            + self
                .cache
                .iter()
                .map(|part| u64::from(part.tokens))
                .sum::<u64>();
        while used > capacity_tokens
            && let Some(evicted) = self.cache.pop_front()
        {
            used -= u64::from(evicted.tokens);
        }
        request.prompt - held
    }
}

/// What callers got: times to the first token or to the answer, in milliseconds.
#[derive(Clone, Debug, Default)]
struct Outcome {
    times: Vec<f64>,
    unserved: usize,
    /// Requests by engine.
    placed: Vec<usize>,
    /// Requests by engine in the 300 ms after the last engines have started.
    placed_early: Vec<usize>,
    /// Most requests at once by engine.
    longest: Vec<usize>,
    /// Tokens that were prefilled, and prefills that an engine was expected to hold a part of, by whether it did.
    prefilled_tokens: u64,
    held: usize,
    missed: usize,
    /// Decodes that were preempted because the KV cache was full.
    preempted: usize,
    /// Logarithms of the actual over the expected times.
    errors: Vec<f64>,
}

impl Outcome {
    fn mean(&self) -> f64 {
        self.times.iter().sum::<f64>() / self.times.len() as f64
    }

    fn percentile(&self, share: f64) -> f64 {
        let mut times = self.times.clone();
        times.sort_by(f64::total_cmp);
        times[tokens((times.len() - 1) as f64 * share) as usize]
    }

    /// Share of the requests that an engine got.
    fn share(&self, engine: usize) -> f64 {
        self.placed[engine] as f64 / self.placed.iter().sum::<usize>() as f64
    }
}

struct Play {
    scenario: Scenario,
    policy: Policy,
    random: ChaCha8Rng,
    engines: Vec<Engine>,
    speeds: Vec<Speeds>,
    prefixes: Vec<PrefixIndex>,
    waiting: VecDeque<Request>,
    outcome: Outcome,
}

impl Play {
    fn new(scenario: &Scenario, policy: Policy, seed: u64) -> Self {
        let slots = match scenario.stage {
            Stage::Prefill => 1,
            Stage::Decode => DECODE_SLOTS,
            Stage::Whole => PLAIN_SLOTS,
        };
        let engine = |index: usize| Engine {
            endpoint: Endpoint {
                slots,
                ..endpoint(&format!("e{index}"), scenario.stage)
            },
            jobs: VecDeque::new(),
            slow_until_ms: 0,
            placed: 0,
            placed_early: 0,
            longest: 0,
            placed_tokens: 0,
            cache: VecDeque::new(),
        };
        Self {
            scenario: scenario.clone(),
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: (0..scenario.steps.len()).map(engine).collect(),
            speeds: (0..ENTRIES).map(|_| Speeds::default()).collect(),
            prefixes: (0..ENTRIES).map(|_| PrefixIndex::default()).collect(),
            waiting: VecDeque::new(),
            outcome: Outcome::default(),
        }
    }

    fn log_normal(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        (0.47 * (sum - 6.0)).exp()
    }

    fn slowdown(&self, engine: usize, now_ms: u64) -> f64 {
        let is_slow =
            now_ms < self.engines[engine].slow_until_ms || self.scenario.all_slow.contains(&now_ms);
        if is_slow { SLOW_FACTOR } else { 1.0 }
    }

    fn is_started(&self, engine: usize, now_ms: u64) -> bool {
        let (count, from_ms) = self.scenario.late;
        engine + count < self.engines.len() || now_ms >= from_ms
    }

    fn candidates(&self, request: &Request, now_ms: u64) -> (Vec<usize>, Vec<Candidate>) {
        let entry = request.entry;
        let stage = self.scenario.stage;
        let candidate = |index: usize| {
            let engine = &self.engines[index];
            let is_known = |job: &&Job| job.entry == entry || job.known_from_ms[entry] <= now_ms;
            let known = engine.jobs.iter().filter(is_known);
            let runs: Vec<_> = known.map(|job| job.run(stage)).collect();
            let mut speed = self.speeds[entry].expected(&engine.endpoint, at_ms(now_ms));
            if self.policy == Policy::BelievesStatements
                && self.scenario.statements[index] == Statement::Fast
            {
                speed.slowness = 0.5;
            }
            if self.policy == Policy::TrustsNewEngines && (speed.slowness - 1.0).abs() < 1e-9 {
                speed.slowness = 0.2;
            }
            let cache = CacheState {
                placed_tokens: engine.placed_tokens,
                running_tokens: runs.iter().map(|run| u64::from(run.held_tokens)).sum(),
                capacity_tokens: self.scenario.capacity_tokens,
            };
            let incarnation = engine.endpoint.incarnation();
            let prefixes = &self.prefixes[entry];
            speed.held_tokens =
                prefixes.held_tokens(incarnation, request.parts(), cache, at_ms(now_ms));
            Candidate {
                runs,
                slots: engine.endpoint.slots,
                is_near: true,
                speed: (self.policy != Policy::Present).then_some(speed),
                ..Candidate::default()
            }
        };
        let started = (0..self.engines.len()).filter(|index| self.is_started(*index, now_ms));
        let indices: Vec<_> = started.collect();
        let candidates = indices.iter().map(|index| candidate(*index)).collect();
        (indices, candidates)
    }

    fn place(&mut self, request: Request, now_ms: u64) -> bool {
        let (mut indices, mut candidates) = self.candidates(&request, now_ms);
        // Endpoints come in random order.
        for last in (1..indices.len()).rev() {
            let other = self.random.random_range(0..=last);
            indices.swap(last, other);
            candidates.swap(last, other);
        }
        let run = Run {
            held_tokens: request.prompt,
            left_tokens: request.estimate,
        };
        let stage = self.scenario.stage;
        let chosen = match stage {
            Stage::Prefill if self.policy == Policy::IgnoresWait => {
                let held = |index: &usize| {
                    let speed = &candidates[*index].speed;
                    speed.as_ref().map_or(0, |speed| speed.held_tokens)
                };
                (0..candidates.len()).max_by_key(held)
            }
            Stage::Prefill => choose_prefill(&candidates, request.prompt),
            Stage::Decode => choose_decode(&candidates, run, CAPACITY_TOKENS, kv_fill_limit(false)),
            Stage::Whole => choose_plain(&candidates),
        };
        let Some(chosen) = chosen else { return false };
        let candidate = &candidates[chosen];
        let expectation = match stage {
            Stage::Prefill => expect_prefill(candidate, request.prompt, request.parts[0].tokens),
            Stage::Decode => None,
            Stage::Whole => expect_plain(candidate),
        };
        let known_from_ms = (0..ENTRIES).map(|_| {
            let is_lost = self.random.random::<f64>() < self.scenario.lost_heartbeats;
            now_ms + REPORT_MS + if is_lost { HEARTBEAT_MS } else { 0 }
        });
        let left = match stage {
            Stage::Prefill => f64::from(request.prompt) / TOKENS_PER_MS,
            Stage::Decode => f64::from(request.output),
            Stage::Whole => PLAIN_MS * f64::from(request.prompt) / 4_600.0,
        };
        let job = Job {
            request,
            entry: request.entry,
            placed_ms: now_ms,
            known_from_ms: known_from_ms.collect(),
            left,
            expectation,
            is_started: false,
            resumes_ms: 0,
            measured_from: (now_ms, left),
            first_ms: None,
        };
        let engine = &mut self.engines[indices[chosen]];
        engine.placed_tokens += u64::from(job.run(stage).held_tokens);
        let (incarnation, placed) = (engine.endpoint.incarnation(), engine.placed_tokens);
        let prefixes = &mut self.prefixes[request.entry];
        prefixes.note_sent(incarnation, request.parts(), placed, at_ms(now_ms));
        engine.jobs.push_back(job);
        engine.placed += 1;
        let (_, late_ms) = self.scenario.late;
        if (late_ms..late_ms + 300).contains(&now_ms) {
            engine.placed_early += 1;
        }
        engine.longest = engine.longest.max(engine.jobs.len());
        true
    }

    /// Lets an engine work for a millisecond and returns the jobs that are done.
    fn step_engine(&mut self, index: usize, now_ms: u64) -> Vec<Job> {
        let stage = self.scenario.stage;
        let pace = self.scenario.steps[index] * self.slowdown(index, now_ms);
        let engine = &mut self.engines[index];
        let runs = engine.jobs.len() as f64;
        let mut is_done = Vec::new();
        if stage == Stage::Decode {
            let progress = 1.0 / (pace * (TOKEN_MS + TOKEN_MS_PER_RUN * runs));
            let mut held = 0.0;
            for job in &mut engine.jobs {
                if now_ms < job.resumes_ms {
                    continue;
                }
                let own = f64::from(job.request.prompt) + f64::from(job.request.output) - job.left;
                if held + own > CAPACITY_TOKENS as f64 {
                    // The KV cache is full: the latest runs are preempted.
                    job.resumes_ms = now_ms + u64::from(tokens(own / TOKENS_PER_MS));
                    self.outcome.preempted += 1;
                    continue;
                }
                held += own;
                job.left -= progress;
                let generated = f64::from(job.request.output) - job.left;
                if job.first_ms.is_none() && generated >= EVENT_TOKENS {
                    job.first_ms = Some(now_ms);
                }
            }
            is_done.extend(engine.jobs.iter().map(|job| job.left <= 0.0));
        } else {
            let slots = engine.endpoint.slots as usize;
            if stage == Stage::Prefill
                && let Some(Job {
                    is_started: false,
                    request,
                    ..
                }) = engine.jobs.front().cloned()
            {
                let prefilled = engine.begin_prefill(&request, self.scenario.capacity_tokens);
                self.outcome.prefilled_tokens += u64::from(prefilled);
                engine.jobs[0].left = f64::from(prefilled) / TOKENS_PER_MS;
                engine.jobs[0].is_started = true;
            }
            let mut budget = 1.0 / pace;
            for (position, job) in engine.jobs.iter_mut().enumerate() {
                if stage == Stage::Whole && position < slots {
                    job.left -= 1.0 / pace;
                } else if stage == Stage::Prefill && job.is_started && budget > 0.0 {
                    let used = budget.min(job.left);
                    job.left -= used;
                    budget -= used;
                }
                is_done.push(job.left <= 1e-9);
            }
        }
        let mut done = Vec::new();
        for position in (0..is_done.len()).rev() {
            if is_done[position] {
                done.extend(engine.jobs.remove(position));
            }
        }
        done
    }

    /// Shows an entry an answer of an engine.
    fn note_answer(&mut self, index: usize, entry: usize, now_ms: u64) {
        let now = at_ms(now_ms);
        let engine = &self.engines[index];
        let is_known = |job: &&Job| job.entry == entry || job.known_from_ms[entry] <= now_ms;
        let known_runs = engine.jobs.iter().filter(is_known).count();
        let runs = u32::try_from(engine.jobs.len()).expect("few jobs");
        let slots = engine.endpoint.slots;
        let pace = tokens(100.0 * self.slowdown(index, now_ms));
        let (runs, pace_percent) = match self.scenario.statements[index] {
            Statement::True => (runs, pace),
            Statement::Idle => (0, 100),
            Statement::Frozen => (2, 250),
            Statement::Fast => (0, 50),
        };
        let stated = StatedLoad {
            running: runs.min(slots),
            waiting: runs.saturating_sub(slots),
            slots,
            pace_percent: Some(pace_percent),
        };
        self.speeds[entry].note_load(&engine.endpoint, stated, known_runs, now);
    }

    fn finish(&mut self, index: usize, job: &Job, now_ms: u64) {
        let time = at_ms(now_ms).since(at_ms(job.placed_ms));
        self.note_answer(index, job.entry, now_ms);
        let speeds = &mut self.speeds[job.entry];
        let endpoint = &self.engines[index].endpoint;
        let time_ms = (now_ms - job.request.at_ms) as f64;
        let first_ms = job.first_ms.unwrap_or(now_ms) - job.request.at_ms;
        let is_counted = job.request.at_ms >= COUNTED_FROM_MS;
        if let Some(expected) = job.expectation {
            let actual_ms = (now_ms - job.placed_ms).max(1) as f64;
            let evidence = expected.cache_evidence(actual_ms);
            if evidence == CacheEvidence::Expected {
                let time = time.div_f64(expected.waves);
                speeds.observe(endpoint, expected.size, time, at_ms(now_ms));
            }
            if is_counted {
                self.outcome
                    .errors
                    .push((actual_ms / expected.time_ms).ln());
            }
            if expected.held_tokens > 0 {
                let was_held = evidence != CacheEvidence::Missed;
                let prefixes = &mut self.prefixes[job.entry];
                prefixes.note_evidence(endpoint.incarnation(), was_held);
                self.outcome.held += usize::from(was_held);
                self.outcome.missed += usize::from(!was_held);
            }
        }
        if !is_counted {
            return;
        }
        self.outcome
            .times
            .push(if self.scenario.stage == Stage::Decode {
                // The first event and the pauses between later ones count alike.
                first_ms as f64 + time_ms / f64::from(job.request.output) * EVENT_TOKENS
            } else {
                time_ms
            });
    }

    /// Measures the decodes of an engine every 16 events.
    fn measure_decodes(&mut self, index: usize, now_ms: u64) {
        let runs = self.engines[index].jobs.len() as f64;
        let mut measured = Vec::new();
        for job in &mut self.engines[index].jobs {
            let (since, left) = job.measured_from;
            let generated = left - job.left;
            if generated >= 16.0 * EVENT_TOKENS {
                let time = at_ms(now_ms).since(at_ms(since));
                measured.push((job.entry, time.div_f64(generated)));
                job.measured_from = (now_ms, job.left);
            }
        }
        for (entry, per_token) in measured {
            let endpoint = &self.engines[index].endpoint;
            self.speeds[entry].observe(endpoint, runs, per_token, at_ms(now_ms));
        }
    }

    fn exchange_reports(&mut self, now_ms: u64) {
        for from in 0..ENTRIES {
            let reports = self.speeds[from].report(at_ms(now_ms));
            for to in 0..ENTRIES {
                let is_lost = self.random.random::<f64>() < self.scenario.lost_heartbeats;
                if to != from && !is_lost {
                    self.speeds[to].note_peer(&reports, at_ms(now_ms));
                }
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        if self.random.random::<f64>() >= self.scenario.requests_per_s / 1_000.0 {
            return;
        }
        let median = if self.scenario.shared.is_some() {
            1_200.0
        } else {
            4_600.0
        };
        let own = tokens((median * self.log_normal()).clamp(200.0, 16_000.0));
        let shared = self.scenario.shared.map_or(0, |shared| shared.tokens);
        let (count, popular) = self
            .scenario
            .shared
            .map_or((1, 0.0), |shared| (shared.count, shared.popular_share));
        let part = if popular > 0.0 && self.random.random::<f64>() < popular {
            0
        } else {
            self.random.random_range(0..count)
        };
        let sized = |part, tokens| SizedPart {
            part: PromptPart(part),
            tokens,
        };
        // No request has the last part of another one.
        let last = self.random.random();
        let output = tokens((4_600.0 * self.log_normal()).clamp(200.0, 9_360.0));
        let estimate = tokens((f64::from(output) * self.log_normal()).clamp(200.0, 9_360.0));
        self.waiting.push_back(Request {
            at_ms: now_ms,
            entry: self.random.random_range(0..ENTRIES),
            prompt: shared + own,
            output,
            estimate,
            parts: [sized(part, shared), sized(last, own)],
        });
    }

    fn run(mut self) -> Outcome {
        let end_ms = ARRIVALS_MS + 20_000;
        for now_ms in 0..end_ms {
            if now_ms < ARRIVALS_MS {
                self.arrive(now_ms);
            }
            for index in 0..self.engines.len() {
                // Slow periods have a mean length of 350 ms.
                let share = self.scenario.slow_share;
                let is_slow = now_ms < self.engines[index].slow_until_ms;
                let begins = self.random.random::<f64>() < share / (1.0 - share) / 350.0;
                let length = self.random.random_range(100..=600);
                if !is_slow && begins {
                    self.engines[index].slow_until_ms = now_ms + length;
                }
                if self.scenario.stage == Stage::Decode && self.policy != Policy::Present {
                    self.measure_decodes(index, now_ms);
                }
                for job in self.step_engine(index, now_ms) {
                    self.finish(index, &job, now_ms);
                }
            }
            if now_ms == self.scenario.restart_ms && now_ms > 0 {
                self.engines[0].endpoint.started_ms += 1;
                self.engines[0].cache.clear();
            }
            if now_ms % HEARTBEAT_MS == 0 {
                self.exchange_reports(now_ms);
            }
            let mut waiting = std::mem::take(&mut self.waiting);
            while let Some(request) = waiting.pop_front() {
                if now_ms - request.at_ms > PATIENCE_MS {
                    self.outcome.unserved += 1;
                } else if !self.place(request, now_ms) {
                    waiting.push_front(request);
                    break;
                }
            }
            self.waiting = waiting;
        }
        self.outcome.placed = self.engines.iter().map(|engine| engine.placed).collect();
        self.outcome.placed_early = self
            .engines
            .iter()
            .map(|engine| engine.placed_early)
            .collect();
        self.outcome.longest = self.engines.iter().map(|engine| engine.longest).collect();
        self.outcome
    }
}

/// Outcomes of the present choice and of the one by expected times over some seeds.
fn play(name: &str, scenario: &Scenario) -> (Outcome, Outcome) {
    let total = |policy| {
        let mut total = Outcome::default();
        for seed in 1..=3 {
            let outcome = Play::new(scenario, policy, seed).run();
            total.times.extend(outcome.times);
            total.errors.extend(outcome.errors);
            total.unserved += outcome.unserved;
            total.prefilled_tokens += outcome.prefilled_tokens;
            total.held += outcome.held;
            total.missed += outcome.missed;
            total.preempted += outcome.preempted;
            total.placed.resize(outcome.placed.len(), 0);
            total.placed_early.resize(outcome.placed_early.len(), 0);
            for (sum, placed) in total.placed_early.iter_mut().zip(outcome.placed_early) {
                *sum += placed;
            }
            total.longest.resize(outcome.longest.len(), 0);
            for (most, longest) in total.longest.iter_mut().zip(outcome.longest) {
                *most = longest.max(*most);
            }
            for (sum, placed) in total.placed.iter_mut().zip(outcome.placed) {
                *sum += placed;
            }
        }
        total
    };
    let (present, expected) = (total(Policy::Present), total(Policy::ExpectedTimes));
    for (policy, outcome) in [("present", &present), ("expected", &expected)] {
        println!(
            "{name} {policy}: mean {:.0} ms, p95 {:.0} ms, {} served, {} unserved, placed {:?}, most at once {:?}, \
             {} tokens prefilled, {} held, {} missed, {} preempted",
            outcome.mean(),
            outcome.percentile(0.95),
            outcome.times.len(),
            outcome.unserved,
            outcome.placed,
            outcome.longest,
            outcome.prefilled_tokens,
            outcome.held,
            outcome.missed,
            outcome.preempted,
        );
    }
    if !expected.errors.is_empty() {
        let mut errors = expected.errors.clone();
        errors.sort_by(f64::total_cmp);
        let at = |share: f64| errors[tokens((errors.len() - 1) as f64 * share) as usize].exp();
        println!(
            "{name} actual over expected: p10 {:.2}, median {:.2}, p90 {:.2}",
            at(0.1),
            at(0.5),
            at(0.9)
        );
    }
    (present, expected)
}

/// Requests per second at which a pool of [`Scenario::default`] is used completely.
fn full_rate(stage: Stage) -> f64 {
    match stage {
        Stage::Prefill => 58.0,
        Stage::Whole => 980.0,
        Stage::Decode => 22.0,
    }
}

/// Guards against a choice that ignores that engines differ by more than two to one and that some are slow at any
/// moment.
#[rstest]
fn callers_get_answers_sooner_from_unequal_engines(
    #[values(Stage::Prefill, Stage::Whole, Stage::Decode)] stage: Stage,
    #[values(0.5, 0.75, 0.9)] load: f64,
) {
    let scenario = Scenario {
        stage,
        requests_per_s: full_rate(stage) * load,
        ..Scenario::default()
    };
    let (present, expected) = play(&format!("unequal {stage} {load}"), &scenario);
    assert!(expected.mean() < present.mean());
    assert!(expected.percentile(0.95) < present.percentile(0.95) * 1.02);
    assert!(expected.unserved <= present.unserved);
}

/// Guards against a choice that follows noise where there is nothing to gain.
#[rstest]
fn equal_engines_serve_as_well_as_before(
    #[values(Stage::Prefill, Stage::Whole, Stage::Decode)] stage: Stage,
) {
    let scenario = Scenario {
        stage,
        steps: vec![0.8; 6],
        slow_share: 0.0,
        requests_per_s: full_rate(stage) * 0.7,
        ..Scenario::default()
    };
    let (present, expected) = play(&format!("equal {stage}"), &scenario);
    assert!(expected.mean() < present.mean() * 1.03);
    assert!(expected.percentile(0.95) < present.percentile(0.95) * 1.05);
}

/// Guards against a change of the choice, or refusals, while all machines are slow.
#[rstest]
fn all_engines_slow_at_once_serve_as_well_as_before(
    #[values(Stage::Prefill, Stage::Whole, Stage::Decode)] stage: Stage,
) {
    let scenario = Scenario {
        stage,
        slow_share: 0.0,
        all_slow: 15_000..18_000,
        requests_per_s: full_rate(stage) * 0.5,
        ..Scenario::default()
    };
    let (present, expected) = play(&format!("all slow {stage}"), &scenario);
    assert!(expected.mean() < present.mean());
    // While 1.25 times as much work comes as the engines can do, the fast ones are loaded more.
    assert!(expected.percentile(0.95) < present.percentile(0.95) * 1.1);
    assert!(expected.unserved <= present.unserved);
}

/// Guards against an engine that attracts work by looking empty or by what it states.
#[rstest]
fn a_slow_engine_gains_nothing_by_what_it_states(
    #[values(Stage::Prefill, Stage::Whole)] stage: Stage,
    #[values(Statement::Idle, Statement::Fast, Statement::Frozen)] statement: Statement,
) {
    let scenario = |statement| {
        let mut scenario = Scenario {
            stage,
            requests_per_s: full_rate(stage) * 0.6,
            ..Scenario::default()
        };
        scenario.steps[5] = 3.0;
        scenario.statements[5] = statement;
        scenario
    };
    let name = format!("{statement:?} {stage}");
    let (_, honest) = play(&format!("{name} true"), &scenario(Statement::True));
    let (present, lying) = play(&name, &scenario(statement));
    assert!(lying.share(5) < honest.share(5) * 1.2 + 0.003);
    assert!(lying.share(5) < present.share(5) / 2.0);
    assert!(lying.mean() < present.mean());
}

/// Guards against a herd that runs to engines of which nothing is known yet.
#[rstest]
fn new_engines_do_not_attract_a_herd(
    #[values(Stage::Prefill, Stage::Whole)] stage: Stage,
    #[values(0.8, 1.2)] step: f64,
) {
    let mut scenario = Scenario {
        stage,
        requests_per_s: full_rate(stage) * 0.6,
        late: (2, 15_000),
        ..Scenario::default()
    };
    scenario.steps = vec![0.55, 0.68, 0.8, 0.93, step, step];
    let (present, expected) = play(&format!("new {stage} {step}"), &scenario);
    let (present_share, share) = (new_share(&present), new_share(&expected));
    println!(
        "new {stage} {step}: {present_share:.2} {share:.2} of the first 300 ms at the new ones"
    );
    assert!(share < NEW_SHARE);
    assert!(expected.mean() < present.mean());
}

/// Share of the first requests after their start above which two new engines of six have attracted a herd.
const NEW_SHARE: f64 = 0.6;

/// Share of the requests in the 300 ms after the start of two new engines that these get.
fn new_share(outcome: &Outcome) -> f64 {
    let (known, new) = outcome.placed_early.split_at(4);
    let new: usize = new.iter().sum();
    new as f64 / (new + known.iter().sum::<usize>()) as f64
}

/// Shows that the comparison notices a choice that takes engines without a history for fast ones. With plain calls of 30 ms
/// even this choice learns better within the 300 ms.
#[test]
fn a_choice_that_expects_much_of_new_engines_is_caught() {
    let scenario = Scenario {
        requests_per_s: full_rate(Stage::Prefill) * 0.6,
        late: (2, 15_000),
        ..Scenario::default()
    };
    let broken = Play::new(&scenario, Policy::TrustsNewEngines, 1).run();
    println!("broken: {:.2} at the new ones", new_share(&broken));
    assert!(new_share(&broken) > NEW_SHARE);
}

/// Guards against worse service where entries know little of each other's work and observations.
#[rstest]
fn lost_heartbeats_cost_the_advantage_at_most(
    #[values(Stage::Prefill, Stage::Whole, Stage::Decode)] stage: Stage,
    #[values(0.3, 1.0)] lost_heartbeats: f64,
) {
    let scenario = Scenario {
        stage,
        requests_per_s: full_rate(stage) * 0.6,
        lost_heartbeats,
        ..Scenario::default()
    };
    let (present, expected) = play(&format!("lost {lost_heartbeats} {stage}"), &scenario);
    assert!(expected.mean() < present.mean());
    assert!(expected.percentile(0.95) < present.percentile(0.95) * 1.05);
}

/// Shows that the comparison notices a choice that believes what engines state: with the statements taken at their word,
/// the engine that claims to be fast gets more than its share.
#[test]
fn a_choice_that_believes_statements_is_caught() {
    let mut scenario = Scenario {
        requests_per_s: full_rate(Stage::Prefill) * 0.6,
        ..Scenario::default()
    };
    scenario.steps[5] = 3.0;
    scenario.statements[5] = Statement::Fast;
    let sound = Play::new(&scenario, Policy::ExpectedTimes, 1).run();
    let broken = Play::new(&scenario, Policy::BelievesStatements, 1).run();
    assert!(broken.share(5) > sound.share(5) * 2.0);
    assert!(broken.mean() > sound.mean());
}

fn shared(tokens: u32, popular_share: f64) -> SharedParts {
    SharedParts {
        tokens,
        count: 24,
        popular_share,
    }
}

/// Guards against a choice that ignores held parts, or that counts on parts that were evicted or lost in a restart.
#[rstest]
fn callers_get_answers_sooner_from_engines_that_hold_parts_of_their_prompts(
    #[values(200, 4_000)] tokens: u32,
    #[values(0.0, 0.6)] popular_share: f64,
    #[values(CAPACITY_TOKENS, 30_000)] capacity_tokens: u64,
    #[values(0, 20_000)] restart_ms: u64,
) {
    let scenario = Scenario {
        requests_per_s: 60.0,
        shared: Some(shared(tokens, popular_share)),
        capacity_tokens,
        restart_ms,
        ..Scenario::default()
    };
    let name = format!(
        "shared {tokens} popular {popular_share} capacity {capacity_tokens} restart {restart_ms}"
    );
    let (present, expected) = play(&name, &scenario);
    assert!(expected.mean() < present.mean());
    assert!(expected.percentile(0.95) < present.percentile(0.95));
    if tokens == 4_000 {
        assert!(expected.prefilled_tokens < present.prefilled_tokens);
    }
    // The index counts on less of a cache once more than one in eight was missed.
    assert!(expected.missed * 6 < expected.held + 100);
}

/// Guards against a popular part that pulls all traffic to one engine.
#[rstest]
fn a_popular_part_is_prefilled_on_several_engines(#[values(60.0, 90.0)] requests_per_s: f64) {
    let scenario = Scenario {
        steps: vec![0.8; 6],
        requests_per_s,
        shared: Some(shared(4_000, 0.9)),
        ..Scenario::default()
    };
    let (present, expected) = play(&format!("popular {requests_per_s}"), &scenario);
    let largest = (0..6).map(|engine| expected.share(engine));
    assert!(largest.fold(0.0, f64::max) < 0.35);
    assert!(expected.mean() < present.mean() * 1.03);
    assert!(expected.percentile(0.95) < present.percentile(0.95) * 1.05);
}

/// Shows that the comparison notices a choice that follows held parts whatever the wait.
#[test]
fn a_choice_that_ignores_the_wait_is_caught() {
    let scenario = Scenario {
        steps: vec![0.8; 6],
        requests_per_s: 60.0,
        shared: Some(shared(4_000, 0.9)),
        ..Scenario::default()
    };
    let sound = Play::new(&scenario, Policy::ExpectedTimes, 1).run();
    let broken = Play::new(&scenario, Policy::IgnoresWait, 1).run();
    println!(
        "broken: mean {:.0} ms, placed {:?}",
        broken.mean(),
        broken.placed
    );
    let largest = (0..6).map(|engine| broken.share(engine));
    assert!(largest.fold(0.0, f64::max) > 0.35);
    assert!(broken.mean() > sound.mean() * 1.2);
}
