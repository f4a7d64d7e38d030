//! Entries, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
    time::{Duration, Instant},
};

use crate::{http::Client, sleep_ms};

/// A folder of the case's own for settings and logs; removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> io::Result<Self> {
        let name = format!("camphorwall-case-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One machine of the small deployment: 110 MB, 4,100 descriptors, 1,000 Mbit/s.
pub struct Entry {
    pub name: String,
    pub caller: SocketAddr,
    pub probe: SocketAddr,
    child: Child,
}

fn free_port(address: IpAddr) -> io::Result<u16> {
    Ok(TcpListener::bind((address, 0))?.local_addr()?.port())
}

/// Zones of the small deployment, with the machines of each.
const ZONES: [&str; 4] = ["marousi", "piraeus", "piraeus", "kifisia"];

/// Starts up to four entries, each on a loopback address of its own, and waits until they are ready.
pub fn start(folder: &Path, store: SocketAddr, count: u8) -> Result<Vec<Entry>, String> {
    let ip = |number: u8| IpAddr::V4(Ipv4Addr::new(127, 0, 7, 1 + number));
    let peer_port = free_port(ip(0)).map_err(|error| error.to_string())?;
    let seeds: Vec<_> = (0..count.min(3))
        .map(|number| format!("\"{}:1\"", ip(number)))
        .collect();
    let mut entries = Vec::new();
    for number in 0..count {
        let address = ip(number);
        let entry = start_one(folder, store, number, address, peer_port, &seeds.join(","));
        entries.push(entry.map_err(|error| format!("entry {number}: {error}"))?);
    }
    let until = Instant::now() + Duration::from_secs(10);
    for entry in &mut entries {
        while !entry.is_ready() {
            if Instant::now() > until {
                return Err(format!("{} is not ready", entry.name));
            }
            sleep_ms(50);
        }
    }
    Ok(entries)
}

fn start_one(
    folder: &Path,
    store: SocketAddr,
    number: u8,
    ip: IpAddr,
    peer_port: u16,
    seeds: &str,
) -> io::Result<Entry> {
    let zone = ZONES[usize::from(number)];
    let name = format!("front-{zone}-{number}");
    let caller = SocketAddr::new(ip, free_port(ip)?);
    let probe = SocketAddr::new(ip, free_port(ip)?);
    let metrics = SocketAddr::new(ip, free_port(ip)?);
    let settings = format!(
        r#"{{
    "instance": "{name}",
    "data_centre": "{zone}",
    "region": "attica",
    "data_centres": {{ "marousi": "attica", "piraeus": "attica", "kifisia": "attica" }},
    "caller_address": "{caller}",
    "probe_address": "{probe}",
    "metrics_address": "{metrics}",
    "peer_address": "{ip}:{peer_port}",
    "seeds": [{seeds}],
    "store_address": "{store}",
    "max_open_files": 4100,
    "link_mbps": 1000.0,
    "memory_mb": 110,
    "bounds": {{
        "configuration_apply_ms": 2000,
        "key_withdrawal_ms": 5000,
        "shutdown_s": 8,
        "retry_share": 0.2,
        "retry_window_s": 10,
        "retry_allowance": 52
    }}
}}
"#
    );
    let path = folder.join(format!("{name}.json"));
    fs::write(&path, settings)?;
    let log = File::create(folder.join(format!("{name}.log")))?;
    let child = Command::new("target/release/camphorwall-platform")
        .arg("--settings")
        .arg(&path)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Entry {
        name,
        caller,
        probe,
        child,
    })
}

impl Entry {
    pub fn is_ready(&mut self) -> bool {
        let Ok(mut client) = Client::connect(self.probe) else {
            return false;
        };
        let answer = client.call("GET /ready HTTP/1.1", &[("Host", "probe")], b"");
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal by name to this process.
    pub fn signal(&self, signal: &str) -> Result<(), String> {
        let command = format!("kill -{signal} {}", self.child.id());
        let status = Command::new("sh").arg("-c").arg(command).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("kill -{signal} failed: {other:?}")),
        }
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
