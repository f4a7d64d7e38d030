//! Compares four schemes of budget ownership under the same arrivals and faults: how many requests within the rate they
//! refuse, and how many tokens they admit over the bound.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use camphorwall::{GrantRequest, InstanceId, Tokens, rendezvous_rank};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use strum::{Display, EnumIter, IntoEnumIterator as _};

use super::group::{address, index_of, name};
use crate::{
    budget::{GrantPool, GrantTimes, LocalGrant, OwnedAccounts, Share},
    membership::{Identity, Outgoing, PromiseRules, Promises},
};

const TEAM: &str = "marousi-tills";
const TICK: Duration = Duration::from_millis(100);
const TICKS: u64 = 1_800;
const LEASE_TICKS: u64 = 200;
const HEARTBEAT_TICKS: u64 = 50;
const POLL_TICKS: u64 = 10;
const WAIT_LIMIT_TICKS: u64 = 10;
const RATE_TOKENS_PER_TICK: f64 = 30.0;
const BURST_TOKENS: u64 = 900;
const MAX_COST_TOKENS: u64 = 40;

/// Demand as a multiple of the rate: within the rate, and of a team that sends several times its rate.
const USUAL_LOAD: f64 = 0.8;
const OVERLOAD: f64 = 2.5;

const SEEDS: u64 = 20;

/// Fewer than `SEEDS`, since an overload has many waiting requests and takes longer to simulate.
const OVERLOAD_SEEDS: u64 = 3;
const PER_DATA_CENTRE: usize = 3;
const DATA_CENTRES: usize = 3;
const ENTRIES: usize = PER_DATA_CENTRE * DATA_CENTRES;
/// Tick of the fault. Requests before it are not counted, since budgets fill up after the start.
const FAULT_TICK: u64 = 600;
const FAULT_END_TICK: u64 = 1_200;
/// Entry that joins the first data centre as the replacement of one that leaves later.
const REPLACEMENT: usize = ENTRIES;
const LEAVE_TICK: u64 = 1_000;

#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum OwnershipScheme {
    Promises,
    StaticDivision,
    GroupIsRegion,
    MajorityOfList,
}

#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum InjectedFault {
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
    accounts: OwnedAccounts,
    grant_pool: GrantPool,
    level_tokens: f64,
    list: Vec<usize>,
    acks: BTreeMap<usize, u64>,
    majority_since: Option<u64>,
    pending: Vec<Pending>,
    is_dead: bool,
    paused_until_tick: u64,
}

struct SimulatedFleet {
    team: String,
    scheme: OwnershipScheme,
    fault: InjectedFault,
    tick: u64,
    epoch: Instant,
    nodes: Vec<Node>,
    spent_tokens: Vec<(u64, u64)>,
    refused: BTreeSet<usize>,
}

const fn data_centre(entry: usize) -> usize {
    entry % ENTRIES / PER_DATA_CENTRE
}

/// The default team, or the first one whose owner changes to the replacement of an entry.
fn team(fault: InjectedFault) -> String {
    if fault != InjectedFault::EntryReplaced {
        return TEAM.to_owned();
    }
    let members: Vec<_> = (0..=ENTRIES).map(name).collect();
    let moves = |team: &String| rendezvous_rank(team, &members)[0] == &members[REPLACEMENT];
    let mut teams = (0..).map(|number| format!("{TEAM}-{number}"));
    teams.find(moves).expect("some team moves")
}

/// Region of an entry: the first two data centres are in one region.
const fn region(entry: usize) -> usize {
    data_centre(entry) / 2
}

impl SimulatedFleet {
    fn new(scheme: OwnershipScheme, fault: InjectedFault) -> Self {
        let epoch = Instant::now() + Duration::from_secs(3_600);
        let mut fleet = Self {
            team: team(fault),
            scheme,
            fault,
            tick: 0,
            epoch,
            nodes: Vec::new(),
            spent_tokens: Vec::new(),
            refused: BTreeSet::new(),
        };
        for entry in 0..ENTRIES {
            let lease = TICK * u32::try_from(LEASE_TICKS).expect("small");
            let started_at = epoch.checked_sub(lease * 2).expect("a margin");
            fleet.start(entry, started_at);
            fleet.nodes[entry].level_tokens = BURST_TOKENS as f64 / ENTRIES as f64;
        }
        for entry in 0..ENTRIES {
            fleet.apply_list(entry, (0..ENTRIES).collect());
        }
        fleet
    }

    fn start(&mut self, entry: usize, started_at: Instant) {
        let identity = Identity {
            instance: name(entry),
            incarnation: 1,
            group: self.group(entry) as u64,
        };
        let lease = TICK * u32::try_from(LEASE_TICKS).expect("small");
        self.nodes.push(Node {
            promises: Promises::new(identity, lease, PromiseRules::default(), started_at),
            accounts: OwnedAccounts::new(
                GrantTimes::new(Duration::from_secs(2)),
                1_000_000 * entry as u64,
            ),
            grant_pool: GrantPool::default(),
            level_tokens: 0.0,
            list: Vec::new(),
            acks: BTreeMap::new(),
            majority_since: None,
            pending: Vec::new(),
            is_dead: false,
            paused_until_tick: 0,
        });
    }

    fn live_entries(&self) -> Vec<usize> {
        let entries = 0..self.nodes.len();
        entries.filter(|one| !self.nodes[*one].is_dead).collect()
    }

    fn publish_live_entries(&mut self) {
        let live = self.live_entries();
        for entry in live.clone() {
            self.apply_list(entry, live.clone());
        }
    }

    /// Starts the replacement of an entry; later the previous owner leaves with a goodbye.
    fn replace_entry(&mut self) {
        if self.tick == FAULT_TICK {
            let now = self.now();
            self.start(REPLACEMENT, now);
            self.publish_live_entries();
        }
        if self.tick == LEAVE_TICK {
            let leaving = self.ranked(&(0..ENTRIES).collect::<Vec<_>>(), Some(self.group(0)))[0];
            self.nodes[leaving].is_dead = true;
            for goodbye in self.nodes[leaving].promises.leave() {
                let now = self.now();
                let to = &mut self.nodes[index_of(goodbye.to)].promises;
                to.receive(goodbye.heartbeat, address(leaving), now);
            }
            self.publish_live_entries();
        }
    }

    fn now(&self) -> Instant {
        self.epoch + TICK * u32::try_from(self.tick).expect("small")
    }

    const fn group(&self, entry: usize) -> usize {
        match self.scheme {
            OwnershipScheme::Promises => data_centre(entry),
            OwnershipScheme::GroupIsRegion => region(entry),
            OwnershipScheme::MajorityOfList | OwnershipScheme::StaticDivision => 0,
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

    fn apply_list(&mut self, entry: usize, list: Vec<usize>) {
        let group = self.group(entry);
        let members = list.iter().filter(|one| self.group(**one) == group);
        let listed = members.map(|one| (name(*one), address(*one))).collect();
        let now = self.now();
        self.nodes[entry].promises.set_list(&listed, now);
        self.nodes[entry].list = list;
    }

    fn is_running(&self, entry: usize) -> bool {
        !self.nodes[entry].is_dead && self.nodes[entry].paused_until_tick <= self.tick
    }

    fn is_open(&self, a: usize, b: usize) -> bool {
        let is_cut = (FAULT_TICK..FAULT_END_TICK).contains(&self.tick);
        match self.fault {
            InjectedFault::DataCentreCutOff if is_cut => {
                (data_centre(a) == 1) == (data_centre(b) == 1)
            }
            InjectedFault::RegionsCutOff if is_cut => region(a) == region(b),
            _ => true,
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.is_open(a, b) && self.is_running(b)
    }

    /// The first owner: the one in the first data centre, where skewed demand arrives too, or the fleet's only one.
    fn owner(&mut self) -> usize {
        let owner = (0..self.nodes.len()).find(|entry| self.owned_since(*entry).is_some());
        owner.unwrap_or(0)
    }

    fn inject_fault(&mut self) {
        if self.fault == InjectedFault::EntryReplaced {
            self.replace_entry();
        }
        if self.tick == FAULT_TICK {
            match self.fault {
                InjectedFault::OwnerKilled | InjectedFault::OwnerKilledSilently => {
                    let owner = self.owner();
                    self.nodes[owner].is_dead = true;
                }
                InjectedFault::OwnerPaused => {
                    let owner = self.owner();
                    self.nodes[owner].paused_until_tick = FAULT_END_TICK;
                }
                // Half of the entries read a list that lacks the last data centre.
                InjectedFault::StaleLists => {
                    for entry in 0..ENTRIES / 2 {
                        let list = (0..ENTRIES - PER_DATA_CENTRE).collect();
                        self.apply_list(entry, list);
                    }
                }
                InjectedFault::DataCentreCutOff
                | InjectedFault::EntryReplaced
                | InjectedFault::None
                | InjectedFault::RegionsCutOff => {}
            }
        }
        let is_unlisted = matches!(
            self.fault,
            InjectedFault::OwnerKilled | InjectedFault::OwnerKilledSilently
        );
        if self.tick == FAULT_TICK + 100 && is_unlisted {
            self.publish_live_entries();
        }
    }

    fn send_heartbeats(&mut self) {
        let now = self.now();
        for entry in 0..self.nodes.len() {
            if !self.is_running(entry) {
                continue;
            }
            self.nodes[entry].promises.drop_unlisted(now);
            if self.tick.is_multiple_of(POLL_TICKS) {
                self.probe_suspects(entry, now);
            }
            let silence = TICK * u32::try_from(2 * HEARTBEAT_TICKS).expect("small");
            let promises = &mut self.nodes[entry].promises;
            if self.tick % HEARTBEAT_TICKS == entry as u64 {
                let requests = promises.promise_requests(&[], now);
                self.exchange_heartbeats(entry, requests, now);
            } else if self.tick % POLL_TICKS == entry as u64 {
                let requests = promises.urgent_promise_requests(silence, now);
                self.exchange_heartbeats(entry, requests, now);
            }
        }
    }

    fn probe_suspects(&mut self, entry: usize, now: Instant) {
        let silence = TICK * u32::try_from(2 * HEARTBEAT_TICKS).expect("small");
        for suspect in self.nodes[entry].promises.suspects(silence, now) {
            let target = index_of(suspect.address);
            let is_refused = self.nodes[target].is_dead && self.fault == InjectedFault::OwnerKilled;
            if is_refused && self.is_open(entry, target) {
                self.nodes[entry].promises.prove_dead(&suspect, now);
            }
        }
    }

    fn exchange_heartbeats(&mut self, entry: usize, requests: Vec<Outgoing>, now: Instant) {
        for outgoing in requests {
            let to = index_of(outgoing.to);
            if !self.reaches(entry, to) {
                continue;
            }
            let replies = self.nodes[to]
                .promises
                .receive(outgoing.heartbeat, address(entry), now);
            for heartbeat in replies {
                let follow_ups = self.nodes[entry]
                    .promises
                    .receive(heartbeat, address(to), now);
                for heartbeat in follow_ups {
                    self.nodes[to]
                        .promises
                        .receive(heartbeat, address(entry), now);
                }
            }
        }
        let list = self.nodes[entry].list.clone();
        for to in list {
            let agrees = self.reaches(entry, to) && self.first_ranked(to) == Some(entry);
            if agrees {
                self.nodes[entry].acks.insert(to, self.tick);
            }
        }
    }

    fn first_ranked(&self, entry: usize) -> Option<usize> {
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

    /// Since when an entry owns its group's budget, if it does.
    fn owned_since(&mut self, entry: usize) -> Option<Instant> {
        let now = self.now();
        match self.scheme {
            OwnershipScheme::StaticDivision => None,
            OwnershipScheme::GroupIsRegion | OwnershipScheme::Promises => {
                let ownership = self.nodes[entry].promises.ownership(&self.team, now);
                ownership.map(|ownership| ownership.since)
            }
            OwnershipScheme::MajorityOfList => {
                let fresh = |at: &&u64| self.tick - **at < LEASE_TICKS;
                let acks = self.nodes[entry].acks.values().filter(fresh).count();
                let has_majority = 2 * acks > self.nodes[entry].list.len();
                let owns = has_majority && self.first_ranked(entry) == Some(entry);
                let since = self.nodes[entry].majority_since;
                let since = owns.then(|| since.unwrap_or(self.tick));
                self.nodes[entry].majority_since = since;
                since.map(|tick| self.epoch + TICK * u32::try_from(tick).expect("small"))
            }
        }
    }

    fn fetch_grants(&mut self, entry: usize, cost: u64) {
        let now = self.now();
        let local_group = self.group(entry);
        let mut groups: Vec<_> = (0..self.groups()).collect();
        groups.sort_by_key(|group| (*group != local_group, *group));
        for group in groups {
            let missing = cost.saturating_sub(self.nodes[entry].grant_pool.free_tokens(now));
            if missing > 0 {
                self.fetch_grants_from(entry, group, missing);
            }
        }
    }

    fn fetch_grants_from(&mut self, entry: usize, group: usize, missing: u64) {
        let now = self.now();
        let ranked = self.ranked(&self.nodes[entry].list.clone(), Some(group));
        let source = format!("group-{group}").parse().expect("a name");
        for owner in ranked.into_iter().take(3) {
            if !self.reaches(entry, owner) {
                self.nodes[entry].promises.suspect(&name(owner));
                continue;
            }
            let Some(since) = self.owned_since(owner) else {
                continue;
            };
            let closes = self.nodes[entry].grant_pool.close_all(&source, now);
            let held: u64 = closes.iter().map(|close| close.unspent_tokens.get()).sum();
            let request = GrantRequest {
                team: self.team.parse().expect("a name"),
                data_centre: source.clone(),
                need_tokens: Tokens(missing + held),
                prefetch_tokens: Tokens(missing),
                closes,
            };
            let share = self.share(group);
            let reply = self.nodes[owner]
                .accounts
                .answer(&request, share, since, now);
            if let Some(grant) = reply.grant {
                self.nodes[entry].grant_pool.add(LocalGrant {
                    data_centre: source,
                    grant_id: grant.grant_id,
                    free_tokens: grant.tokens.get(),
                    expires_at: now + Duration::from_millis(grant.lifetime_ms),
                });
            }
            return;
        }
    }

    /// Pays for a request and returns whether the tokens sufficed.
    fn pay(&mut self, entry: usize, cost: u64) -> bool {
        let now = self.now();
        if self.scheme == OwnershipScheme::StaticDivision {
            let is_paid = self.nodes[entry].level_tokens >= cost as f64;
            if is_paid {
                self.nodes[entry].level_tokens -= cost as f64;
            }
            return is_paid;
        }
        if self.nodes[entry].grant_pool.spend(cost, now).is_some() {
            return true;
        }
        self.fetch_grants(entry, cost);
        self.nodes[entry].grant_pool.spend(cost, now).is_some()
    }

    fn serve(&mut self, entry: usize) {
        let size = self.nodes[entry].list.len() as f64;
        let burst = BURST_TOKENS as f64 / size;
        let filled = self.nodes[entry].level_tokens + RATE_TOKENS_PER_TICK / size;
        self.nodes[entry].level_tokens = filled.min(burst);
        for pending in std::mem::take(&mut self.nodes[entry].pending) {
            if self.pay(entry, pending.cost) {
                self.spent_tokens.push((self.tick, pending.cost));
            } else if self.tick >= pending.arrived_tick + WAIT_LIMIT_TICKS {
                self.refused.insert(pending.number);
            } else {
                self.nodes[entry].pending.push(pending);
            }
        }
    }
}

/// Share of refused requests among those that a single bucket for the fleet would admit, and the tokens spent over the
/// bound.
struct Measurement {
    refused_share: f64,
    excess_tokens: f64,
}

fn play(
    scheme: OwnershipScheme,
    fault: InjectedFault,
    demand: Demand,
    load: f64,
    seed: u64,
) -> Measurement {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = SimulatedFleet::new(scheme, fault);
    let mut level_tokens = BURST_TOKENS as f64;
    let mut within_rate = Vec::new();
    let mean_cost = f64::midpoint(MAX_COST_TOKENS as f64, 1.0);
    let per_tick = RATE_TOKENS_PER_TICK * load / mean_cost;
    let mut number = 0;
    while fleet.tick < TICKS {
        fleet.tick += 1;
        fleet.inject_fault();
        fleet.send_heartbeats();
        level_tokens = (level_tokens + RATE_TOKENS_PER_TICK).min(BURST_TOKENS as f64);
        for _ in 0..4 {
            if !random.random_bool(per_tick / 4.0) {
                continue;
            }
            let cost = random.random_range(1..=MAX_COST_TOKENS);
            let count = fleet.nodes.len();
            let any = random.random_range(0..count);
            // The platform's balancer skips entries that don't answer.
            let first = match demand {
                Demand::Even => any,
                Demand::Skewed => PER_DATA_CENTRE - 1,
            };
            let entry = (first..count)
                .chain(0..first)
                .find(|one| fleet.is_running(*one));
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
            if fleet.is_running(entry) {
                fleet.serve(entry);
            }
        }
    }
    let refused = within_rate.iter().filter(|one| fleet.refused.contains(one));
    Measurement {
        refused_share: refused.count() as f64 / within_rate.len() as f64,
        excess_tokens: excess(&fleet.spent_tokens),
    }
}

/// Maximum number of tokens over `burst + rate * t` in any window.
fn excess(spent_tokens: &[(u64, u64)]) -> f64 {
    let (mut spent, mut minimum, mut maximum) = (0.0, f64::INFINITY, 0.0_f64);
    for (tick, tokens) in spent_tokens {
        let refilled = RATE_TOKENS_PER_TICK * *tick as f64;
        minimum = minimum.min(spent - refilled);
        spent += *tokens as f64;
        maximum = maximum.max(spent - refilled - minimum - BURST_TOKENS as f64);
    }
    maximum
}

fn print_table(cell: impl Fn(OwnershipScheme, InjectedFault, Demand) -> String) {
    let schemes: Vec<_> = OwnershipScheme::iter()
        .map(|scheme| scheme.to_string())
        .collect();
    println!("| fault | demand | {} |", schemes.join(" | "));
    println!("|---|---|{}", "---|".repeat(schemes.len()));
    for fault in InjectedFault::iter() {
        for demand in Demand::iter() {
            let cells: Vec<_> = OwnershipScheme::iter()
                .map(|scheme| cell(scheme, fault, demand))
                .collect();
            println!("| {fault} | {demand} | {} |", cells.join(" | "));
        }
    }
}

#[test]
#[ignore = "a measurement; the design note gives its figures"]
fn refusals_within_rate_of_four_ways() {
    print_table(|scheme, fault, demand| {
        let of_seed = |seed| play(scheme, fault, demand, USUAL_LOAD, seed).refused_share;
        let refused: f64 = (0..SEEDS).map(of_seed).sum();
        format!("{:.2} %", 100.0 * refused / SEEDS as f64)
    });
}

#[test]
#[ignore = "a measurement; the design note gives its figures"]
fn over_admission_of_four_ways() {
    print_table(|scheme, fault, demand| {
        let of_seed = |seed| play(scheme, fault, demand, OVERLOAD, seed).excess_tokens;
        let most = (0..OVERLOAD_SEEDS).map(of_seed).fold(0.0, f64::max);
        format!("{most:.0}")
    });
}
