use super::memory_pool::MemoryPool;

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
