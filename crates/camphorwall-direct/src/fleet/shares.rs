//! Number of entries among which an allowance of the entire fleet is divided.
//!
//! Peers that are cut off may still spend their parts, so a part grows only after the parts that it takes over can no
//! longer be in use. An entry that stopped says so. An entry that is silent counts for a further window after the time
//! in which it is forgotten, and then only at entries that hear more than half of the fleet. An entry that hears less
//! than half of the fleet for that time uses no allowance, since the others may have taken its part over.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::{clock::Moment, contract::quota::usable_share};

/// Time without a heartbeat after which a peer counts as not heard.
const UNHEARD_AFTER: Duration = Duration::from_secs(15);

/// Time without a heartbeat after which a peer counts as silent; it allows for some lost heartbeats.
pub(crate) const SILENT_AFTER: Duration = Duration::from_millis(500);

/// Part of its share of a team's rate that an entry keeps that hears less than half of the fleet. The contracts'
/// tolerance is a quarter, and such entries are less than half of the fleet.
const CUT_OFF_SHARE: f64 = 1.0 / 3.0;

/// Time added to the window for heartbeats and periodic tasks that come late.
const WINDOW_MARGIN: Duration = Duration::from_secs(1);

/// Maximum number of members, many times that of the largest fleets, since any process can report addresses.
const MAX_MEMBERS: usize = 4_096;

/// Another entry.
#[derive(Clone, Copy, Debug)]
struct Member {
    /// When its last heartbeat arrived, or when its address became known.
    seen_at: Moment,
    is_heard: bool,
    ended_at: Option<Moment>,
    /// Size of the fleet as the member knows it.
    reported_size: u16,
}

/// Entries that may use parts of the fleet's allowances, by address.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    members: HashMap<SocketAddr, Member>,
}

impl Shares {
    /// Records the address of an entry that has not been heard.
    pub(crate) fn learn(&mut self, address: SocketAddr, now: Moment) {
        let member = Member {
            seen_at: now,
            is_heard: false,
            ended_at: None,
            reported_size: 0,
        };
        if self.members.len() < MAX_MEMBERS {
            self.members.entry(address).or_insert(member);
        }
    }

    /// Records a heartbeat and the size of the fleet that it reports.
    pub(crate) fn note_heard(&mut self, address: SocketAddr, reported_size: u16, now: Moment) {
        let member = Member {
            seen_at: now,
            is_heard: true,
            ended_at: None,
            reported_size,
        };
        if self.members.len() < MAX_MEMBERS || self.members.contains_key(&address) {
            self.members.insert(address, member);
        }
    }

    /// Records that an entry has ended. What it spent counts until the window has passed.
    pub(crate) fn note_ended(&mut self, address: SocketAddr, now: Moment) {
        if let Some(member) = self.members.get_mut(&address) {
            member.ended_at = Some(now);
        }
    }

    /// Removes the entries whose parts can no longer be in use.
    pub(crate) fn remove_expired(&mut self, window: Duration, now: Moment) {
        let has_majority = self.heard(now) * 2 > self.active();
        let window = window + WINDOW_MARGIN;
        self.members.retain(|_, member| match member.ended_at {
            Some(ended_at) => now.since(ended_at) <= window,
            None => !has_majority || now.since(member.seen_at) <= UNHEARD_AFTER + window,
        });
    }

    /// Size of the fleet, this entry included, to report to peers.
    pub(crate) fn own_size(&self) -> u16 {
        let active = self.members.values();
        let active = active.filter(|member| member.ended_at.is_none()).count() + 1;
        u16::try_from(active).unwrap_or(u16::MAX)
    }

    /// Number of entries among which an allowance is divided; `None` while others may have taken over the part of this
    /// entry.
    pub(crate) fn divisor(&self, now: Moment) -> Option<usize> {
        let active = self.active();
        let may_use = self.heard(now) * 2 >= active;
        may_use.then(|| active.max(self.members.len() + 1))
    }

    /// Share of each team's rate and burst that this entry may spend.
    ///
    /// Peers that are silent may be cut off and still charge teams. An entry that hears most of the fleet uses their
    /// shares after `takeover`. An entry that hears less than half reduces its share before that, so that both sides
    /// together stay within the tolerance of a contract.
    pub(crate) fn rate_share(&self, takeover: Duration, now: Moment) -> f64 {
        let fleet = self.active();
        let heard_within = |time: Duration| {
            let is_heard = |member: &&Member| {
                // A peer whose address has just become known may not have sent a heartbeat yet.
                let time = if member.is_heard { time } else { SILENT_AFTER };
                member.ended_at.is_none() && now.since(member.seen_at) <= time
            };
            self.members.values().filter(is_heard).count() + 1
        };
        let heard = heard_within(SILENT_AFTER);
        let share = usable_share(fleet, fleet.saturating_sub(heard));
        if heard * 2 > fleet {
            let is_withheld = |member: &&Member| {
                let silence = now.since(member.seen_at);
                let may_charge = member.ended_at.is_none() && silence <= takeover;
                may_charge && silence > SILENT_AFTER
            };
            let withheld = self.members.values().filter(is_withheld).count();
            usable_share(fleet, withheld)
        } else if heard * 2 == fleet
            || heard_within(takeover.saturating_sub(WINDOW_MARGIN)) * 2 > fleet
        {
            share
        } else {
            share * CUT_OFF_SHARE
        }
    }

    /// Number of entries that have not ended, as far as this entry or one of its peers knows.
    fn active(&self) -> usize {
        let members = self.members.values();
        let reported = members
            .filter(|member| member.is_heard && member.ended_at.is_none())
            .map(|member| member.reported_size);
        let reported = reported.max().unwrap_or(0);
        usize::from(reported.max(self.own_size()))
    }

    /// Number of entries that are heard, this one included.
    fn heard(&self, now: Moment) -> usize {
        let is_heard = |member: &&Member| {
            let is_recent = now.since(member.seen_at) <= UNHEARD_AFTER;
            member.is_heard && member.ended_at.is_none() && is_recent
        };
        self.members.values().filter(is_heard).count() + 1
    }
}
