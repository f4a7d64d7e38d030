use std::collections::BTreeSet;

use super::address::thread_loopback;

/// Guards against tests that share a host, and so take each other's ports, because a process has more threads than one
/// block has hosts.
#[test]
fn the_threads_of_a_process_have_hosts_of_their_own() {
    let hosts: BTreeSet<_> = (0..508)
        .map(|thread| thread_loopback(4_711, thread))
        .collect();
    assert_eq!(hosts.len(), 508);
    assert!(
        hosts
            .iter()
            .all(|host| host.is_loopback() && !matches!(host.octets()[3], 0 | 255))
    );
    let others: BTreeSet<_> = (0..508)
        .map(|thread| thread_loopback(4_712, thread))
        .collect();
    assert!(hosts.is_disjoint(&others));
}
