//! Seeded random histories of one engine, its daemon and a replacement of the daemon, with pauses, restarts and orders
//! from elsewhere.

use std::time::{Duration, Instant};

use camphorwall::{EngineRole, EngineSetup, Revision};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::{
    decision::{EngineState, LastOrder, MAX_CONFIRMATION_AGE, Step, may_order, next_step},
    desired::DesiredEngine,
};

const HISTORIES: u64 = 300;
const TICK: Duration = Duration::from_millis(200);
const FAULT_TICKS: u32 = 150;
const RECOVERY_TICKS: u32 = 40;
const LOAD_TICKS: u32 = 3;

/// Fault of the simulated daemon, which the checks must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Correct,
    /// Sends an order that it decided on before a pause.
    SendsAfterPause,
    /// Assumes that the engine runs what was ordered, without reading it back.
    AssumesOrderObeyed,
    /// Sends an order for each revision, whatever the engine runs.
    OrdersEachRevision,
}

#[derive(Debug, Eq, PartialEq)]
enum Violation {
    RevisionDecreased { sent: Revision, before: Revision },
    NeedlessOrder { sent: Revision },
    WrongFinalSetup,
}

fn setup(version: u64) -> EngineSetup {
    EngineSetup {
        model: "ledger-1".parse().unwrap(),
        adapter: None,
        version: format!("v{version}").parse().unwrap(),
        engine_role: EngineRole::Decode,
    }
}

fn desired(revision: u64, version: u64) -> DesiredEngine {
    DesiredEngine {
        revision: Revision(revision),
        setup: setup(version),
        price: None,
    }
}

struct Engine {
    checks_fence: bool,
    running: EngineSetup,
    fence: Revision,
    load: Option<(EngineSetup, u32)>,
}

impl Engine {
    fn read(&self) -> EngineState {
        EngineState {
            setup: self.running.clone(),
            fence: self.checks_fence.then_some(self.fence),
            loading: self.load.as_ref().map(|(setup, _)| setup.clone()),
        }
    }

    fn order(&mut self, revision: Revision, setup: EngineSetup) {
        if !self.checks_fence || revision >= self.fence {
            self.fence = revision;
            self.load = Some((setup, LOAD_TICKS));
        }
    }

    fn tick(&mut self) {
        match self.load.take() {
            Some((setup, 0)) => self.running = setup,
            Some((setup, left)) => self.load = Some((setup, left - 1)),
            None => {}
        }
    }

    fn restart(&mut self) {
        self.running = setup(0);
        self.fence = Revision(0);
        self.load = None;
    }
}

struct Daemon {
    documents: DesiredEngine,
    last: Option<LastOrder>,
    ordered: Option<EngineSetup>,
    /// An order that was decided on, with the time at which a peer confirmed the documents.
    decided: Option<(DesiredEngine, Instant)>,
    paused_until: u32,
}

struct History {
    variant: Variant,
    random: ChaCha8Rng,
    start: Instant,
    tick: u32,
    newest: DesiredEngine,
    engine: Engine,
    daemons: Vec<Daemon>,
    highest: Revision,
    violations: Vec<Violation>,
}

impl History {
    fn new(variant: Variant, checks_fence: bool, seed: u64) -> Self {
        let newest = desired(1, 1);
        let daemon = Daemon {
            documents: newest.clone(),
            last: None,
            ordered: None,
            decided: None,
            paused_until: 0,
        };
        Self {
            variant,
            random: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            tick: 0,
            newest,
            engine: Engine {
                checks_fence,
                running: setup(0),
                fence: Revision(0),
                load: None,
            },
            daemons: vec![daemon],
            highest: Revision(0),
            violations: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick
    }

    fn chance(&mut self, part: f64) -> bool {
        self.random.random_bool(part)
    }

    fn publish(&mut self) {
        let version = self.random.random_range(1..4);
        self.newest = desired(self.newest.revision.get() + 1, version);
    }

    fn inject_faults(&mut self) {
        if self.chance(0.08) {
            self.publish();
        }
        if self.chance(0.02) {
            self.engine.restart();
        }
        if self.chance(0.02) {
            let version = self.random.random_range(0..4);
            self.engine.order(Revision(0), setup(version));
        }
        if self.daemons.len() == 2 && self.daemons[0].paused_until + 10 < self.tick {
            self.daemons.remove(0);
        }
    }

    fn act(&mut self, number: usize) {
        if self.tick < self.daemons[number].paused_until {
            return;
        }
        match self.daemons[number].decided.take() {
            Some((desired, confirmed_at)) => self.send(number, desired, confirmed_at),
            None => self.decide(number),
        }
    }

    fn decide(&mut self, number: usize) {
        if self.chance(0.5) {
            self.daemons[number].documents = self.newest.clone();
        }
        let running = self.assumed_state(number);
        let (now, newest) = (self.now(), self.newest.clone());
        let variant = self.variant;
        let daemon = &mut self.daemons[number];
        let step = next_step(&daemon.documents, &running, daemon.last.as_ref(), now);
        let last = daemon.last.as_ref().map(|last| last.revision);
        let orders_again =
            variant == Variant::OrdersEachRevision && last != Some(daemon.documents.revision);
        match step {
            // Before each order, a peer confirms the documents or sends the newest.
            Step::Order | Step::AwaitDocuments if daemon.documents != newest => {
                daemon.documents = newest;
            }
            Step::Order => self.send_or_pause(number, now),
            Step::Serve if orders_again => self.send_or_pause(number, now),
            Step::AwaitDocuments | Step::AwaitLoad | Step::Serve => {}
        }
    }

    /// Sends at once, or after a pause during which a replacement daemon is started beside the same engine.
    fn send_or_pause(&mut self, number: usize, now: Instant) {
        let desired = self.daemons[number].documents.clone();
        if self.daemons.len() > 1 || self.tick >= FAULT_TICKS || !self.chance(0.3) {
            return self.send(number, desired, now);
        }
        let documents = self.newest.clone();
        let pause_ticks = self.random.random_range(6..30);
        let daemon = &mut self.daemons[number];
        daemon.decided = Some((desired, now));
        daemon.paused_until = self.tick + pause_ticks;
        self.daemons.push(Daemon {
            documents,
            last: None,
            ordered: None,
            decided: None,
            paused_until: 0,
        });
    }

    fn assumed_state(&self, number: usize) -> EngineState {
        let ordered = self.daemons[number].ordered.as_ref();
        match ordered.filter(|_| self.variant == Variant::AssumesOrderObeyed) {
            Some(ordered) => EngineState {
                setup: ordered.clone(),
                fence: None,
                loading: None,
            },
            None => self.engine.read(),
        }
    }

    fn send(&mut self, number: usize, desired: DesiredEngine, confirmed_at: Instant) {
        let now = self.now();
        let daemon = &mut self.daemons[number];
        let may_send = may_order(
            &desired,
            Some(&daemon.documents),
            daemon.last.as_ref(),
            confirmed_at,
            now,
        );
        if !may_send && self.variant != Variant::SendsAfterPause {
            return;
        }
        daemon.last = Some(LastOrder {
            revision: desired.revision,
            at: now,
        });
        daemon.ordered = Some(desired.setup.clone());
        self.check_order(&desired);
        self.engine.order(desired.revision, desired.setup);
    }

    /// Checks an order at the time it reaches the engine.
    fn check_order(&mut self, order: &DesiredEngine) {
        let sent = order.revision;
        if sent < self.highest {
            let before = self.highest;
            self.violations
                .push(Violation::RevisionDecreased { sent, before });
        }
        self.highest = self.highest.max(sent);
        let goal = self.engine.load.as_ref().map(|(setup, _)| setup);
        if *goal.unwrap_or(&self.engine.running) == order.setup {
            self.violations.push(Violation::NeedlessOrder { sent });
        }
    }

    fn run(mut self) -> Vec<Violation> {
        for tick in 0..FAULT_TICKS + RECOVERY_TICKS {
            self.tick = tick;
            self.engine.tick();
            if tick < FAULT_TICKS {
                self.inject_faults();
            }
            for number in 0..self.daemons.len() {
                self.act(number);
            }
        }
        if self.engine.running != self.newest.setup {
            self.violations.push(Violation::WrongFinalSetup);
        }
        self.violations
    }
}

fn violations(variant: Variant, checks_fence: bool) -> Vec<Violation> {
    let histories = (0..HISTORIES).map(|seed| History::new(variant, checks_fence, seed));
    histories.flat_map(History::run).collect()
}

#[rstest]
fn an_engine_ends_with_the_desired_setup_and_gets_no_outdated_or_needless_order(
    #[values(true, false)] checks_fence: bool,
) {
    assert_eq!(violations(Variant::Correct, checks_fence), Vec::new());
}

#[rstest]
fn the_check_catches_an_order_from_before_a_pause(#[values(true, false)] checks_fence: bool) {
    let found = violations(Variant::SendsAfterPause, checks_fence);
    let is_old = |one: &Violation| matches!(one, Violation::RevisionDecreased { .. });
    assert!(found.iter().any(is_old));
}

#[rstest]
fn the_check_catches_a_daemon_that_does_not_read_back(#[values(true, false)] checks_fence: bool) {
    let found = violations(Variant::AssumesOrderObeyed, checks_fence);
    assert!(found.contains(&Violation::WrongFinalSetup));
}

#[rstest]
fn the_check_catches_an_order_for_each_revision(#[values(true, false)] checks_fence: bool) {
    let found = violations(Variant::OrdersEachRevision, checks_fence);
    let is_needless = |one: &Violation| matches!(one, Violation::NeedlessOrder { .. });
    assert!(found.iter().any(is_needless));
}

#[test]
fn an_order_is_sent_only_soon_after_its_documents_were_confirmed() {
    let (one, now) = (desired(3, 1), Instant::now());
    let may_send =
        |in_force: &DesiredEngine, after| may_order(&one, Some(in_force), None, now, now + after);
    assert!(may_send(&one, Duration::ZERO));
    assert!(!may_send(&one, MAX_CONFIRMATION_AGE));
    assert!(!may_send(&desired(4, 1), Duration::ZERO));
}
