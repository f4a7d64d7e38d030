use std::time::Duration;

use super::{clock::Moment, memory_pool::MemoryPool};

#[test]
fn a_pool_lends_its_part_of_the_memory_and_gets_it_back() {
    let pool = MemoryPool::new(Some(8), 4);
    let mut first = pool.share();
    assert!(first.grow_to(1 << 20));
    assert!(first.grow_to(1 << 20), "it holds as much already");
    let second = pool.reserve(1 << 20);
    assert!(second.is_some());
    assert!(!first.grow_to((1 << 20) + 1), "nothing is left");
    drop(second);
    assert!(first.grow_to(2 << 20));
    drop(first);
    pool.set_memory(Some(4));
    assert!(pool.reserve(2 << 20).is_none());
    assert!(pool.reserve(1 << 20).is_some());
}

const KIB: usize = 1024;

fn at(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(ms))
}

/// Guards against bodies that count as less than they hold, and against memory that is lost.
#[test]
fn a_body_counts_as_much_as_arrived() {
    let pool = MemoryPool::new(Some(8), 4);
    let body = pool.begin_body(at(0));
    for _ in 0..100_000 {
        assert!(body.keep(b"x", at(0)));
    }
    let held = pool.held_bytes();
    assert!((100_000..120 * KIB).contains(&held), "{held}");
    let (blocks, memory) = body.finish().expect("nothing had to yield");
    assert_eq!((blocks.len(), pool.held_bytes()), (100_000, held));
    assert_eq!(blocks.iter().map(<[u8]>::len).sum::<usize>(), 100_000);
    drop(memory);
    assert_eq!(pool.held_bytes(), 0);
    let body = pool.begin_body(at(0));
    assert!(body.keep(&[0; 100], at(0)));
    drop(body);
    assert_eq!(pool.held_bytes(), 0);
}

/// Guards against new bodies that stop those which came before them.
#[test]
fn the_newest_unfinished_body_yields_first() {
    let pool = MemoryPool::new(Some(8), 4);
    let bodies = [0, 1, 2].map(|_| pool.begin_body(at(0)));
    for body in &bodies {
        assert!(body.keep(&vec![0; 512 * KIB], at(0)));
    }
    assert!(
        bodies[0].keep(&vec![0; 512 * KIB], at(0)),
        "the third yields"
    );
    assert!(!bodies[2].keep(b"x", at(0)));
    assert!(
        !bodies[1].keep(&vec![0; 512 * KIB], at(0)),
        "the newest itself"
    );
    let [first, second, third] = bodies;
    assert!(second.finish().is_none() && third.finish().is_none());
    let (blocks, _memory) = first.finish().expect("the oldest is whole");
    assert_eq!(blocks.len(), 1024 * KIB);
}

/// Guards against a few senders of large or halted bodies that shut out all others.
#[test]
fn large_and_stalled_bodies_yield_to_small_ones() {
    let pool = MemoryPool::new(Some(8), 4);
    let large = pool.begin_body(at(0));
    let most = 7 * 256 * KIB - 16 * KIB;
    assert!(large.keep(&vec![0; most], at(0)));
    assert!(pool.may_fit(60 * KIB) && !pool.may_fit(2048 * KIB));
    let small: Vec<_> = (0..4).map(|_| pool.begin_body(at(0))).collect();
    for body in &small {
        assert!(body.keep(&vec![0; 60 * KIB], at(0)));
    }
    let last = pool.begin_body(at(0));
    assert!(last.keep(&vec![0; 60 * KIB], at(0)), "the large one yields");
    assert!(large.finish().is_none());
    let (old, new) = (pool.begin_body(at(500)), pool.begin_body(at(600)));
    assert!(old.keep(&vec![0; 512 * KIB], at(500)));
    assert!(new.keep(&vec![0; 512 * KIB], at(600)));
    assert!(
        new.keep(&vec![0; 512 * KIB], at(1_550)),
        "the old one has stalled"
    );
    assert!(old.finish().is_none());
}

/// Guards against an account that refuses what comes first in favour of bodies of which nothing may come of.
#[test]
fn admitted_work_goes_before_arriving_bodies_but_not_before_whole_ones() {
    let pool = MemoryPool::new(Some(8), 4);
    let whole = pool.begin_body(at(0));
    assert!(whole.keep(&vec![0; 1024 * KIB], at(0)));
    let whole = whole.finish().expect("nothing had to yield");
    let arriving = pool.begin_body(at(0));
    assert!(arriving.keep(&vec![0; 512 * KIB], at(0)));
    assert!(pool.reserve(800 * KIB).is_none());
    let admitted = pool.reserve_first(800 * KIB, at(0));
    assert!(admitted.is_some() && arriving.finish().is_none());
    assert!(pool.reserve_first(800 * KIB, at(0)).is_none());
    drop(whole);
    assert!(pool.reserve_first(800 * KIB, at(0)).is_some());
}
