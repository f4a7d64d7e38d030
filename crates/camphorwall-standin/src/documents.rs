//! Realistic prompts, generated from seeds: month-end ledgers and tunnel specifications. Also new idempotency keys.

use std::fmt::Write as _;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Items in a bakery's ledger.
const GOODS: [&str; 8] = [
    "flour",
    "sugar",
    "butter",
    "yeast",
    "sesame",
    "rent",
    "wages",
    "electricity",
];

/// Parts of a cover tunnel.
const PARTS: [&str; 8] = [
    "hoop", "ridge", "film", "net", "gutter", "door", "anchor", "vent",
];

/// A month-end ledger of a bakery, with a number of lines.
#[must_use]
pub fn ledger(town: &str, seed: u64, lines: usize) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut text = format!("Ledger of the {town} bakery. Summarise for the tax office.\n");
    for line in 1..=lines {
        let goods = GOODS[random.random_range(0..GOODS.len())];
        let cents = random.random_range(100..99_999);
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{line} {goods} {}.{:02} EUR",
            cents / 100,
            cents % 100
        );
    }
    text
}

/// A tunnel specification with a number of lines.
#[must_use]
pub fn specification(seed: u64, lines: usize) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut text = String::from("Tunnel specification. Draft a fit check and a quote.\n");
    for line in 1..=lines {
        let part = PARTS[random.random_range(0..PARTS.len())];
        let millimetres = random.random_range(20..9_000);
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{line} {part} {millimetres} mm tolerance {} mm",
            millimetres / 100 + 1
        );
    }
    text
}

/// A new idempotency key, which contains its time of issue.
#[must_use]
pub fn new_idempotency_key() -> String {
    uuid::Uuid::now_v7().to_string()
}
