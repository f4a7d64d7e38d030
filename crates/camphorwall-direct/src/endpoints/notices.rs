//! What endpoints say of themselves in their answers: that they leave, or that they want no requests for a time.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Moment,
    configuration::{Endpoint, EndpointIncarnation},
};

/// Upper limit on the Retry-After of an endpoint.
const MAX_HOLD_OFF: Duration = Duration::from_secs(600);

/// Time for which a leaving endpoint is remembered; it exits within seconds or minutes.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Time after the end of a hold-off in which the endpoint gets only few requests until it has answered some.
const RETURN_PERIOD: Duration = Duration::from_secs(10);

/// Number of requests under way from which on an endpoint that returns is used like any other.
const FULL_RETURN: u32 = 16;

/// Number of records at which the oldest one is dropped for a new one.
const MAX_RECORDS: usize = 4_096;

/// Number of heartbeats that report a leaving endpoint at once, since datagrams may be lost.
const URGENT_REPORTS: u32 = 3;

/// Time after which a leaving endpoint is reported again, for entries that have started or were unreachable.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of leaving endpoints in one heartbeat.
const MAX_REPORTS: usize = 32;

/// An endpoint that leaves, as reported to peers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ReportedLeaving {
    pub(crate) incarnation: EndpointIncarnation,
    /// Time since it said so, in milliseconds.
    pub(crate) age_ms: u32,
}

#[derive(Debug)]
struct Leaving {
    since: Moment,
    urgent_reports: u32,
    next_report_at: Moment,
}

#[derive(Debug)]
struct HoldOff {
    until: Moment,
    /// Requests that may be under way at once after the end; doubles with each answer.
    limit: u32,
    under_way: u32,
}

#[derive(Debug)]
struct Record {
    noted_at: Moment,
    leaving: Option<Leaving>,
    hold_off: Option<HoldOff>,
    has_unreadable_time: bool,
}

/// When an endpoint may get another request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Availability {
    Now,
    /// Not before this moment.
    From(Moment),
    Never,
}

/// What endpoints said of themselves, by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Notices(HashMap<EndpointIncarnation, Record>);

impl Notices {
    fn record(&mut self, incarnation: EndpointIncarnation, now: Moment) -> &mut Record {
        if self.0.len() >= MAX_RECORDS && !self.0.contains_key(&incarnation) {
            let oldest = self.0.iter().min_by_key(|(_, record)| record.noted_at);
            let oldest = oldest.map(|(incarnation, _)| *incarnation);
            oldest.map(|oldest| self.0.remove(&oldest));
        }
        self.0.entry(incarnation).or_insert(Record {
            noted_at: now,
            leaving: None,
            hold_off: None,
            has_unreadable_time: false,
        })
    }

    /// Records that an endpoint leaves; returns whether this is new.
    pub(crate) fn note_leaving(&mut self, incarnation: EndpointIncarnation, now: Moment) -> bool {
        self.insert_leaving(incarnation, now, URGENT_REPORTS, now)
    }

    /// Records that an endpoint leaves, as a peer reports; returns whether this is new.
    pub(crate) fn note_peer(&mut self, reported: ReportedLeaving, now: Moment) -> bool {
        let since = now - Duration::from_millis(reported.age_ms.into());
        now.since(since) < LEAVING_RETENTION
            && self.insert_leaving(reported.incarnation, since, 0, now)
    }

    fn insert_leaving(
        &mut self,
        incarnation: EndpointIncarnation,
        since: Moment,
        urgent_reports: u32,
        now: Moment,
    ) -> bool {
        let record = self.record(incarnation, now);
        record.noted_at = now;
        let is_new = record.leaving.is_none();
        record.leaving.get_or_insert(Leaving {
            since,
            urgent_reports,
            next_report_at: now,
        });
        is_new
    }

    /// Records that an endpoint wants no requests for a time; returns when it may get the next one.
    pub(crate) fn note_hold_off(
        &mut self,
        incarnation: EndpointIncarnation,
        duration: Duration,
        now: Moment,
    ) -> Moment {
        let until = now + duration.min(MAX_HOLD_OFF);
        let record = self.record(incarnation, now);
        record.noted_at = now;
        let known = record.hold_off.get_or_insert(HoldOff {
            until,
            limit: 1,
            under_way: 0,
        });
        known.until = known.until.max(until);
        known.limit = 1;
        known.until
    }

    /// Records a time that could not be read; returns whether it is the endpoint's first one.
    pub(crate) fn note_unreadable_time(
        &mut self,
        incarnation: EndpointIncarnation,
        now: Moment,
    ) -> bool {
        let record = self.record(incarnation, now);
        !std::mem::replace(&mut record.has_unreadable_time, true)
    }

    /// Records that an endpoint took a request; returns whether it may therefore get more at once than before.
    pub(crate) fn note_taken(&mut self, incarnation: EndpointIncarnation, now: Moment) -> bool {
        let Some(record) = self.0.get_mut(&incarnation) else {
            return false;
        };
        match &mut record.hold_off {
            Some(hold_off) if now >= hold_off.until && hold_off.limit < FULL_RETURN => {
                hold_off.limit *= 2;
                true
            }
            Some(hold_off) if now >= hold_off.until => record.hold_off.take().is_some(),
            _ => false,
        }
    }

    /// Counts a request that is about to be sent to an endpoint; returns whether [`Self::end_trial`] must be called at its
    /// end.
    pub(crate) fn begin_trial(&mut self, incarnation: EndpointIncarnation) -> bool {
        let record = self.0.get_mut(&incarnation);
        let hold_off = record.and_then(|record| record.hold_off.as_mut());
        hold_off.is_some_and(|hold_off| {
            hold_off.under_way += 1;
            true
        })
    }

    /// Uncounts a request that [`Self::begin_trial`] counted.
    pub(crate) fn end_trial(&mut self, incarnation: EndpointIncarnation) {
        let record = self.0.get_mut(&incarnation);
        if let Some(hold_off) = record.and_then(|record| record.hold_off.as_mut()) {
            hold_off.under_way = hold_off.under_way.saturating_sub(1);
        }
    }

    /// Whether a request that was placed at an endpoint may be sent to it.
    #[must_use]
    pub(crate) fn may_send(&self, incarnation: EndpointIncarnation, now: Moment) -> bool {
        self.0.get(&incarnation).is_none_or(|record| {
            let holds_off = record.hold_off.as_ref();
            record.leaving.is_none() && holds_off.is_none_or(|hold_off| hold_off.until <= now)
        })
    }

    /// Whether an endpoint holds requests off at present.
    #[must_use]
    pub(crate) fn holds_off(&self, incarnation: EndpointIncarnation, now: Moment) -> bool {
        let record = self.0.get(&incarnation);
        let hold_off = record.and_then(|record| record.hold_off.as_ref());
        hold_off.is_some_and(|hold_off| now < hold_off.until)
    }

    /// When an endpoint may get another request.
    ///
    /// After a hold-off an endpoint first gets one request, and twice as many at once after each answer: all that waited
    /// meanwhile would overload it again.
    #[must_use]
    pub(crate) fn availability(&self, endpoint: &Endpoint, now: Moment) -> Availability {
        if self.0.is_empty() {
            return Availability::Now;
        }
        let Some(record) = self.0.get(&endpoint.incarnation()) else {
            return Availability::Now;
        };
        match &record.hold_off {
            _ if record.leaving.is_some() => Availability::Never,
            Some(hold_off) if now < hold_off.until => Availability::From(hold_off.until),
            Some(hold_off)
                if hold_off.under_way >= hold_off.limit
                    && now.since(hold_off.until) < RETURN_PERIOD =>
            {
                Availability::From(now)
            }
            _ => Availability::Now,
        }
    }

    /// Takes the leaving endpoints that the next heartbeat reports, and drops old records.
    pub(crate) fn report(&mut self, now: Moment) -> Vec<ReportedLeaving> {
        self.0.retain(|_, record| {
            let holds_off = record.hold_off.as_ref();
            let is_returning =
                holds_off.is_some_and(|hold_off| now.since(hold_off.until) < RETURN_PERIOD);
            is_returning || now.since(record.noted_at) < LEAVING_RETENTION
        });
        let leaving = self.0.iter_mut();
        let leaving = leaving.filter_map(|(incarnation, record)| {
            let leaving = record.leaving.as_mut()?;
            (leaving.next_report_at <= now).then_some((*incarnation, leaving))
        });
        let report = |(incarnation, leaving): (EndpointIncarnation, &mut Leaving)| {
            leaving.urgent_reports = leaving.urgent_reports.saturating_sub(1);
            if leaving.urgent_reports == 0 {
                leaving.next_report_at = now + REPORT_PERIOD;
            }
            let age_ms = now.since(leaving.since).as_millis();
            ReportedLeaving {
                incarnation,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            }
        };
        leaving.take(MAX_REPORTS).map(report).collect()
    }

    /// Number of records.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// When the first of some endpoints may get another request; `None` if one may now or none ever will.
#[must_use]
pub(crate) fn first_return(endpoints: impl Iterator<Item = Availability>) -> Option<Moment> {
    match endpoints.min() {
        Some(Availability::From(at)) => Some(at),
        Some(Availability::Now | Availability::Never) | None => None,
    }
}
