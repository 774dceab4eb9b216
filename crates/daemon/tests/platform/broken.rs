//! Tests of replicas whose responses break off or are no HTTP, at the level of sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;
use yuccawing_platform::headers;
use yuccawing_platform_standin::config;

use crate::fleet::{Fleet, KEY, Response, accounts, receive, request, send, wait_until};

/// Largest upload of the tests, more than the buffers of a socket hold.
const MAX_UPLOAD: usize = 12 * 1024 * 1024;

/// What a replica does once it has read the head of a request.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// It begins a response without a length and resets the connection after this time, without
    /// reading the body of the request.
    CutUpload { signed: bool, pause: Duration },
    /// It sends a complete response with this status.
    Status(&'static str),
}

// A replica that answers each request alike.
struct OddReplica {
    address: SocketAddr,
    // Requests that reached it.
    seen: Arc<AtomicUsize>,
}

impl OddReplica {
    fn start(f: &Fleet, service: &str, answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(AtomicUsize::new(0));
        let count = seen.clone();
        thread::spawn(move || {
            for c in listener.incoming().flatten() {
                let count = count.clone();
                // A broken connection concerns its request only.
                thread::spawn(move || serve(c, answer, &count).ok());
            }
        });
        let out = Self { address, seen };
        out.register(f, service);
        out
    }

    fn register(&self, f: &Fleet, service: &str) {
        let mut entry = json!({
            "Service": service, "Address": self.address.to_string(), "Zone": "a", "Version": "v1",
            "Slots": 64, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": 1,
        });
        if service == config::ENGINE_SERVICE {
            let adapters = ["a1@1", "a2@1"];
            entry["Models"] = json!([{ "Name": "m", "Version": 1, "Adapters": adapters }]);
        }
        f.store.put("servers/odd", &entry);
    }
}

fn serve(mut c: TcpStream, answer: Answer, seen: &AtomicUsize) -> io::Result<()> {
    let head = read_head(&mut c)?;
    let header = |name: &str| {
        let line = head.lines().find(|l| l.to_ascii_lowercase().starts_with(name));
        line.and_then(|l| l.split_once(": ")).map(|(_, v)| v.to_owned()).unwrap_or_default()
    };
    let id = header(headers::REQUEST_ID);
    if id.is_empty() {
        // The owner reads its report.
        return c.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
    seen.fetch_add(1, Ordering::Relaxed);
    let stream = head.starts_with("POST /stream/") || head.starts_with("POST /once/");
    let kind = if stream { "text/event-stream" } else { "text/plain" };
    let mut out = format!("{}: {id}\r\nContent-Type: {kind}\r\n", headers::REQUEST_ID);
    let part = if stream { "id: 1\ndata: one\n\n" } else { "part of the body" };
    match answer {
        Answer::CutUpload { signed, pause } => {
            if signed {
                out.push_str(&format!("{}: seal\r\n", headers::SEAL));
            }
            c.write_all(format!("HTTP/1.1 200 OK\r\n{out}\r\n{part}").as_bytes())?;
            thread::sleep(pause);
            // Closing with unread bytes resets the connection.
            Ok(())
        }
        Answer::Status(status) => {
            let length: usize = header("content-length").parse().unwrap_or(0);
            c.read_exact(&mut vec![0; length])?;
            out.push_str(&format!("{}: seal\r\n", headers::SEAL));
            let text =
                format!("HTTP/1.1 {status} X\r\n{out}Content-Length: {}\r\n\r\n{part}", part.len());
            c.write_all(text.as_bytes())
        }
    }
}

fn read_head(c: &mut TcpStream) -> io::Result<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        c.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

// A host whose only replica of both services is an odd one.
fn fleet(service: &str, answer: Answer) -> (Fleet, OddReplica) {
    let mut f = Fleet::start_unconfigured(1, 0, 0);
    let mut c = config::config(1, &accounts());
    c["Limits"]["MaxBodyBytes"] = json!(2 * MAX_UPLOAD);
    f.store.put("op/config", &c);
    let replica = OddReplica::start(&f, service, answer);
    f.wait_ready();
    wait_until(Duration::from_secs(5), "the replica is not used", || {
        f.log_lines(0).iter().any(|l| l["name"] == "ReplicaJoined")
    });
    (f, replica)
}

fn upload(f: &Fleet, path: &str, id: &str, bytes: usize) -> Response {
    let (_, fields) = request(path, id, Some(KEY));
    let mut c = f.connect(0);
    send(&mut c, "POST", path, &fields, &vec![b'x'; bytes]).unwrap();
    receive(&mut c).unwrap_or_default()
}

fn cut_uploads(service: &str, paths: &[&str]) {
    let mut reached = 0;
    for signed in [true, false] {
        for pause in [0, 30, 300].map(Duration::from_millis) {
            let (f, replica) = fleet(service, Answer::CutUpload { signed, pause });
            for path in paths {
                for bytes in [10, 200_000, MAX_UPLOAD] {
                    let id = format!("{bytes}{}", path.replace('/', "-"));
                    let r = upload(&f, path, &id, bytes);
                    let whole = (200..300).contains(&r.status) && r.complete;
                    let refused = [408, 421, 429, 503].contains(&r.status);
                    let seen = replica.seen.swap(0, Ordering::Relaxed);
                    reached += usize::from(seen > 0);
                    assert!(!whole, "{id} signed {signed} after {pause:?}: {r:?}");
                    // It may have run, unless it has reached no replica.
                    assert!(!refused || seen == 0, "{id} signed {signed} after {pause:?}: {r:?}");
                    assert!(
                        seen <= 1 || !(path.starts_with("/unsafe") || path.starts_with("/once")),
                        "{id}: sent {seen} times"
                    );
                }
            }
        }
    }
    // The replica is avoided for a moment after some of the cuts.
    assert!(reached >= 2 * paths.len(), "the replica was reached {reached} times only");
}

cases! {
    // Guards against a response that breaks off while its request is still being written, and whose
    // part reaches the caller as a complete response.
    a_response_cut_during_an_upload_is_not_complete: {
        cut_uploads(config::PLAIN_SERVICE, &["/unsafe/1", "/safe/1"]);
    }
    // As above, for a stream.
    a_stream_cut_during_an_upload_is_not_complete: {
        cut_uploads(config::ENGINE_SERVICE, &["/once/a1", "/stream/a1"]);
    }
    // Guards against a status that HTTP does not have and that reaches the caller as a response, and
    // against a request that may have run and is sent again.
    a_status_outside_http_is_no_response: {
        for status in ["000", "099", "101", "600", "999", "0200", "2000", "20", "abc"] {
            let (f, replica) = fleet(config::PLAIN_SERVICE, Answer::Status(status));
            let r = upload(&f, "/unsafe/1", &format!("once-{status}"), 10);
            assert_eq!((r.status, replica.seen.load(Ordering::Relaxed)), (502, 1), "{status}: {r:?}");
            assert!(!r.headers.contains_key(headers::SEAL), "{status}: {r:?}");
            let r = upload(&f, "/safe/1", &format!("safe-{status}"), 10);
            assert!([502, 503, 504].contains(&r.status), "{status}: {r:?}");
        }
    }
    a_stream_with_a_status_outside_http_is_no_response: {
        for status in ["000", "600", "999"] {
            let (f, _replica) = fleet(config::ENGINE_SERVICE, Answer::Status(status));
            let r = upload(&f, "/once/a1", &format!("once-{status}"), 10);
            assert_eq!(r.status, 502, "{status}: {r:?}");
        }
    }
}
