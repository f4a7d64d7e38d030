//! A replica, in a process of its own. It prints its address, then a line for each thing that it does.

use std::{
    io::{self, Write},
    net::{TcpListener, TcpStream},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::Duration,
};

use crate::http::{Head, read_request};

/// Number of events of each stream.
pub const EVENTS: u32 = 10;

/// Time for which an order runs.
const ORDER_TIME: Duration = Duration::from_millis(40);

/// Time that the tokens of one event take.
const EVENT_TIME: Duration = Duration::from_millis(40);

/// Pause in the middle of the sixth event of a run that begins with the first.
const HALFWAY_PAUSE: Duration = Duration::from_millis(400);

/// Time for which a run that goes on after an event reads the prompt again, after the head of its answer.
const READING_TIME: Duration = Duration::from_millis(400);

/// How a replica answers orders that it has run.
#[derive(Clone, Copy)]
enum Mood {
    Sound,
    /// Answers two of five with a failure of its own.
    Failures,
    /// The same, with a signature.
    SignedFailures,
}

/// How the end of an answer is known.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

/// How a replica runs streams.
#[derive(Clone)]
struct Streams {
    framing: Framing,
    weights: u32,
    /// Part of a prompt on which the process ends after the first event of the answer.
    harmful_part: Option<String>,
}

/// What a replica does with requests.
#[derive(Clone)]
enum Behaviour {
    /// Runs an order.
    Orders(Mood),
    /// Runs a stream.
    Streams(Streams),
}

pub fn run(arguments: &[String]) -> io::Result<()> {
    let words: Vec<_> = arguments.iter().map(String::as_str).collect();
    let behaviour = match words[..] {
        ["orders", mood] => Behaviour::Orders(match mood {
            "failures" => Mood::Failures,
            "signed-failures" => Mood::SignedFailures,
            _ => Mood::Sound,
        }),
        ["streams", framing, weights, harmful_part] => Behaviour::Streams(Streams {
            framing: match framing {
                "length" => Framing::Length,
                "chunks" => Framing::Chunks,
                _ => Framing::Connection,
            },
            weights: weights.parse().map_err(io::Error::other)?,
            harmful_part: Some(harmful_part.to_owned()).filter(|part| part != "none"),
        }),
        _ => return Err(io::Error::other("unknown behaviour")),
    };
    let listener = TcpListener::bind("127.0.0.1:0")?;
    say(&listener.local_addr()?.to_string());
    for stream in listener.incoming().flatten() {
        let behaviour = behaviour.clone();
        // A caller that has left ends the work for it.
        thread::spawn(move || serve(stream, &behaviour));
    }
    Ok(())
}

fn say(line: &str) {
    let mut output = io::stdout().lock();
    let _ = writeln!(output, "{line}").and_then(|()| output.flush());
}

fn serve(mut stream: TcpStream, behaviour: &Behaviour) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (head, body) = read_request(&mut stream)?;
    let id = head.get("request-id").unwrap_or("none").to_owned();
    match behaviour {
        Behaviour::Orders(mood) => serve_order(stream, &id, &body, *mood),
        Behaviour::Streams(streams) => serve_stream(stream, &head, &id, streams),
    }
}

fn serve_order(mut stream: TcpStream, id: &str, body: &[u8], mood: Mood) -> io::Result<()> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let order = String::from_utf8_lossy(body).into_owned();
    thread::sleep(ORDER_TIME);
    say(&format!("ran {id} {order}"));
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let signature = "Server-Signature: 3e1b.07\r\n";
    let is_failure = matches!(number % 5, 1 | 3);
    let (status, signature) = match mood {
        Mood::Failures if is_failure => ("503 Service Unavailable", ""),
        Mood::SignedFailures if is_failure => ("503 Service Unavailable", signature),
        _ => ("200 OK", signature),
    };
    let text = if status.starts_with('2') {
        "done"
    } else {
        "no ledger"
    };
    let length = text.len();
    let answer = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{signature}Content-Length: {length}\r\n\r\n{text}"
    );
    stream.write_all(answer.as_bytes())
}

/// One event; the first one of other weights says so in its first line.
fn event(number: u32, new_weights: Option<u32>) -> String {
    let weights = new_weights.map_or(String::new(), |weights| {
        format!("weight-versions: {weights}\n")
    });
    format!("{weights}id: {number}\ndata: token {number} of the answer\n\n")
}

/// Writes a part of an answer's body.
fn write_part(stream: &mut TcpStream, framing: Framing, part: &[u8]) -> io::Result<()> {
    if framing != Framing::Chunks {
        return stream.write_all(part);
    }
    let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
    chunk.extend_from_slice(part);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}

fn serve_stream(mut stream: TcpStream, head: &Head, id: &str, streams: &Streams) -> io::Result<()> {
    let (framing, weights) = (streams.framing, streams.weights);
    let after = head
        .get("last-event-id")
        .and_then(|text| text.parse::<u32>().ok());
    let first = after.map_or(1, |after| after + 1);
    let is_resumed = after.is_some();
    let prompt = head.get("prompt-prefix").unwrap_or_default();
    let is_harmful = streams
        .harmful_part
        .as_ref()
        .is_some_and(|part| prompt.contains(part.as_str()));
    let text = |number| event(number, (is_resumed && number == first).then_some(weights));
    let length: usize = (first..=EVENTS).map(|number| text(number).len()).sum();
    let framing_field = match framing {
        Framing::Length => format!("Content-Length: {length}\r\n"),
        Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::Connection => String::new(),
    };
    say(&format!("runs {id} from event {first}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: 3e1b.07\r\nContent-Type: text/event-stream\r\n\
         Weight-Versions: {weights}\r\n{framing_field}\r\n"
    );
    stream.write_all(head.as_bytes())?;
    if is_resumed {
        say(&format!("reads {id}"));
        thread::sleep(READING_TIME);
    }
    for number in first..=EVENTS {
        thread::sleep(EVENT_TIME);
        let text = text(number);
        let (start, end) = text.as_bytes().split_at(text.len() / 2);
        write_part(&mut stream, framing, start)?;
        if number == 6 && !is_resumed {
            say(&format!("halfway {id}"));
            thread::sleep(HALFWAY_PAUSE);
        }
        write_part(&mut stream, framing, end)?;
        if is_harmful {
            say(&format!("crashes on {id}"));
            std::process::exit(1);
        }
    }
    if framing == Framing::Chunks {
        stream.write_all(b"0\r\n\r\n")?;
    }
    say(&format!("ended {id}"));
    Ok(())
}
