//! Turns signals of the operating system into orders.

use std::io;

use futures_channel::mpsc;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::run::Order;

/// Starts a thread that turns signals into orders.
///
/// # Errors
/// When the signal handlers can't be installed.
pub fn watch_signals() -> io::Result<mpsc::UnboundedReceiver<Order>> {
    let (sender, receiver) = mpsc::unbounded();
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let order = if signal == SIGHUP {
                Order::Reload
            } else {
                Order::Stop
            };
            if sender.unbounded_send(order).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}
