//! Measures refusals within rate and over-admission of four ways to own budgets, under the same arrivals and faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use camphorwall::{GrantRequest, InstanceId, Tokens, rendezvous_rank};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use strum::{Display, EnumIter, IntoEnumIterator as _};

use super::group::{address, name, place};
use crate::{
    budget::{GrantPool, GrantTimes, LocalGrant, OwnedAccounts, Share},
    membership::{Identity, Outgoing, PromiseRules, Promises},
};

const TEAM: &str = "marousi-tills";
const TICK: Duration = Duration::from_millis(100);
const TICKS: u64 = 1_800;
const HOLD_TICKS: u64 = 200;
const HEARTBEAT_TICKS: u64 = 50;
const LOOK_TICKS: u64 = 10;
const WAIT_TICKS: u64 = 10;
const RATE_TOKENS_PER_TICK: f64 = 30.0;
const BURST_TOKENS: u64 = 900;
const MAX_COST_TOKENS: u64 = 40;

/// Demand as a part of the rate: within it, and a team that sends several times its rate.
const USUAL_LOAD: f64 = 0.8;
const OVERLOAD: f64 = 2.5;

const SEEDS: u64 = 20;

/// An overload has many waiting requests and takes longer.
const OVERLOAD_SEEDS: u64 = 3;
const PER_DATA_CENTRE: usize = 3;
const DATA_CENTRES: usize = 3;
const ENTRIES: usize = PER_DATA_CENTRE * DATA_CENTRES;
/// Before this, budgets fill after the start; nothing is counted.
const FAULT_TICK: u64 = 600;
const FAULT_END_TICK: u64 = 1_200;
/// The replacement of an entry joins the first data centre, and the replaced one leaves later.
const REPLACEMENT: usize = ENTRIES;
const LEAVE_TICK: u64 = 1_000;

#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum Way {
    Promises,
    StaticDivision,
    GroupIsRegion,
    MajorityOfList,
}

#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum Trouble {
    None,
    OwnerKilled,
    OwnerKilledSilently,
    OwnerPaused,
    DataCentreCutOff,
    RegionsCutOff,
    StaleLists,
    EntryReplaced,
}

#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum Demand {
    Even,
    Skewed,
}

struct Pending {
    number: usize,
    cost: u64,
    arrived_tick: u64,
}

struct Node {
    promises: Promises,
    books: OwnedAccounts,
    wallet: GrantPool,
    level_tokens: f64,
    list: Vec<usize>,
    acks: BTreeMap<usize, u64>,
    majority_since: Option<u64>,
    pending: Vec<Pending>,
    is_dead: bool,
    paused_until: u64,
}

struct Fleet {
    team: String,
    way: Way,
    trouble: Trouble,
    tick: u64,
    epoch: Instant,
    nodes: Vec<Node>,
    spent_tokens: Vec<(u64, u64)>,
    refused: BTreeSet<usize>,
}

const fn data_centre(entry: usize) -> usize {
    entry % ENTRIES / PER_DATA_CENTRE
}

/// The usual team, or the first one that moves to the replacement of an entry.
fn team(trouble: Trouble) -> String {
    if trouble != Trouble::EntryReplaced {
        return TEAM.to_owned();
    }
    let members: Vec<_> = (0..=ENTRIES).map(name).collect();
    let moves = |team: &String| rendezvous_rank(team, &members)[0] == &members[REPLACEMENT];
    let mut teams = (0..).map(|number| format!("{TEAM}-{number}"));
    teams.find(moves).expect("some team moves")
}

/// The first two data centres are one region.
const fn region(entry: usize) -> usize {
    data_centre(entry) / 2
}

impl Fleet {
    fn new(way: Way, trouble: Trouble) -> Self {
        let epoch = Instant::now() + Duration::from_secs(3_600);
        let mut fleet = Self {
            team: team(trouble),
            way,
            trouble,
            tick: 0,
            epoch,
            nodes: Vec::new(),
            spent_tokens: Vec::new(),
            refused: BTreeSet::new(),
        };
        for entry in 0..ENTRIES {
            let hold = TICK * u32::try_from(HOLD_TICKS).expect("small");
            let started_at = epoch.checked_sub(hold * 2).expect("a margin");
            fleet.start(entry, started_at);
            fleet.nodes[entry].level_tokens = BURST_TOKENS as f64 / ENTRIES as f64;
        }
        for entry in 0..ENTRIES {
            fleet.follow(entry, (0..ENTRIES).collect());
        }
        fleet
    }

    fn start(&mut self, entry: usize, started_at: Instant) {
        let identity = Identity {
            instance: name(entry),
            incarnation: 1,
            group: self.group(entry) as u64,
        };
        let hold = TICK * u32::try_from(HOLD_TICKS).expect("small");
        self.nodes.push(Node {
            promises: Promises::new(identity, hold, PromiseRules::default(), started_at),
            books: OwnedAccounts::new(
                GrantTimes::new(Duration::from_secs(2)),
                1_000_000 * entry as u64,
            ),
            wallet: GrantPool::default(),
            level_tokens: 0.0,
            list: Vec::new(),
            acks: BTreeMap::new(),
            majority_since: None,
            pending: Vec::new(),
            is_dead: false,
            paused_until: 0,
        });
    }

    fn live(&self) -> Vec<usize> {
        let entries = 0..self.nodes.len();
        entries.filter(|one| !self.nodes[*one].is_dead).collect()
    }

    fn publish_live(&mut self) {
        let live = self.live();
        for entry in live.clone() {
            self.follow(entry, live.clone());
        }
    }

    /// The replacement of an entry joins; later the owner of before leaves with a goodbye.
    fn replace(&mut self) {
        if self.tick == FAULT_TICK {
            let now = self.now();
            self.start(REPLACEMENT, now);
            self.publish_live();
        }
        if self.tick == LEAVE_TICK {
            let leaving = self.ranked(&(0..ENTRIES).collect::<Vec<_>>(), Some(self.group(0)))[0];
            self.nodes[leaving].is_dead = true;
            for goodbye in self.nodes[leaving].promises.leave() {
                let now = self.now();
                let to = &mut self.nodes[place(goodbye.to)].promises;
                to.receive(goodbye.heartbeat, address(leaving), now);
            }
            self.publish_live();
        }
    }

    fn now(&self) -> Instant {
        self.epoch + TICK * u32::try_from(self.tick).expect("small")
    }

    const fn group(&self, entry: usize) -> usize {
        match self.way {
            Way::Promises => data_centre(entry),
            Way::GroupIsRegion => region(entry),
            Way::MajorityOfList | Way::StaticDivision => 0,
        }
    }

    fn groups(&self) -> usize {
        (0..ENTRIES)
            .map(|entry| self.group(entry))
            .max()
            .expect("some")
            + 1
    }

    fn share(&self, group: usize) -> Share {
        let members = (0..ENTRIES).filter(|entry| self.group(*entry) == group);
        let part = members.count() as u64;
        Share {
            rate_tokens_per_s: RATE_TOKENS_PER_TICK * 10.0 * part as f64 / ENTRIES as f64,
            burst_tokens: BURST_TOKENS * part / ENTRIES as u64,
        }
    }

    fn follow(&mut self, entry: usize, list: Vec<usize>) {
        let group = self.group(entry);
        let members = list.iter().filter(|one| self.group(**one) == group);
        let listed = members.map(|one| (name(*one), address(*one))).collect();
        let now = self.now();
        self.nodes[entry].promises.set_list(&listed, now);
        self.nodes[entry].list = list;
    }

    fn is_awake(&self, entry: usize) -> bool {
        !self.nodes[entry].is_dead && self.nodes[entry].paused_until <= self.tick
    }

    fn is_open(&self, a: usize, b: usize) -> bool {
        let is_cut = (FAULT_TICK..FAULT_END_TICK).contains(&self.tick);
        match self.trouble {
            Trouble::DataCentreCutOff if is_cut => (data_centre(a) == 1) == (data_centre(b) == 1),
            Trouble::RegionsCutOff if is_cut => region(a) == region(b),
            _ => true,
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.is_open(a, b) && self.is_awake(b)
    }

    /// The owner in the first data centre, where skewed demand arrives too, or the fleet's only one.
    fn owner(&mut self) -> usize {
        let owner = (0..self.nodes.len()).find(|entry| self.since(*entry).is_some());
        owner.unwrap_or(0)
    }

    fn make_trouble(&mut self) {
        if self.trouble == Trouble::EntryReplaced {
            self.replace();
        }
        if self.tick == FAULT_TICK {
            match self.trouble {
                Trouble::OwnerKilled | Trouble::OwnerKilledSilently => {
                    let owner = self.owner();
                    self.nodes[owner].is_dead = true;
                }
                Trouble::OwnerPaused => {
                    let owner = self.owner();
                    self.nodes[owner].paused_until = FAULT_END_TICK;
                }
                // Half of the entries still know a list without the last data centre.
                Trouble::StaleLists => {
                    for entry in 0..ENTRIES / 2 {
                        let list = (0..ENTRIES - PER_DATA_CENTRE).collect();
                        self.follow(entry, list);
                    }
                }
                Trouble::DataCentreCutOff
                | Trouble::EntryReplaced
                | Trouble::None
                | Trouble::RegionsCutOff => {}
            }
        }
        let is_unlisted = matches!(
            self.trouble,
            Trouble::OwnerKilled | Trouble::OwnerKilledSilently
        );
        if self.tick == FAULT_TICK + 100 && is_unlisted {
            self.publish_live();
        }
    }

    fn beat(&mut self) {
        let now = self.now();
        for entry in 0..self.nodes.len() {
            if !self.is_awake(entry) {
                continue;
            }
            self.nodes[entry].promises.drop_unlisted(now);
            if self.tick.is_multiple_of(LOOK_TICKS) {
                self.probe(entry, now);
            }
            let silence = TICK * u32::try_from(2 * HEARTBEAT_TICKS).expect("small");
            let promises = &mut self.nodes[entry].promises;
            if self.tick % HEARTBEAT_TICKS == entry as u64 {
                let asks = promises.promise_requests(&[], now);
                self.ask(entry, asks, now);
            } else if self.tick % LOOK_TICKS == entry as u64 {
                let asks = promises.urgent_promise_requests(silence, now);
                self.ask(entry, asks, now);
            }
        }
    }

    fn probe(&mut self, entry: usize, now: Instant) {
        let silence = TICK * u32::try_from(2 * HEARTBEAT_TICKS).expect("small");
        for suspect in self.nodes[entry].promises.suspects(silence, now) {
            let target = place(suspect.address);
            let is_refused = self.nodes[target].is_dead && self.trouble == Trouble::OwnerKilled;
            if is_refused && self.is_open(entry, target) {
                self.nodes[entry].promises.prove_dead(&suspect, now);
            }
        }
    }

    fn ask(&mut self, entry: usize, asks: Vec<Outgoing>, now: Instant) {
        for outgoing in asks {
            let to = place(outgoing.to);
            if !self.reaches(entry, to) {
                continue;
            }
            let back = self.nodes[to]
                .promises
                .receive(outgoing.heartbeat, address(entry), now);
            for heartbeat in back {
                let again = self.nodes[entry]
                    .promises
                    .receive(heartbeat, address(to), now);
                for heartbeat in again {
                    self.nodes[to]
                        .promises
                        .receive(heartbeat, address(entry), now);
                }
            }
        }
        let list = self.nodes[entry].list.clone();
        for to in list {
            let agrees = self.reaches(entry, to) && self.listed_winner(to) == Some(entry);
            if agrees {
                self.nodes[entry].acks.insert(to, self.tick);
            }
        }
    }

    fn listed_winner(&self, entry: usize) -> Option<usize> {
        self.ranked(&self.nodes[entry].list, None).first().copied()
    }

    fn ranked(&self, list: &[usize], group: Option<usize>) -> Vec<usize> {
        let members = list
            .iter()
            .filter(|one| group.is_none_or(|group| self.group(**one) == group));
        let names: Vec<InstanceId> = members.map(|one| name(*one)).collect();
        let ranked = rendezvous_rank(&self.team, names.iter());
        let number = |name: &&InstanceId| name.as_str()["entry-".len()..].parse().expect("a name");
        ranked.iter().map(number).collect()
    }

    /// Since when an entry owns its group's budget.
    fn since(&mut self, entry: usize) -> Option<Instant> {
        let now = self.now();
        match self.way {
            Way::StaticDivision => None,
            Way::GroupIsRegion | Way::Promises => {
                let ownership = self.nodes[entry].promises.ownership(&self.team, now);
                ownership.map(|ownership| ownership.since)
            }
            Way::MajorityOfList => {
                let fresh = |at: &&u64| self.tick - **at < HOLD_TICKS;
                let acks = self.nodes[entry].acks.values().filter(fresh).count();
                let has_majority = 2 * acks > self.nodes[entry].list.len();
                let owns = has_majority && self.listed_winner(entry) == Some(entry);
                let since = self.nodes[entry].majority_since;
                let since = owns.then(|| since.unwrap_or(self.tick));
                self.nodes[entry].majority_since = since;
                since.map(|tick| self.epoch + TICK * u32::try_from(tick).expect("small"))
            }
        }
    }

    fn draw(&mut self, entry: usize, cost: u64) {
        let now = self.now();
        let own = self.group(entry);
        let mut groups: Vec<_> = (0..self.groups()).collect();
        groups.sort_by_key(|group| (*group != own, *group));
        for group in groups {
            let missing = cost.saturating_sub(self.nodes[entry].wallet.free_tokens(now));
            if missing > 0 {
                self.draw_from(entry, group, missing);
            }
        }
    }

    fn draw_from(&mut self, entry: usize, group: usize, missing: u64) {
        let now = self.now();
        let ranked = self.ranked(&self.nodes[entry].list.clone(), Some(group));
        let source = format!("group-{group}").parse().expect("a name");
        for owner in ranked.into_iter().take(3) {
            if !self.reaches(entry, owner) {
                self.nodes[entry].promises.suspect(&name(owner));
                continue;
            }
            let Some(since) = self.since(owner) else {
                continue;
            };
            let closes = self.nodes[entry].wallet.close_all(&source, now);
            let held: u64 = closes.iter().map(|close| close.unspent_tokens.get()).sum();
            let request = GrantRequest {
                team: self.team.parse().expect("a name"),
                data_centre: source.clone(),
                need_tokens: Tokens(missing + held),
                prefetch_tokens: Tokens(missing),
                closes,
            };
            let share = self.share(group);
            let reply = self.nodes[owner].books.answer(&request, share, since, now);
            if let Some(grant) = reply.grant {
                self.nodes[entry].wallet.add(LocalGrant {
                    data_centre: source,
                    grant_id: grant.grant_id,
                    free_tokens: grant.tokens.get(),
                    expires_at: now + Duration::from_millis(grant.lifetime_ms),
                });
            }
            return;
        }
    }

    /// Whether the request is paid now.
    fn pay(&mut self, entry: usize, cost: u64) -> bool {
        let now = self.now();
        if self.way == Way::StaticDivision {
            let is_paid = self.nodes[entry].level_tokens >= cost as f64;
            if is_paid {
                self.nodes[entry].level_tokens -= cost as f64;
            }
            return is_paid;
        }
        if self.nodes[entry].wallet.spend(cost, now).is_some() {
            return true;
        }
        self.draw(entry, cost);
        self.nodes[entry].wallet.spend(cost, now).is_some()
    }

    fn serve(&mut self, entry: usize) {
        let size = self.nodes[entry].list.len() as f64;
        let burst = BURST_TOKENS as f64 / size;
        let filled = self.nodes[entry].level_tokens + RATE_TOKENS_PER_TICK / size;
        self.nodes[entry].level_tokens = filled.min(burst);
        for pending in std::mem::take(&mut self.nodes[entry].pending) {
            if self.pay(entry, pending.cost) {
                self.spent_tokens.push((self.tick, pending.cost));
            } else if self.tick >= pending.arrived_tick + WAIT_TICKS {
                self.refused.insert(pending.number);
            } else {
                self.nodes[entry].pending.push(pending);
            }
        }
    }
}

/// Refusals within rate, in parts of the requests that one bucket for the fleet admits, and the tokens over the bound.
struct Measured {
    refused_share: f64,
    excess_tokens: f64,
}

fn play(way: Way, trouble: Trouble, demand: Demand, load: f64, seed: u64) -> Measured {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(way, trouble);
    let mut level_tokens = BURST_TOKENS as f64;
    let mut within_rate = Vec::new();
    let mean_cost = f64::midpoint(MAX_COST_TOKENS as f64, 1.0);
    let per_tick = RATE_TOKENS_PER_TICK * load / mean_cost;
    let mut number = 0;
    while fleet.tick < TICKS {
        fleet.tick += 1;
        fleet.make_trouble();
        fleet.beat();
        level_tokens = (level_tokens + RATE_TOKENS_PER_TICK).min(BURST_TOKENS as f64);
        for _ in 0..4 {
            if !random.random_bool(per_tick / 4.0) {
                continue;
            }
            let cost = random.random_range(1..=MAX_COST_TOKENS);
            let count = fleet.nodes.len();
            let any = random.random_range(0..count);
            // The platform's balancer passes over entries that don't answer.
            let first = match demand {
                Demand::Even => any,
                Demand::Skewed => PER_DATA_CENTRE - 1,
            };
            let entry = (first..count)
                .chain(0..first)
                .find(|one| fleet.is_awake(*one));
            let entry = entry.expect("an entry is awake");
            number += 1;
            let is_admitted = level_tokens >= cost as f64;
            if is_admitted {
                level_tokens -= cost as f64;
            }
            if is_admitted && fleet.tick >= FAULT_TICK {
                within_rate.push(number);
            }
            fleet.nodes[entry].pending.push(Pending {
                number,
                cost,
                arrived_tick: fleet.tick,
            });
        }
        for entry in 0..fleet.nodes.len() {
            if fleet.is_awake(entry) {
                fleet.serve(entry);
            }
        }
    }
    let refused = within_rate.iter().filter(|one| fleet.refused.contains(one));
    Measured {
        refused_share: refused.count() as f64 / within_rate.len() as f64,
        excess_tokens: excess(&fleet.spent_tokens),
    }
}

/// Most tokens over `burst + rate * t` in any window.
fn excess(spent_tokens: &[(u64, u64)]) -> f64 {
    let (mut spent, mut lowest, mut most) = (0.0, f64::INFINITY, 0.0_f64);
    for (tick, tokens) in spent_tokens {
        let refilled = RATE_TOKENS_PER_TICK * *tick as f64;
        lowest = lowest.min(spent - refilled);
        spent += *tokens as f64;
        most = most.max(spent - refilled - lowest - BURST_TOKENS as f64);
    }
    most
}

fn print_table(cell: impl Fn(Way, Trouble, Demand) -> String) {
    let ways: Vec<_> = Way::iter().map(|way| way.to_string()).collect();
    println!("| fault | demand | {} |", ways.join(" | "));
    println!("|---|---|{}", "---|".repeat(ways.len()));
    for trouble in Trouble::iter() {
        for demand in Demand::iter() {
            let cells: Vec<_> = Way::iter().map(|way| cell(way, trouble, demand)).collect();
            println!("| {trouble} | {demand} | {} |", cells.join(" | "));
        }
    }
}

#[test]
#[ignore = "a measurement; the design note gives its figures"]
fn refusals_within_rate_of_four_ways() {
    print_table(|way, trouble, demand| {
        let of_seed = |seed| play(way, trouble, demand, USUAL_LOAD, seed).refused_share;
        let refused: f64 = (0..SEEDS).map(of_seed).sum();
        format!("{:.2} %", 100.0 * refused / SEEDS as f64)
    });
}

#[test]
#[ignore = "a measurement; the design note gives its figures"]
fn over_admission_of_four_ways() {
    print_table(|way, trouble, demand| {
        let of_seed = |seed| play(way, trouble, demand, OVERLOAD, seed).excess_tokens;
        let most = (0..OVERLOAD_SEEDS).map(of_seed).fold(0.0, f64::max);
        format!("{most:.0}")
    });
}
