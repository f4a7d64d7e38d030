//! Grants that an entry holds for one team.

use std::time::Instant;

use camphorwall::{DataCentreId, GrantClose, Tokens};

/// A grant as held by the entry that may spend it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LocalGrant {
    pub(crate) data_centre: DataCentreId,
    pub(crate) grant_id: u64,
    pub(crate) free_tokens: u64,
    pub(crate) expires_at: Instant,
}

/// Part of a charge that was paid from one grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Payment {
    data_centre: DataCentreId,
    grant_id: u64,
    tokens: u64,
}

/// Grants of one team, in the order in which they expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantPool {
    grants: Vec<LocalGrant>,
}

impl GrantPool {
    /// Tokens that may be spent now.
    pub(crate) fn free_tokens(&self, now: Instant) -> u64 {
        let valid = self.grants.iter().filter(|grant| now < grant.expires_at);
        valid.map(|grant| grant.free_tokens).sum()
    }

    /// Spends the cost, or nothing when the pool holds fewer tokens.
    pub(crate) fn spend(&mut self, cost_tokens: u64, now: Instant) -> Option<Vec<Payment>> {
        self.drop_expired(now);
        if self.free_tokens(now) < cost_tokens {
            return None;
        }
        let mut left = cost_tokens;
        let mut payments = Vec::new();
        for grant in &mut self.grants {
            let tokens = left.min(grant.free_tokens);
            if tokens > 0 {
                grant.free_tokens -= tokens;
                left -= tokens;
                payments.push(Payment {
                    data_centre: grant.data_centre.clone(),
                    grant_id: grant.grant_id,
                    tokens,
                });
            }
        }
        Some(payments)
    }

    /// Refunds unused tokens of a charge to those of its grants that are still held. Returns the refunded tokens.
    pub(crate) fn refund(&mut self, payments: &[Payment], unused_tokens: u64, now: Instant) -> u64 {
        let mut left = unused_tokens;
        let mut refunded = 0;
        for payment in payments.iter().rev() {
            let tokens = left.min(payment.tokens);
            left -= tokens;
            let is_paid_from = |grant: &&mut LocalGrant| {
                grant.grant_id == payment.grant_id
                    && grant.data_centre == payment.data_centre
                    && now < grant.expires_at
            };
            if let Some(grant) = self.grants.iter_mut().find(is_paid_from) {
                grant.free_tokens += tokens;
                refunded += tokens;
            }
        }
        refunded
    }

    pub(crate) fn add(&mut self, grant: LocalGrant) {
        let position = self
            .grants
            .partition_point(|one| one.expires_at <= grant.expires_at);
        self.grants.insert(position, grant);
    }

    /// Moves all grants of another pool into this one.
    pub(crate) fn merge(&mut self, other: Self) {
        for grant in other.grants {
            self.add(grant);
        }
    }

    /// Data centres whose grants are held.
    pub(crate) fn data_centres(&self) -> Vec<DataCentreId> {
        let mut held: Vec<_> = self
            .grants
            .iter()
            .map(|one| one.data_centre.clone())
            .collect();
        held.sort();
        held.dedup();
        held
    }

    /// Removes the valid grants of one data centre. Returns the messages that close them at their owner.
    pub(crate) fn close_all(
        &mut self,
        data_centre: &DataCentreId,
        now: Instant,
    ) -> Vec<GrantClose> {
        self.close(|grant| grant.data_centre == *data_centre && now < grant.expires_at)
    }

    /// Removes the grants with free tokens that expire before an instant. Returns the messages that close them, with
    /// their data centres.
    pub(crate) fn close_expiring(
        &mut self,
        before: Instant,
        now: Instant,
    ) -> Vec<(DataCentreId, GrantClose)> {
        self.drop_expired(now);
        let expiring: Vec<_> = self
            .grants
            .extract_if(.., |grant| {
                grant.expires_at < before && grant.free_tokens > 0
            })
            .collect();
        expiring
            .into_iter()
            .map(|grant| (grant.data_centre.clone(), closed(&grant)))
            .collect()
    }

    /// Moves the fully spent grants into a new pool. Closing them allows their owner to refill what they held.
    pub(crate) fn take_spent(&mut self) -> Self {
        let spent = self.grants.extract_if(.., |grant| grant.free_tokens == 0);
        Self {
            grants: spent.collect(),
        }
    }

    fn close(&mut self, is_closed: impl Fn(&LocalGrant) -> bool) -> Vec<GrantClose> {
        let grants = self.grants.extract_if(.., |grant| is_closed(grant));
        grants.map(|grant| closed(&grant)).collect()
    }

    fn drop_expired(&mut self, now: Instant) {
        self.grants.retain(|grant| now < grant.expires_at);
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

const fn closed(grant: &LocalGrant) -> GrantClose {
    GrantClose {
        grant_id: grant.grant_id,
        unspent_tokens: Tokens(grant.free_tokens),
    }
}
