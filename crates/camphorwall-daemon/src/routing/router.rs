//! Selects and ranks a few candidate endpoints for a request.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    DataCentreId, EngineRole, Instance, InstanceId, Load, PrefixBelief, Published, RoutingPolicy,
    RoutingSettings, ServiceId, rendezvous_winner,
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{
    endpoint_state::EndpointState,
    index::{Index, Pool},
    prefixes::PrefixHolders,
};

/// Number of candidates sampled in the request's data centre, and in all data centres.
const SAMPLES: (usize, usize) = (3, 2);

/// Minimum period between the reports that the `least_reported` policy accepts.
const LAGGED_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Assumed network delay to another data centre if no link is published.
const DEFAULT_PATH_DELAY_MS: f64 = 1.0;

/// Assumed prefill time per prompt token until a prefill has been measured.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.1;

/// Weight of the newest observation in a running mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Properties of a request by which its candidates are chosen.
pub(crate) struct RoutingRequest<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) role: EngineRole,
    /// Data centre to which the candidates should be near.
    pub(crate) near: &'a DataCentreId,
    pub(crate) prompt_tokens: u64,
    /// Pieces of the prompt, for work that a prefix cache shortens.
    pub(crate) pieces: &'a [u64],
    /// Hash of the request's content.
    pub(crate) fingerprint: u64,
}

/// Chooses endpoints by the routing policy, from what this entry knows of their load and caches.
pub(crate) struct Router {
    settings: RoutingSettings,
    random: RefCell<ChaCha8Rng>,
    index: RefCell<(u64, Index)>,
    endpoints: RefCell<BTreeMap<InstanceId, EndpointState>>,
    prefixes: RefCell<PrefixHolders>,
    round_robin_position: Cell<usize>,
    prefill_ms_per_token: Cell<f64>,
}

impl Router {
    pub(crate) fn new(settings: RoutingSettings, seed: u64) -> Self {
        Self {
            settings,
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            index: RefCell::default(),
            endpoints: RefCell::default(),
            prefixes: RefCell::default(),
            round_robin_position: Cell::new(0),
            prefill_ms_per_token: Cell::new(INITIAL_PREFILL_MS_PER_TOKEN),
        }
    }

    /// Returns a few candidates for a request, best first.
    pub(crate) fn candidates(
        &self,
        published: &Published,
        request: &RoutingRequest<'_>,
        now: Instant,
    ) -> Vec<Rc<Instance>> {
        self.refresh(published);
        let index = self.index.borrow();
        let Some(pool) = index.1.pool(request.service, request.role) else {
            return Vec::new();
        };
        match self.settings.policy {
            RoutingPolicy::Sampled => self.sample_and_rank(published, pool, request, now),
            RoutingPolicy::RoundRobin => self.next_round_robin(pool, request.role),
            RoutingPolicy::LeastReported => {
                let endpoints = self.endpoints.borrow();
                let reported = |one: &&Rc<Instance>| {
                    let state = endpoints.get(&one.instance);
                    state.map_or(0, EndpointState::reported)
                };
                let least = pool.all.iter().min_by_key(reported);
                least.cloned().into_iter().collect()
            }
            RoutingPolicy::Affinity => {
                let key = request
                    .pieces
                    .first()
                    .unwrap_or(&request.fingerprint)
                    .to_string();
                let names = pool.all.iter().map(|one| one.instance.as_str());
                let winner = rendezvous_winner(&key, names);
                let is_winner = |one: &&Rc<Instance>| Some(one.instance.as_str()) == winner;
                pool.all
                    .iter()
                    .find(is_winner)
                    .cloned()
                    .into_iter()
                    .collect()
            }
        }
    }

    fn next_round_robin(&self, pool: &Pool, role: EngineRole) -> Vec<Rc<Instance>> {
        let position = self.round_robin_position.get();
        // Decode and prefill of one request share a position; if each advanced it, either would get only every other
        // endpoint.
        if role != EngineRole::Prefill {
            self.round_robin_position.set(position.wrapping_add(1));
        }
        vec![Rc::clone(&pool.all[position % pool.all.len()])]
    }

    fn sample_and_rank(
        &self,
        published: &Published,
        pool: &Pool,
        request: &RoutingRequest<'_>,
        now: Instant,
    ) -> Vec<Rc<Instance>> {
        let endpoints = self.endpoints.borrow();
        let is_reachable = |one: &Instance| {
            let state = endpoints.get(&one.instance);
            state.is_none_or(|state| state.is_reachable(one.peer_address, now))
        };
        let random = &mut *self.random.borrow_mut();
        let mut sampled = pool.sample(request.near, SAMPLES, is_reachable, random);
        if sampled.is_empty() {
            // None counts as reachable, but one of them may be reachable again.
            sampled = pool.sample(request.near, SAMPLES, |_| true, random);
        }
        let prefixes = self.prefixes.borrow();
        let holder = prefixes.holder(request.pieces);
        let holder = holder.and_then(|holder| pool.find(holder));
        if let Some(holder) = holder
            && is_reachable(holder)
            && !sampled.iter().any(|one| Rc::ptr_eq(one, holder))
        {
            sampled.push(Rc::clone(holder));
        }
        let unknown = EndpointState::default();
        let per_token_ms = self.prefill_ms_per_token.get();
        let expected_ms = |one: &Rc<Instance>| {
            let state = endpoints.get(&one.instance).unwrap_or(&unknown);
            let cached = prefixes.cached_tokens(request.pieces, &one.instance);
            state.wait_ms(request.role, per_token_ms)
                + path_delay_ms(published, request, &one.data_centre)
                - cached as f64 * per_token_ms
        };
        let mut scored: Vec<_> = sampled
            .into_iter()
            .map(|one| (expected_ms(&one), one))
            .collect();
        scored.sort_by(|one, other| one.0.total_cmp(&other.0));
        scored.into_iter().map(|(_, one)| one).collect()
    }

    /// Rebuilds the index when the published list has changed.
    fn refresh(&self, published: &Published) {
        let mut index = self.index.borrow_mut();
        if index.0 == published.instances_generation {
            return;
        }
        *index = (published.instances_generation, Index::new(published));
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.retain(|instance, _| published.instances.contains_key(instance));
    }

    fn update(&self, instance: &InstanceId, update: impl FnOnce(&mut EndpointState)) {
        update(
            self.endpoints
                .borrow_mut()
                .entry(instance.clone())
                .or_default(),
        );
    }

    /// Notes that a reservation was sent.
    pub(crate) fn note_reservation_sent(&self, instance: &InstanceId) {
        self.update(instance, EndpointState::note_reservation_sent);
    }

    /// Notes that a reservation was answered, failed or was dropped.
    pub(crate) fn note_reservation_answered(&self, instance: &InstanceId) {
        self.update(instance, EndpointState::note_reservation_answered);
    }

    fn report_period(&self) -> Duration {
        let report_period = Duration::from_millis(self.settings.report_period_ms);
        match self.settings.policy {
            RoutingPolicy::LeastReported => report_period.max(LAGGED_REPORT_PERIOD),
            RoutingPolicy::Affinity | RoutingPolicy::RoundRobin | RoutingPolicy::Sampled => {
                report_period
            }
        }
    }

    /// Notes the load that an endpoint daemon reported.
    pub(crate) fn note_load(&self, instance: &InstanceId, load: Load, now: Instant) {
        let period = self.report_period();
        self.update(instance, |state| {
            state.note_load(load, period, now);
        });
    }

    /// Notes a slot that was reserved, and the load reported with it.
    pub(crate) fn note_slot_reserved(
        &self,
        instance: &InstanceId,
        load: Load,
        prompt_tokens: u64,
        now: Instant,
    ) {
        let period = self.report_period();
        self.update(instance, |state| {
            if !state.note_load(load, period, now) {
                state.note_slot_reserved(prompt_tokens);
            }
        });
    }

    /// Notes that a reserved slot was released.
    pub(crate) fn note_slot_released(&self, instance: &InstanceId) {
        self.update(instance, EndpointState::note_slot_released);
    }

    /// Notes an endpoint daemon that could not be reached, so that it is skipped for a while.
    pub(crate) fn note_unreachable(&self, instance: &Instance, now: Instant) {
        let name = &instance.instance;
        self.update(name, |state| {
            state.note_unreachable(instance.peer_address, now);
        });
        self.prefixes.borrow_mut().forget(name);
    }

    /// Notes how many of a prompt's first pieces an endpoint reported as cached.
    pub(crate) fn note_cached(&self, instance: &InstanceId, pieces: &[u64], cached: usize) {
        let is_corrected = self.settings.prefix_belief != PrefixBelief::Sent;
        if is_corrected && !pieces.is_empty() {
            self.prefixes.borrow_mut().correct(pieces, instance, cached);
        }
    }

    /// Notes a prefill that an endpoint has run, and the time that it took.
    pub(crate) fn note_prefill(
        &self,
        instance: &InstanceId,
        pieces: &[u64],
        tokens: u64,
        spent: Duration,
    ) {
        self.prefixes.borrow_mut().note(pieces, instance);
        let newest = spent.as_secs_f64() * 1e3 / tokens.max(1) as f64;
        let mean = self.prefill_ms_per_token.get();
        self.prefill_ms_per_token
            .set(mean + (newest - mean) * NEWEST_WEIGHT);
    }

    /// Expected duration of a prefill, without waiting.
    pub(crate) fn expected_prefill(&self, prompt_tokens: u64) -> Duration {
        let expected_ms = prompt_tokens as f64 * self.prefill_ms_per_token.get();
        Duration::from_secs_f64(expected_ms.max(0.0) / 1e3)
    }
}

/// Network delay between a candidate's data centre and the request's; for a prefill, with the transfer of the KV cache.
fn path_delay_ms(
    published: &Published,
    request: &RoutingRequest<'_>,
    data_centre: &DataCentreId,
) -> f64 {
    if data_centre == request.near {
        return 0.0;
    }
    let link = published
        .links
        .get(&(data_centre.clone(), request.near.clone()));
    let service = published.services.get(request.service);
    let kv_bytes = service.map_or(0, |service| {
        service.kv_bytes_per_token * request.prompt_tokens
    });
    match (link, request.role) {
        (None, _) => DEFAULT_PATH_DELAY_MS,
        (Some(link), EngineRole::Prefill) => {
            let rate = link.rate_bytes_per_s.get().max(1) as f64;
            link.delay_us as f64 / 1e3 + kv_bytes as f64 / rate * 1e3
        }
        (Some(link), EngineRole::Decode | EngineRole::Plain) => link.delay_us as f64 / 1e3,
    }
}

#[cfg(test)]
#[path = "router_tests.rs"]
mod tests;
