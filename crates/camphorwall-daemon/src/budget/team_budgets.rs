//! Charges requests to their teams' budgets.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    Contract, DataCentreId, GrantClose, GrantReply, GrantRequest, TaskGroup, TeamBudgetStatus,
    TeamId, Tokens, milliseconds,
};

use super::{
    demand::Demand,
    grant_fetch::{BudgetOwners, FetchRound, Refill},
    grant_pool::{GrantPool, Payment},
    team_account::GrantTimes,
};

/// A prefetch covers the demand that is expected within this many grant lifetimes.
const PREFETCH_LIFETIMES: f64 = 0.25;

/// More grants are fetched in the background when a pool doesn't cover the demand expected within this many lifetimes.
const LOW_LIFETIMES: f64 = 0.1;

/// Unspent grants return to their owner when less than this part of their lifetime is left.
const RETURN_LIFETIMES: f64 = 0.35;

/// Maintenance runs within the lifetime of a grant.
const MAINTENANCE_RUNS_PER_LIFETIME: u32 = 4;

/// Spent grants are kept if the burst covers this many grant lifetimes at the full rate.
const KEPT_LIFETIMES: f64 = 2.0;

/// Minimum delay between two fetches for a waiting request.
const MIN_FETCH_DELAY: Duration = Duration::from_millis(5);

/// Fetches for a waiting request within a grant's lifetime. Each exchanges the held grants, so that none expires.
const FETCHES_PER_LIFETIME: u32 = 4;

/// Delay before the next fetch when the owners that answered can't cover the cost, for example because a new owner
/// does not act yet.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long the state of an inactive team is kept.
const TEAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Tokens that a request holds until it is settled.
#[derive(Debug)]
pub(crate) struct Charge {
    pub(crate) team: TeamId,
    pub(crate) tokens: Tokens,
    payments: Vec<Payment>,
}

/// Reason why a team's budget refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BudgetRefusal {
    /// The cost exceeds the burst; waiting never helps.
    OverBurst {
        /// Largest cost that can run.
        burst_tokens: Tokens,
    },
    /// No owner of the team's budget answers within the caller's wait limit; the team may be within its rate.
    NoOwner {
        /// Time after which an owner acts at the latest, if one is able to.
        retry_after: Duration,
    },
    /// The tokens are not refilled within the caller's wait limit.
    RateExceeded {
        /// Time until they are refilled.
        retry_after: Duration,
    },
}

/// State of one team at this entry.
struct TeamState {
    pool: GrantPool,
    demand: Demand,
    is_prefetching: bool,
    spent_tokens: u64,
    refused: u64,
}

impl TeamState {
    fn new(now: Instant) -> Self {
        Self {
            pool: GrantPool::default(),
            demand: Demand::new(now),
            is_prefetching: false,
            spent_tokens: 0,
            refused: 0,
        }
    }
}

struct State {
    owners: BudgetOwners,
    teams: RefCell<BTreeMap<TeamId, TeamState>>,
    tasks: TaskGroup,
}

/// Budgets of the teams that are active at this entry; clones share one state.
#[derive(Clone)]
pub(crate) struct TeamBudgets(Rc<State>);

impl TeamBudgets {
    pub(crate) fn new(owners: BudgetOwners) -> Self {
        Self(Rc::new(State {
            owners,
            teams: RefCell::default(),
            tasks: TaskGroup::default(),
        }))
    }

    fn with_team<T>(
        &self,
        team: &TeamId,
        now: Instant,
        update: impl FnOnce(&mut TeamState) -> T,
    ) -> T {
        let mut teams = self.0.teams.borrow_mut();
        match teams.get_mut(team) {
            Some(state) => update(state),
            None => update(
                teams
                    .entry(team.clone())
                    .or_insert_with(|| TeamState::new(now)),
            ),
        }
    }

    /// Charges a cost to a team and waits for its tokens until `wait_until` at most. A budget of the system itself is
    /// charged in the same way, under the contract that operators publish for it.
    pub(crate) async fn acquire(
        &self,
        contract: &Contract,
        cost: Tokens,
        wait_until: Instant,
    ) -> Result<Charge, BudgetRefusal> {
        if cost > contract.burst_tokens {
            self.note_refusal(&contract.team);
            return Err(BudgetRefusal::OverBurst {
                burst_tokens: contract.burst_tokens,
            });
        }
        let now = Instant::now();
        self.with_team(&contract.team, now, |team| {
            team.demand.note(cost.get(), now);
        });
        let spent = self.with_team(&contract.team, now, |team| team.pool.spend(cost.get(), now));
        let payments = match spent {
            Some(payments) => payments,
            None => self.wait_for_tokens(contract, cost, wait_until).await?,
        };
        self.with_team(&contract.team, now, |team| {
            team.spent_tokens += cost.get();
        });
        self.prefetch_if_low(contract);
        Ok(Charge {
            team: contract.team.clone(),
            tokens: cost,
            payments,
        })
    }

    /// Collects tokens for one request in a pool of its own, so that later requests don't take them.
    async fn wait_for_tokens(
        &self,
        contract: &Contract,
        cost: Tokens,
        wait_until: Instant,
    ) -> Result<Vec<Payment>, BudgetRefusal> {
        let mut request_pool = GrantPool::default();
        loop {
            let now = Instant::now();
            let held = self.with_team(&contract.team, now, |team| std::mem::take(&mut team.pool));
            request_pool.merge(held);
            let prefetch = self.with_team(&contract.team, now, |team| {
                team.demand
                    .expected_tokens(self.lifetimes_s(PREFETCH_LIFETIMES), now)
            });
            let owners = &self.0.owners;
            let round = owners
                .fetch_grants(contract, cost.get(), prefetch, &mut request_pool)
                .await;
            let now = Instant::now();
            if let Some(payments) = request_pool.spend(cost.get(), now) {
                self.with_team(&contract.team, now, |team| team.pool.merge(request_pool));
                return Ok(payments);
            }
            let missing_tokens = cost.get() - request_pool.free_tokens(now);
            let wait = wait_for(missing_tokens, cost.get(), &round);
            if now + wait.unwrap_or(OWNER_RETRY_DELAY) >= wait_until {
                self.with_team(&contract.team, now, |team| team.pool.merge(request_pool));
                self.note_refusal(&contract.team);
                return Err(match wait {
                    Some(retry_after) => BudgetRefusal::RateExceeded { retry_after },
                    None => BudgetRefusal::NoOwner {
                        retry_after: owners.lease_duration(),
                    },
                });
            }
            let longest = owners.times.lifetime / FETCHES_PER_LIFETIME;
            let pause = wait
                .unwrap_or(OWNER_RETRY_DELAY)
                .min(longest)
                .max(MIN_FETCH_DELAY);
            compio::time::sleep(pause).await;
        }
    }

    fn lifetimes_s(&self, lifetimes: f64) -> f64 {
        self.0.owners.times.lifetime.as_secs_f64() * lifetimes
    }

    /// Period of [`Self::maintain`], so that no grant expires between two runs.
    pub(crate) fn maintenance_period(&self) -> Duration {
        self.0.owners.times.lifetime / MAINTENANCE_RUNS_PER_LIFETIME
    }

    fn note_refusal(&self, team: &TeamId) {
        self.with_team(team, Instant::now(), |team| team.refused += 1);
    }

    /// Fetches grants ahead of demand, so that requests need not wait for a round trip.
    fn prefetch_if_low(&self, contract: &Contract) {
        let now = Instant::now();
        let prefetch = self.with_team(&contract.team, now, |team| {
            let low_tokens = team
                .demand
                .expected_tokens(self.lifetimes_s(LOW_LIFETIMES), now);
            let is_low = team.pool.free_tokens(now) < low_tokens && !team.is_prefetching;
            team.is_prefetching |= is_low;
            is_low.then(|| {
                let prefetch = team
                    .demand
                    .expected_tokens(self.lifetimes_s(PREFETCH_LIFETIMES), now);
                let is_short = is_burst_short(contract, self.0.owners.times);
                let spent = is_short.then(|| team.pool.take_spent());
                (prefetch, spent.unwrap_or_default())
            })
        });
        let Some((prefetch, mut pool)) = prefetch else {
            return;
        };
        let (budgets, contract) = (self.clone(), contract.clone());
        self.0.tasks.spawn(async move {
            let owners = &budgets.0.owners;
            owners.fetch_grants(&contract, 0, prefetch, &mut pool).await;
            budgets.with_team(&contract.team, now, |team| {
                team.pool.merge(pool);
                team.is_prefetching = false;
            });
        });
    }

    /// Settles a charge: unused tokens are refunded to those of its grants that are still held.
    pub(crate) fn settle(&self, charge: &Charge, used: Tokens) {
        let unused_tokens = charge.tokens.get().saturating_sub(used.get());
        let now = Instant::now();
        self.with_team(&charge.team, now, |team| {
            let pool = &mut team.pool;
            let refunded_tokens = pool.refund(&charge.payments, unused_tokens, now);
            team.spent_tokens = team.spent_tokens.saturating_sub(refunded_tokens);
        });
    }

    /// Answers another entry's request for a grant.
    pub(crate) fn answer(&self, request: &GrantRequest) -> GrantReply {
        self.0.owners.answer(request, Instant::now())
    }

    /// Returns unspent grants that expire soon, and drops the state of inactive teams.
    pub(crate) async fn maintain(&self) {
        let now = Instant::now();
        let owners = &self.0.owners;
        let return_before = now + owners.times.lifetime.mul_f64(RETURN_LIFETIMES);
        let mut closes: BTreeMap<(TeamId, DataCentreId), Vec<GrantClose>> = BTreeMap::new();
        self.0.teams.borrow_mut().retain(|name, team| {
            for (data_centre, close) in team.pool.close_expiring(return_before, now) {
                let to = (name.clone(), data_centre);
                closes.entry(to).or_default().push(close);
            }
            let idle = now.saturating_duration_since(team.demand.noted_at());
            !team.pool.is_empty() || team.is_prefetching || idle < TEAM_IDLE_TIMEOUT
        });
        owners
            .accounts
            .drop_idle(|team| owners.owned(team, now), now);
        let returns = closes
            .into_iter()
            .map(|((team, data_centre), closes)| async move {
                owners.refund(&team, data_centre, closes).await;
            });
        futures_util::future::join_all(returns).await;
    }

    /// Waits for the background fetches.
    pub(crate) async fn join(&self) {
        self.0.tasks.join().await;
    }

    /// Cancels the background fetches.
    pub(crate) fn abort(&self) {
        self.0.tasks.abort();
    }

    /// Status of the teams that are active at this entry.
    pub(crate) fn status(&self) -> Vec<TeamBudgetStatus> {
        let now = Instant::now();
        let owners = &self.0.owners;
        let mut names = owners.accounts.teams();
        names.extend(self.0.teams.borrow().keys().cloned());
        names.sort();
        names.dedup();
        names
            .into_iter()
            .filter_map(|name| self.team_status(&name, now))
            .collect()
    }

    fn team_status(&self, name: &TeamId, now: Instant) -> Option<TeamBudgetStatus> {
        let owners = &self.0.owners;
        let owned = owners.owned(name, now);
        let account = owned.and_then(|(share, _)| owners.accounts.status(name, share, now));
        let published = owners.published.get();
        let contract = published.contracts.get(name)?;
        let teams = self.0.teams.borrow();
        let team = teams.get(name);
        let lease_left = owners.lease_left(now);
        Some(TeamBudgetStatus {
            team: name.clone(),
            rate_tokens_per_s: contract.rate_tokens_per_s.get(),
            burst_tokens: contract.burst_tokens,
            owner: owners.owner(name.as_str()).map(|owner| owner.instance),
            is_owner: owned.is_some(),
            lease_left_ms: milliseconds(lease_left),
            level_tokens: account.map(|account| Tokens(account.level_tokens)),
            outstanding_tokens: account.map(|account| Tokens(account.outstanding_tokens)),
            held_tokens: Tokens(team.map_or(0, |team| team.pool.free_tokens(now))),
            spent_tokens: Tokens(team.map_or(0, |team| team.spent_tokens)),
            refused: team.map_or(0, |team| team.refused),
        })
    }
}

/// Whether the burst is so small that spent grants, which count as outstanding until they expire, would keep the team
/// below its rate. Otherwise they are kept, so that unused tokens of their charges can be refunded.
fn is_burst_short(contract: &Contract, times: GrantTimes) -> bool {
    let rate_tokens_per_s = contract.rate_tokens_per_s.get() as f64;
    let held_tokens = rate_tokens_per_s * KEPT_LIFETIMES * times.owner_lifetime.as_secs_f64();
    (contract.burst_tokens.get() as f64) < held_tokens
}

/// Time until the missing tokens are refilled at the owners that answered; `None` when their shares can't hold the
/// cost.
fn wait_for(missing_tokens: u64, cost_tokens: u64, round: &FetchRound) -> Option<Duration> {
    let mut refills: Vec<Refill> = round.refills.values().copied().collect();
    let burst_tokens: u64 = refills.iter().map(|one| one.share.burst_tokens).sum();
    if burst_tokens < cost_tokens {
        return None;
    }
    refills.sort_by_key(|refill| refill.starts_in);
    let mut rate_tokens_per_s = 0.0;
    let mut due_tokens = missing_tokens as f64;
    let mut wait_s = f64::INFINITY;
    // The refills that have started yield `rate * wait` tokens, less what each of them lacks before its start.
    for refill in refills {
        let starts_in_s = refill.starts_in.as_secs_f64();
        if wait_s <= starts_in_s {
            break;
        }
        rate_tokens_per_s += refill.share.rate_tokens_per_s;
        due_tokens += refill.share.rate_tokens_per_s * starts_in_s;
        wait_s = due_tokens / rate_tokens_per_s;
    }
    Duration::try_from_secs_f64(wait_s).ok()
}
