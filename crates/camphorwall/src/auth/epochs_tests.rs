use super::*;

const LIMITS: EpochLimits = EpochLimits {
    period: Duration::from_secs(10),
    max_calls: 100,
};

fn epochs(now: Instant) -> Epochs {
    let mut number = 0;
    Epochs::new(LIMITS, now, move || {
        number += 1;
        number
    })
}

#[test]
fn a_call_is_accepted_once_even_after_its_epoch_has_ended() {
    let now = Instant::now();
    let mut epochs = epochs(now);
    assert_eq!(epochs.accept(1, 5, now), Ok(()));
    assert_eq!(epochs.accept(1, 5, now), Err(ReplayError::NonceUsed));
    let later = now + LIMITS.period;
    assert_eq!(epochs.accept(1, 5, later), Err(ReplayError::NonceUsed));
    assert_eq!(epochs.accept(1, 6, later), Ok(()));
    assert_eq!(epochs.current(later), 2);
}

#[test]
fn a_process_that_was_paused_refuses_calls_signed_before_the_pause() {
    let now = Instant::now();
    let mut epochs = epochs(now);
    let resumed = now + 2 * LIMITS.period;
    assert_eq!(epochs.accept(1, 5, resumed), Err(ReplayError::OtherEpoch));
    let epoch = epochs.current(resumed);
    assert_eq!(epochs.accept(epoch, 5, resumed), Ok(()));
}

#[test]
fn memory_stays_bounded_and_no_nonce_is_accepted_twice_under_load() {
    let now = Instant::now();
    let mut epochs = epochs(now);
    let mut accepted = std::collections::BTreeSet::new();
    for nonce in 0..10_000 {
        let epoch = epochs.current(now);
        assert_eq!(epochs.accept(epoch, nonce, now), Ok(()));
        assert!(accepted.insert((epoch, nonce)));
        assert!(epochs.remembered() <= 2 * LIMITS.max_calls);
    }
    for (epoch, nonce) in accepted {
        assert!(epochs.accept(epoch, nonce, now).is_err());
    }
}
