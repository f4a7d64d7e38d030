//! Splits what a cold endpoint can sustain over the entries of the fleet, without a shared counter.
//!
//! The allowance of one second is a number of permits; a permit allows one request a second. A permit of an endpoint
//! belongs to the member of the fleet with the highest hash of permit and member (rendezvous hashing). Two members that
//! know of each other therefore never use the same permit, whatever else they know. `docs/design/cold-endpoints.md`
//! gives the argument for each kind of failure.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{clock::Moment, configuration::EndpointIncarnation};

/// Shortest time between two uses of one permit. It exceeds one second by what the delays of two requests may differ, so
/// that they don't arrive within the same second.
pub(crate) const PERMIT_PERIOD: Duration = Duration::from_millis(1_100);

/// How long a lease of permits lasts after the borrower's time stamp that its lender returned.
const LEASE: Duration = Duration::from_secs(1);

/// Time after which neither leases nor requests of an earlier owner of a permit count any more.
pub(crate) const SETTLE: Duration = Duration::from_millis(2_200);

/// Silence after which a member is forgotten and its permits go to others, if most members are heard.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);

/// Time without most of the members after which an entry gives up its permits. The members on the other side of a
/// partition take them over later, after `RETENTION`.
const HOLD_WITHOUT_MAJORITY: Duration = Duration::from_secs(30);

/// Silence up to which a member counts as heard by those that forget others.
const HEARD: Duration = Duration::from_secs(15);

/// Age up to which a heartbeat shows the present state of a member.
const CURRENT: Duration = Duration::from_millis(1_500);

/// Maximum number of members, and of restarted ones, in one heartbeat.
const MAX_REPORTED: usize = 16;

/// Age of the last look at the members from which on it is repeated.
const REFRESH_PERIOD: Duration = Duration::from_millis(20);

/// Maximum number of owners of one endpoint's permits. With more, each change of the members would take a hash for each
/// of thousands of permits and each of hundreds of members.
const MAX_BLOCKS: u32 = 64;

/// Number of endpoints whose owners are kept.
const MAX_KEPT_OWNERS: usize = 4_096;

/// Added to the age of a report at each hop, since the delay of a heartbeat is not known. Without it, members that report
/// a dead one to each other would never forget it.
const HOP_AGE_S: u64 = 1;

/// A member of the fleet: the address of an entry, whichever process runs there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct MemberId(pub(crate) u64);

impl MemberId {
    pub(crate) fn of(address: SocketAddr) -> Self {
        Self(xxh3_64(address.to_string().as_bytes()))
    }
}

/// A lease of all permits of its sender.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct ReportedLease {
    /// Incarnation of the borrower.
    to: u64,
    /// The borrower's newest time stamp; the lease ends `LEASE` after it, on the borrower's clock.
    stamp_ms: u64,
}

/// What an entry reports to its peers of the split. Its size is bounded.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ReportedSplit {
    pub(crate) member: MemberId,
    /// Time since the sender's start.
    stamp_ms: u64,
    /// Digest of the members that the sender knows.
    digest: u64,
    holds_permits: bool,
    wants_permits: bool,
    lease: Option<ReportedLease>,
    /// Incarnations of members whose earlier incarnation held permits.
    restarted: Vec<u64>,
    /// Some of the members, each with its silence in seconds.
    members: Vec<(MemberId, u16)>,
}

#[cfg(test)]
impl ReportedSplit {
    /// Lets a test choose whether the sender holds permits.
    pub(crate) fn pretend_to_hold(&mut self, holds_permits: bool) {
        self.holds_permits = holds_permits;
    }
}

/// State in a member's own heartbeats.
#[derive(Debug)]
struct Heard {
    incarnation: u64,
    at: Moment,
    stamp_ms: u64,
    digest: u64,
    holds_permits: bool,
    wants_permits: bool,
    restarted: Vec<u64>,
}

#[derive(Debug)]
struct Member {
    /// Whether any entry has heard it; otherwise it is an address in the settings that may be stale.
    is_confirmed: bool,
    /// When it was last heard by an entry, or when its address became known.
    heard_at: Moment,
    heard: Option<Heard>,
    /// The incarnation that last said that it holds permits, and when.
    held_by: Option<(u64, Moment)>,
    /// End of its lease to this entry.
    leased_until: Option<Moment>,
    /// When it is removed after its goodbye.
    departs_at: Option<Moment>,
}

impl Member {
    const fn new(is_confirmed: bool, heard_at: Moment) -> Self {
        Self {
            is_confirmed,
            heard_at,
            heard: None,
            held_by: None,
            leased_until: None,
            departs_at: None,
        }
    }

    fn was_heard_within(&self, time: Duration, now: Moment) -> bool {
        let heard = self.heard.as_ref();
        heard.is_some_and(|heard| now.since(heard.at) <= time)
    }
}

#[derive(Clone, Copy, Debug)]
struct Lent {
    to: u64,
    /// When the last lease was sent.
    at: Moment,
}

/// Members that own the blocks of one endpoint's permits, as of a revision of the members.
#[derive(Debug)]
struct Owners {
    revision: u64,
    members: Vec<MemberId>,
}

/// One entry's view of the split.
#[derive(Debug)]
pub(crate) struct ColdSplit {
    own: MemberId,
    incarnation: u64,
    started_at: Moment,
    members: BTreeMap<MemberId, Member>,
    /// Members that said goodbye, which late reports of others must not bring back.
    removed: HashMap<MemberId, Moment>,
    /// Since when this entry has met the conditions for holding permits.
    eligible_since: Option<Moment>,
    holds_permits: bool,
    /// Time for which they must have been met.
    wait: Duration,
    /// When this entry last had a request for a cold endpoint.
    wanted_at: Option<Moment>,
    lent: Option<Lent>,
    /// Position from which the next heartbeat reports members.
    next_reported: usize,
    digest: u64,
    /// Rises with each change of the confirmed members.
    revision: u64,
    refreshed_at: Moment,
    owners: HashMap<(EndpointIncarnation, u32), Owners>,
}

/// Numbers of permits that are owned together: one each, unless there are many.
fn block_sizes(total: u32) -> impl Iterator<Item = u32> {
    let blocks = total.min(MAX_BLOCKS);
    (0..blocks).map(move |block| total / blocks + u32::from(block < total % blocks))
}

fn weight(endpoint: EndpointIncarnation, block: u32, MemberId(member): MemberId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&endpoint.0.to_le_bytes());
    bytes[8..].copy_from_slice(&member.to_le_bytes());
    xxh3_64_with_seed(&bytes, u64::from(block))
}

impl ColdSplit {
    pub(crate) fn new(own: MemberId, incarnation: u64, now: Moment) -> Self {
        let mut split = Self {
            own,
            incarnation,
            started_at: now,
            members: BTreeMap::new(),
            removed: HashMap::new(),
            eligible_since: None,
            holds_permits: false,
            wait: SETTLE,
            wanted_at: None,
            lent: None,
            next_reported: 0,
            digest: 0,
            revision: 0,
            refreshed_at: now,
            owners: HashMap::new(),
        };
        split.note_changed_members();
        split
    }

    /// Adds a member of the settings, which may be stale.
    pub(crate) fn add_seed(&mut self, seed: MemberId, now: Moment) {
        if seed != self.own {
            self.members.entry(seed).or_insert(Member::new(false, now));
        }
    }

    fn confirmed(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members
            .iter()
            .filter(|(_, member)| member.is_confirmed)
    }

    fn note_changed_members(&mut self) {
        let ids = self.confirmed().map(|(id, _)| id.0);
        self.digest = ids.fold(self.own.0, u64::wrapping_add);
        self.revision += 1;
    }

    /// Lets the entry use its permits as soon as it holds some, as no entry should.
    #[cfg(test)]
    pub(crate) fn skip_wait(&mut self) {
        self.wait = Duration::ZERO;
    }

    /// Records that this entry has a request for a cold endpoint.
    pub(crate) fn note_wanted(&mut self, now: Moment) {
        self.wanted_at = Some(now);
    }

    fn wants_permits(&self, now: Moment) -> bool {
        // As long as a permit that was used can't be used by a borrower.
        let wanted_at = self.wanted_at;
        wanted_at.is_some_and(|at| now.since(at) <= PERMIT_PERIOD)
    }

    /// Records a peer's heartbeat.
    pub(crate) fn note_peer(&mut self, incarnation: u64, reported: ReportedSplit, now: Moment) {
        if reported.member == self.own {
            return;
        }
        let digest = self.digest;
        let is_known = |member: &Member| member.is_confirmed;
        let mut has_changed = !self.members.get(&reported.member).is_some_and(is_known);
        self.removed.remove(&reported.member);
        let member = self.members.entry(reported.member);
        let member = member.or_insert(Member::new(true, now));
        member.is_confirmed = true;
        member.heard_at = now;
        member.departs_at = None;
        if reported.holds_permits {
            member.held_by = Some((incarnation, now));
        }
        member.heard = Some(Heard {
            incarnation,
            at: now,
            stamp_ms: reported.stamp_ms,
            digest: reported.digest,
            holds_permits: reported.holds_permits,
            wants_permits: reported.wants_permits,
            restarted: reported.restarted,
        });
        let lease = reported.lease.filter(|lease| lease.to == self.incarnation);
        // The lender knows all that hold permits; a borrower that knows other members might see other owners.
        if let Some(lease) = lease.filter(|_| !has_changed && reported.digest == digest) {
            let until = self.started_at + Duration::from_millis(lease.stamp_ms) + LEASE;
            member.leased_until = member.leased_until.max(Some(until));
        }
        for (id, silent_s) in reported.members {
            let age = Duration::from_secs(u64::from(silent_s) + HOP_AGE_S);
            if id == self.own || self.removed.contains_key(&id) || age >= RETENTION {
                continue;
            }
            let heard_at = now - age;
            let member = self
                .members
                .entry(id)
                .or_insert(Member::new(false, heard_at));
            has_changed |= !member.is_confirmed;
            member.is_confirmed = true;
            member.heard_at = member.heard_at.max(heard_at);
        }
        if has_changed {
            self.note_changed_members();
        }
        if has_changed || now.since(self.refreshed_at) >= REFRESH_PERIOD {
            self.refresh(now);
        }
    }

    /// Records a peer's goodbye. Its permits are free once its last requests no longer count.
    pub(crate) fn note_departed(&mut self, id: MemberId, now: Moment) {
        if let Some(member) = self.members.get_mut(&id) {
            member.departs_at.get_or_insert(now + SETTLE);
        }
    }

    /// Whether this entry and the members heard within a time are most of those known; of two halves, the one with the
    /// lowest member counts.
    fn hears_majority(&self, time: Duration, now: Moment) -> bool {
        let heard = self.members.iter();
        let heard = heard.filter(|(_, member)| member.was_heard_within(time, now));
        let heard: Vec<_> = heard.map(|(id, _)| *id).chain([self.own]).collect();
        let known = self.members.len() + 1;
        let first = self.members.keys().next().copied();
        let first = first.map_or(self.own, |first| first.min(self.own));
        heard.len() * 2 > known || (heard.len() * 2 == known && heard.contains(&first))
    }

    /// Applies the passage of time.
    fn refresh(&mut self, now: Moment) {
        self.refreshed_at = now;
        let before = self.members.len();
        let mut departed = Vec::new();
        self.members.retain(|id, member| {
            let has_departed = member.departs_at.is_some_and(|at| at <= now);
            if has_departed {
                departed.push(*id);
            }
            !has_departed
        });
        self.removed
            .extend(departed.into_iter().map(|id| (id, now)));
        self.removed.retain(|_, at| now.since(*at) <= RETENTION);
        if self.hears_majority(HEARD, now) {
            self.members
                .retain(|_, member| now.since(member.heard_at) <= RETENTION);
        }
        if self.members.len() != before {
            self.note_changed_members();
        }
        if self.holds_permits {
            self.holds_permits = self.hears_majority(HOLD_WITHOUT_MAJORITY, now);
            self.eligible_since = None;
        } else if self.is_eligible(now) {
            let since = *self.eligible_since.get_or_insert(now);
            let waited = now.since(since).min(now.since(self.started_at));
            self.holds_permits = waited >= self.wait;
        } else {
            self.eligible_since = None;
        }
    }

    /// Whether this entry and all that hold permits know each other, as far as that can be proved.
    fn is_eligible(&self, now: Moment) -> bool {
        if !self.hears_majority(CURRENT, now) {
            // What was heard before the others fell silent proves nothing of the time since.
            return false;
        }
        let agrees = |heard: &Heard| heard.digest == self.digest;
        let is_current = |heard: &&Heard| agrees(heard) && now.since(heard.at) <= CURRENT;
        let heard = self
            .members
            .values()
            .filter_map(|member| member.heard.as_ref());
        let holders: Vec<_> = heard
            .filter(is_current)
            .filter(|heard| heard.holds_permits)
            .collect();
        // Whoever holds permits knows all others that do, and those knew this member before its restart.
        let restarted = |holder: &&Heard| holder.restarted.contains(&self.incarnation);
        if holders.iter().any(restarted) {
            return true;
        }
        let is_known_by_all = self
            .confirmed()
            .all(|(_, member)| member.heard.as_ref().is_some_and(agrees));
        // A seed that no entry has heard may hold permits, unless a holder doesn't know it.
        let has_unheard_seed = self.members.values().any(|member| !member.is_confirmed);
        is_known_by_all && (!holders.is_empty() || !has_unheard_seed)
    }

    /// Whether the entry may use its own permits at present.
    fn may_use_own(&self, now: Moment) -> bool {
        let is_lent = |lent: Lent| now.since(lent.at) < SETTLE;
        self.holds_permits && !self.lent.is_some_and(is_lent)
    }

    /// Number of permits of an endpoint that this entry may use now, of `total` for the entire fleet.
    pub(crate) fn permits(
        &mut self,
        endpoint: EndpointIncarnation,
        total: u32,
        now: Moment,
    ) -> u32 {
        if now.since(self.refreshed_at) >= REFRESH_PERIOD {
            // A process that was suspended doesn't know yet that it hears no peer.
            self.refresh(now);
        }
        let may_use_own = self.may_use_own(now);
        let is_leased = |member: &Member| member.leased_until.is_some_and(|until| now < until);
        if !may_use_own && !self.members.values().any(is_leased) {
            return 0;
        }
        self.keep_owners(endpoint, total);
        let Some(owners) = self.owners.get(&(endpoint, total)) else {
            return 0;
        };
        let is_usable = |owner: &&MemberId| {
            if **owner == self.own {
                may_use_own
            } else {
                self.members.get(owner).is_some_and(is_leased)
            }
        };
        let blocks = block_sizes(total).zip(&owners.members);
        let usable = blocks.filter(|(_, owner)| is_usable(owner));
        usable.map(|(size, _)| size).sum()
    }

    /// Finds the owners of an endpoint's permits unless they are known for the present members.
    fn keep_owners(&mut self, endpoint: EndpointIncarnation, total: u32) {
        let known = self.owners.get(&(endpoint, total));
        if known.is_some_and(|owners| owners.revision == self.revision) {
            return;
        }
        let ids: Vec<_> = self
            .confirmed()
            .map(|(id, _)| *id)
            .chain([self.own])
            .collect();
        let owner = |block| {
            let by_weight = |id: &&MemberId| weight(endpoint, block, **id);
            ids.iter().max_by_key(by_weight).copied()
        };
        let owners = Owners {
            revision: self.revision,
            members: (0..total.min(MAX_BLOCKS)).filter_map(owner).collect(),
        };
        if self.owners.len() >= MAX_KEPT_OWNERS {
            self.owners.clear();
        }
        self.owners.insert((endpoint, total), owners);
    }

    /// The borrower of this entry's permits: one that wants some while this entry needs none.
    fn borrower(&self, now: Moment) -> Option<ReportedLease> {
        if !self.holds_permits || self.wants_permits(now) {
            return None;
        }
        let earlier = self.lent.filter(|lent| now.since(lent.at) < SETTLE);
        let members = self.members.iter();
        let heard = members.filter_map(|(id, member)| Some((id, member.heard.as_ref()?)));
        let may_borrow = |(_, heard): &(&MemberId, &Heard)| {
            heard.wants_permits
                && heard.digest == self.digest
                && now.since(heard.at) <= LEASE / 2
                && earlier.is_none_or(|lent| lent.to == heard.incarnation)
        };
        let borrowers = heard.filter(may_borrow);
        // Spreads the lenders over the borrowers.
        let chosen =
            borrowers.max_by_key(|(id, _)| weight(EndpointIncarnation(self.own.0), 0, **id));
        chosen.map(|(_, heard)| ReportedLease {
            to: heard.incarnation,
            stamp_ms: heard.stamp_ms,
        })
    }

    /// What the next heartbeat reports to the peers.
    pub(crate) fn report(&mut self, now: Moment) -> ReportedSplit {
        self.refresh(now);
        let lease = self.borrower(now);
        if let Some(lease) = lease {
            self.lent = Some(Lent {
                to: lease.to,
                at: now,
            });
        }
        let recent: Vec<_> = self
            .confirmed()
            .filter(|(_, member)| member.departs_at.is_none())
            .map(|(id, member)| {
                let silence = now.since(member.heard_at).as_millis().div_ceil(1_000);
                (*id, u16::try_from(silence).unwrap_or(u16::MAX))
            })
            .collect();
        let start = self.next_reported % recent.len().max(1);
        let members = recent.iter().cycle().skip(start);
        let members = members
            .take(MAX_REPORTED.min(recent.len()))
            .copied()
            .collect();
        self.next_reported = start + MAX_REPORTED;
        let restarted = self.members.values().filter_map(|member| {
            let heard = member.heard.as_ref()?;
            let (incarnation, held_at) = member.held_by?;
            let is_restarted =
                incarnation != heard.incarnation && now.since(held_at) <= HOLD_WITHOUT_MAJORITY;
            is_restarted.then_some(heard.incarnation)
        });
        let restarted = restarted.take(MAX_REPORTED).collect();
        let stamp_ms = now.since(self.started_at).as_millis();
        ReportedSplit {
            member: self.own,
            stamp_ms: u64::try_from(stamp_ms).unwrap_or(u64::MAX),
            digest: self.digest,
            holds_permits: self.holds_permits,
            wants_permits: self.wants_permits(now),
            lease,
            restarted,
            members,
        }
    }
}
