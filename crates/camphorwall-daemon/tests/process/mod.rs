//! Runs daemons as child processes.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
};

use camphorwall_standin::any_port;
use serde_json::{Value, json};

/// A daemon in a child process, which is killed on drop.
pub(crate) struct DaemonProcess {
    pub(crate) name: String,
    pub(crate) caller_address: Option<SocketAddr>,
    pub(crate) peer_address: SocketAddr,
    child: Child,
    settings_path: PathBuf,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

fn address_in(line: &str, field: &str) -> Option<SocketAddr> {
    let value = line.split(&format!(" {field}=")).nth(1)?;
    let value = value.split_whitespace().next()?;
    value.trim_matches('"').parse().ok()
}

impl DaemonProcess {
    /// Starts a daemon with a name and extra settings, and waits until it has bound its ports.
    pub(crate) fn start(name: &str, extra_settings: &Value) -> Self {
        let mut settings = json!({
            "instance": name, "data_centre": "marousi", "peer_address": any_port(),
        });
        let fields = settings.as_object_mut().expect("an object");
        fields.extend(extra_settings.as_object().expect("an object").clone());
        let file = format!("camphorwall-{}-{name}.json", std::process::id());
        let settings_path = std::env::temp_dir().join(file);
        std::fs::write(&settings_path, settings.to_string()).expect("a writable directory");
        let mut child = Command::new(env!("CARGO_BIN_EXE_camphorwalld"))
            .arg("--settings")
            .arg(&settings_path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let mut line = String::new();
        while !line.contains("event=\"started\"") {
            line.clear();
            let length = log.read_line(&mut line).expect("a readable log");
            assert!(length > 0, "{name} ended");
        }
        // Keeps reading the log, so that the daemon never blocks on a full pipe.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self {
            name: name.into(),
            caller_address: address_in(&line, "caller_address"),
            peer_address: address_in(&line, "peer_address").expect("an address in the log"),
            child,
            settings_path,
        }
    }

    /// Sends a signal to this process alone.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Exit status of the process, if it has exited.
    #[allow(dead_code, reason = "not every test file ends its daemons gracefully")]
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child")
    }
}
