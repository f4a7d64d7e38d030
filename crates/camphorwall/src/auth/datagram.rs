//! Authentication tags of queries and replies that are sent as datagrams.
//!
//! The tag of a query covers the receiver's name, which is not sent, and the tag of a reply covers that of its query.
//! A tag has 64 bits, which suffice because a forger must send one datagram for each guess.

use super::PeerAuth;
use crate::{InstanceId, QUERY_MARK, REPLY_MARK};

/// Domain of a query's tag.
const DOMAIN_QUERY: &[u8] = b"camphorwall ask 1";

/// Domain of a reply's tag.
const DOMAIN_REPLY: &[u8] = b"camphorwall reply 1";

/// Length of a tag in bytes.
const TAG_LENGTH_BYTES: usize = 8;

/// Tag of a query; all zeros without a secret.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueryTag([u8; TAG_LENGTH_BYTES]);

impl PeerAuth {
    /// Makes the datagram of a query to one receiver.
    #[must_use]
    pub fn seal_query(&self, receiver: &InstanceId, content: &[u8]) -> (QueryTag, Vec<u8>) {
        let tag = self.tag(&[DOMAIN_QUERY, receiver.as_str().as_bytes(), content]);
        (
            QueryTag(tag.unwrap_or_default()),
            datagram(QUERY_MARK, tag, content),
        )
    }

    /// Returns tag and content of a query that a holder of a secret made for the instance `receiver`; `None` for any
    /// other datagram.
    #[must_use]
    pub fn open_query<'a>(
        &self,
        receiver: &InstanceId,
        datagram: &'a [u8],
    ) -> Option<(QueryTag, &'a [u8])> {
        let (tag, content) = self.split(QUERY_MARK, datagram)?;
        let fields = [DOMAIN_QUERY, receiver.as_str().as_bytes(), content];
        self.is_genuine(&fields, tag).then_some((tag, content))
    }

    /// Makes the datagram of a reply to one query.
    #[must_use]
    pub fn seal_reply(&self, query: QueryTag, content: &[u8]) -> Vec<u8> {
        datagram(
            REPLY_MARK,
            self.tag(&[DOMAIN_REPLY, &query.0, content]),
            content,
        )
    }

    /// Returns the unverified content of a reply, which is needed to find the query that the reply must match.
    #[must_use]
    pub fn peek_reply<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        self.split(REPLY_MARK, datagram).map(|(_, content)| content)
    }

    /// Whether a holder of a secret made the reply to this query.
    #[must_use]
    pub fn verify_reply(&self, query: QueryTag, datagram: &[u8]) -> bool {
        self.split(REPLY_MARK, datagram)
            .is_some_and(|(tag, content)| self.is_genuine(&[DOMAIN_REPLY, &query.0, content], tag))
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
