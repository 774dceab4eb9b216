//! Client of the two services that a host reads from: the configuration service and the host list.
//!
//! It runs on the control thread, only reads, and sends each result to the control actor as a
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

/// Time for which the configuration service may hold a long-polling request before it responds that
/// nothing changed.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Time beyond [`WATCH_WAIT`] after which a watch without a response fails and its connection is
/// dropped.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// Delay after a failed watch, so that a service that is down is not flooded with requests.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for a single read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a configuration value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Why a value could not be read.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No response, or no connection.
    #[error("{0}")]
    Send(#[from] SendRequestError),
    /// The response body could not be read.
    #[error("{0}")]
    Body(#[from] awc::error::PayloadError),
    /// The response has an error status.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response has no valid value of the requested kind.
    #[error("unreadable value: {0}")]
    Format(String),
}

/// Result of a read, for the control actor.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum PlatformUpdate {
    /// Current head of the configuration; `None` if a watch ended without a change.
    Head(Option<Head>),
    /// A read of the head failed.
    HeadFailed,
    /// Digest and text of a part; `None` if it could not be read.
    Part(ArcStr, Option<ArcStr>),
    /// The host list, sent when it has changed.
    List(HostList),
    /// Name of the service whose read failed, and the error; both are for the log.
    ReadFailed(&'static str, String),
}

/// Client of the configuration service and of the host list.
#[derive(Clone)]
pub struct PlatformClient {
    config: ArcStr,
    list: ArcStr,
    control: Recipient<PlatformUpdate>,
    // Replaced after a failed call, together with its connections.
    client: Rc<RefCell<Client>>,
}

impl PlatformClient {
    /// Creates a client of the services at `config` and `list`, each `IP:PORT`.
    pub fn new(config: ArcStr, list: ArcStr, control: Recipient<PlatformUpdate>) -> Self {
        Self { config, list, control, client: Rc::new(RefCell::new(new_client())) }
    }

    /// Watches the head of the configuration until `stop` is cancelled.
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
                    // A service that was restarted or restored may continue at a lower revision.
                    revision = 0;
                    self.report_failure("config", &e);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the host list every second until `stop` is cancelled; sends it when it has changed.
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

    /// Reads the head of the configuration once and sends it to the control actor.
    pub async fn read_head(self) {
        match self.fetch_head().await {
            Ok(head) => self.control.do_send(PlatformUpdate::Head(Some(head))),
            Err(e) => {
                self.report_failure("config", &e);
                self.control.do_send(PlatformUpdate::HeadFailed);
            }
        }
    }

    /// Reads one part of the configuration and sends it to the control actor.
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

    // A connection that timed out or broke must not be used for the next call.
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

    // Returns `None` if the list still has the tag `etag`. With 1,100 hosts and 12,000 upstreams
    // the list takes 0.6 MB, too much to be sent every second.
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
