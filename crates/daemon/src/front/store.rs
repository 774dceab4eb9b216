//! Reads of the platform's store. They are linearizable and repeated: a watch that hears nothing
//! proves nothing, and the age of the last read is what keyed requests depend on.

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

/// Time for one read. Slow phases of the store take about 250 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest page: the platform's pages hold about 1 MB of values, a third more as base64.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Pages of one listing: 16 of 500 items.
const MAX_PAGES: usize = 16;

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The store answered with another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The answer cannot be read.
    #[error("{0}")]
    Decode(#[from] store::Error),
    /// The listing is longer than expected.
    #[error("more than {MAX_PAGES} pages")]
    TooManyPages,
}

/// Reads all items under `prefix`, with the store's revision.
///
/// # Errors
///
/// The store does not answer, refuses, or sends what cannot be read.
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

/// Logs when reads begin to fail and when they work again, not each failure.
#[derive(Debug)]
pub struct OutageLog {
    prefix: &'static str,
    since: Option<Tick>,
}

impl OutageLog {
    /// Reads of `what` work so far.
    pub fn new(prefix: &'static str) -> Self {
        Self { prefix, since: None }
    }

    /// Notes the outcome of the read that was sent at `asked`.
    pub fn note(&mut self, log: &Logger, asked: Tick, error: Option<&Error>) {
        match (error, self.since) {
            (Some(e), None) => {
                self.since = Some(asked);
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
