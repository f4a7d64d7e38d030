//! Starts what a case needs as processes of its own: entries with the program of the deploy file, and replicas.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// The record of a case: what was sent, answered and run, with the time since the case began.
#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn note(&self, text: &str) {
        let time = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{time:8.3} s  {text}");
    }
}

/// A folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("camphorwall-review-3-{}", std::process::id());
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

/// A loopback address of its own for each entry, as the ports of all are the same.
fn entry_ip(number: usize) -> String {
    let id = std::process::id();
    format!(
        "127.{}.{}.{}",
        10 + id / 200 % 100,
        10 + id % 200,
        10 + number
    )
}

/// Ports that are free at the addresses of a number of entries.
pub struct Ports([u16; 4]);

impl Ports {
    pub fn find(entries: usize) -> io::Result<Self> {
        let mut ports = [0; 4];
        let mut held = Vec::new();
        for port in &mut ports {
            let mut listeners = vec![TcpListener::bind((entry_ip(0), 0))?];
            *port = listeners[0].local_addr()?.port();
            for number in 1..entries {
                listeners.push(TcpListener::bind((entry_ip(number), *port))?);
            }
            held.push(listeners);
        }
        Ok(Self(ports))
    }
}

/// An entry: the program of the deploy file in a process of its own.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    probes: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Entry {
    /// Starts an entry with what `deploy/entry.jsonc` makes of the settings of a small deployment.
    pub fn start(
        folder: &Folder,
        ports: &Ports,
        number: usize,
        entries: usize,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ip = entry_ip(number);
        let [callers, probes, metrics, peers] = ports.0;
        let seeds: Vec<_> = (0..entries.min(3))
            .map(|number| format!("\"{}:{peers}\"", entry_ip(number)))
            .collect();
        let (name, seeds) = (format!("front-{number}"), seeds.join(","));
        let zone = ["north", "south"][number % 2];
        let settings = format!(
            r#"{{
    "instance": "{name}",
    "data_centre": "{zone}",
    "region": "here",
    "data_centres": {{ "north": "here", "south": "here" }},
    "caller_address": "{ip}:{callers}",
    "probe_address": "{ip}:{probes}",
    "metrics_address": "{ip}:{metrics}",
    "peer_address": "{ip}:{peers}",
    "seeds": [{seeds}],
    "store_address": "{store}",
    "max_open_files": 4100,
    "link_mbps": 1000.0,
    "memory_mb": 260,
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
        let path = folder.0.join(format!("{name}.jsonc"));
        fs::write(&path, settings)?;
        let log = folder.0.join(format!("{name}.log"));
        let address = |port| format!("{ip}:{port}").parse().expect("an address");
        Ok(Self {
            child: spawn_entry(&path, &log)?,
            name,
            callers: address(callers),
            probes: address(probes),
            settings: path,
            log,
        })
    }

    /// Whether the entry says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::call(self.probes, request, Duration::from_secs(1)).status() == 200
    }

    /// Waits until the entry says that it is ready.
    pub fn await_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        Err(format!(
            "{} isn't ready within 10 s; its log:\n{log}",
            self.name
        ))
    }

    /// Kills the process and starts it again, as the platform does after a kill.
    pub fn kill_and_restart(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = spawn_entry(&self.settings, &self.log)?;
        Ok(())
    }

    /// Copies the log to the record's folder.
    pub fn keep_log(&self, folder: &Path) {
        let _ = fs::copy(&self.log, folder.join(format!("{}.log", self.name)));
    }
}

fn spawn_entry(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/camphorwall-platform")
        .arg("--settings")
        .arg(settings)
        .env("CAMPHORWALL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A replica in a process of its own; its lines go to the record, and to a handler.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
}

impl Replica {
    pub fn start(
        id: &str,
        behaviour: &[&str],
        record: &Record,
        note_line: impl Fn(&str, &str) + Send + 'static,
    ) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("replica")
            .args(behaviour)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().expect("it is piped"));
        let mut address = String::new();
        lines.read_line(&mut address)?;
        let address = address.trim().parse().map_err(io::Error::other)?;
        let (record, name) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                record.note(&format!("{name}  {line}"));
                note_line(&name, &line);
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            child,
        })
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// What the replica writes to the store.
    pub fn registration(&self, service: &str, stage: Option<&str>, slots: u32) -> String {
        let stage = stage.map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"north","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"seq":1,"born":1765000000000{stage}}}"#,
            self.address
        )
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}
