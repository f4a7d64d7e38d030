//! RPC methods of entries and endpoint daemons to exchange suspects and to list and lift quarantines.

use std::rc::Rc;

use camphorwall::{
    METHOD_QUARANTINE_LIFT, METHOD_QUARANTINE_LIST, METHOD_SUSPECTS, QuarantineLift,
    ReportedSuspects, RpcServer,
};

use super::Quarantine;

/// Adds the methods to the RPC server of a process.
pub(crate) fn add_quarantine_methods(quarantine: &Rc<Quarantine>, rpc: &mut RpcServer) {
    let this = Rc::clone(quarantine);
    rpc.add(METHOD_SUSPECTS, move |report: ReportedSuspects| {
        this.merge(report);
        std::future::ready(())
    });
    let this = Rc::clone(quarantine);
    rpc.add(METHOD_QUARANTINE_LIST, move |(): ()| {
        std::future::ready(this.list())
    });
    let this = Rc::clone(quarantine);
    rpc.add(METHOD_QUARANTINE_LIFT, move |lift: QuarantineLift| {
        let this = Rc::clone(&this);
        async move { this.lift(&lift).await }
    });
}
