//! Tags of asks and replies that travel as datagrams.
//!
//! The tag of an ask covers the receiver's name, which is not sent, and that of a reply covers the ask's. A tag has
//! 64 bits: a forger has to guess it with one datagram for each try.

use super::PeerAuth;
use crate::{InstanceId, QUERY_MARK, REPLY_MARK};

/// Domain of the tag of an ask.
const DOMAIN_QUERY: &[u8] = b"camphorwall ask 1";

/// Domain of the tag of a reply.
const DOMAIN_REPLY: &[u8] = b"camphorwall reply 1";

/// Length of a tag in bytes.
const TAG_LENGTH_BYTES: usize = 8;

/// Tag of an ask; it has no meaning without a secret.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueryTag([u8; TAG_LENGTH_BYTES]);

impl PeerAuth {
    /// Makes the datagram of an ask for one receiver.
    #[must_use]
    pub fn seal_query(&self, receiver: &InstanceId, content: &[u8]) -> (QueryTag, Vec<u8>) {
        let tag = self.tag(&[DOMAIN_QUERY, receiver.as_str().as_bytes(), content]);
        (
            QueryTag(tag.unwrap_or_default()),
            datagram(QUERY_MARK, tag, content),
        )
    }

    /// Returns the tag and the content of an ask that a holder of a secret made for `own`.
    #[must_use]
    pub fn open_query<'a>(
        &self,
        own: &InstanceId,
        datagram: &'a [u8],
    ) -> Option<(QueryTag, &'a [u8])> {
        let (tag, content) = self.split(QUERY_MARK, datagram)?;
        let fields = [DOMAIN_QUERY, own.as_str().as_bytes(), content];
        self.is_genuine(&fields, tag).then_some((tag, content))
    }

    /// Makes the datagram of a reply to one ask.
    #[must_use]
    pub fn seal_reply(&self, ask: QueryTag, content: &[u8]) -> Vec<u8> {
        datagram(
            REPLY_MARK,
            self.tag(&[DOMAIN_REPLY, &ask.0, content]),
            content,
        )
    }

    /// Content of a reply before it is verified, to find its ask.
    #[must_use]
    pub fn peek_reply<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        self.split(REPLY_MARK, datagram).map(|(_, content)| content)
    }

    /// Whether a holder of a secret made the reply for this very ask.
    #[must_use]
    pub fn verify_reply(&self, ask: QueryTag, datagram: &[u8]) -> bool {
        self.split(REPLY_MARK, datagram)
            .is_some_and(|(tag, content)| self.is_genuine(&[DOMAIN_REPLY, &ask.0, content], tag))
    }

    fn tag(&self, fields: &[&[u8]]) -> Option<[u8; TAG_LENGTH_BYTES]> {
        self.sign(fields)?.first_chunk().copied()
    }

    fn is_genuine(&self, fields: &[&[u8]], tag: QueryTag) -> bool {
        !self.is_enabled() || self.verifies(fields, &tag.0)
    }

    fn split<'a>(&self, mark: u8, datagram: &'a [u8]) -> Option<(QueryTag, &'a [u8])> {
        let (first, rest) = datagram.split_first()?;
        match () {
            () if *first != mark => None,
            () if !self.is_enabled() => Some((QueryTag::default(), rest)),
            () => {
                let (tag, content) = rest.split_first_chunk()?;
                Some((QueryTag(*tag), content))
            }
        }
    }
}

fn datagram(mark: u8, tag: Option<[u8; TAG_LENGTH_BYTES]>, content: &[u8]) -> Vec<u8> {
    let tag = tag.as_ref().map_or(&[][..], |tag| &tag[..]);
    [&[mark], tag, content].concat()
}

#[cfg(test)]
#[path = "datagram_tests.rs"]
mod tests;
