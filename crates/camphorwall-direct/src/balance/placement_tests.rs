use std::{cell::Cell, rc::Rc, time::Duration};

use crate::{
    balance::{
        lengths::LengthModel,
        loads::{ForecastRun, Run, Work, service_key},
        placement::{Placement, PlacementRequest, QueueRank, ReportedWaiter, run_placement_queue},
    },
    clock::Moment,
    configuration::Stage,
    endpoints::poison::{Content, Fingerprint},
    entry::Entry,
    testing::{endpoint, entry_with_empty_dialect, homes_anywhere},
};

const PEER: ([u8; 4], u16) = ([10, 0, 0, 2], 7_500);

/// An entry with one peer and one idle decode endpoint.
fn entry() -> Rc<Entry> {
    let entry = entry_with_empty_dialect();
    entry.peers.borrow_mut().add_seeds(&[PEER.into()]);
    let decode = endpoint("d1", Stage::Decode);
    entry.registry.borrow_mut().register(decode, 1);
    entry
}

fn placement_request(since: Moment) -> PlacementRequest {
    let service = "drafts".parse().expect("a name");
    let forecast = LengthModel::default().forecast(&service, Some(1_000), 2_000);
    PlacementRequest {
        service,
        capacity_tokens: 50_000,
        forecast: ForecastRun::new(1_000, 0, forecast),
        rank: QueueRank {
            needs_prefill: true,
            is_late: false,
            priority: 1,
            since,
        },
        start_by: since + Duration::from_secs(60),
        content: Rc::new(Content {
            fingerprint: Fingerprint(1),
            shared_parts: Vec::new(),
        }),
        homes: homes_anywhere(),
        excluded: Vec::new(),
        is_reported: Cell::new(false),
    }
}

/// Time until a request is placed while `older` requests that go before it wait at the peer.
async fn time_to_placement(older: usize) -> Duration {
    let entry = entry();
    let now = Moment::now();
    let waiting = ReportedWaiter {
        service: service_key(&"drafts".parse().expect("a name")),
        needs_prefill: true,
        is_late: false,
        priority: 1,
        waited_ms: 600,
    };
    entry
        .peers
        .borrow_mut()
        .note_waiting(PEER.into(), &vec![waiting; older], now);
    entry.tasks.spawn(run_placement_queue(Rc::clone(&entry)));
    let placing = entry.placement_queue.place(placement_request(now));
    let placed = compio::time::timeout(Duration::from_secs(2), placing).await;
    let time = Moment::now().since(now);
    assert!(
        placed.is_ok_and(|placement| placement.is_some()),
        "{older} ahead of it"
    );
    entry.tasks.abort();
    time
}

#[compio::test]
async fn a_request_waits_for_its_round_and_not_for_a_silent_peer() {
    assert!(time_to_placement(3).await >= Duration::from_millis(18));
    // With eight ahead the request has no scheduling round; it is placed once the peer counts as silent.
    time_to_placement(8).await;
}

/// Engines are full, and one of them refused a request after its prefill. The KV cache lives for half a second, less than
/// the request would wait behind all that arrived before it.
#[compio::test]
async fn a_request_whose_kv_cache_is_ready_goes_before_older_ones() {
    let entry = entry();
    let service = "drafts".parse().expect("a name");
    let endpoint = {
        let registry = entry.registry.borrow();
        let mut endpoints = registry.endpoints(&service, Stage::Decode, Moment::now());
        Rc::clone(endpoints.next().expect("an endpoint"))
    };
    let filling = Work::Fixed(Run {
        held_tokens: 50_000,
        left_tokens: 0,
    });
    let running = Placement::new(&entry, Rc::clone(&endpoint), filling);
    entry.tasks.spawn(run_placement_queue(Rc::clone(&entry)));
    let now = Moment::now();
    let mut with_cache = placement_request(now);
    with_cache.rank.needs_prefill = false;
    let mut older = placement_request(now - Duration::from_millis(600));
    // There is room for one of the two.
    older.forecast.run.held_tokens = 45_000;
    with_cache.forecast.run.held_tokens = 45_000;
    let older = entry.placement_queue.place(older);
    let with_cache = entry.placement_queue.place(with_cache);
    let ending = async {
        compio::time::sleep(Duration::from_millis(50)).await;
        drop(running);
    };
    let limit = Duration::from_millis(300);
    let (older, with_cache, ()) = futures_util::join!(
        compio::time::timeout(limit, older),
        compio::time::timeout(limit, with_cache),
        ending,
    );
    assert!(with_cache.is_ok_and(|placement| placement.is_some()));
    assert!(older.is_err());
    entry.tasks.abort();
}
