//! API of an endpoint daemon for peers, that is, other processes of the system.

use std::{rc::Rc, time::Instant};

use camphorwall::{
    BoxedBody, Cancel, DocumentsQuery, KV_PATH, LEDGER_START_PATH, LedgerHandOver, LedgerKey,
    LedgerOffer, METHOD_CANCEL, METHOD_DOCUMENTS, METHOD_DRAIN, METHOD_LEDGER_HAND_OVER,
    METHOD_LEDGER_OFFER, METHOD_LEDGER_RECALL, METHOD_RENEW, METHOD_RESERVE, METHOD_STATUS,
    PeerGuard, PeerRequest, RESUME_PATH, RPC_PATH, Renew, RequestBody, Reserve, RpcServer,
    START_PATH, json_response,
};
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use hyper::{Request, Response};

use super::daemon::EndpointDaemon;
use crate::{operator::peer_handler, quarantine::add_quarantine_methods};

impl EndpointDaemon {
    /// Handler of requests from peers, probes and metrics readers.
    pub(crate) fn peer_handler(
        daemon: &Rc<Self>,
        guard: PeerGuard,
    ) -> impl Fn(Request<RequestBody>) -> LocalBoxFuture<'static, Response<BoxedBody>> + 'static
    {
        let listed_address = daemon
            .published
            .listed_address_of(&daemon.settings.instance);
        let guard = guard.listed_at(listed_address);
        let rpc = Rc::new(Self::rpc_server(daemon));
        let (for_metrics, for_readiness) = (Rc::clone(daemon), Rc::clone(daemon));
        let metrics = move || {
            for_metrics
                .published
                .update_metrics(&for_metrics.metrics, Instant::now());
            for_metrics.metrics.response()
        };
        let daemon = Rc::clone(daemon);
        let answer = move |request| {
            let (daemon, rpc) = (Rc::clone(&daemon), Rc::clone(&rpc));
            async move { daemon.answer_peer(&rpc, request).await }.boxed_local()
        };
        peer_handler(guard, metrics, move || for_readiness.is_ready(), answer)
    }

    async fn answer_peer(
        self: &Rc<Self>,
        rpc: &RpcServer,
        request: PeerRequest,
    ) -> Response<BoxedBody> {
        let path = request.path().to_owned();
        match (path.as_str(), path.strip_prefix(KV_PATH)) {
            (RPC_PATH, _) => rpc.answer(request).await,
            (START_PATH, _) => self.start(request).await,
            (RESUME_PATH, _) => self.resume(request).await,
            (LEDGER_START_PATH, _) => self.start_in_ledger(request).await,
            (_, Some(cache)) => {
                let (_, signer) = request.into_parts();
                let response = self.send_kv(cache).await;
                signer.stream(response, Instant::now())
            }
            _ => json_response(404, &"no such path"),
        }
    }

    fn rpc_server(daemon: &Rc<Self>) -> RpcServer {
        let mut rpc = RpcServer::default();
        let this = Rc::clone(daemon);
        rpc.add(METHOD_RESERVE, move |reserve: Reserve| {
            let this = Rc::clone(&this);
            async move { this.reserve(&reserve).await }
        });
        let this = Rc::clone(daemon);
        rpc.add(METHOD_CANCEL, move |cancel: Cancel| {
            let this = Rc::clone(&this);
            async move { this.cancel(&cancel).await }
        });
        let this = Rc::clone(daemon);
        rpc.add(METHOD_RENEW, move |renew: Renew| {
            std::future::ready(this.renew(&renew))
        });
        let this = Rc::clone(daemon);
        rpc.add(METHOD_DOCUMENTS, move |query: DocumentsQuery| {
            let this = Rc::clone(&this);
            async move { this.follower.answer(query).await }
        });
        let this = Rc::clone(daemon);
        rpc.add(METHOD_DRAIN, move |(): ()| std::future::ready(this.drain()));
        let this = Rc::clone(daemon);
        rpc.add(METHOD_STATUS, move |(): ()| {
            std::future::ready(this.status())
        });
        Self::add_ledger_methods(daemon, &mut rpc);
        add_quarantine_methods(&daemon.quarantine, &mut rpc);
        rpc
    }

    fn add_ledger_methods(daemon: &Rc<Self>, rpc: &mut RpcServer) {
        let ledger = Rc::clone(&daemon.ledger);
        rpc.add(METHOD_LEDGER_OFFER, move |offer: LedgerOffer| {
            std::future::ready(ledger.offer(offer))
        });
        let ledger = Rc::clone(&daemon.ledger);
        rpc.add(METHOD_LEDGER_HAND_OVER, move |hand_over: LedgerHandOver| {
            std::future::ready(ledger.accept_hand_over(hand_over))
        });
        let ledger = Rc::clone(&daemon.ledger);
        rpc.add(METHOD_LEDGER_RECALL, move |key: LedgerKey| {
            std::future::ready(ledger.recall(&key))
        });
    }
}
