//! Scripted histories of ownership: those of past failures and those that the design must handle.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use camphorwall::{Counted, Heartbeat, HeartbeatBody};
use rstest::rstest;

use super::group::{address, index_of, name};
use crate::membership::{
    DropRule, Identity, PromiseAges, PromiseRules, Promises, are_promises_expired,
};

const LEASE: Duration = Duration::from_secs(20);
const ROUND_PERIOD: Duration = Duration::from_secs(2);

/// Rounds after which every promise that is not renewed has expired, including the margin for clock drift.
const LEASE_ROUNDS: usize = 12;

const KEYS: [&str; 16] = [
    "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p",
];

/// A few processes that exchange heartbeats without delay.
struct SmallGroup {
    members: Vec<Option<Promises>>,
    /// List that each process has read last. In each round a process that has the newest one confirms it.
    lists: BTreeMap<usize, Vec<usize>>,
    newest_list: Vec<usize>,
    is_service_down: bool,
    now: Instant,
    cuts: BTreeSet<(usize, usize)>,
    reports_counted_sets: bool,
    next_incarnation: u64,
    rules: PromiseRules,
}

impl SmallGroup {
    fn new() -> Self {
        Self {
            members: Vec::new(),
            lists: BTreeMap::new(),
            newest_list: Vec::new(),
            is_service_down: false,
            now: Instant::now() + LEASE * 100,
            cuts: BTreeSet::new(),
            reports_counted_sets: true,
            next_incarnation: 1,
            rules: PromiseRules::default(),
        }
    }

    /// A group whose members have the same list and have run for longer than a lease.
    fn running(size: usize) -> Self {
        let mut group = Self::new();
        let listed: Vec<_> = (0..size).collect();
        for index in 0..size {
            group.start(index, &listed);
        }
        group.run_rounds(LEASE_ROUNDS);
        group
    }

    fn start(&mut self, index: usize, listed: &[usize]) {
        let identity = Identity {
            instance: name(index),
            incarnation: self.next_incarnation,
            group: 1,
        };
        self.next_incarnation += 1;
        if self.members.len() <= index {
            self.members.resize_with(index + 1, || None);
        }
        let promises = Promises::new(identity, LEASE, self.rules, self.now);
        self.members[index] = Some(promises);
        self.read_new_list(index, listed);
    }

    fn read_new_list(&mut self, index: usize, listed: &[usize]) {
        self.lists.insert(index, listed.to_vec());
        self.newest_list = listed.to_vec();
        let listed: BTreeMap<_, _> = listed
            .iter()
            .map(|one| (name(*one), address(*one)))
            .collect();
        let now = self.now;
        self.member(index).set_list(&listed, now);
    }

    fn member(&mut self, index: usize) -> &mut Promises {
        self.members[index].as_mut().expect("a running process")
    }

    fn partition(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.cuts.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    fn run_rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.run_round();
            assert_eq!(self.key_with_two_owners(), None);
        }
    }

    /// Sends the promise requests of every member to the members that it counts, and delivers all answers.
    fn run_round(&mut self) {
        self.now += ROUND_PERIOD;
        let now = self.now;
        let mut queue = VecDeque::new();
        for (from, member) in self.members.iter_mut().enumerate() {
            let Some(member) = member else {
                continue;
            };
            if !self.is_service_down && self.lists.get(&from) == Some(&self.newest_list) {
                member.confirm_list(now);
            }
            member.drop_unlisted(now);
            let requests = member.promise_requests(&[], now).into_iter();
            queue
                .extend(requests.map(|outgoing| (from, index_of(outgoing.to), outgoing.heartbeat)));
        }
        self.deliver(queue);
    }

    fn deliver(&mut self, mut queue: VecDeque<(usize, usize, Heartbeat)>) {
        let now = self.now;
        while let Some((from, to, mut heartbeat)) = queue.pop_front() {
            if self.cuts.contains(&(from, to)) {
                continue;
            }
            if let HeartbeatBody::Promise { counted, .. } = &mut heartbeat.body
                && !self.reports_counted_sets
            {
                *counted = Counted::Members(Vec::new());
            }
            let Some(Some(member)) = self.members.get_mut(to) else {
                continue;
            };
            let answers = member.receive(heartbeat, address(from), now);
            queue.extend(answers.into_iter().map(|answer| (to, from, answer)));
        }
    }

    /// One process proves that another one is dead.
    fn prove_dead(&mut self, prover: usize, dead: usize) {
        self.now += ROUND_PERIOD;
        let now = self.now;
        let suspects = self.member(prover).suspects(Duration::ZERO, now);
        let suspect = suspects
            .into_iter()
            .find(|suspect| suspect.address == address(dead));
        let suspect = suspect.expect("a counted member");
        self.member(prover).prove_dead(&suspect, now);
    }

    fn owners(&mut self, key: &str) -> Vec<usize> {
        let now = self.now;
        let members = self.members.iter_mut().enumerate();
        members
            .filter_map(|(index, member)| member.as_mut()?.ownership(key, now).map(|_| index))
            .collect()
    }

    fn owned_since(&mut self, key: &str) -> Option<Instant> {
        let now = self.now;
        let mut members = self.members.iter_mut().flatten();
        members.find_map(|member| Some(member.ownership(key, now)?.since))
    }

    fn key_with_two_owners(&mut self) -> Option<&'static str> {
        KEYS.into_iter().find(|key| self.owners(key).len() > 1)
    }

    fn count_keys_with_one_owner(&mut self) -> usize {
        KEYS.into_iter()
            .filter(|key| self.owners(key).len() == 1)
            .count()
    }
}

#[test]
fn a_running_group_owns_every_key_once() {
    let mut group = SmallGroup::running(4);
    assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
}

#[test]
fn a_pair_with_a_stale_list_and_the_majority_of_a_newer_one_never_both_act() {
    let mut group = SmallGroup::running(3);
    group.start(3, &[0, 1, 2, 3, 4]);
    group.start(4, &[0, 1, 2, 3, 4]);
    group.read_new_list(2, &[0, 1, 2, 3, 4]);
    group.partition(&[0, 1], &[2, 3, 4]);
    group.run_rounds(3 * LEASE_ROUNDS);
    assert_eq!(group.count_keys_with_one_owner(), 0);
    group.cuts.clear();
    group.run_rounds(2);
    assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
}

#[test]
fn members_are_replaced_one_by_one_during_a_partition() {
    let mut group = SmallGroup::running(3);
    group.partition(&[0], &[1, 2]);
    for old in 1..3 {
        let new = old + 2;
        let listed: Vec<_> = [0].into_iter().chain(old..=new).collect();
        group.start(new, &listed);
        group.partition(&[0], &[new]);
        for index in old..new {
            group.read_new_list(index, &listed);
        }
        group.run_rounds(2);
        let goodbyes = group.member(old).leave().into_iter();
        let goodbyes = goodbyes.map(|one| (old, index_of(one.to), one.heartbeat));
        let goodbyes = goodbyes.collect();
        group.deliver(goodbyes);
        group.members[old] = None;
        group.run_rounds(LEASE_ROUNDS);
    }
    group.cuts.clear();
    // The first process still counts the members that left during the partition, and reports them to its peers: only
    // the newest list shows that they don't act.
    for index in [0, 3, 4] {
        group.read_new_list(index, &[0, 3, 4]);
    }
    group.run_rounds(2 * LEASE_ROUNDS);
    assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
}

#[test]
fn a_process_whose_peer_is_proven_dead_owns_all_keys_while_the_service_is_down() {
    let mut group = SmallGroup::running(2);
    group.members[1] = None;
    group.run_rounds(LEASE_ROUNDS);
    assert_eq!(
        group.count_keys_with_one_owner(),
        0,
        "silence proves nothing"
    );
    group.prove_dead(0, 1);
    assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
}

/// Guards against the failure of seed 884 of the ownership histories: two processes that are cut off from each other
/// read lists that omit each other, and the list of the first is no longer the newest when the second reads its own.
#[rstest]
#[case::the_first_reads_the_newer_list(false)]
#[case::the_first_is_cut_off_from_the_service_too(true)]
fn two_processes_that_lists_omit_alternately_never_both_act(#[case] is_first_cut_off: bool) {
    let mut group = SmallGroup::running(2);
    group.partition(&[0], &[1]);
    group.read_new_list(0, &[0]);
    group.run_rounds(2 * LEASE_ROUNDS);
    assert_eq!(
        group.count_keys_with_one_owner(),
        KEYS.len(),
        "the first has waited for the second's lease"
    );
    group.read_new_list(1, &[1]);
    if !is_first_cut_off {
        group.read_new_list(0, &[1]);
    }
    group.run_rounds(2 * LEASE_ROUNDS);
    for key in KEYS {
        assert_eq!(group.owners(key), [1]);
    }
}

#[test]
fn an_owner_that_dropped_a_silent_unlisted_member_stops_while_the_service_is_down() {
    let mut group = SmallGroup::running(2);
    group.members[1] = None;
    group.read_new_list(0, &[0]);
    group.run_rounds(2 * LEASE_ROUNDS);
    assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
    group.is_service_down = true;
    group.run_rounds(LEASE_ROUNDS);
    assert_eq!(
        group.count_keys_with_one_owner(),
        0,
        "the peer may be alive and own the keys according to a newer list"
    );
    group.is_service_down = false;
    group.run_rounds(1);
    assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
}

#[test]
fn an_owner_that_was_paused_past_its_lease_does_not_act() {
    let mut group = SmallGroup::running(2);
    let owners = group.owners("a");
    let owner = owners[0];
    let paused = group.members[owner].take();
    group.now += LEASE;
    group.members[owner] = paused;
    assert!(group.owners("a").is_empty());
}

#[test]
fn a_flapping_list_does_not_move_keys_of_live_members() {
    let mut group = SmallGroup::running(3);
    let owners: Vec<_> = KEYS.map(|key| group.owners(key)).into_iter().collect();
    for _ in 0..5 {
        group.read_new_list(0, &[0, 2]);
        group.read_new_list(1, &[0, 1]);
        group.run_rounds(1);
        group.read_new_list(0, &[0, 1, 2]);
        group.read_new_list(1, &[0, 1, 2]);
        group.run_rounds(1);
    }
    let after: Vec<_> = KEYS.map(|key| group.owners(key)).into_iter().collect();
    assert_eq!(owners, after);
}

#[test]
fn peers_act_for_a_process_that_restarts_within_a_heartbeat_until_it_is_ready() {
    let mut group = SmallGroup::running(2);
    let key = KEYS
        .into_iter()
        .find(|key| group.owners(key) == [1])
        .expect("a key of the second process");
    group.start(1, &[0, 1]);
    for _ in 0..LEASE_ROUNDS - 2 {
        group.run_rounds(1);
        assert_eq!(group.owners(key), [0]);
    }
    group.run_rounds(3);
    assert_eq!(group.owners(key), [1]);
}

#[test]
fn every_key_stays_owned_while_a_new_member_joins() {
    let mut group = SmallGroup::running(2);
    let before = KEYS.map(|key| group.owned_since(key));
    group.start(2, &[0, 1, 2]);
    group.read_new_list(0, &[0, 1, 2]);
    for _ in 0..2 * LEASE_ROUNDS {
        group.run_rounds(1);
        assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
    }
    let after = KEYS.map(|key| group.owned_since(key));
    let kept = before
        .iter()
        .zip(&after)
        .filter(|(one, other)| one == other);
    let moved = KEYS
        .into_iter()
        .filter(|key| group.owners(key) == [2])
        .count();
    assert!(moved > 0, "the new member wins some keys");
    assert_eq!(
        kept.count(),
        KEYS.len() - moved,
        "the start of ownership of the other keys stays the same"
    );
}

#[test]
fn a_new_member_that_is_paused_after_its_ready_request_blocks_only_its_keys() {
    let mut group = SmallGroup::running(2);
    group.start(2, &[0, 1, 2]);
    group.read_new_list(0, &[0, 1, 2]);
    group.read_new_list(1, &[0, 1, 2]);
    group.run_rounds(LEASE_ROUNDS - 2);
    group.now += ROUND_PERIOD;
    let now = group.now;
    let requests = group.member(2).promise_requests(&[], now).into_iter();
    let requests = requests
        .map(|one| (2, index_of(one.to), one.heartbeat))
        .collect();
    // The answers wait unread in the buffers of the paused process, so they are dropped here.
    group.cuts.extend([(0, 2), (1, 2)]);
    group.deliver(requests);
    let paused = group.members[2].take();
    group.cuts.clear();
    let unowned: Vec<_> = KEYS
        .into_iter()
        .filter(|key| group.owners(key).is_empty())
        .collect();
    assert!(
        !unowned.is_empty() && unowned.len() < KEYS.len(),
        "{unowned:?}"
    );
    group.run_rounds(4);
    group.members[2] = paused;
    assert_eq!(
        group.count_keys_with_one_owner(),
        KEYS.len() - unowned.len()
    );
    group.run_rounds(1);
    for key in KEYS {
        assert_eq!(group.owners(key) == [2], unowned.contains(&key), "{key}");
    }
}

#[test]
fn a_restarted_process_whose_clock_went_back_takes_a_higher_incarnation() {
    let mut group = SmallGroup::running(2);
    group.next_incarnation = 1;
    group.start(1, &[0, 1]);
    group.run_rounds(2 * LEASE_ROUNDS);
    assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
}

#[rstest]
#[case::counted_sets_reported(true)]
#[case::counted_sets_not_reported(false)]
fn two_new_members_with_different_lists_learn_of_each_other(#[case] reports_counted_sets: bool) {
    let mut group = SmallGroup::running(1);
    group.reports_counted_sets = reports_counted_sets;
    // The list of the second new member wrongly omits the first one.
    group.start(1, &[0, 1]);
    group.start(2, &[0, 2]);
    group.read_new_list(0, &[0, 1, 2]);
    let mut had_two_owners = false;
    for round in 0..3 * LEASE_ROUNDS {
        group.run_round();
        if round == LEASE_ROUNDS {
            group.members[0] = None;
            group.prove_dead(1, 0);
            group.prove_dead(2, 0);
        }
        had_two_owners |= group.key_with_two_owners().is_some();
    }
    assert_eq!(had_two_owners, !reports_counted_sets);
}

/// The second process has just made a promise to the first one, which is then cut off, and reports the age of that
/// promise to the third process.
#[rstest]
#[case::ages_reported(are_promises_expired, false)]
#[case::reported_ages_ignored(|ages: &PromiseAges| ages.given > ages.lease_with_margin, true)]
fn a_process_waits_for_an_unlisted_member_that_peers_have_promised(
    #[case] may_drop: DropRule,
    #[case] expects_two_owners: bool,
) {
    let mut group = SmallGroup::running(2);
    group.rules.may_drop = may_drop;
    group.start(2, &[0, 1, 2]);
    group.partition(&[0, 1], &[2]);
    group.run_rounds(LEASE_ROUNDS);
    group.read_new_list(2, &[1, 2]);
    group.run_rounds(1);
    group.cuts.clear();
    group.partition(&[0], &[1, 2]);
    let mut had_two_owners = false;
    for _ in 0..2 * LEASE_ROUNDS {
        group.run_round();
        let now = group.now;
        group.member(2).drop_unlisted(now);
        had_two_owners |= group.key_with_two_owners().is_some();
    }
    assert_eq!(had_two_owners, expects_two_owners);
}

#[test]
fn a_late_duplicate_of_an_answer_renews_nothing() {
    let mut group = SmallGroup::running(2);
    let now = group.now;
    let request = group
        .member(0)
        .promise_requests(&[], now)
        .remove(0)
        .heartbeat;
    let answer = group.member(1).receive(request, address(0), now).remove(0);
    group.now += LEASE;
    let now = group.now;
    for _ in 0..2 {
        group.member(0).receive(answer.clone(), address(1), now);
    }
    assert_eq!(group.count_keys_with_one_owner(), 0);
}

#[test]
fn one_way_loss_stops_both_sides() {
    let mut group = SmallGroup::running(2);
    group.cuts.insert((0, 1));
    group.run_rounds(LEASE_ROUNDS);
    assert_eq!(group.count_keys_with_one_owner(), 0);
    group.cuts.clear();
    group.run_rounds(1);
    assert_eq!(group.count_keys_with_one_owner(), KEYS.len());
}

#[test]
fn a_goodbye_hands_keys_over_immediately() {
    let mut group = SmallGroup::running(2);
    let goodbyes = group.member(1).leave().into_iter();
    let goodbyes = goodbyes.map(|one| (1, index_of(one.to), one.heartbeat));
    let goodbyes = goodbyes.collect();
    group.deliver(goodbyes);
    group.members[1] = None;
    for key in KEYS {
        assert_eq!(group.owners(key), [0]);
    }
}
