//! All documents in force at one process, with lookup tables of their items.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use xxhash_rust::xxh3::Xxh3;

use super::{
    Contract, DataCentre, Deployment, DeploymentTarget, Document, DocumentError, DocumentKind,
    DocumentName, DocumentUpdate, HeldDocument, Instance, Item, ItemId, Link, Route, Service,
    document_state::DocumentState,
};
use crate::{DataCentreId, InstanceId, KeyDigest, Revision, ServiceId, TeamId};

/// All documents in force at one process. Of an item that appears in two documents, the one in the document whose
/// name sorts first is used.
#[derive(Default)]
pub struct Published {
    documents: BTreeMap<DocumentName, DocumentState>,
    /// Contracts by team.
    pub contracts: BTreeMap<TeamId, Contract>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Deployments by target.
    pub deployments: BTreeMap<DeploymentTarget, Deployment>,
    /// Instances by name.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// Number of changes of instances, services and deployments, so that data derived from them is rebuilt only after
    /// such a change.
    pub instances_generation: u64,
    /// Teams by key digest. The map hashes with a random seed and digests are compared in constant time, so that lookup
    /// times reveal nothing about the keys.
    pub keys: HashMap<KeyDigest, TeamId>,
    /// Links by the data centres of sender and receiver.
    pub links: BTreeMap<(DataCentreId, DataCentreId), Link>,
    /// Routes, the most specific path first.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Published {
    /// Puts a document into force. Returns `false` when its revision is not higher than the one in force.
    ///
    /// # Errors
    /// When the document is not valid; the previous revision stays in force.
    pub fn apply(&mut self, document: &Document) -> Result<bool, DocumentError> {
        if document.revision <= self.revision(&document.name) {
            return Ok(false);
        }
        let mut state = self.documents.remove(&document.name).unwrap_or_default();
        let applied = state.apply(document);
        self.put_back(&document.name, state);
        applied?;
        self.update_tables(&document.name);
        Ok(true)
    }

    /// Adopts an update from a peer. Returns `false` when it is not newer than what is in force.
    ///
    /// # Errors
    /// When the update is a delta that does not fit what is in force; the full document must then be requested.
    pub fn apply_update(&mut self, update: &DocumentUpdate) -> Result<bool, String> {
        let mut state = self.documents.remove(&update.name).unwrap_or_default();
        let applied = state.apply_update(update);
        self.put_back(&update.name, state);
        let is_changed = applied?;
        if is_changed {
            self.update_tables(&update.name);
        }
        Ok(is_changed)
    }

    fn put_back(&mut self, name: &DocumentName, state: DocumentState) {
        if state.revision > Revision(0) {
            self.documents.insert(name.clone(), state);
        }
    }

    /// Returns the revision in force of a document; 0 when there is none.
    #[must_use]
    pub fn revision(&self, name: &DocumentName) -> Revision {
        self.documents
            .get(name)
            .map_or(Revision(0), |state| state.revision)
    }

    /// Returns the revision in force of each document.
    pub fn revisions(&self) -> impl Iterator<Item = (&DocumentName, Revision)> {
        self.documents
            .iter()
            .map(|(name, state)| (name, state.revision))
    }

    /// Whether no document is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Returns revision and content digest of each document in force.
    #[must_use]
    pub fn held(&self) -> BTreeMap<DocumentName, HeldDocument> {
        let held = |(name, state): (&DocumentName, &DocumentState)| {
            let held = HeldDocument {
                revision: state.revision,
                digest: state.digest(),
            };
            (name.clone(), held)
        };
        self.documents.iter().map(held).collect()
    }

    /// Returns the digest over all documents in force; equal digests mean equal contents and revisions.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (name, state) in &self.documents {
            hash.update(name.to_string().as_bytes());
            hash.update(&state.revision.get().to_le_bytes());
            hash.update(&state.digest().0.to_le_bytes());
        }
        hash.digest()
    }

    /// Returns the update of a document for a peer with revision `from`; `None` when the document is not in force.
    #[must_use]
    pub fn update(&self, name: &DocumentName, from: Option<Revision>) -> Option<DocumentUpdate> {
        let state = self.documents.get(name)?;
        Some(state.update(name, from))
    }

    /// Returns the refused items, with document and reason.
    pub fn refused(&self) -> impl Iterator<Item = (&DocumentName, &ItemId, &str)> {
        self.documents.iter().flat_map(|(name, state)| {
            let refused = state.refused().iter();
            refused.map(move |(id, reason)| (name, id, reason.as_str()))
        })
    }

    /// Returns the document that contains an item, such as `contracts/marousi-tills`.
    #[must_use]
    pub fn document_of(&self, item: &str) -> Option<&DocumentName> {
        let id = ItemId::from(item.to_owned());
        let mut documents = self.documents.iter();
        documents
            .find(|(_, state)| state.has(&id))
            .map(|(name, _)| name)
    }

    /// Returns the items that appear in two documents: the item, the document whose value is used, and the other.
    #[must_use]
    pub fn duplicates(&self) -> Vec<(&ItemId, &DocumentName, &DocumentName)> {
        let mut first: BTreeMap<&ItemId, &DocumentName> = BTreeMap::new();
        let mut duplicates = Vec::new();
        for (name, state) in &self.documents {
            for id in state.ids() {
                match first.get(id) {
                    Some(before) => duplicates.push((id, *before, name)),
                    None => drop(first.insert(id, name)),
                }
            }
        }
        duplicates
    }

    /// Returns the most specific route that matches a method and path.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let is_match = |route: &&Route| {
            let is_path = if route.path.ends_with('/') {
                path.starts_with(&route.path)
            } else {
                path == route.path
            };
            route.method == method && is_path
        };
        self.routes.iter().find(is_match)
    }

    /// Applies the changed items of a document to the tables.
    fn update_tables(&mut self, name: &DocumentName) {
        let changed = self
            .documents
            .get_mut(name)
            .map(DocumentState::take_changed);
        let kind = name.kind();
        for (id, before) in changed.unwrap_or_default() {
            if let Some(before) = before {
                self.remove_from_table(&before);
            }
            let of_kind = self
                .documents
                .iter()
                .filter(|(name, _)| name.kind() == kind);
            let first = of_kind.into_iter().find_map(|(_, state)| state.item(&id));
            if let Some(item) = first {
                self.add_to_table(&item);
            }
        }
        let changes_endpoints = matches!(
            kind,
            DocumentKind::Deployments | DocumentKind::Instances | DocumentKind::Services
        );
        if changes_endpoints {
            self.instances_generation += 1;
        }
        if kind == DocumentKind::Routes {
            let order = |route: &Route| {
                let path = Reverse(route.path.len());
                (route.path.ends_with('/'), path, route.route.clone())
            };
            self.routes.sort_by_cached_key(order);
        }
    }

    fn remove_from_table(&mut self, item: &Item) {
        match item {
            Item::Contract(one) => drop(self.contracts.remove(&one.team)),
            Item::DataCentre(one) => drop(self.data_centres.remove(&one.data_centre)),
            Item::Deployment(one) => {
                if let Some(target) = one.target() {
                    self.deployments.remove(&target);
                }
            }
            Item::Instance(one) => drop(self.instances.remove(&one.instance)),
            Item::Key(one) => drop(self.keys.remove(&one.digest)),
            Item::Link(one) => drop(self.links.remove(&(one.from.clone(), one.to.clone()))),
            Item::Route(one) => self.routes.retain(|route| route.route != one.route),
            Item::Service(one) => drop(self.services.remove(&one.service)),
        }
    }

    fn add_to_table(&mut self, item: &Item) {
        match item.clone() {
            Item::Contract(one) => drop(self.contracts.insert(one.team.clone(), one)),
            Item::DataCentre(one) => {
                drop(self.data_centres.insert(one.data_centre.clone(), one));
            }
            Item::Deployment(one) => {
                if let Some(target) = one.target() {
                    self.deployments.insert(target, one);
                }
            }
            Item::Instance(one) => drop(self.instances.insert(one.instance.clone(), one)),
            Item::Key(one) => drop(self.keys.insert(one.digest, one.team)),
            Item::Link(one) => drop(self.links.insert((one.from.clone(), one.to.clone()), one)),
            Item::Route(one) => {
                self.routes.retain(|route| route.route != one.route);
                self.routes.push(one);
            }
            Item::Service(one) => drop(self.services.insert(one.service.clone(), one)),
        }
    }
}

#[cfg(test)]
#[path = "tables_tests.rs"]
mod tests;
