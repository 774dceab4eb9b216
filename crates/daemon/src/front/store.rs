//! Polls the platform's store with linearizable reads. A watch would not do: one that delivers
//! nothing does not prove that nothing changed, and keys are accepted only while the last read is
//! recent.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use slog::{Logger, kv};
use yuccawing_core::time::Tick;
use yuccawing_platform::store::{self, Item, Page};

use super::{
    client::{CallError, Client},
    clock,
};
use crate::events::{Event, emit};

/// Timeout of the read of one page. While the store is slow, a read takes about 250 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest page in bytes: the pages hold about 1 MB of values, and base64 adds a third.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Largest number of pages of one listing: 16 pages of 500 items.
const MAX_PAGES: usize = 16;

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
    /// The listing has more pages than expected.
    #[error("more than {MAX_PAGES} pages")]
    TooManyPages,
}

/// Reads all items under `prefix`. Returns them with the revision of the store.
///
/// # Errors
///
/// Returns an error if the store does not respond, responds with an error, or sends what cannot be
/// decoded.
pub async fn read(
    client: Rc<Client>,
    address: SocketAddr,
    prefix: &str,
) -> Result<(Vec<Item>, u64), Error> {
    let mut items: Vec<Item> = Vec::new();
    for _ in 0..MAX_PAGES {
        let path = store::range_path(prefix, items.last().map(|i| i.key.as_str()));
        let request = Request::get(path)
            .header("host", address.to_string())
            .body(Full::new(Bytes::new()))
            .expect("the path is escaped");
        let (status, body) = client.call(address, request, READ_TIMEOUT, MAX_PAGE_BYTES).await?;
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
    Err(Error::TooManyPages)
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
    pub fn record(&mut self, log: &Logger, sent_at: Tick, error: Option<&Error>) {
        match (error, self.since) {
            (Some(e), None) => {
                self.since = Some(sent_at);
                emit(log, Event::StoreLost, &kv!("read" => self.prefix, "error" => e.to_string()));
            }
            (None, Some(since)) => {
                self.since = None;
                let lost = clock::now().since(since).as_millis() as u64;
                emit(log, Event::StoreBack, &kv!("read" => self.prefix, "lost_ms" => lost));
            }
            _ => {}
        }
    }
}
