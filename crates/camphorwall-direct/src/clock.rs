//! Clock that keeps running while the machine is suspended.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// A point in time on the boot-time clock, which includes suspension, unlike `std::time::Instant`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Moment(Duration);

impl Moment {
    /// The present moment.
    #[must_use]
    pub(crate) fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanoseconds))
    }

    /// The moment at a given time after the clock's origin.
    #[cfg(test)]
    pub(crate) const fn after_origin(distance: Duration) -> Self {
        Self(distance)
    }

    /// Time from `earlier` to this moment; zero if `earlier` is later.
    #[must_use]
    pub(crate) fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}
