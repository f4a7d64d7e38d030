//! Starts the project's program with the command of the deploy file, and does what the platform does to it.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http::Wire;

/// A front machine with its process.
pub struct Entry {
    pub name: String,
    pub caller: SocketAddr,
    pub probe: SocketAddr,
    pub peer: SocketAddr,
    folder: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// What the cases set of a front machine.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub memory_mb: u64,
    /// Address of the store for this machine.
    pub store: SocketAddr,
}

/// Loopback hosts of the machines, which no other test on this machine is likely to use.
pub fn host(number: usize) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 100 + id / 250 % 100, 1 + id % 250, number + 1)
}

/// Ports that are free on all hosts, for TCP and UDP: callers, probes, control, metrics, and the first for peers.
fn free_ports(hosts: &[String]) -> Vec<u16> {
    let mut ports = Vec::new();
    let mut port = 20_000 + (std::process::id() % 300 * 30) as u16;
    while ports.len() < 5 {
        port += 1;
        let is_free = hosts.iter().all(|host| {
            let address = (host.as_str(), port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        });
        if is_free {
            ports.push(port);
        }
    }
    ports
}

/// Starts front machines, with the settings that the template gives for a small deployment.
pub fn start(folder: &Path, machines: &[Machine]) -> Vec<Entry> {
    let hosts: Vec<_> = (0..machines.len()).map(|number| host(10 + number)).collect();
    let ports = free_ports(&hosts);
    let seeds = hosts.iter().take(3);
    let seeds: Vec<_> = seeds.map(|host| format!("\"{host}:{}\"", ports[2])).collect();
    let started = machines.iter().zip(&hosts).map(|(machine, host)| {
        let Machine {
            name,
            zone,
            memory_mb,
            store,
        } = machine;
        let text = format!(
            r#"{{
    "instance": "{name}",
    "data_centre": "{zone}",
    "caller_address": "{host}:{}",
    "probe_address": "{host}:{}",
    "metrics_address": "{host}:{}",
    "peer_address": "{host}:{}",
    "seeds": [{}],
    "store_address": "{}",
    "max_open_files": 4100,
    "link_mbps": 1000.0,
    "memory_mb": {memory_mb},
    "bounds": {{
        "configuration_apply_ms": 2000,
        "key_withdrawal_ms": 5000,
        "shutdown_s": 8,
        "retry_share": 0.2,
        "retry_window_s": 10,
        "retry_allowance": 52
    }}
}}
"#,
            ports[0],
            ports[1],
            ports[3],
            ports[4],
            seeds.join(","),
            store,
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("a settings file");
        let address = |port: u16| format!("{host}:{port}").parse().expect("an address");
        let mut entry = Entry {
            name: (*name).to_owned(),
            caller: address(ports[0]),
            probe: address(ports[1]),
            peer: address(ports[4]),
            folder: folder.to_owned(),
            settings,
            child: None,
            starts: 0,
        };
        entry.start();
        entry
    });
    started.collect()
}

impl Entry {
    pub fn start(&mut self) {
        self.starts += 1;
        let log = self.folder.join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new("target/release/camphorwall-platform");
        command.arg("--settings").arg(&self.settings).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        self.child = command.spawn().ok();
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Memory of the process that no file backs, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Addresses to which the process has connections.
    pub fn connected_to(&self) -> Vec<SocketAddr> {
        let Some(pid) = self.pid() else {
            return Vec::new();
        };
        let files = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
        let names = files.filter_map(|file| fs::read_link(file.path()).ok());
        let own: Vec<String> = names
            .filter_map(|name| {
                let name = name.to_str()?.strip_prefix("socket:[")?;
                Some(name.trim_end_matches(']').to_owned())
            })
            .collect();
        let table = fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
        let rows = table.lines().skip(1).filter_map(|line| {
            let fields: Vec<_> = line.split_whitespace().collect();
            let (ip, port) = fields.get(2)?.split_once(':')?;
            own.contains(&(*fields.get(9)?).to_owned()).then_some(())?;
            let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
            Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
        });
        rows.collect()
    }

    /// SIGKILL, and the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| child.try_wait());
        matches!(ended, Some(Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let asked = || {
            let mut wire = Wire::connect(self.probe, Duration::from_millis(500)).ok()?;
            let timeout = Some(Duration::from_millis(500));
            wire.stream.set_read_timeout(timeout).ok()?;
            wire.send(b"GET /ready HTTP/1.1\r\nHost: probe\r\n\r\n").ok()?;
            Some(wire.head().ok()??.status() == 200)
        };
        asked() == Some(true)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
