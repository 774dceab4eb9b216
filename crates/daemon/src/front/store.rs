//! Polls the platform's store with linearizable reads. A watch would not do: one that delivers
//! nothing does not prove that nothing changed, and keys are accepted only while the last read is
//! recent. The watch is used for the history of changes only.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use slog::{Logger, kv};
use yuccawing_core::{fleet::history::Position, time::Tick};
use yuccawing_platform::{
    headers::{self, EraHeader},
    store::{self, Change, Changes, Item, Page},
};

use super::{
    client::{CallError, Client},
    clock,
};
use crate::events::{Event, emit};

/// Timeout of the read of one page. While the store is slow, a read takes about 250 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest page in bytes: the pages hold about 1 MB of values, and base64 adds a third.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Largest number of items of one listing, which bounds memory to some 20 MB: four times as many as
/// the replicas of the design size, and twice as many as its adapters. A page may hold few items, so
/// their number says nothing.
const MAX_ITEMS: usize = 50_000;

/// Number of changes in a response up to which it has reached the newest one: the store may send many
/// changes in parts, and further ones come while they are read.
const LAST_CHANGES: usize = 16;

/// Why a read of the store failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The HTTP call failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The store responded with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The response cannot be decoded.
    #[error("{0}")]
    Decode(#[from] store::Error),
    /// The header that states the era cannot be parsed, so the items have no known age.
    #[error("the era is no number")]
    Era,
    /// The store was restored between two pages.
    #[error("the pages are of eras {0} and {1}")]
    MixedEras(u64, u64),
    /// A response with changes ends where the read began.
    #[error("no changes after revision {0}")]
    NoProgress(u64),
    /// The listing has more items than a host keeps.
    #[error("more than {MAX_ITEMS} items")]
    TooManyItems,
}

/// Items of one read of the store.
#[derive(Debug)]
pub struct Listing {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Position of the store at the time of the last page.
    pub position: Position,
    /// Whether further items follow.
    pub more: bool,
}

/// Reads one page of the items under `prefix` that sort after the key `after`.
///
/// # Errors
///
/// Returns an error if the store does not respond, responds with an error, or sends what cannot be
/// decoded.
pub async fn read_page(
    client: &Client,
    address: SocketAddr,
    prefix: &str,
    after: Option<&str>,
) -> Result<Listing, Error> {
    let (body, era) = get(client, address, store::range_path(prefix, after)).await?;
    let page = Page::decode(&body)?;
    let more = page.more && !page.items.is_empty();
    Ok(Listing { items: page.items, position: Position { era, revision: page.revision }, more })
}

// Body of the response to a read of `path`, with the era of the store.
async fn get(client: &Client, address: SocketAddr, path: String) -> Result<(Bytes, u64), Error> {
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(CallError::Invalid)?;
    let response = client.call(address, request, READ_TIMEOUT, MAX_PAGE_BYTES).await?;
    if response.status().as_u16() != 200 {
        return Err(Error::Status(response.status().as_u16()));
    }
    let era = response.headers().get(headers::STORE_ERA).map(|v| v.as_bytes());
    let era = match headers::parse_era(era) {
        EraHeader::Absent => 0,
        EraHeader::Era(era) => era,
        EraHeader::Invalid => return Err(Error::Era),
    };
    Ok((response.into_body(), era))
}

/// Reads the changes of the items under `prefix` after a position, up to now.
///
/// # Errors
///
/// As [`read`]. The status is 410 if the store's history does not go back that far.
pub async fn read_changes(
    client: &Client,
    address: SocketAddr,
    prefix: &str,
    after: Position,
) -> Result<Vec<Change>, Error> {
    let mut out = Vec::new();
    let mut from = after.revision;
    loop {
        let (body, era) = get(client, address, store::changes_path(prefix, from)).await?;
        if era != after.era {
            return Err(Error::MixedEras(after.era, era));
        }
        let page = Changes::decode(&body)?;
        if out.len() + page.changes.len() > MAX_ITEMS {
            return Err(Error::TooManyItems);
        }
        let is_last = page.changes.len() <= LAST_CHANGES;
        out.extend(page.changes);
        if is_last {
            return Ok(out);
        }
        if page.revision <= from {
            return Err(Error::NoProgress(from));
        }
        from = page.revision;
    }
}

/// Reads all items under `prefix`.
///
/// # Errors
///
/// As [`read_page`], and if there are too many items or the store was restored between two pages.
pub async fn read(client: Rc<Client>, address: SocketAddr, prefix: &str) -> Result<Listing, Error> {
    let (listing, error) = read_from(client, address, prefix, None).await;
    error.map_or(Ok(listing), Err)
}

/// Reads all items under `prefix` that sort after the key `after`. Returns what was read before an
/// error as well.
pub async fn read_from(
    client: Rc<Client>,
    address: SocketAddr,
    prefix: &str,
    after: Option<String>,
) -> (Listing, Option<Error>) {
    let mut out = Listing { items: Vec::new(), position: Position::default(), more: true };
    while out.more {
        let last = out.items.last().map(|i| i.key.as_str()).or(after.as_deref());
        let page = match read_page(&client, address, prefix, last).await {
            Ok(page) => page,
            Err(e) => return (out, Some(e)),
        };
        let era = out.position.era;
        if !out.items.is_empty() && page.position.era != era {
            return (out, Some(Error::MixedEras(era, page.position.era)));
        }
        if out.items.len() + page.items.len() > MAX_ITEMS {
            return (out, Some(Error::TooManyItems));
        }
        out.items.extend(page.items);
        (out.position, out.more) = (page.position, page.more);
    }
    (out, None)
}

/// Logs the start and the end of a store outage instead of each failed read.
#[derive(Debug)]
pub struct OutageLog {
    prefix: &'static str,
    since: Option<Tick>,
}

impl OutageLog {
    /// Starts without an outage. `prefix` names the reads in the log.
    pub fn new(prefix: &'static str) -> Self {
        Self { prefix, since: None }
    }

    /// Records the outcome of the read that was sent at `sent_at`.
    pub fn record(&mut self, log: &Logger, sent_at: Tick, read: Result<Position, &Error>) {
        match (read, self.since) {
            (Err(e), None) => {
                self.since = Some(sent_at);
                emit(log, Event::StoreLost, &kv!("read" => self.prefix, "error" => e.to_string()));
            }
            (Ok(Position { era, revision }), Some(since)) => {
                self.since = None;
                let lost = clock::now().since(since).as_millis() as u64;
                let fields = kv!(
                    "read" => self.prefix, "lost_ms" => lost, "era" => era, "revision" => revision,
                );
                emit(log, Event::StoreBack, &fields);
            }
            _ => {}
        }
    }
}
