//! Items of published documents: single contracts, keys, routes and so on.

use std::{collections::BTreeMap, fmt, rc::Rc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Contract, DataCentre, Deployment, DocumentKind, Instance, InstanceRole, Key, Link, Route,
    RouteKind, Service,
};

/// Identity of an item in its table, such as `contracts/marousi-tills`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "String", into = "String")]
pub struct ItemId(Rc<str>);

impl From<String> for ItemId {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl From<ItemId> for String {
    fn from(id: ItemId) -> Self {
        id.0.as_ref().to_owned()
    }
}

impl fmt::Display for ItemId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl ItemId {
    fn new(table: &str, key: impl fmt::Display) -> Self {
        Self(format!("{table}/{key}").into())
    }

    /// Identifies an item by its position, when its identity can't be read or is already used.
    pub(super) fn by_position(table: &str, position: usize) -> Self {
        Self(format!("{table}[{position}]").into())
    }

    /// Returns the table of the item.
    #[must_use]
    pub fn table(&self) -> &str {
        self.0.split(['/', '[']).next().unwrap_or_default()
    }
}

/// One item.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Item {
    /// A team's contract.
    Contract(Contract),
    /// A data centre.
    DataCentre(DataCentre),
    /// Desired setup of engines.
    Deployment(Deployment),
    /// An instance of the instance list.
    Instance(Instance),
    /// A key of a team.
    Key(Key),
    /// A link between data centres.
    Link(Link),
    /// A route.
    Route(Route),
    /// A service.
    Service(Service),
}

/// Returns the table that a document of a kind must have.
pub(super) const fn main_table(kind: DocumentKind) -> &'static str {
    match kind {
        DocumentKind::Contracts => "contracts",
        DocumentKind::DataCentres => "data_centres",
        DocumentKind::Deployments => "deployments",
        DocumentKind::Instances => "instances",
        DocumentKind::Keys => "keys",
        DocumentKind::Routes => "routes",
        DocumentKind::Services => "services",
    }
}

/// Returns the tables that a document of a kind may have.
pub(super) const fn tables(kind: DocumentKind) -> &'static [&'static str] {
    match kind {
        DocumentKind::Contracts => &["contracts"],
        DocumentKind::DataCentres => &["data_centres", "links"],
        DocumentKind::Deployments => &["deployments"],
        DocumentKind::Instances => &["instances"],
        DocumentKind::Keys => &["keys"],
        DocumentKind::Routes => &["routes"],
        DocumentKind::Services => &["services"],
    }
}

impl Item {
    /// Parses and checks an item of a table.
    pub(super) fn parse(table: &str, text: &RawValue) -> Result<Self, String> {
        let item = match table {
            "contracts" => Self::Contract(read(text)?),
            "data_centres" => Self::DataCentre(read(text)?),
            "deployments" => Self::Deployment(read(text)?),
            "instances" => Self::Instance(read(text)?),
            "keys" => Self::Key(read(text)?),
            "links" => Self::Link(read(text)?),
            "routes" => Self::Route(read(text)?),
            "services" => Self::Service(read(text)?),
            _ => return Err(format!("there is no table {table:?}")),
        };
        item.check().map(|()| item)
    }

    /// Returns the identity of the item.
    #[must_use]
    pub fn id(&self) -> ItemId {
        match self {
            Self::Contract(one) => ItemId::new("contracts", &one.team),
            Self::DataCentre(one) => ItemId::new("data_centres", &one.data_centre),
            Self::Deployment(one) => deployment_id(one),
            Self::Instance(one) => ItemId::new("instances", &one.instance),
            Self::Key(one) => ItemId::new("keys", one.digest),
            Self::Link(one) => ItemId::new("links", format_args!("{}/{}", one.from, one.to)),
            Self::Route(one) => ItemId::new("routes", &one.route),
            Self::Service(one) => ItemId::new("services", &one.service),
        }
    }

    /// Hashes the item's identity and value, for the digest of a document.
    pub(super) fn hash(&self) -> u64 {
        let text = serde_json::to_vec(self).unwrap_or_default();
        xxh3_64(self.id().to_string().as_bytes()).rotate_left(1) ^ xxh3_64(&text)
    }

    fn check(&self) -> Result<(), String> {
        match self {
            Self::Contract(Contract { weight: 0, .. }) => {
                Err("field weight: 0 would never be served; write 1 or more".into())
            }
            Self::Instance(one) if one.role == InstanceRole::Endpoint => check_endpoint(one),
            Self::Deployment(one) => one.check(),
            Self::Route(one) => check_route(one),
            Self::Contract(_)
            | Self::DataCentre(_)
            | Self::Instance(_)
            | Self::Key(_)
            | Self::Link(_)
            | Self::Service(_) => Ok(()),
        }
    }
}

fn deployment_id(deployment: &Deployment) -> ItemId {
    match deployment.target() {
        Some(target) => ItemId::new("deployments", target),
        None => ItemId::by_position("deployments", 0),
    }
}

fn check_endpoint(instance: &Instance) -> Result<(), String> {
    match (&instance.service, instance.engine_role) {
        (Some(_), Some(_)) => Ok(()),
        (None, _) => Err("field service: missing; name the service of the endpoint".into()),
        (_, None) => Err("field engine_role: missing; write prefill, decode or plain".into()),
    }
}

fn check_route(route: &Route) -> Result<(), String> {
    let is_method =
        !route.method.is_empty() && route.method.bytes().all(|b| b.is_ascii_uppercase());
    match route {
        _ if !is_method => Err("field method: write a method in capitals, such as POST".into()),
        _ if !route.path.starts_with('/') => Err("field path: write it with a leading /".into()),
        _ if route.deadline_ms == 0 => {
            Err("field deadline_ms: 0 leaves no time to answer; write 1 or more".into())
        }
        _ if route.kind != RouteKind::Plain && !route.idempotent => {
            Err("field idempotent: requests to a model can be repeated; write true".into())
        }
        _ => Ok(()),
    }
}

fn read<T: DeserializeOwned>(text: &RawValue) -> Result<T, String> {
    let deserializer = &mut serde_json::Deserializer::from_str(text.get());
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let message = error.inner().to_string();
        let message = message.split(" at line ").next().unwrap_or_default();
        format!("field {}: {message}", error.path())
    })
}

/// Returns the identity that an unreadable item states, so that its previous value can be kept.
pub(super) fn claimed_id(table: &str, position: usize, text: &RawValue) -> ItemId {
    let fields: BTreeMap<String, serde_json::Value> =
        serde_json::from_str(text.get()).unwrap_or_default();
    let field = |name: &str| fields.get(name).and_then(serde_json::Value::as_str);
    let key = match table {
        "contracts" => field("team").map(str::to_owned),
        "data_centres" => field("data_centre").map(str::to_owned),
        "deployments" => {
            let of_service = field("service").zip(field("engine_role"));
            let of_service = of_service.map(|(service, role)| format!("{service}/{role}"));
            field("instance").map(str::to_owned).or(of_service)
        }
        "instances" => field("instance").map(str::to_owned),
        "keys" => field("digest").map(str::to_ascii_lowercase),
        "links" => field("from")
            .zip(field("to"))
            .map(|(from, to)| format!("{from}/{to}")),
        "routes" => field("route").map(str::to_owned),
        "services" => field("service").map(str::to_owned),
        _ => None,
    };
    match key {
        Some(key) => ItemId::new(table, key),
        None => ItemId::by_position(table, position),
    }
}
