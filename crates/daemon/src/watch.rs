//! Readers of the platform: configuration service and host list.
//!
//! They run on the control thread and only read. Each response goes to the control thread as a
//! [`PlatformUpdate`].

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix::{Message, Recipient};
use arcstr::ArcStr;
use awc::{
    Client,
    error::SendRequestError,
    http::{
        StatusCode,
        header::{self, HeaderValue},
    },
};
use bytes::Bytes;
use tokio_util::sync::CancellationToken;
use yuccawing_core::{
    membership::{HostList, MAX_LIST_BYTES},
    rules::Head,
};

/// How long the configuration service may hold a watch before it answers "no change".
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Room over [`WATCH_WAIT`] before a watch counts as silent and its connection is dropped.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// Pause after a failed call, so that a service that is down is not flooded.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Deadline of a single read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Why the platform did not give a value.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No response, or no connection.
    #[error("{0}")]
    Send(#[from] SendRequestError),
    /// The body could not be read.
    #[error("{0}")]
    Body(#[from] awc::error::PayloadError),
    /// The service answered with an error.
    #[error("status {0}")]
    Status(StatusCode),
    /// The value is not what its key says.
    #[error("unreadable value: {0}")]
    Format(String),
}

/// What was read, for the control thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum PlatformUpdate {
    /// The service answered a watch, with the head it has now.
    Head(Option<Head>),
    /// A read of the head failed.
    HeadFailed,
    /// A part, `None` if it could not be read.
    Part(ArcStr, Option<ArcStr>),
    /// A host list.
    List(HostList),
    /// A read failed. The text is for the log.
    ReadFailed(&'static str, String),
}

/// Client of the platform's two services.
#[derive(Clone)]
pub struct PlatformClient {
    config: ArcStr,
    list: ArcStr,
    control: Recipient<PlatformUpdate>,
    // Keeps its connections until a call fails.
    client: Rc<RefCell<Client>>,
}

impl PlatformClient {
    /// A client of the services at `config` and `list`, `IP:PORT` each.
    pub fn new(config: ArcStr, list: ArcStr, control: Recipient<PlatformUpdate>) -> Self {
        Self { config, list, control, client: Rc::new(RefCell::new(new_client())) }
    }

    /// Watches the head until `stop` is cancelled.
    pub async fn watch_head(self, stop: CancellationToken) {
        let mut revision = 0u64;
        loop {
            let result = tokio::select! {
                () = stop.cancelled() => return,
                result = self.next_head(revision) => result,
            };
            match result {
                Ok(Some((rev, head))) => {
                    revision = rev;
                    self.control.do_send(PlatformUpdate::Head(Some(head)));
                }
                Ok(None) => self.control.do_send(PlatformUpdate::Head(None)),
                Err(e) => {
                    // A restarted or restored service may count from a lower revision.
                    revision = 0;
                    self.report_failure("config", &e);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the host list once per interval until `stop` is cancelled.
    pub async fn watch_list(self, stop: CancellationToken) {
        let mut etag = None;
        loop {
            let result = tokio::select! {
                () = stop.cancelled() => return,
                result = self.read_list(&mut etag) => result,
            };
            match result {
                Ok(Some(list)) => self.control.do_send(PlatformUpdate::List(list)),
                Ok(None) => {}
                Err(e) => self.report_failure("list", &e),
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(LIST_INTERVAL) => {}
            }
        }
    }

    /// Reads the head once and reports it.
    pub async fn read_head(self) {
        match self.fetch_head().await {
            Ok(head) => self.control.do_send(PlatformUpdate::Head(Some(head))),
            Err(e) => {
                self.report_failure("config", &e);
                self.control.do_send(PlatformUpdate::HeadFailed);
            }
        }
    }

    /// Reads one part and reports it.
    pub async fn read_part(self, digest: ArcStr) {
        let text = match self.fetch_part(&digest).await {
            Ok(text) => Some(text),
            Err(e) => {
                self.report_failure("config", &e);
                None
            }
        };
        self.control.do_send(PlatformUpdate::Part(digest, text));
    }

    fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    // A connection that was silent or broken must not serve the next call.
    fn report_failure(&self, what: &'static str, e: &PlatformError) {
        *self.client.borrow_mut() = new_client();
        self.control.do_send(PlatformUpdate::ReadFailed(what, e.to_string()));
    }

    async fn next_head(&self, after: u64) -> Result<Option<(u64, Head)>, PlatformError> {
        let wait = WATCH_WAIT.as_millis();
        let url = format!("http://{}/v1/watch/head?after={after}&wait_ms={wait}", self.config);
        let mut response = self.client().get(url).timeout(WATCH_WAIT + WATCH_GRACE).send().await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if response.status() != StatusCode::OK {
            return Err(PlatformError::Status(response.status()));
        }
        let revision = response
            .headers()
            .get("x-revision")
            .and_then(|v| v.to_str().ok()?.parse().ok())
            .ok_or_else(|| PlatformError::Format("no x-revision".into()))?;
        let body = response.body().limit(MAX_VALUE_BYTES).await?;
        let head =
            serde_json::from_slice(&body).map_err(|e| PlatformError::Format(e.to_string()))?;
        Ok(Some((revision, head)))
    }

    async fn fetch_head(&self) -> Result<Head, PlatformError> {
        let body = self.fetch_value("head").await?;
        serde_json::from_slice(&body).map_err(|e| PlatformError::Format(e.to_string()))
    }

    async fn fetch_part(&self, digest: &str) -> Result<ArcStr, PlatformError> {
        let body = self.fetch_value(&format!("part/{digest}")).await?;
        let text = std::str::from_utf8(&body).map_err(|e| PlatformError::Format(e.to_string()))?;
        Ok(text.into())
    }

    async fn fetch_value(&self, key: &str) -> Result<Bytes, PlatformError> {
        let url = format!("http://{}/v1/values/{key}", self.config);
        let mut response = self.client().get(url).timeout(READ_TIMEOUT).send().await?;
        if response.status() != StatusCode::OK {
            return Err(PlatformError::Status(response.status()));
        }
        Ok(response.body().limit(MAX_VALUE_BYTES).await?)
    }

    // `None` if the list is still the one with `etag`: at 1,100 hosts and 12,000 upstreams it has
    // 0.6 MB, too much to be sent every second.
    async fn read_list(
        &self,
        etag: &mut Option<HeaderValue>,
    ) -> Result<Option<HostList>, PlatformError> {
        let url = format!("http://{}/v1/hosts", self.list);
        let mut request = self.client().get(url).timeout(READ_TIMEOUT);
        if let Some(t) = etag.as_ref() {
            request = request.insert_header((header::IF_NONE_MATCH, t.clone()));
        }
        let mut response = request.send().await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if response.status() != StatusCode::OK {
            return Err(PlatformError::Status(response.status()));
        }
        let body = response.body().limit(MAX_LIST_BYTES).await?;
        let list =
            serde_json::from_slice(&body).map_err(|e| PlatformError::Format(e.to_string()))?;
        *etag = response.headers().get(header::ETAG).cloned();
        Ok(Some(list))
    }
}

fn new_client() -> Client {
    Client::builder().disable_timeout().finish()
}
