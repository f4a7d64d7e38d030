//! Stand-ins of replicas, each with a listener of its own.

use std::{
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read_request, write_message},
    sleep_ms,
    store::Store,
};

/// One start of a replica.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    lives: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// What a replica does with a request that is meant for it; returns whether the connection may serve another one.
pub type Handler =
    Arc<dyn Fn(&Replica, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

impl Replica {
    /// Starts a replica and registers it in the store. The stage is that of a model's replica.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        stage: Option<&str>,
        handler: Handler,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            lives: AtomicBool::new(true),
            connections: Mutex::default(),
        });
        let serving = Arc::clone(&replica);
        std::thread::spawn(move || {
            // The listener closes within a millisecond of a crash.
            while serving.lives() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (replica, handler) = (Arc::clone(&serving), Arc::clone(&handler));
                        std::thread::spawn(move || replica.serve(stream, &handler));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        replica.register(store, service, stage, "ready");
        Ok(replica)
    }

    pub fn register(&self, store: &Store, service: &str, stage: Option<&str>, state: &str) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let address = self.address;
        let model = stage.map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        let value = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"piraeus","version":"v1","slots":12,"state":"{state}","cold_remaining_ms":0,"seq":1,"born":{born}{model}}}"#
        );
        store.put(&self.key(), &value);
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn lives(&self) -> bool {
        self.lives.load(Ordering::SeqCst)
    }

    /// Ends the replica as a crash of its process does: its listener and all its connections are closed.
    pub fn crash(&self) {
        self.lives.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(clone) = stream.try_clone() {
            self.connections.lock().expect("connections").push(clone);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            if !self.lives() {
                return;
            }
            let stream = reader.get_mut();
            let target = request.field("target-instance");
            let served = if target.is_some_and(|target| target != self.id) {
                let fields = [("Instance-Id", self.id.as_str()), ("Not-Executed", "1")];
                write_message(stream, "HTTP/1.1 421 Misdirected Request", &fields, b"")
                    .map(|()| true)
            } else {
                handler(self, &request, stream)
            };
            if !served.unwrap_or(false) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
