//! All documents in force at one process, as tables to look things up in.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use xxhash_rust::xxh3::Xxh3;

use super::{
    Contract, DataCentre, Deployment, DeploymentTarget, Document, DocumentError, DocumentKind,
    DocumentName, DocumentUpdate, HeldDocument, Instance, Item, ItemId, Link, Route, Service,
    part::Part,
};
use crate::{DataCentreId, InstanceId, KeyDigest, Revision, ServiceId, TeamId};

/// All documents in force at one process. Of items that stand in two documents, the one in the first document by
/// name counts.
#[derive(Default)]
pub struct Published {
    parts: BTreeMap<DocumentName, Part>,
    /// Contracts by team.
    pub contracts: BTreeMap<TeamId, Contract>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Deployments by target.
    pub deployments: BTreeMap<DeploymentTarget, Deployment>,
    /// Instances by name.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// Counts the changes of the instance list and of what changes the offered work, so that what is built from it is rebuilt only then.
    pub instances_generation: u64,
    /// Teams by key digest; hashed with a random key and compared in constant time.
    pub keys: HashMap<KeyDigest, TeamId>,
    /// Links by sender's and receiver's data centre.
    pub links: BTreeMap<(DataCentreId, DataCentreId), Link>,
    /// Routes, the most specific path first.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Published {
    /// Takes a document into force. Returns `false` when its revision is not above the one in force.
    ///
    /// # Errors
    /// When the document is not valid; the previous revision stays in force.
    pub fn apply(&mut self, document: &Document) -> Result<bool, DocumentError> {
        if document.revision <= self.revision(&document.name) {
            return Ok(false);
        }
        let mut part = self.parts.remove(&document.name).unwrap_or_default();
        let applied = part.apply(document);
        self.put_back(&document.name, part);
        applied?;
        self.update_tables(&document.name);
        Ok(true)
    }

    /// Takes what another process has in force. Returns `false` when that is not newer.
    ///
    /// # Errors
    /// When the change does not fit what is in force here; the document has to be asked for whole.
    pub fn apply_update(&mut self, update: &DocumentUpdate) -> Result<bool, String> {
        let mut part = self.parts.remove(&update.name).unwrap_or_default();
        let applied = part.apply_update(update);
        self.put_back(&update.name, part);
        let is_changed = applied?;
        if is_changed {
            self.update_tables(&update.name);
        }
        Ok(is_changed)
    }

    fn put_back(&mut self, name: &DocumentName, part: Part) {
        if part.revision > Revision(0) {
            self.parts.insert(name.clone(), part);
        }
    }

    /// Revision in force of a document, 0 when there is none.
    #[must_use]
    pub fn revision(&self, name: &DocumentName) -> Revision {
        self.parts
            .get(name)
            .map_or(Revision(0), |part| part.revision)
    }

    /// Revisions in force.
    pub fn revisions(&self) -> impl Iterator<Item = (&DocumentName, Revision)> {
        self.parts.iter().map(|(name, part)| (name, part.revision))
    }

    /// Whether no document is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Revision and content of each document in force.
    #[must_use]
    pub fn held(&self) -> BTreeMap<DocumentName, HeldDocument> {
        let held = |(name, part): (&DocumentName, &Part)| {
            let held = HeldDocument {
                revision: part.revision,
                digest: part.digest(),
            };
            (name.clone(), held)
        };
        self.parts.iter().map(held).collect()
    }

    /// Digest over all documents in force; equal ones mean equal contents and revisions.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (name, part) in &self.parts {
            hash.update(name.to_string().as_bytes());
            hash.update(&part.revision.get().to_le_bytes());
            hash.update(&part.digest().0.to_le_bytes());
        }
        hash.digest()
    }

    /// Document for one who holds revision `from` of it; `None` when it is not in force here.
    #[must_use]
    pub fn update(&self, name: &DocumentName, from: Option<Revision>) -> Option<DocumentUpdate> {
        let part = self.parts.get(name)?;
        Some(part.update(name, from))
    }

    /// Items that are refused, with document and reason.
    pub fn refused(&self) -> impl Iterator<Item = (&DocumentName, &ItemId, &str)> {
        self.parts.iter().flat_map(|(name, part)| {
            let refused = part.refused().iter();
            refused.map(move |(id, reason)| (name, id, reason.as_str()))
        })
    }

    /// Document in which an item stands, such as `contracts/marousi-tills`.
    #[must_use]
    pub fn document_of(&self, item: &str) -> Option<&DocumentName> {
        let id = ItemId::from(item.to_owned());
        let mut parts = self.parts.iter();
        parts.find(|(_, part)| part.has(&id)).map(|(name, _)| name)
    }

    /// Items that stand in two documents: the item, the document that counts, and the other.
    #[must_use]
    pub fn duplicates(&self) -> Vec<(&ItemId, &DocumentName, &DocumentName)> {
        let mut first: BTreeMap<&ItemId, &DocumentName> = BTreeMap::new();
        let mut duplicates = Vec::new();
        for (name, part) in &self.parts {
            for id in part.ids() {
                match first.get(id) {
                    Some(before) => duplicates.push((id, *before, name)),
                    None => drop(first.insert(id, name)),
                }
            }
        }
        duplicates
    }

    /// Route that matches a method and path.
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

    /// Brings the tables in line with what changed in a document.
    fn update_tables(&mut self, name: &DocumentName) {
        let changed = self.parts.get_mut(name).map(Part::take_changed);
        let kind = name.kind();
        for (id, before) in changed.unwrap_or_default() {
            if let Some(before) = before {
                self.remove(&before);
            }
            let of_kind = self.parts.iter().filter(|(name, _)| name.kind() == kind);
            let first = of_kind.into_iter().find_map(|(_, part)| part.item(&id));
            if let Some(item) = first {
                self.set(&item);
            }
        }
        let changes_offers = matches!(
            kind,
            DocumentKind::Deployments | DocumentKind::Instances | DocumentKind::Services
        );
        if changes_offers {
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

    fn remove(&mut self, item: &Item) {
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

    fn set(&mut self, item: &Item) {
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
