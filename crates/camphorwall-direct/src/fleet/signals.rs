//! Turns signals of the operating system into commands to the process.

use std::io;

use futures_channel::mpsc;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::serve::run::ControlCommand;

/// Starts a thread that turns signals into commands.
///
/// # Errors
/// When the signal handlers can't be installed.
pub fn watch_signals() -> io::Result<mpsc::UnboundedReceiver<ControlCommand>> {
    let (sender, receiver) = mpsc::unbounded();
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let command = if signal == SIGHUP {
                ControlCommand::Reload
            } else {
                ControlCommand::Stop
            };
            if sender.unbounded_send(command).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}
