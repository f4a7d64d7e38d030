//! `camphorwalld`: reads its settings, starts the daemon and serves until SIGTERM or SIGINT.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use camphorwall::{Settings, init_logging};
use camphorwall_daemon::Daemon;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

enum Command {
    Help(String),
    Run(PathBuf),
    Version,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    match parse(&arguments) {
        Ok(Command::Help(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("camphorwalld {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Run(path)) => run(&path),
        Err(message) => {
            eprintln!("camphorwalld: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn parse(arguments: &[String]) -> Result<Command, String> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this help");
    options.optopt("s", "settings", "settings file, JSON with comments", "FILE");
    options.optflag("V", "version", "show the version");
    let matches = options
        .parse(arguments)
        .map_err(|error| format!("{error}; see --help"))?;
    match matches.opt_str("settings") {
        _ if matches.opt_present("help") => Ok(Command::Help(
            options.usage("Usage: camphorwalld --settings FILE"),
        )),
        _ if matches.opt_present("version") => Ok(Command::Version),
        Some(path) if matches.free.is_empty() => Ok(Command::Run(path.into())),
        Some(_) => Err(format!(
            "unexpected argument {:?}; see --help",
            matches.free[0]
        )),
        None => Err("no settings file; use --settings FILE".into()),
    }
}

fn run(path: &Path) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("camphorwalld: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    init_logging();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!(
                "camphorwalld: can't start the async runtime: {error}; check the limit on open files"
            );
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("camphorwalld: {error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = wait_for_signal().await {
        tracing::error!(event = "signals_unavailable", %error);
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> std::io::Result<()> {
    let (sender, receiver) = futures_channel::oneshot::channel();
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        signals.forever().next();
        // The receiver is dropped only when the process ends.
        let _ = sender.send(());
    });
    receiver.await.map_err(std::io::Error::other)
}
