//! Readers of the platform's store. They poll with linearizable reads: a watch that hears nothing
//! proves nothing, and the age of the last read is what keyed requests depend on.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use actix::{Addr, Message};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use slog::{Logger, kv};
use tokio_util::sync::CancellationToken;
use yuccawing_core::{
    fleet::inventory::{Entry, Inventory, VersionMark},
    time::Tick,
};
use yuccawing_platform::store::{self, Content, Item, Page};

use super::{
    client::{Client, Fault},
    clock,
    control::Control,
};
use crate::events::{Event, emit};

/// Time between two reads of the same prefix. Changes must be in force within two seconds, so two
/// reads may fail.
const POLL: Duration = Duration::from_millis(600);

/// Time for one read. Slow phases of the store take about 250 ms.
const READ: Duration = Duration::from_millis(900);

/// Largest page: the platform's pages hold about 1 MB of values, a third more as base64.
const MAX_PAGE: usize = 4 * 1024 * 1024;

/// Pages of one listing: 16 of 500 items.
const MAX_PAGES: usize = 16;

/// What was read of the operator's keys.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Operator {
    /// When the read was sent.
    pub asked: Tick,
    /// The store's revision.
    pub revision: u64,
    /// The configuration, if it changed.
    pub inventory: Option<Box<Inventory>>,
    /// Versions of adapters, if any changed.
    pub versions: Vec<VersionMark>,
}

/// The replicas' entries.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Listing {
    /// When the read was sent.
    pub asked: Tick,
    /// The store's revision.
    pub revision: u64,
    /// All entries that can be read.
    pub entries: Vec<Entry>,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}")]
    Fault(#[from] Fault),
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Decode(#[from] store::Error),
    #[error("more than {MAX_PAGES} pages")]
    Pages,
}

/// Reads one prefix over and over.
pub struct Reader {
    /// Address of the store.
    pub address: SocketAddr,
    /// Connections.
    pub client: Rc<Client>,
    /// Where the results go.
    pub control: Addr<Control>,
    /// Log.
    pub log: Logger,
    /// Ends the reader.
    pub stop: CancellationToken,
}

impl Reader {
    /// Reads the operator's keys until the host stops.
    pub async fn operator(self) {
        // Revisions that were passed on. Pages are no snapshot, so one number for all would miss a
        // change behind the page that was read last.
        let mut seen: HashMap<String, u64> = HashMap::new();
        let mut health = Health::new("operator");
        while !self.stop.is_cancelled() {
            let asked = clock::now();
            let read = self.read(store::OPERATOR).await;
            health.note(&self.log, asked, read.as_ref().err());
            if let Ok((items, revision)) = read {
                let mut out = Operator { asked, revision, inventory: None, versions: Vec::new() };
                for item in items {
                    if seen.get(&item.key).is_some_and(|r| *r >= item.revision) {
                        continue;
                    }
                    match self.content(&item) {
                        Some(Content::Inventory(i)) => out.inventory = Some(i),
                        Some(Content::Version(v)) => out.versions.push(v),
                        _ => {}
                    }
                    seen.insert(item.key, item.revision);
                }
                self.control.do_send(out);
            }
            self.pause(asked).await;
        }
    }

    /// Reads the replicas' entries until the host stops.
    pub async fn replicas(self) {
        let mut health = Health::new("replicas");
        while !self.stop.is_cancelled() {
            let asked = clock::now();
            let read = self.read(store::REPLICAS).await;
            health.note(&self.log, asked, read.as_ref().err());
            if let Ok((items, revision)) = read {
                let entries = items.iter().filter_map(|i| match self.content(i) {
                    Some(Content::Replica(e)) => Some(e),
                    _ => None,
                });
                self.control.do_send(Listing { asked, revision, entries: entries.collect() });
            }
            self.pause(asked).await;
        }
    }

    async fn pause(&self, asked: Tick) {
        let rest = POLL.saturating_sub(clock::now().since(asked));
        let _ = self.stop.run_until_cancelled(tokio::time::sleep(rest)).await;
    }

    fn content(&self, item: &Item) -> Option<Content> {
        item.content()
            .inspect_err(|e| {
                emit(&self.log, Event::ItemInvalid, &kv!("error" => e.to_string()));
            })
            .ok()
    }

    async fn read(&self, prefix: &str) -> Result<(Vec<Item>, u64), Error> {
        let mut items: Vec<Item> = Vec::new();
        for _ in 0..MAX_PAGES {
            let path = store::range(prefix, items.last().map(|i| i.key.as_str()));
            let request = Request::get(path)
                .header("host", self.address.to_string())
                .body(Full::new(Bytes::new()))
                .expect("the path is escaped");
            let (status, body) = self.client.call(self.address, request, READ, MAX_PAGE).await?;
            if status != 200 {
                return Err(Error::Status(status));
            }
            let page = Page::decode(&body)?;
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok((items, page.revision));
            }
        }
        Err(Error::Pages)
    }
}

/// Logs when reads begin to fail and when they work again, not each failure.
struct Health {
    what: &'static str,
    lost: Option<Tick>,
}

impl Health {
    fn new(what: &'static str) -> Self {
        Self { what, lost: None }
    }

    fn note(&mut self, log: &Logger, asked: Tick, error: Option<&Error>) {
        match (error, self.lost) {
            (Some(e), None) => {
                self.lost = Some(asked);
                emit(log, Event::StoreLost, &kv!("read" => self.what, "error" => e.to_string()));
            }
            (None, Some(since)) => {
                self.lost = None;
                let lost = clock::now().since(since).as_millis() as u64;
                emit(log, Event::StoreBack, &kv!("read" => self.what, "lost_ms" => lost));
            }
            _ => {}
        }
    }
}
