//! Cache of the last configurations, from which a reader computes changes for its followers.

use std::{collections::VecDeque, rc::Rc};

use bytes::Bytes;

use crate::{
    configuration::Configuration, configuration_change::ConfigurationChange, dialect::StoreRevision,
};

/// Number of configurations that are kept. A follower with an older one gets the complete newest configuration.
const KEPT_CONFIGURATIONS: usize = 4;

/// A configuration, by the revision of the store at which it was written.
#[derive(Debug)]
struct KnownConfiguration {
    revision: StoreRevision,
    configuration: Rc<Configuration>,
    /// Change from this configuration to the newest, encoded at the first request.
    change: Option<Bytes>,
}

/// The last configurations, ordered from oldest to newest. Unchanged routes are shared between them.
#[derive(Debug, Default)]
pub(crate) struct RecentConfigurations {
    known: VecDeque<KnownConfiguration>,
    /// The complete newest configuration, encoded at the first request.
    whole: Option<Bytes>,
}

impl RecentConfigurations {
    /// Adds a configuration that is newer than all others.
    pub(crate) fn add(&mut self, revision: StoreRevision, configuration: Rc<Configuration>) {
        for known in &mut self.known {
            known.change = None;
        }
        self.whole = None;
        if self.known.len() == KEPT_CONFIGURATIONS {
            self.known.pop_front();
        }
        self.known.push_back(KnownConfiguration {
            revision,
            configuration,
            change: None,
        });
    }

    /// The change that turns the configuration of a revision into the newest one, and whether it does so from that
    /// configuration or from an empty one; `None` if there is no newer one.
    pub(crate) fn change_since(&mut self, revision: StoreRevision) -> Option<(bool, Bytes)> {
        let newest = self
            .known
            .back()
            .filter(|newest| newest.revision > revision)?;
        let newest = Rc::clone(&newest.configuration);
        let base = self
            .known
            .iter_mut()
            .find(|known| known.revision == revision);
        let is_from_base = base.is_some();
        let (base, encoded) = match base {
            Some(known) => (Rc::clone(&known.configuration), &mut known.change),
            None => (Rc::default(), &mut self.whole),
        };
        if encoded.is_none() {
            *encoded = encode(&ConfigurationChange::between(&base, &newest));
        }
        encoded.clone().map(|change| (is_from_base, change))
    }
}

fn encode(change: &ConfigurationChange) -> Option<Bytes> {
    let encoded = postcard::to_stdvec(change);
    let encoded = encoded.inspect_err(|error| {
        tracing::warn!(event = "changes_not_encoded", %error);
    });
    encoded.ok().map(Bytes::from)
}
