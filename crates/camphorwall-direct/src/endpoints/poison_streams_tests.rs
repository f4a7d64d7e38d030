//! Plays streams at endpoints that crash: by a request that comes again and again, by a part of unlike prompts, or by kills that
//! no request causes.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

use crate::{
    configuration::EndpointIncarnation,
    dialect::PromptPart,
    endpoints::{
        crash_evidence::BEGUN_EVENTS,
        poison::{Content, Fingerprint, Poison},
    },
    testing::at_ms,
};

const ENDPOINTS: usize = 9;
const DOWN_MS: u64 = 3_000;
const EVENT_MS: u64 = 100;
const HARMFUL: Fingerprint = Fingerprint(66);

/// Prompt parts: one that all requests share, and the first one of those that crash endpoints.
const COMMON: u64 = 1;
const HARMFUL_PART: u64 = 100;

/// Time after the third crash from which on the block counts, and the attempts that may reach endpoints after that.
const CONTACT_MS: u64 = 3_000;
const ALLOWED_RETRIES: usize = 3;

/// When a prompt part crashes its endpoint.
#[derive(Clone, Copy, Debug)]
enum Point {
    /// After a number of events.
    After(u32),
    /// After a number of events that differs from request to request, up to this one.
    UpTo(u32),
}

/// What crashes endpoints.
#[derive(Clone, Copy, Debug)]
enum Cause {
    /// A request that comes every 1.6 s and crashes its endpoint after a number of events.
    Request { after_events: u32 },
    /// Kills of a number of endpoints at once, at a period.
    Kills { count: usize, period_ms: u64 },
    /// Both, the harmful request with one event.
    Both { count: usize, period_ms: u64 },
    /// A number of prompt parts, of which one is in a request at each period, no two alike, beside kills of one endpoint.
    Parts {
        count: u64,
        point: Point,
        period_ms: u64,
        kills_ms: Option<u64>,
    },
}

impl Cause {
    fn harmful_after(self) -> Option<u32> {
        match self {
            Self::Request { after_events } => Some(after_events),
            Self::Both { .. } => Some(1),
            Self::Kills { .. } | Self::Parts { .. } => None,
        }
    }

    fn kills(self, now_ms: u64) -> usize {
        match self {
            Self::Kills { count, period_ms } | Self::Both { count, period_ms } => {
                let is_due = now_ms > 3_000 && now_ms.is_multiple_of(period_ms);
                if is_due { count } else { 0 }
            }
            Self::Parts { kills_ms, .. } => {
                let is_due = |period_ms| now_ms > 3_000 && now_ms.is_multiple_of(period_ms);
                usize::from(kills_ms.is_some_and(is_due))
            }
            Self::Request { .. } => 0,
        }
    }
}

#[derive(Clone)]
struct Stream {
    content: Content,
    /// Events after which it crashes its endpoint.
    crashes_after: Option<u32>,
    endpoint: usize,
    sent_ms: u64,
    begins_ms: u64,
    run_events: u32,
    left_events: u32,
    is_resumable: bool,
}

impl Stream {
    fn harmful_part(&self) -> Option<PromptPart> {
        let mut parts = self.content.shared_parts.iter().copied();
        parts.find(|part| (HARMFUL_PART..HARMFUL_PART + 10).contains(&part.0))
    }
}

#[derive(Debug, Default)]
struct Totals {
    /// Harmful requests that were sent and crashes by them, by their first harmful part if they have one.
    harmful_sent: Vec<(Option<PromptPart>, u64)>,
    harmful_crashes: Vec<(Option<PromptPart>, u64)>,
    sound_sent: u32,
    sound_refused: u32,
}

impl Totals {
    /// Harmful requests that were sent too late after a number of crashes by requests with the same part, or without one.
    fn sent_late_after(&self, crashes: usize, part: Option<PromptPart>) -> usize {
        let of_part = |known: &&(Option<PromptPart>, u64)| known.0 == part;
        let last = self.harmful_crashes.iter().filter(of_part).nth(crashes - 1);
        let sent = self.harmful_sent.iter().filter(of_part);
        let is_late = |sent_ms: u64| last.is_some_and(|(_, at_ms)| sent_ms > at_ms + CONTACT_MS);
        sent.filter(|(_, sent_ms)| is_late(*sent_ms)).count()
    }

    fn late_retries(&self) -> usize {
        self.sent_late_after(3, None)
    }
}

struct World {
    random: SmallRng,
    poison: Poison,
    streams: Vec<Stream>,
    down_until_ms: [u64; ENDPOINTS],
    crashes: u64,
    totals: Totals,
}

impl World {
    /// Sends a stream unless its request is blocked.
    fn send(&mut self, mut stream: Stream, now_ms: u64) {
        let is_harmful = stream.crashes_after.is_some();
        let is_blocked = self.poison.block(&stream.content).is_some();
        self.totals.sound_sent += u32::from(!is_harmful);
        if is_blocked {
            self.totals.sound_refused += u32::from(!is_harmful);
            return;
        }
        let up: Vec<_> = (0..ENDPOINTS)
            .filter(|endpoint| self.down_until_ms[*endpoint] <= now_ms)
            .collect();
        if up.is_empty() {
            return;
        }
        if is_harmful {
            let sent = (stream.harmful_part(), now_ms);
            self.totals.harmful_sent.push(sent);
        }
        stream.endpoint = up[self.random.random_range(0..up.len())];
        stream.sent_ms = now_ms;
        stream.begins_ms = now_ms + 10 * self.random.random_range(15..50);
        stream.run_events = 0;
        self.streams.push(stream);
    }

    /// Crashes an endpoint; its resumable streams go on elsewhere, and some callers repeat the others.
    fn crash(&mut self, endpoint: usize, now_ms: u64) {
        self.crashes += 1;
        self.down_until_ms[endpoint] = now_ms + DOWN_MS;
        let (broken, kept): (Vec<_>, Vec<_>) = self
            .streams
            .drain(..)
            .partition(|stream| stream.endpoint == endpoint);
        self.streams = kept;
        for stream in &broken {
            let (crash, sent_at) = (EndpointIncarnation(self.crashes), at_ms(stream.sent_ms));
            let (content, now) = (&stream.content, at_ms(now_ms));
            self.poison
                .note_crash(crash, content, stream.run_events, sent_at, now);
        }
        for mut stream in broken {
            if stream.is_resumable {
                stream.left_events -= stream.run_events.min(stream.left_events - 1);
                self.send(stream, now_ms + 30);
            } else if stream.crashes_after.is_none() && self.random.random_bool(0.5) {
                stream.left_events += stream.run_events;
                self.send(stream, now_ms + 30);
            }
        }
    }
}

/// A request without prompt parts that others share.
fn content(fingerprint: Fingerprint) -> Content {
    Content {
        fingerprint,
        shared_parts: Vec::new(),
    }
}

/// A sound stream, or one that crashes its endpoint after some events.
fn stream(content: Content, left_events: u32, crashes_after: Option<u32>) -> Stream {
    Stream {
        content,
        crashes_after,
        endpoint: 0,
        sent_ms: 0,
        begins_ms: 0,
        run_events: 0,
        left_events,
        is_resumable: false,
    }
}

/// Plays 40 s with about sixty streams under way.
fn play(seed: u64, cause: Cause) -> Totals {
    let mut world = World {
        random: SmallRng::seed_from_u64(seed),
        poison: Poison::default(),
        streams: Vec::new(),
        down_until_ms: [0; ENDPOINTS],
        crashes: 0,
        totals: Totals::default(),
    };
    for now_ms in (0..40_000).step_by(10) {
        if world.random.random_bool(0.12) {
            let (events, is_resumable) = (
                world.random.random_range(5..90),
                world.random.random_bool(0.5),
            );
            let mut content = content(Fingerprint(1_000 + now_ms));
            if let Cause::Parts { .. } = cause {
                let (few, many) = (world.random.random_range(2..9), 10_000 + now_ms / 100);
                content.shared_parts = [COMMON, few, many].map(PromptPart).to_vec();
            }
            let sound = Stream {
                is_resumable,
                ..stream(content, events, None)
            };
            world.send(sound, now_ms);
        }
        let harmful_after = cause.harmful_after();
        if harmful_after.is_some() && now_ms > 2_000 && now_ms.is_multiple_of(1_600) {
            world.send(stream(content(HARMFUL), 1_000, harmful_after), now_ms);
        }
        if let Cause::Parts {
            count,
            point,
            period_ms,
            ..
        } = cause
            && now_ms > 2_000
            && now_ms.is_multiple_of(period_ms)
        {
            let harmful = HARMFUL_PART + world.random.random_range(0..count);
            let mut content = content(Fingerprint(1_000_000 + now_ms));
            let few = world.random.random_range(2..9);
            content.shared_parts = [COMMON, harmful, few].map(PromptPart).to_vec();
            let after = match point {
                Point::After(events) => events,
                Point::UpTo(events) => world.random.random_range(0..=events),
            };
            world.send(stream(content, 1_000, Some(after)), now_ms);
        }
        let mut crashing = Vec::new();
        for stream in &mut world.streams {
            let is_due =
                now_ms >= stream.begins_ms && (now_ms - stream.begins_ms).is_multiple_of(EVENT_MS);
            if stream.crashes_after == Some(stream.run_events) && is_due {
                crashing.push(stream.endpoint);
                let crash = (stream.harmful_part(), now_ms);
                world.totals.harmful_crashes.push(crash);
            } else if is_due {
                stream.run_events += 1;
                stream.left_events -= 1;
            }
        }
        for stream in &world.streams {
            if stream.run_events == BEGUN_EVENTS || stream.left_events == 0 {
                let sent_at = at_ms(stream.sent_ms);
                world
                    .poison
                    .note_under_way(stream.content.fingerprint, sent_at);
            }
            if stream.left_events == 0 {
                world.poison.note_answer(&stream.content, stream.run_events);
            }
        }
        world.streams.retain(|stream| stream.left_events > 0);
        for _ in 0..cause.kills(now_ms) {
            crashing.push(world.random.random_range(0..ENDPOINTS));
        }
        for endpoint in crashing {
            if world.down_until_ms[endpoint] <= now_ms {
                world.crash(endpoint, now_ms);
            }
        }
    }
    world.totals
}

/// Guards against a request that crashes endpoint after endpoint and is never blocked, as it had begun to be answered.
#[rstest]
#[case::before_the_first_event(0)]
#[case::after_the_first_event(1)]
#[case::after_some_events(5)]
#[case::after_many_events(30)]
fn a_request_that_crashes_endpoints_is_blocked_whenever_it_does(#[case] after_events: u32) {
    for seed in 0..50 {
        let totals = play(seed, Cause::Request { after_events });
        let late = totals.late_retries();
        assert!(late <= ALLOWED_RETRIES, "seed {seed}: {late} late retries");
        assert!(
            totals.sound_refused * 100 <= totals.sound_sent,
            "seed {seed}: {} of {} sound ones refused",
            totals.sound_refused,
            totals.sound_sent
        );
    }
}

/// Guards against a prompt part that crashes endpoint after endpoint and is never blocked, as the answers had begun, and against
/// sound requests that are refused for the parts that they share with it.
#[rstest]
#[case::before_the_first_event(1, Point::After(0), 1_600, None)]
#[case::after_the_first_event(1, Point::After(1), 600, None)]
#[case::after_two_events(1, Point::After(2), 600, None)]
#[case::after_some_events(1, Point::After(5), 1_600, None)]
#[case::after_many_events(1, Point::After(40), 1_600, None)]
#[case::at_points_that_differ(1, Point::UpTo(40), 1_600, None)]
#[case::two_parts(2, Point::After(1), 600, None)]
#[case::two_parts_at_points_that_differ(2, Point::UpTo(20), 1_000, None)]
#[case::beside_kills(1, Point::After(1), 1_600, Some(2_500))]
#[case::at_points_that_differ_beside_kills(1, Point::UpTo(20), 1_600, Some(2_500))]
fn a_part_that_crashes_endpoints_is_blocked_whenever_it_does(
    #[case] count: u64,
    #[case] point: Point,
    #[case] period_ms: u64,
    #[case] kills_ms: Option<u64>,
) {
    let cause = Cause::Parts {
        count,
        point,
        period_ms,
        kills_ms,
    };
    let (mut refused, mut sent) = (0, 0);
    for seed in 0..50 {
        let totals = play(seed, cause);
        for number in 0..count {
            let late = totals.sent_late_after(5, Some(PromptPart(HARMFUL_PART + number)));
            assert!(late <= ALLOWED_RETRIES, "seed {seed}: {late} sent late");
        }
        refused += totals.sound_refused;
        sent += totals.sound_sent;
    }
    assert!(refused * 1_000 <= sent, "{refused} of {sent} refused");
}

/// Guards against sound requests that are blocked because endpoints were killed around them.
#[rstest]
#[case::one_after_another(Cause::Kills { count: 1, period_ms: 700 })]
#[case::one_now_and_then(Cause::Kills { count: 1, period_ms: 3_000 })]
#[case::three_at_once(Cause::Kills { count: 3, period_ms: 4_000 })]
#[case::six_at_once(Cause::Kills { count: 6, period_ms: 5_000 })]
#[case::beside_a_harmful_request(Cause::Both { count: 1, period_ms: 2_500 })]
fn sound_requests_are_not_blocked_for_crashes_of_another_cause(#[case] cause: Cause) {
    let (mut refused, mut sent) = (0, 0);
    for seed in 0..50 {
        let totals = play(seed, cause);
        let late = totals.late_retries();
        assert!(late <= ALLOWED_RETRIES, "seed {seed}: {late} late retries");
        refused += totals.sound_refused;
        sent += totals.sound_sent;
    }
    assert!(refused * 1_000 <= sent, "{refused} of {sent} refused");
}

/// Guards against a request that is blocked because it was under way at several endpoints that crashed at the same moment.
#[test]
fn crashes_at_the_same_moment_count_once_against_a_request() {
    let mut poison = Poison::default();
    let lookup = content(Fingerprint(7));
    for number in 0..5 {
        let (sent_at, now) = (at_ms(1_000), at_ms(1_100 + number));
        poison.note_crash(EndpointIncarnation(number), &lookup, 0, sent_at, now);
    }
    assert_eq!(poison.block(&lookup), None);
}

/// Guards against copies of a request that run at the same time and are not blocked, as each was sent before the crash of another.
#[test]
fn copies_at_the_same_time_are_blocked_once_their_endpoints_crash_one_after_another() {
    let (mut poison, mut peer) = (Poison::default(), Poison::default());
    let copy = content(HARMFUL);
    for number in 0..8 {
        let (sent_at, now) = (at_ms(100 * number), at_ms(800 + 100 * number));
        let noting = if number % 2 == 0 {
            &mut poison
        } else {
            &mut peer
        };
        noting.note_crash(EndpointIncarnation(number), &copy, 0, sent_at, now);
        for suspect in peer.report(now) {
            poison.note_peer(suspect, now);
        }
    }
    assert!(poison.block(&copy).is_some());
}

/// Guards against a long stream that is blocked for three crashes which a harmful request beside it caused.
#[test]
fn a_request_that_was_in_more_crashes_explains_them() {
    let mut poison = Poison::default();
    let (harmful, stream) = (content(HARMFUL), content(Fingerprint(7)));
    for number in 0..4 {
        let now = at_ms(1_000 + 2_000 * number);
        let sent_at = now - Duration::from_millis(500);
        let crash = EndpointIncarnation(number);
        poison.note_crash(crash, &harmful, 1, sent_at, now);
        if number > 0 {
            poison.note_crash(crash, &stream, 1, sent_at, now);
        }
    }
    assert!(poison.block(&harmful).is_some());
    assert_eq!(poison.block(&stream), None);
}
