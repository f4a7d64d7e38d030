//! Division of a team's budget between data centres by their published weights.

use std::{cmp::Reverse, collections::BTreeMap};

use camphorwall::{Contract, DataCentreId, Published};

/// Rate and burst of one data centre's share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Share {
    pub(crate) rate_tokens_per_s: f64,
    pub(crate) burst_tokens: u64,
}

/// Shares of a contract by data centre; the bursts add up to the contract's burst. Empty when no weight is published.
pub(crate) fn shares(published: &Published, contract: &Contract) -> BTreeMap<DataCentreId, Share> {
    let weighted = published
        .data_centres
        .values()
        .filter(|one| one.budget_weight > 0);
    let total: u64 = weighted
        .clone()
        .map(|one| u64::from(one.budget_weight))
        .sum();
    let mut before = 0;
    let mut shares = BTreeMap::new();
    for data_centre in weighted {
        let weight = u64::from(data_centre.budget_weight);
        let burst = contract.burst_tokens.get();
        let share = Share {
            rate_tokens_per_s: contract.rate_tokens_per_s.get() as f64 * weight as f64
                / total as f64,
            burst_tokens: part(burst, before + weight, total) - part(burst, before, total),
        };
        before += weight;
        shares.insert(data_centre.data_centre.clone(), share);
    }
    shares
}

/// Share of one data centre.
pub(crate) fn share(
    published: &Published,
    contract: &Contract,
    data_centre: &DataCentreId,
) -> Share {
    let shares = shares(published, contract);
    shares.get(data_centre).copied().unwrap_or_default()
}

fn part(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let part = u128::from(amount) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(part).expect("a part is at most the amount")
}

/// Data centres that have a share: the local one first, then by published delay.
pub(crate) fn nearest_first(published: &Published, local: &DataCentreId) -> Vec<DataCentreId> {
    let mut all: Vec<_> = published
        .data_centres
        .values()
        .filter(|one| one.budget_weight > 0)
        .map(|one| one.data_centre.clone())
        .collect();
    let delay_us = |other: &DataCentreId| {
        let link = published.links.get(&(local.clone(), other.clone()));
        link.map_or(u64::MAX, |link| link.delay_us)
    };
    all.sort_by_cached_key(|one| (Reverse(one == local), delay_us(one), one.clone()));
    all
}
