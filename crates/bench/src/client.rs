//! HTTP client for the requests of callers and for the control interfaces of the stand-ins.

mod events;

use std::{net::SocketAddr, time::Duration};

use awc::{Client, Connector, http::header};
use futures::StreamExt as _;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::time::timeout;

use self::events::{Event, EventParser};
use crate::{Error, Result, now_us};

/// Time beyond a request's deadline during which its answer is awaited.
const RESPONSE_GRACE: Duration = Duration::from_secs(10);

/// Limit for calls other than completions: to plain services, for tickets and to stand-ins.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(20);

/// Limit of a response body; a stand-in's journal is the largest.
const MAX_BODY_BYTES: usize = 1 << 30;

/// What an error response says about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// It was not executed, so the caller may repeat it.
    NotRun,
    /// An upstream executed it, at least in part.
    Ran,
    /// It may have been executed.
    Unknown,
}

/// Parameters of a completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// First word of the prompt, unique in the experiment, by which stand-in journals identify the
    /// request.
    pub mark: String,
    /// API key, sent as a bearer token.
    pub key: Option<String>,
    /// Name of the adapter.
    pub adapter: String,
    /// Version of the adapter; the newest if there is none.
    pub version: Option<String>,
    /// Prompt without the mark.
    pub prompt: String,
    /// Limit of generated tokens.
    pub max_tokens: u64,
    /// Value of `x-class`, which lowers the class of the request.
    pub class: Option<&'static str>,
    /// Deadline, sent as `x-deadline-ms`.
    pub deadline: Duration,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Parameters of a call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Body, unique in the experiment, by which stand-in journals identify the call.
    pub mark: String,
    /// API key, sent as a bearer token.
    pub key: Option<String>,
    /// Path of the route.
    pub path: String,
    /// Ticket, which a call that is not idempotent needs.
    pub ticket: Option<String>,
}

/// Result of a request as the client saw it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Mark of the request.
    pub mark: String,
    /// Time of sending in microseconds since the Unix epoch, as the other times.
    pub sent_us: u64,
    /// Time of the first token of a streamed answer.
    pub first_us: Option<u64>,
    /// Time of the end of the answer or of the failure.
    pub end_us: u64,
    /// HTTP status; none if no response arrived.
    pub status: Option<u16>,
    /// Value of `x-request-id` in the response.
    pub request_id: Option<String>,
    /// Text received.
    pub text: String,
    /// Number of text chunks received.
    pub chunks: u64,
    /// Whether the end of the answer was received.
    pub complete: bool,
    /// What an error response says about the execution.
    pub run: Option<Executed>,
    /// Code of an error response.
    pub code: Option<String>,
    /// Time after which a retry may succeed, from an error response.
    pub retry_after_ms: Option<u64>,
    /// Reason for an incomplete answer in words, if no error response gives it.
    pub trouble: Option<String>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: Option<String>,
    run: Option<Executed>,
    retry_after_ms: Option<u64>,
}

impl Default for CompletionRequest {
    fn default() -> Self {
        Self {
            mark: "mark".into(),
            key: None,
            adapter: "a0".into(),
            version: None,
            prompt: "please check the deck plan".into(),
            max_tokens: 16,
            class: None,
            deadline: Duration::from_secs(30),
            stream: true,
        }
    }
}

impl CompletionRequest {
    /// Returns the prompt with the mark.
    pub fn full_prompt(&self) -> String {
        format!("{} {}", self.mark, self.prompt)
    }

    /// Returns the number of tokens of the complete answer: the stand-in stops at N tokens if the
    /// prompt contains the word `stop=N`.
    pub fn tokens(&self) -> u64 {
        let stop = self.prompt.split_whitespace().find_map(|w| w.strip_prefix("stop="));
        stop.and_then(|n| n.parse().ok()).unwrap_or(self.max_tokens).min(self.max_tokens)
    }

    /// Returns the complete answer that a stand-in generates for `version`.
    pub fn expected(&self, version: &str) -> String {
        (0..self.tokens()).map(|i| format!("{}:{version}#{i} ", self.adapter)).collect()
    }
}

impl Outcome {
    /// Whether a successful answer was received completely.
    pub fn is_ok(&self) -> bool {
        self.complete && self.status == Some(200)
    }

    fn set_trouble(&mut self, why: impl ToString) {
        self.trouble = Some(why.to_string());
    }

    fn set_error(&mut self, body: &[u8]) {
        match serde_json::from_slice::<ErrorBody>(body) {
            Ok(b) => {
                self.run = b.error.run;
                self.code = b.error.code;
                self.retry_after_ms = b.error.retry_after_ms;
            }
            Err(_) => self.set_trouble(String::from_utf8_lossy(body)),
        }
    }
}

/// HTTP client with one connection pool for callers and control calls.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl Default for HttpClient {
    fn default() -> Self {
        // No limit of connections: open-loop load must not wait for one of the pool.
        let connector = Connector::new().limit(0).timeout(Duration::from_secs(5));
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Self { client }
    }
}

impl HttpClient {
    /// Sends a completion request to `host` and reads the answer to its end.
    pub async fn complete(&self, host: SocketAddr, a: &CompletionRequest) -> Outcome {
        let mark = a.mark.clone();
        let mut out = Outcome { mark, sent_us: now_us(), ..Outcome::default() };
        if timeout(a.deadline + RESPONSE_GRACE, self.run_completion(host, a, &mut out))
            .await
            .is_err()
        {
            out.set_trouble("no end of the answer in time");
        }
        out.end_us = now_us();
        out
    }

    async fn run_completion(&self, host: SocketAddr, a: &CompletionRequest, out: &mut Outcome) {
        let model = match &a.version {
            Some(v) => format!("{}@{v}", a.adapter),
            None => a.adapter.clone(),
        };
        let mut req = self
            .client
            .post(format!("http://{host}/v1/completions"))
            .insert_header(("x-deadline-ms", a.deadline.as_millis().to_string()));
        if let Some(k) = &a.key {
            req = req.insert_header((header::AUTHORIZATION, format!("Bearer {k}")));
        }
        if let Some(c) = a.class {
            req = req.insert_header(("x-class", c));
        }
        let body = json!({
            "model": model, "prompt": a.full_prompt(), "max_tokens": a.max_tokens,
            "stream": a.stream,
        });
        let mut answer = match req.send_json(&body).await {
            Ok(r) => r,
            Err(e) => return out.set_trouble(e),
        };
        out.status = Some(answer.status().as_u16());
        out.request_id = header_value(&answer, "x-request-id");
        if !answer.status().is_success() {
            match answer.body().limit(MAX_BODY_BYTES).await {
                Ok(b) => out.set_error(&b),
                Err(e) => out.set_trouble(e),
            }
            return;
        }
        if !a.stream {
            match answer.body().limit(MAX_BODY_BYTES).await {
                Ok(b) => parse_unstreamed(&b, out),
                Err(e) => out.set_trouble(e),
            }
            return;
        }
        let mut parser = EventParser::default();
        while let Some(bytes) = answer.next().await {
            let bytes = match bytes {
                Ok(b) => b,
                Err(e) => return out.set_trouble(e),
            };
            for e in parser.feed(&bytes) {
                match e {
                    Event::Text(t) => {
                        out.first_us.get_or_insert_with(now_us);
                        out.text.push_str(&t);
                        out.chunks += 1;
                    }
                    Event::End => out.complete = true,
                    Event::Error(body) => out.set_error(body.as_bytes()),
                    Event::Other => {}
                }
            }
        }
        if !out.complete && out.run.is_none() && out.trouble.is_none() {
            out.set_trouble("the stream ended without its end event");
        }
    }

    /// Sends a call to a plain service through `host` and reads the answer.
    pub async fn call(&self, host: SocketAddr, c: &PlainCall) -> Outcome {
        let mark = c.mark.clone();
        let mut out = Outcome { mark, sent_us: now_us(), ..Outcome::default() };
        if timeout(CONTROL_TIMEOUT, self.run_call(host, c, &mut out)).await.is_err() {
            out.set_trouble("no answer in time");
        }
        out.end_us = now_us();
        out
    }

    async fn run_call(&self, host: SocketAddr, c: &PlainCall, out: &mut Outcome) {
        let mut req = self.client.post(format!("http://{host}{}", c.path));
        if let Some(k) = &c.key {
            req = req.insert_header((header::AUTHORIZATION, format!("Bearer {k}")));
        }
        if let Some(t) = &c.ticket {
            req = req.insert_header(("x-ticket", t.as_str()));
        }
        let mut answer = match req.send_body(c.mark.clone()).await {
            Ok(r) => r,
            Err(e) => return out.set_trouble(e),
        };
        out.status = Some(answer.status().as_u16());
        out.request_id = header_value(&answer, "x-request-id");
        match answer.body().limit(MAX_BODY_BYTES).await {
            Ok(b) if answer.status().is_success() => {
                // awc takes a broken connection for the end of the body; a cut body is not valid
                // JSON.
                out.complete = serde_json::from_slice::<Value>(&b).is_ok();
                out.text = String::from_utf8_lossy(&b).into_owned();
            }
            Ok(b) => out.set_error(&b),
            Err(e) => out.set_trouble(e),
        }
    }

    /// Requests a ticket for one call that is not idempotent.
    ///
    /// # Errors
    ///
    /// The host does not answer or refuses.
    pub async fn ticket(&self, host: SocketAddr, key: &str) -> Result<String> {
        let url = format!("http://{host}/v1/tickets");
        let req = self.client.post(&url);
        let req = req.insert_header((header::AUTHORIZATION, format!("Bearer {key}")));
        let body = with_timeout(&url, async {
            let mut r = req.send().await.map_err(|e| e.to_string())?;
            let b = r.body().await.map_err(|e| e.to_string())?;
            if r.status().is_success() { Ok(b) } else { Err(format!("{} {b:?}", r.status())) }
        })
        .await?;
        let v: Value = serde_json::from_slice(&body)?;
        v["ticket"].as_str().map(str::to_owned).ok_or_else(|| Error::Http(url, v.to_string()))
    }

    /// Sends a `GET` and returns the status; none without a response.
    pub async fn status(&self, addr: SocketAddr, path: &str) -> Option<u16> {
        let url = format!("http://{addr}{path}");
        let sent = with_timeout(&url, async {
            self.client.get(&url).send().await.map_err(|e| e.to_string())
        });
        sent.await.ok().map(|r| r.status().as_u16())
    }

    /// Sends a `GET` and parses the response body as JSON.
    ///
    /// # Errors
    ///
    /// There is no response, its status is not a success, or its body is not the expected JSON.
    pub async fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T> {
        let url = format!("http://{addr}{path}");
        let body = with_timeout(&url, async {
            let mut r = self.client.get(&url).send().await.map_err(|e| e.to_string())?;
            let b = r.body().limit(MAX_BODY_BYTES).await.map_err(|e| e.to_string())?;
            if r.status().is_success() { Ok(b) } else { Err(r.status().to_string()) }
        })
        .await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends `body` as JSON in a `POST`.
    ///
    /// # Errors
    ///
    /// There is no response, or its status is not a success.
    pub async fn post(&self, addr: SocketAddr, path: &str, body: &Value) -> Result<()> {
        let url = format!("http://{addr}{path}");
        self.send(&url, self.client.post(&url), "application/json", body.to_string()).await
    }

    /// Sends `body`, which is JSON text, in a `PUT`.
    ///
    /// # Errors
    ///
    /// There is no response, or its status is not a success.
    pub async fn put(&self, addr: SocketAddr, path: &str, body: String) -> Result<()> {
        let url = format!("http://{addr}{path}");
        self.send(&url, self.client.put(&url), "application/json", body).await
    }

    async fn send(
        &self,
        url: &str,
        req: awc::ClientRequest,
        kind: &str,
        body: String,
    ) -> Result<()> {
        with_timeout(url, async {
            let r = req.content_type(kind).send_body(body).await.map_err(|e| e.to_string())?;
            if r.status().is_success() { Ok(()) } else { Err(r.status().to_string()) }
        })
        .await
    }
}

async fn with_timeout<T>(
    url: &str,
    f: impl Future<Output = std::result::Result<T, String>>,
) -> Result<T> {
    match timeout(CONTROL_TIMEOUT, f).await {
        Ok(r) => r.map_err(|e| Error::Http(url.into(), e)),
        Err(_) => Err(Error::Timeout { what: url.into(), within: CONTROL_TIMEOUT }),
    }
}

fn header_value<S>(r: &awc::ClientResponse<S>, name: &str) -> Option<String> {
    r.headers().get(name)?.to_str().ok().map(str::to_owned)
}

/// Reads the body of an answer that is not streamed into `out`.
fn parse_unstreamed(body: &[u8], out: &mut Outcome) {
    let v: Value = serde_json::from_slice(body).unwrap_or_default();
    match events::text_of(&v) {
        Some(t) => {
            out.text = t;
            out.chunks = 1;
            out.complete = true;
        }
        None => out.set_trouble(String::from_utf8_lossy(body)),
    }
}
