//! Bytes as base64 text.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}
