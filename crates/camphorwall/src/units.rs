//! Newtypes for sizes and rates with units.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Returns a duration in whole milliseconds; `u64::MAX` when it is longer.
#[must_use]
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A text that is not a valid size or rate.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{text:?} is no {unit}: write a whole number of {unit}"))]
pub struct UnitError {
    text: String,
    unit: &'static str,
}

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $number:ty, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);

        impl $name {
            /// Returns the number, in the unit of the type.
            #[must_use]
            pub const fn get(self) -> $number {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse().map(Self).map_err(|_| UnitError { text: text.into(), unit: $unit })
            }
        }
    };
}

unit! {
    /// Rate of a link in bytes per second.
    BytesPerSecond, u64, "bytes/s"
}
unit! {
    /// Priority of a contract; a higher one is served first.
    Priority, u8, "priority"
}
unit! {
    /// Revision of a published document; it never decreases.
    Revision, u64, "revision"
}
unit! {
    /// A number of tokens.
    Tokens, u64, "tokens"
}
unit! {
    /// A rate in tokens per second.
    TokensPerSecond, u64, "tokens/s"
}
