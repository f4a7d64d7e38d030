//! Histories of ownership that once went wrong, or that the design was made for.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use camphorwall::{Counted, Heartbeat, HeartbeatBody};
use rstest::rstest;

use super::group::{address, name, place};
use crate::membership::{
    DropRule, Identity, PromiseAges, PromiseRules, Promises, are_promises_expired,
};

const HOLD: Duration = Duration::from_secs(20);
const ROUND: Duration = Duration::from_secs(2);

/// Rounds after which every promise that is not renewed is over, with the margin for drift.
const HOLD_ROUNDS: usize = 12;

const KEYS: [&str; 16] = [
    "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p",
];

/// A few processes that exchange heartbeats without delay.
struct Small {
    members: Vec<Option<Promises>>,
    /// List that each place has read last; the newest of all is known as such in every round.
    lists: BTreeMap<usize, Vec<usize>>,
    newest_list: Vec<usize>,
    is_service_down: bool,
    now: Instant,
    cuts: BTreeSet<(usize, usize)>,
    tells_counted: bool,
    next_incarnation: u64,
    rules: PromiseRules,
}

impl Small {
    fn new() -> Self {
        Self {
            members: Vec::new(),
            lists: BTreeMap::new(),
            newest_list: Vec::new(),
            is_service_down: false,
            now: Instant::now() + HOLD * 100,
            cuts: BTreeSet::new(),
            tells_counted: true,
            next_incarnation: 1,
            rules: PromiseRules::default(),
        }
    }

    /// A group whose members have run for long, all with the same list.
    fn running(size: usize) -> Self {
        let mut small = Self::new();
        let listed: Vec<_> = (0..size).collect();
        for place in 0..size {
            small.start(place, &listed);
        }
        small.rounds(HOLD_ROUNDS);
        small
    }

    fn start(&mut self, place: usize, listed: &[usize]) {
        let identity = Identity {
            instance: name(place),
            incarnation: self.next_incarnation,
            group: 1,
        };
        self.next_incarnation += 1;
        if self.members.len() <= place {
            self.members.resize_with(place + 1, || None);
        }
        let promises = Promises::new(identity, HOLD, self.rules, self.now);
        self.members[place] = Some(promises);
        self.list(place, listed);
    }

    fn list(&mut self, place: usize, listed: &[usize]) {
        self.lists.insert(place, listed.to_vec());
        self.newest_list = listed.to_vec();
        let listed: BTreeMap<_, _> = listed
            .iter()
            .map(|one| (name(*one), address(*one)))
            .collect();
        let now = self.now;
        self.member(place).set_list(&listed, now);
    }

    fn member(&mut self, place: usize) -> &mut Promises {
        self.members[place].as_mut().expect("a running process")
    }

    fn split(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.cuts.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
            assert_eq!(self.doubly_owned(), None);
        }
    }

    /// Everyone asks everyone it counts, and all answers arrive.
    fn round(&mut self) {
        self.now += ROUND;
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
            let asks = member.promise_requests(&[], now).into_iter();
            queue.extend(asks.map(|outgoing| (from, place(outgoing.to), outgoing.heartbeat)));
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
                && !self.tells_counted
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

    /// The process finds that nothing runs at a place.
    fn prove_dead(&mut self, by: usize, dead: usize) {
        self.now += ROUND;
        let now = self.now;
        let suspects = self.member(by).suspects(Duration::ZERO, now);
        let suspect = suspects
            .into_iter()
            .find(|suspect| suspect.address == address(dead));
        let suspect = suspect.expect("a counted member");
        self.member(by).prove_dead(&suspect, now);
    }

    fn owners(&mut self, key: &str) -> Vec<usize> {
        let now = self.now;
        let members = self.members.iter_mut().enumerate();
        members
            .filter_map(|(place, member)| member.as_mut()?.ownership(key, now).map(|_| place))
            .collect()
    }

    fn owned_since(&mut self, key: &str) -> Option<Instant> {
        let now = self.now;
        let mut members = self.members.iter_mut().flatten();
        members.find_map(|member| Some(member.ownership(key, now)?.since))
    }

    fn doubly_owned(&mut self) -> Option<&'static str> {
        KEYS.into_iter().find(|key| self.owners(key).len() > 1)
    }

    fn owned_keys(&mut self) -> usize {
        KEYS.into_iter()
            .filter(|key| self.owners(key).len() == 1)
            .count()
    }
}

#[test]
fn a_running_group_owns_every_key_once() {
    let mut small = Small::running(4);
    assert_eq!(small.owned_keys(), KEYS.len());
}

#[test]
fn a_pair_with_a_stale_list_and_the_majority_of_a_newer_one_never_both_act() {
    let mut small = Small::running(3);
    small.start(3, &[0, 1, 2, 3, 4]);
    small.start(4, &[0, 1, 2, 3, 4]);
    small.list(2, &[0, 1, 2, 3, 4]);
    small.split(&[0, 1], &[2, 3, 4]);
    small.rounds(3 * HOLD_ROUNDS);
    assert_eq!(small.owned_keys(), 0);
    small.cuts.clear();
    small.rounds(2);
    assert_eq!(small.owned_keys(), KEYS.len());
}

#[test]
fn everything_is_replaced_one_by_one_during_a_partition() {
    let mut small = Small::running(3);
    small.split(&[0], &[1, 2]);
    for old in 1..3 {
        let new = old + 2;
        let listed: Vec<_> = [0].into_iter().chain(old..=new).collect();
        small.start(new, &listed);
        small.split(&[0], &[new]);
        for place in old..new {
            small.list(place, &listed);
        }
        small.rounds(2);
        let goodbyes = small.member(old).leave().into_iter();
        let goodbyes = goodbyes.map(|one| (old, place(one.to), one.heartbeat));
        let goodbyes = goodbyes.collect();
        small.deliver(goodbyes);
        small.members[old] = None;
        small.rounds(HOLD_ROUNDS);
    }
    small.cuts.clear();
    // The first process still counts the members that left behind the cut, and tells the others of them: nobody who has
    // not read the newest list can know that these don't act.
    for place in [0, 3, 4] {
        small.list(place, &[0, 3, 4]);
    }
    small.rounds(2 * HOLD_ROUNDS);
    assert_eq!(small.owned_keys(), KEYS.len());
}

#[test]
fn a_pair_that_loses_one_acts_on_while_the_service_is_down() {
    let mut small = Small::running(2);
    small.members[1] = None;
    small.rounds(HOLD_ROUNDS);
    assert_eq!(small.owned_keys(), 0, "silence proves nothing");
    small.prove_dead(0, 1);
    assert_eq!(small.owned_keys(), KEYS.len());
}

/// Seed 884 of the ownership histories: two processes that are cut off from each other read lists which lack each other, at
/// different times. The list of the first is no longer the newest when the second reads its own.
#[rstest]
#[case::the_first_reads_the_newer_list(false)]
#[case::the_first_is_cut_off_from_the_service_too(true)]
fn two_processes_that_lists_take_for_dead_by_turns_never_both_act(#[case] is_first_blind: bool) {
    let mut small = Small::running(2);
    small.split(&[0], &[1]);
    small.list(0, &[0]);
    small.rounds(2 * HOLD_ROUNDS);
    assert_eq!(
        small.owned_keys(),
        KEYS.len(),
        "the first has waited for the second's lease"
    );
    small.list(1, &[1]);
    if !is_first_blind {
        small.list(0, &[1]);
    }
    small.rounds(2 * HOLD_ROUNDS);
    for key in KEYS {
        assert_eq!(small.owners(key), [1]);
    }
}

#[test]
fn an_owner_that_dropped_a_silent_member_by_the_list_stops_while_the_service_is_down() {
    let mut small = Small::running(2);
    small.members[1] = None;
    small.list(0, &[0]);
    small.rounds(2 * HOLD_ROUNDS);
    assert_eq!(small.owned_keys(), KEYS.len());
    small.is_service_down = true;
    small.rounds(HOLD_ROUNDS);
    assert_eq!(
        small.owned_keys(),
        0,
        "the other may be alive and act by a newer list"
    );
    small.is_service_down = false;
    small.rounds(1);
    assert_eq!(small.owned_keys(), KEYS.len());
}

#[test]
fn an_owner_that_was_paused_past_its_lease_does_not_act() {
    let mut small = Small::running(2);
    let owners = small.owners("a");
    let owner = owners[0];
    let paused = small.members[owner].take();
    small.now += HOLD;
    small.members[owner] = paused;
    assert!(small.owners("a").is_empty());
}

#[test]
fn a_flapping_list_does_not_move_keys_of_live_members() {
    let mut small = Small::running(3);
    let owners: Vec<_> = KEYS.map(|key| small.owners(key)).into_iter().collect();
    for _ in 0..5 {
        small.list(0, &[0, 2]);
        small.list(1, &[0, 1]);
        small.rounds(1);
        small.list(0, &[0, 1, 2]);
        small.list(1, &[0, 1, 2]);
        small.rounds(1);
    }
    let after: Vec<_> = KEYS.map(|key| small.owners(key)).into_iter().collect();
    assert_eq!(owners, after);
}

#[test]
fn others_act_for_a_process_that_restarts_within_a_heartbeat_until_it_is_ready() {
    let mut small = Small::running(2);
    let key = KEYS
        .into_iter()
        .find(|key| small.owners(key) == [1])
        .expect("a key of the second process");
    small.start(1, &[0, 1]);
    for _ in 0..HOLD_ROUNDS - 2 {
        small.rounds(1);
        assert_eq!(small.owners(key), [0]);
    }
    small.rounds(3);
    assert_eq!(small.owners(key), [1]);
}

#[test]
fn somebody_acts_for_every_key_throughout_while_a_newcomer_joins() {
    let mut small = Small::running(2);
    let before = KEYS.map(|key| small.owned_since(key));
    small.start(2, &[0, 1, 2]);
    small.list(0, &[0, 1, 2]);
    for _ in 0..2 * HOLD_ROUNDS {
        small.rounds(1);
        assert_eq!(small.owned_keys(), KEYS.len());
    }
    let after = KEYS.map(|key| small.owned_since(key));
    let kept = before
        .iter()
        .zip(&after)
        .filter(|(one, other)| one == other);
    let moved = KEYS
        .into_iter()
        .filter(|key| small.owners(key) == [2])
        .count();
    assert!(moved > 0, "the newcomer wins some keys");
    assert_eq!(
        kept.count(),
        KEYS.len() - moved,
        "the others are owned as long"
    );
}

#[test]
fn a_newcomer_that_is_paused_right_after_its_ready_request_stops_only_its_keys() {
    let mut small = Small::running(2);
    small.start(2, &[0, 1, 2]);
    small.list(0, &[0, 1, 2]);
    small.list(1, &[0, 1, 2]);
    small.rounds(HOLD_ROUNDS - 2);
    small.now += ROUND;
    let now = small.now;
    let asks = small.member(2).promise_requests(&[], now).into_iter();
    let asks = asks.map(|one| (2, place(one.to), one.heartbeat)).collect();
    // The answers wait in the buffers of the paused process.
    small.cuts.extend([(0, 2), (1, 2)]);
    small.deliver(asks);
    let paused = small.members[2].take();
    small.cuts.clear();
    let standing: Vec<_> = KEYS
        .into_iter()
        .filter(|key| small.owners(key).is_empty())
        .collect();
    assert!(
        !standing.is_empty() && standing.len() < KEYS.len(),
        "{standing:?}"
    );
    small.rounds(4);
    small.members[2] = paused;
    assert_eq!(small.owned_keys(), KEYS.len() - standing.len());
    small.rounds(1);
    for key in KEYS {
        assert_eq!(small.owners(key) == [2], standing.contains(&key), "{key}");
    }
}

#[test]
fn a_restarted_process_whose_clock_went_back_takes_a_higher_incarnation() {
    let mut small = Small::running(2);
    small.next_incarnation = 1;
    small.start(1, &[0, 1]);
    small.rounds(2 * HOLD_ROUNDS);
    assert_eq!(small.owned_keys(), KEYS.len());
}

#[rstest]
#[case::counted_sets_told(true)]
#[case::counted_sets_untold(false)]
fn two_newcomers_with_different_lists_learn_of_each_other(#[case] tells_counted: bool) {
    let mut small = Small::running(1);
    small.tells_counted = tells_counted;
    // The second list wrongly lacks the first newcomer.
    small.start(1, &[0, 1]);
    small.start(2, &[0, 2]);
    small.list(0, &[0, 1, 2]);
    let mut is_double = false;
    for round in 0..3 * HOLD_ROUNDS {
        small.round();
        if round == HOLD_ROUNDS {
            small.members[0] = None;
            small.prove_dead(1, 0);
            small.prove_dead(2, 0);
        }
        is_double |= small.doubly_owned().is_some();
    }
    assert_eq!(is_double, !tells_counted);
}

/// The second process has just promised the first one, which then is cut off, and tells the third one so.
#[rstest]
#[case::ages_told(are_promises_expired, false)]
#[case::told_ages_ignored(|ages: &PromiseAges| ages.given > ages.lease_with_margin, true)]
fn a_process_waits_for_an_unlisted_member_that_others_have_promised(
    #[case] may_drop: DropRule,
    #[case] is_doubly_owned: bool,
) {
    let mut small = Small::running(2);
    small.rules.may_drop = may_drop;
    small.start(2, &[0, 1, 2]);
    small.split(&[0, 1], &[2]);
    small.rounds(HOLD_ROUNDS);
    small.list(2, &[1, 2]);
    small.rounds(1);
    small.cuts.clear();
    small.split(&[0], &[1, 2]);
    let mut is_double = false;
    for _ in 0..2 * HOLD_ROUNDS {
        small.round();
        let now = small.now;
        small.member(2).drop_unlisted(now);
        is_double |= small.doubly_owned().is_some();
    }
    assert_eq!(is_double, is_doubly_owned);
}

#[test]
fn a_duplicated_answer_that_comes_late_renews_nothing() {
    let mut small = Small::running(2);
    let now = small.now;
    let ask = small
        .member(0)
        .promise_requests(&[], now)
        .remove(0)
        .heartbeat;
    let answer = small.member(1).receive(ask, address(0), now).remove(0);
    small.now += HOLD;
    let now = small.now;
    for _ in 0..2 {
        small.member(0).receive(answer.clone(), address(1), now);
    }
    assert_eq!(small.owned_keys(), 0);
}

#[test]
fn one_way_loss_stops_both_sides() {
    let mut small = Small::running(2);
    small.cuts.insert((0, 1));
    small.rounds(HOLD_ROUNDS);
    assert_eq!(small.owned_keys(), 0);
    small.cuts.clear();
    small.rounds(1);
    assert_eq!(small.owned_keys(), KEYS.len());
}

#[test]
fn a_goodbye_hands_the_keys_over_at_once() {
    let mut small = Small::running(2);
    let goodbyes = small.member(1).leave().into_iter();
    let goodbyes = goodbyes.map(|one| (1, place(one.to), one.heartbeat));
    let goodbyes = goodbyes.collect();
    small.deliver(goodbyes);
    small.members[1] = None;
    for key in KEYS {
        assert_eq!(small.owners(key), [0]);
    }
}
