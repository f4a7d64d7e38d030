//! Names that a platform's documents contain. The platform limits neither their length nor their characters, so any text is
//! one.

use std::{convert::Infallible, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Writes a name for logs: quoted and escaped if it could be taken for more than one word of a line.
fn write_escaped(text: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/@".contains(c);
    if !text.is_empty() && text.chars().all(is_plain) {
        f.write_str(text)
    } else {
        write!(f, "{text:?}")
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(from = "Box<str>", into = "Box<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as it was published.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write_escaped(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Infallible> {
                Ok(Self(text.into()))
            }
        }

        impl From<Box<str>> for $name {
            fn from(text: Box<str>) -> Self {
                Self(text.into())
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                (&*name.0).into()
            }
        }
    };
}

name! {
    /// A data centre. Displayed with escapes where needed.
    DataCentreName
}
name! {
    /// One run of an endpoint. Displayed with escapes where needed.
    EndpointName
}
name! {
    /// One process of the system. Displayed with escapes where needed.
    InstanceName
}
name! {
    /// A region, a set of data centres. Displayed with escapes where needed.
    RegionName
}
name! {
    /// A service, a set of endpoints that do the same work. Displayed with escapes where needed.
    ServiceName
}
name! {
    /// A team, a customer with one contract. Displayed with escapes where needed.
    TeamName
}
