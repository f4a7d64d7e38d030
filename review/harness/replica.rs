//! Stand-ins of replicas, which a case can crash and start again.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Head, Wire},
    store::Store,
};

/// A request at a replica.
pub struct Request {
    pub method: String,
    pub target: String,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        self.head.field(name).unwrap_or_default()
    }
}

/// Answers one request; `false` ends the connection.
pub type Handler = Box<dyn Fn(&Arc<Replica>, &Request, &mut Wire) -> bool + Send + Sync>;

/// What a replica is and where.
#[derive(Clone)]
pub struct Place {
    pub service: &'static str,
    pub stage: Option<&'static str>,
    pub zone: &'static str,
    pub slots: u32,
}

/// A replica of a service.
pub struct Replica {
    pub address: SocketAddr,
    pub place: Place,
    /// Requests that run now.
    pub running: AtomicU32,
    pub crashes: AtomicU32,
    id: Mutex<String>,
    lives: Arc<Mutex<Arc<AtomicBool>>>,
    connections: Mutex<Vec<TcpStream>>,
    store: Arc<Store>,
    handler: Handler,
}

impl Replica {
    pub fn start(host: &str, place: Place, store: &Arc<Store>, handler: Handler) -> Arc<Self> {
        let listener = TcpListener::bind((host, 0)).expect("a port for a replica");
        let replica = Arc::new(Self {
            address: listener.local_addr().expect("its address"),
            place,
            running: AtomicU32::new(0),
            crashes: AtomicU32::new(0),
            id: Mutex::default(),
            lives: Arc::default(),
            connections: Mutex::default(),
            store: Arc::clone(store),
            handler,
        });
        replica.begin(listener);
        replica
    }

    pub fn id(&self) -> String {
        self.id.lock().unwrap().clone()
    }

    /// Starts an incarnation and registers it.
    fn begin(self: &Arc<Self>, listener: TcpListener) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let id = format!("i-{:x}-{:x}", self.address.port(), born & 0xff_ffff);
        *self.id.lock().unwrap() = id.clone();
        let lives = Arc::new(AtomicBool::new(true));
        *self.lives.lock().unwrap() = Arc::clone(&lives);
        let Place {
            service,
            stage,
            zone,
            slots,
        } = &self.place;
        let address = self.address;
        let stage = stage.map(|stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        let stage = stage.unwrap_or_default();
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"seq":1,"born":{born}{stage}}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
        listener.set_nonblocking(true).expect("a listener");
        let replica = Arc::clone(self);
        thread::spawn(move || {
            while lives.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    let mut connections = replica.connections.lock().unwrap();
                    connections.push(copy);
                    if connections.len() > 256 {
                        connections.retain(|one| one.peer_addr().is_ok());
                    }
                }
                let (replica, lives) = (Arc::clone(&replica), Arc::clone(&lives));
                thread::spawn(move || replica.serve(stream, &lives));
            }
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, lives: &AtomicBool) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let Ok(body) = wire.body(&head, false) else {
                return;
            };
            let (method, target) = head.request();
            let request = Request {
                method,
                target,
                head,
                body,
            };
            if !lives.load(Ordering::SeqCst) || !(self.handler)(self, &request, &mut wire) {
                return;
            }
        }
    }

    /// Ends the incarnation for good.
    pub fn exit(&self) {
        self.lives.lock().unwrap().store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Ends the incarnation at once: its connections break and new ones are refused. It is back, under a new id, after a
    /// pause; its entry in the store goes after three heartbeat intervals of silence.
    pub fn crash(self: &Arc<Self>, back_after: Duration) {
        let lives = Arc::clone(&self.lives.lock().unwrap());
        if !lives.swap(false, Ordering::SeqCst) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let (replica, id) = (Arc::clone(self), self.id());
        let silent = Arc::clone(self);
        let expired = id.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * 1_200));
            silent.store.remove(&format!("servers/{expired}"));
        });
        thread::spawn(move || {
            thread::sleep(back_after);
            let listener = loop {
                match TcpListener::bind(replica.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            replica.begin(listener);
        });
    }
}
