//! Indexes endpoints by service, engine role and data centre, so that a choice costs the same in a fleet of any size.

use std::{collections::BTreeMap, rc::Rc};

use camphorwall::{
    DataCentreId, EngineRole, Instance, InstanceId, InstanceState, Published, ServiceId,
};
use rand::{Rng, RngExt as _};

/// Maximum random draws for each candidate wanted; after that many, fewer candidates are returned.
const DRAWS_PER_CANDIDATE: usize = 4;

/// Endpoints of one service with the same engine role.
#[derive(Default)]
pub(super) struct Pool {
    /// All endpoints, sorted by name.
    pub(super) all: Vec<Rc<Instance>>,
    by_data_centre: BTreeMap<DataCentreId, Vec<Rc<Instance>>>,
}

/// Pools of all services in the published list.
#[derive(Default)]
pub(super) struct Index {
    by_service: BTreeMap<ServiceId, Vec<(EngineRole, Pool)>>,
}

impl Index {
    /// Builds the index of the live endpoints.
    pub(super) fn new(published: &Published) -> Self {
        let mut index = Self::default();
        let instances = published.instances.values();
        for instance in instances.filter(|instance| instance.state == InstanceState::Live) {
            let offered = published.offered_role(instance);
            if let (Some(service), Some(role)) = (&instance.service, offered) {
                index.pool_mut(service, role).add(instance);
            }
        }
        index
    }

    fn pool_mut(&mut self, service: &ServiceId, role: EngineRole) -> &mut Pool {
        let pools = self.by_service.entry(service.clone()).or_default();
        let position = pools.iter().position(|(existing, _)| *existing == role);
        let position = position.unwrap_or_else(|| {
            pools.push((role, Pool::default()));
            pools.len() - 1
        });
        &mut pools[position].1
    }

    /// Endpoints of a service with one engine role.
    pub(super) fn pool(&self, service: &ServiceId, role: EngineRole) -> Option<&Pool> {
        let pools = self.by_service.get(service)?;
        let found = pools.iter().find(|(existing, _)| *existing == role);
        found.map(|(_, pool)| pool)
    }
}

impl Pool {
    fn add(&mut self, instance: &Instance) {
        let instance = Rc::new(instance.clone());
        let data_centre = instance.data_centre.clone();
        self.by_data_centre
            .entry(data_centre)
            .or_default()
            .push(Rc::clone(&instance));
        self.all.push(instance);
    }

    /// Looks up an endpoint by its name.
    pub(super) fn find(&self, instance: &InstanceId) -> Option<&Rc<Instance>> {
        let found = self.all.binary_search_by(|one| one.instance.cmp(instance));
        found.ok().map(|position| &self.all[position])
    }

    /// Samples a few distinct eligible endpoints: `near` of one data centre and `far` of any.
    pub(super) fn sample(
        &self,
        data_centre: &DataCentreId,
        (near, far): (usize, usize),
        is_eligible: impl Fn(&Instance) -> bool,
        random: &mut impl Rng,
    ) -> Vec<Rc<Instance>> {
        let mut sampled = Vec::with_capacity(near + far);
        if let Some(local) = self.by_data_centre.get(data_centre) {
            draw(local, near, &is_eligible, &mut sampled, random);
        }
        draw(&self.all, far, &is_eligible, &mut sampled, random);
        sampled
    }
}

/// Draws up to `count` more eligible endpoints at random that are not in the sample yet.
fn draw(
    from: &[Rc<Instance>],
    count: usize,
    is_eligible: &impl Fn(&Instance) -> bool,
    sampled: &mut Vec<Rc<Instance>>,
    random: &mut impl Rng,
) {
    let wanted = sampled.len() + count;
    for _ in 0..count * DRAWS_PER_CANDIDATE {
        if sampled.len() == wanted || from.is_empty() {
            return;
        }
        let drawn = &from[random.random_range(0..from.len())];
        if is_eligible(drawn) && !sampled.iter().any(|one| Rc::ptr_eq(one, drawn)) {
            sampled.push(Rc::clone(drawn));
        }
    }
}
