//! Error responses in JSON.

use std::fmt;

use actix_web::{
    HttpResponse, ResponseError,
    http::{
        StatusCode,
        header::{RETRY_AFTER, WWW_AUTHENTICATE},
    },
};
use bytes::Bytes;
use serde::Serialize;

use crate::control::messages::{ErrorCode, Executed, Refusal};

/// Error type of the HTTP handlers.
#[derive(Debug)]
pub(super) struct Failure(pub(super) Refusal);

#[derive(Serialize)]
struct Body<'a> {
    error: Fields<'a>,
}

#[derive(Serialize)]
struct Fields<'a> {
    code: ErrorCode,
    message: &'a str,
    run: Executed,
    retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns the JSON body of the response.
    pub(super) fn json(&self) -> String {
        let Refusal { code, message, executed, retry_after } = &self.0;
        let retry_after_ms = retry_after.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
        let error = Fields { code: *code, message, run: *executed, retry_after_ms };
        serde_json::to_string(&Body { error }).expect("plain fields serialise")
    }

    /// Formats the error as the last event of a stream.
    pub(super) fn event(&self) -> Bytes {
        format!("data: {}\n\n", self.json()).into()
    }

    pub(super) fn response(&self) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.0.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut res = HttpResponse::build(status);
        if let Some(d) = self.0.retry_after {
            // Rounded up to whole seconds, so that the caller does not retry too early.
            res.insert_header((RETRY_AFTER, d.as_millis().div_ceil(1000).to_string()));
        }
        if self.0.code == ErrorCode::BadKey {
            res.insert_header((WWW_AUTHENTICATE, "Bearer"));
        }
        res.content_type("application/json").body(self.json())
    }
}

impl From<Refusal> for Failure {
    fn from(r: Refusal) -> Self {
        Self(r)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl ResponseError for Failure {
    fn status_code(&self) -> StatusCode {
        self.response().status()
    }

    fn error_response(&self) -> HttpResponse {
        self.response()
    }
}

/// Handles requests with a method that the path does not support.
pub(super) async fn method_not_allowed() -> Result<HttpResponse, Failure> {
    Err(Refusal::not_run(ErrorCode::BadMethod, "the method is not allowed on this path").into())
}
