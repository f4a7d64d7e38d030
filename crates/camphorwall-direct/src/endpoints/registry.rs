//! The configuration and the endpoints that an entry knows, and how recently they were proved to be the store's newest.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::{
    clock::Moment,
    configuration::{Configuration, Endpoint, EndpointIncarnation, KeysDigest, Stage},
    dialect::StoreRevision,
    endpoints::{evacuation::Evacuations, store_contact::StoreContact},
    names::{DataCentreName, EndpointName, ServiceName},
};

/// Part of the withdrawal bound in which no new request is admitted. It covers differences of clock rates and the time
/// that a request takes through the entry.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(400);

/// Age above which the proof that the configuration in force is the newest is stale.
pub(crate) const STALE_PROOF_AGE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Registration {
    endpoint: Rc<Endpoint>,
    revision: StoreRevision,
    /// Whether the store has lacked it since an outage.
    has_expired: bool,
}

/// The proof of keys that an entry had when the store was restored.
#[derive(Debug)]
struct EarlierProof {
    keys_proved_at: Option<Moment>,
}

/// The configuration and the endpoints that an entry knows.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    configuration: Option<Rc<Configuration>>,
    /// Revision of the store at which the configuration in force was written.
    configuration_revision: StoreRevision,
    keys_digest: KeysDigest,
    proved_at: Option<Moment>,
    /// Moment up to which no key is known to have been withdrawn. Later than `proved_at` if a newer configuration is known
    /// to have the same keys.
    keys_proved_at: Option<Moment>,
    /// While peers may still report a configuration that a restored store has lost: the proof of before, which counts in place of
    /// `keys_proved_at`.
    earlier_proof: Option<EarlierProof>,
    registrations: HashMap<EndpointName, Registration>,
    /// Revisions of removals, so that a page of an older list doesn't bring an endpoint back.
    removed_at: HashMap<EndpointName, StoreRevision>,
    pub(crate) contact: StoreContact,
    pub(crate) evacuations: Evacuations,
}

/// Why a request may be sent to none of the endpoints that would take it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Closure {
    /// All that it may be sent to are in data centres that have been evacuated for this time.
    Evacuated(Duration),
    /// All are outside the regions in which it may be served.
    OutsideHomes,
    /// No data centre is in a region in which it may be served.
    NoRegion,
}

/// Effect of a change of the registrations.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum EndpointChange {
    /// The endpoint takes work from now on.
    Added,
    /// The endpoint takes no new work.
    Draining,
    /// The registration is missing right after an outage of the store, and the endpoint is kept for now.
    #[strum(serialize = "lapsed")]
    Expired,
    /// The endpoint has left.
    Removed,
    /// The change doesn't concern placements.
    Unchanged,
}

impl Registry {
    /// The configuration in force.
    #[must_use]
    pub(crate) fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Revision of the store at which the configuration in force was written; 0 without one.
    #[must_use]
    pub(crate) fn configuration_revision(&self) -> StoreRevision {
        self.configuration_revision
    }

    /// Digest of the keys of the configuration in force.
    #[must_use]
    pub(crate) fn keys_digest(&self) -> KeysDigest {
        self.keys_digest
    }

    /// Puts a configuration in force unless one of a newer version is, or of the same version and as new a revision; returns
    /// whether it did.
    pub(crate) fn apply_configuration(
        &mut self,
        configuration: Configuration,
        revision: impl Into<StoreRevision>,
    ) -> bool {
        let revision = revision.into();
        let in_force = self.configuration.as_ref();
        let is_newer = in_force.is_none_or(|current| {
            let in_force = (current.version, self.configuration_revision);
            (configuration.version, revision) > in_force
        });
        if is_newer {
            self.keys_digest = configuration.keys_digest();
            self.configuration = Some(Rc::new(configuration));
            self.configuration_revision = revision;
        }
        is_newer
    }

    /// Records that the configuration in force was the store's newest at `moment` or later.
    pub(crate) fn prove(&mut self, moment: Moment) {
        self.proved_at = self.proved_at.max(Some(moment));
        self.prove_keys(moment);
    }

    /// Records that the keys of the configuration in force were those of the store's newest one at `moment` or later.
    pub(crate) fn prove_keys(&mut self, moment: Moment) {
        self.keys_proved_at = self.keys_proved_at.max(Some(moment));
    }

    /// Lets new proofs of keys count only once they are released: the store has been restored, and what it lost is not known.
    pub(crate) fn withhold_proofs(&mut self) {
        let keys_proved_at = self.counting_proof();
        self.earlier_proof = Some(EarlierProof { keys_proved_at });
    }

    /// Lets the newest proofs count; returns whether they had been withheld.
    pub(crate) fn release_proofs(&mut self) -> bool {
        self.earlier_proof.take().is_some()
    }

    pub(crate) const fn withholds_proofs(&self) -> bool {
        self.earlier_proof.is_some()
    }

    /// The proof of keys that counts.
    fn counting_proof(&self) -> Option<Moment> {
        let earlier = self.earlier_proof.as_ref();
        earlier.map_or(self.keys_proved_at, |earlier| earlier.keys_proved_at)
    }

    /// Withdraws the proofs: a newer configuration was published that the store has lost.
    pub(crate) fn withdraw_proofs(&mut self) {
        self.proved_at = None;
        self.keys_proved_at = None;
        if let Some(earlier) = &mut self.earlier_proof {
            earlier.keys_proved_at = None;
        }
    }

    /// Whether keys may be trusted: a key must not be served once the bound has passed since its withdrawal.
    #[must_use]
    pub(crate) fn keys_are_fresh(&self, now: Moment, key_withdrawal: Duration) -> bool {
        let limit = key_withdrawal.saturating_sub(WITHDRAWAL_MARGIN);
        self.counting_proof()
            .is_some_and(|proved_at| now.since(proved_at) < limit)
    }

    /// Age of the newest proof that the configuration in force is the store's newest.
    #[must_use]
    pub(crate) fn proof_age(&self, now: Moment) -> Option<Duration> {
        self.proved_at.map(|proved_at| now.since(proved_at))
    }

    /// Whether the configuration in force was recently proved to be the store's newest.
    #[must_use]
    pub(crate) fn has_fresh_proof(&self, now: Moment) -> bool {
        self.proof_age(now)
            .is_some_and(|age| age <= STALE_PROOF_AGE)
    }

    /// Applies a registration.
    pub(crate) fn register(
        &mut self,
        endpoint: Endpoint,
        revision: impl Into<StoreRevision>,
    ) -> EndpointChange {
        let revision = revision.into();
        let is_outdated = |known: StoreRevision| known >= revision;
        let removed_at = self.removed_at.get(&endpoint.id).copied();
        let known = self.registrations.get(&endpoint.id);
        if removed_at.is_some_and(is_outdated)
            || known.is_some_and(|known| is_outdated(known.revision))
        {
            return EndpointChange::Unchanged;
        }
        let was_taking_work = known.is_some_and(|known| {
            !known.endpoint.is_draining && known.endpoint.started_ms == endpoint.started_ms
        });
        let change = match (was_taking_work, endpoint.is_draining) {
            (false, false) => EndpointChange::Added,
            (true, false) => EndpointChange::Unchanged,
            (_, true) => EndpointChange::Draining,
        };
        let registration = Registration {
            endpoint: Rc::new(endpoint),
            revision,
            has_expired: false,
        };
        self.registrations
            .insert(registration.endpoint.id.clone(), registration);
        change
    }

    /// Applies the removal of a registration.
    pub(crate) fn remove(
        &mut self,
        id: &EndpointName,
        revision: impl Into<StoreRevision>,
        now: Moment,
    ) -> EndpointChange {
        let revision = revision.into();
        let is_in_doubt = self.contact.is_in_doubt(revision, now);
        let Some(known) = self.registrations.get_mut(id) else {
            return EndpointChange::Unchanged;
        };
        if known.revision >= revision {
            return EndpointChange::Unchanged;
        }
        if is_in_doubt && !known.endpoint.is_draining {
            known.revision = revision;
            known.has_expired = true;
            return EndpointChange::Expired;
        }
        self.registrations.remove(id);
        self.removed_at.insert(id.clone(), revision);
        EndpointChange::Removed
    }

    /// Applies a complete list: registrations missing from it are removed. Returns what changed.
    pub(crate) fn keep_only(
        &mut self,
        listed: &[EndpointName],
        revision: impl Into<StoreRevision>,
        now: Moment,
    ) -> Vec<(EndpointName, EndpointChange)> {
        let revision = revision.into();
        let missing: Vec<_> = self
            .registrations
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        let missing = missing.into_iter();
        missing
            .map(|id| {
                let change = self.remove(&id, revision, now);
                (id, change)
            })
            .collect()
    }

    /// Drops the endpoints whose registrations are missing and can no longer be in doubt, and returns them.
    pub(crate) fn drop_expired(&mut self, now: Moment) -> Vec<EndpointName> {
        let is_gone = |registration: &Registration| {
            registration.has_expired && !self.contact.is_in_doubt(registration.revision, now)
        };
        let expired: Vec<_> = self
            .registrations
            .iter()
            .filter(|(_, registration)| is_gone(registration))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            if let Some(registration) = self.registrations.remove(id) {
                self.removed_at.insert(id.clone(), registration.revision);
            }
        }
        expired
    }

    /// Endpoints of a service that take new work of a stage.
    pub(crate) fn endpoints<'a>(
        &'a self,
        service: &'a ServiceName,
        stage: Stage,
        now: Moment,
    ) -> impl Iterator<Item = &'a Rc<Endpoint>> {
        let takes_work = move |registration: &&Registration| {
            let endpoint = &registration.endpoint;
            self.is_present(registration, now)
                && endpoint.service == *service
                && endpoint.stage == stage
                && !endpoint.is_draining
                && !self.evacuations.is_evacuated(&endpoint.data_centre)
        };
        let taking = self.registrations.values().filter(takes_work);
        taking.map(|registration| &registration.endpoint)
    }

    /// Whether an endpoint counts as registered.
    fn is_present(&self, registration: &Registration, now: Moment) -> bool {
        !registration.has_expired || self.contact.is_in_doubt(registration.revision, now)
    }

    /// Whether an endpoint still takes new work.
    #[must_use]
    pub(crate) fn takes_work(&self, endpoint: &Endpoint, now: Moment) -> bool {
        self.registrations.get(&endpoint.id).is_some_and(|known| {
            self.is_present(known, now)
                && !known.endpoint.is_draining
                && known.endpoint.started_ms == endpoint.started_ms
                && !self.evacuations.is_evacuated(&known.endpoint.data_centre)
        })
    }

    /// Why evacuations or the homes of a request keep it from all endpoints of a service that would take work of a stage;
    /// `None` if one may take it, or none would anyway.
    pub(crate) fn closure(
        &self,
        service: &ServiceName,
        stage: Stage,
        is_home: impl Fn(&DataCentreName) -> bool,
        now: Moment,
    ) -> Option<Closure> {
        let would_take_work = |registration: &&Registration| {
            let endpoint = &registration.endpoint;
            self.is_present(registration, now)
                && endpoint.service == *service
                && endpoint.stage == stage
                && !endpoint.is_draining
        };
        let mut closure = None;
        for registration in self.registrations.values().filter(would_take_work) {
            let data_centre = &registration.endpoint.data_centre;
            let reason = if is_home(data_centre) {
                Closure::Evacuated(self.evacuations.lasted(data_centre, now)?)
            } else {
                Closure::OutsideHomes
            };
            // Of several evacuations, the one that began last counts; which one ends first is not known.
            closure = closure.into_iter().chain([reason]).min();
        }
        closure
    }

    /// Number of endpoints that are registered in a data centre.
    #[must_use]
    pub(crate) fn count_in(&self, data_centre: &DataCentreName) -> usize {
        let all = self.registrations.values();
        let inside = all.filter(|known| known.endpoint.data_centre == *data_centre);
        inside.count()
    }

    /// Number of evacuated data centres in which endpoints are registered.
    #[must_use]
    pub(crate) fn evacuated_centres(&self) -> usize {
        let evacuated = self.evacuations.names();
        evacuated.filter(|name| self.count_in(name) > 0).count()
    }

    /// The endpoint of which an incarnation is registered.
    pub(crate) fn named(&self, incarnation: EndpointIncarnation) -> Option<&Endpoint> {
        let mut endpoints = self.registrations.values().map(|known| &*known.endpoint);
        endpoints.find(|endpoint| endpoint.incarnation() == incarnation)
    }

    /// All registered endpoints.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.registrations.values().map(|known| &known.endpoint)
    }

    /// Whether a registration is newer than what is known of its endpoint.
    pub(crate) fn is_newer(&self, id: &EndpointName, revision: StoreRevision) -> bool {
        let known = self.registrations.get(id).map(|known| known.revision);
        let removed = self.removed_at.get(id).copied();
        known.max(removed).is_none_or(|known| known < revision)
    }

    /// Whether any endpoint is known.
    #[must_use]
    pub(crate) fn has_endpoints(&self) -> bool {
        !self.registrations.is_empty()
    }
}
