//! The published documents: contracts, keys, routes, services, data centres, deployments and the instance list.
//!
//! The platform's configuration service publishes each document as JSON under a name with a revision. Acceptance
//! of a document, and of each item in it, is a pure function of its text, so that all instances decide the same. An
//! item that is not accepted keeps its previous value (a key loses it); the others come into force.

mod contracts;
mod cross_check;
mod deployments;
mod document_state;
mod item;
mod name;
mod parsed;
mod routes;
mod tables;
mod topology;
mod update;

pub use contracts::{Contract, Key};
pub use cross_check::{Finding, cross_check};
pub use deployments::{Deployment, DeploymentTarget, EngineSetup};
pub use document_state::DocumentDigest;
pub use item::{Item, ItemId};
pub use name::{Document, DocumentError, DocumentKind, DocumentName};
pub use routes::{Route, RouteKind, Service};
pub use tables::Published;
pub use topology::{DataCentre, EngineRole, Instance, InstanceRole, InstanceState, Link};
pub use update::{DocumentUpdate, HeldDocument, KeptItem};
