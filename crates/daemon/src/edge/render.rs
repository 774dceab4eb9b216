//! Formats responses as the JSON objects and event streams that clients of the completions API
//! expect.

use bytes::Bytes;
use serde_json::{Value, json};

use super::completion_body::CompletionKind;
use crate::upstream::engine::Usage;

/// Formats the response to one request.
pub(super) struct Renderer {
    kind: CompletionKind,
    id: String,
    created: u64,
    model: String,
    limit: u64,
    // Constant start of the event of a token, up to the text.
    prefix: String,
}

impl Renderer {
    pub(super) fn new(
        kind: CompletionKind,
        id: &str,
        created: u64,
        model: String,
        limit: u64,
    ) -> Self {
        let mut r = Self { kind, id: String::new(), created, model, limit, prefix: String::new() };
        let (kind, object, text) = match kind {
            CompletionKind::Text => ("cmpl", "text_completion", r#""text":"#),
            CompletionKind::Chat => ("chatcmpl", "chat.completion.chunk", r#""delta":{"content":"#),
        };
        r.id = format!("{kind}-{id}");
        let (id, model) = (&r.id, Value::from(r.model.as_str()));
        r.prefix = format!(
            r#"data: {{"id":"{id}","object":"{object}","created":{created},"model":{model},"choices":[{{"index":0,{text}"#
        );
        r
    }

    /// First chunk of a stream; `None` for text completions.
    pub(super) fn open(&self) -> Option<Bytes> {
        let delta = json!({"role": "assistant", "content": ""});
        (self.kind == CompletionKind::Chat).then(|| self.chat(&delta, &Value::Null, None))
    }

    pub(super) fn token(&self, text: &str) -> Bytes {
        let rest = match self.kind {
            CompletionKind::Text => ",\"logprobs\":null,\"finish_reason\":null}]}\n\n",
            CompletionKind::Chat => "},\"finish_reason\":null}]}\n\n",
        };
        let mut out = Vec::with_capacity(self.prefix.len() + text.len() + rest.len() + 8);
        out.extend_from_slice(self.prefix.as_bytes());
        serde_json::to_writer(&mut out, text).expect("a string serialises");
        out.extend_from_slice(rest.as_bytes());
        out.into()
    }

    /// Last chunks of a stream. `extra` adds a chunk that reports the usage and has no choices.
    pub(super) fn end(&self, usage: Usage, extra: bool) -> Bytes {
        let reason = Value::from(self.reason(usage));
        let last = match self.kind {
            CompletionKind::Chat => self.chat(&json!({}), &reason, Some(usage)),
            CompletionKind::Text => {
                let choice = json!({
                    "index": 0, "text": "", "logprobs": null, "finish_reason": reason
                });
                self.event("text_completion", &json!([choice]), Some(usage))
            }
        };
        let mut out = Vec::from(last);
        if extra {
            let object = match self.kind {
                CompletionKind::Text => "text_completion",
                CompletionKind::Chat => "chat.completion.chunk",
            };
            out.extend_from_slice(&self.event(object, &json!([]), Some(usage)));
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        out.into()
    }

    /// Response that is not streamed.
    pub(super) fn whole(&self, text: &str, usage: Usage) -> Value {
        let reason = self.reason(usage);
        let (object, choice) = match self.kind {
            CompletionKind::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "logprobs": null, "finish_reason": reason}),
            ),
            CompletionKind::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": reason
                }),
            ),
        };
        self.value(object, &json!([choice]), Some(usage))
    }

    fn chat(&self, delta: &Value, reason: &Value, usage: Option<Usage>) -> Bytes {
        let choice = json!({"index": 0, "delta": delta, "finish_reason": reason});
        self.event("chat.completion.chunk", &json!([choice]), usage)
    }

    fn event(&self, object: &str, choices: &Value, usage: Option<Usage>) -> Bytes {
        format!("data: {}\n\n", self.value(object, choices, usage)).into()
    }

    fn value(&self, object: &str, choices: &Value, usage: Option<Usage>) -> Value {
        let usage = usage.map(|u| {
            json!({
                "prompt_tokens": u.prompt,
                "completion_tokens": u.completion,
                "total_tokens": u.prompt + u.completion
            })
        });
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": choices, "usage": usage
        })
    }

    fn reason(&self, usage: Usage) -> &'static str {
        if usage.completion >= self.limit { "length" } else { "stop" }
    }
}
