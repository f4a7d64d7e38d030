//! Verifies queries and builds their replies. A grant query is executed once; a repetition of it gets the same reply.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use camphorwall::{
    DatagramQuery, DatagramReply, EpochLimits, Epochs, GrantQuery, InstanceId, PeerAuth,
    QueryDatagram, QueryTag, ReplayError, ReplyDatagram, Settings,
};

/// How long the reply to a grant query is kept to answer repetitions.
const REPLY_RETENTION: Duration = Duration::from_secs(2);

/// Maximum number of replies kept.
const MAX_KEPT_REPLIES: usize = 4096;

struct SentReply {
    at: Instant,
    tag: QueryTag,
    nonce: [u8; 8],
    reply: DatagramReply,
}

/// Answers the queries of other processes.
pub(crate) struct QueryResponder {
    local_instance: InstanceId,
    auth: PeerAuth,
    epochs: Epochs,
    sent_replies: VecDeque<SentReply>,
}

impl QueryResponder {
    pub(crate) fn new(
        local_instance: InstanceId,
        auth: PeerAuth,
        now: Instant,
        random: impl FnMut() -> u64 + 'static,
    ) -> Self {
        Self {
            local_instance,
            auth,
            epochs: Epochs::new(EpochLimits::default(), now, random),
            sent_replies: VecDeque::new(),
        }
    }

    /// Decodes the query of a datagram, with its tag; `None` unless a holder of a peer secret made it for this process.
    pub(crate) fn open(&self, datagram: &[u8]) -> Option<(QueryTag, QueryDatagram)> {
        let (tag, content) = self.auth.open_query(&self.local_instance, datagram)?;
        QueryDatagram::decode(content).map(|query| (tag, query))
    }

    /// Builds the datagram of the reply. `handler` executes the query; it is not called for a replay.
    pub(crate) fn answer(
        &mut self,
        tag: QueryTag,
        datagram: QueryDatagram,
        handler: impl FnOnce(u64, &DatagramQuery) -> Option<DatagramReply>,
        now: Instant,
    ) -> Option<Vec<u8>> {
        let QueryDatagram { sequence, query } = datagram;
        let reply = match &query {
            DatagramQuery::Renew(_) | DatagramQuery::Pulse => handler(sequence, &query)?,
            DatagramQuery::Grant(grant) => {
                self.answer_once(tag, grant, now, || handler(sequence, &query))?
            }
        };
        let content = ReplyDatagram { sequence, reply }.encode();
        Some(self.auth.seal_reply(tag, &content))
    }

    fn answer_once(
        &mut self,
        tag: QueryTag,
        grant: &GrantQuery,
        now: Instant,
        handler: impl FnOnce() -> Option<DatagramReply>,
    ) -> Option<DatagramReply> {
        self.forget(now);
        let is_repeated = |one: &&SentReply| one.tag == tag && one.nonce == grant.nonce;
        if let Some(replied) = self.sent_replies.iter().find(is_repeated) {
            return Some(replied.reply.clone());
        }
        let epoch = u64::from_le_bytes(grant.epoch);
        match self
            .epochs
            .accept(epoch, u64::from_le_bytes(grant.nonce), now)
        {
            Ok(()) => {
                let reply = handler()?;
                self.sent_replies.push_back(SentReply {
                    at: now,
                    tag,
                    nonce: grant.nonce,
                    reply: reply.clone(),
                });
                Some(reply)
            }
            Err(ReplayError::OtherEpoch) => {
                let epoch = self.epochs.current(now);
                Some(DatagramReply::OtherEpoch(epoch.to_le_bytes()))
            }
            Err(ReplayError::NonceUsed) => None,
        }
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |one: &SentReply| one.at + REPLY_RETENTION <= now;
        while self.sent_replies.len() >= MAX_KEPT_REPLIES
            || self.sent_replies.front().is_some_and(is_old)
        {
            self.sent_replies.pop_front();
        }
    }
}

/// Query responder of the process with these settings.
pub(crate) fn query_responder(settings: &Settings) -> QueryResponder {
    let auth = PeerAuth::new(&settings.peer_secrets);
    let local_instance = settings.instance.clone();
    QueryResponder::new(local_instance, auth, Instant::now(), rand::random)
}

#[cfg(test)]
#[path = "query_responder_tests.rs"]
mod tests;
