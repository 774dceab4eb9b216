//! Parses the JSON body of a completion or chat completion request.
//!
//! Every completion passes through here, so the visitors are written by hand: they skip unused
//! values without allocating, and turn chat messages into the prompt while parsing.

mod sampling;
#[cfg(test)]
mod tests;

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{DeserializeSeed, Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
};

use self::sampling::Sampling;

/// Largest accepted `max_tokens`.
pub(super) const MAX_TOKENS: u64 = 131_072;

/// `max_tokens` of a request without one.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Body of a completion or chat completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompletionBody {
    /// `adapter` or `adapter@version`.
    pub(super) model: String,
    /// The prompt, or the messages of a chat in the form of a prompt.
    pub(super) prompt: String,
    pub(super) max_tokens: u64,
    /// Whether the response is a stream of server-sent events.
    pub(super) stream: bool,
    /// Whether a stream ends with an extra chunk that reports the usage.
    pub(super) usage: bool,
    /// Sampling parameters for the engine, as the members of a JSON object without braces.
    pub(super) sampling: String,
}

/// Format of a completion request and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionKind {
    /// `/v1/completions`, with `prompt`.
    Text,
    /// `/v1/chat/completions`, with `messages`.
    Chat,
}

impl CompletionBody {
    pub(super) fn read(kind: CompletionKind, bytes: &[u8]) -> serde_json::Result<Self> {
        let mut d = serde_json::Deserializer::from_slice(bytes);
        let body = kind.deserialize(&mut d)?;
        d.end()?;
        Ok(body)
    }
}

impl<'de> DeserializeSeed<'de> for CompletionKind {
    type Value = CompletionBody;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<CompletionBody, D::Error> {
        d.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for CompletionKind {
    type Value = CompletionBody;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a completion request")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<CompletionBody, A::Error> {
        let (mut model, mut prompt, mut max_tokens) = (None, None, None);
        let (mut stream, mut usage) = (false, false);
        let mut sampling = Sampling::default();
        while let Some(key) = map.next_key::<Key>()? {
            match key {
                Key::Model if model.is_some() => return Err(A::Error::duplicate_field("model")),
                Key::Prompt | Key::Messages if prompt.is_some() => {
                    return Err(A::Error::duplicate_field("prompt or messages"));
                }
                Key::Model => model = Some(map.next_value()?),
                Key::Prompt if self == Self::Text => prompt = Some(map.next_value::<Prompt>()?.0),
                Key::Messages if self == Self::Chat => {
                    prompt = Some(map.next_value::<Messages>()?.0);
                }
                Key::Tokens => max_tokens = map.next_value::<Option<u64>>()?.or(max_tokens),
                Key::Stream => stream = map.next_value::<Option<bool>>()?.unwrap_or(false),
                Key::Options => {
                    usage = map.next_value::<Option<Options>>()?.is_some_and(|o| o.include_usage);
                }
                Key::Count => {
                    if map.next_value::<Option<u64>>()?.unwrap_or(1) != 1 {
                        return Err(A::Error::custom("n and best_of must be 1"));
                    }
                }
                Key::Sampling(name) => map.next_value_seed(sampling.member(name))?,
                Key::Prompt | Key::Messages | Key::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        let missing = match self {
            Self::Text => "prompt",
            Self::Chat => "messages",
        };
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS).contains(&max_tokens) {
            return Err(A::Error::custom(format!("max_tokens must be from 1 to {MAX_TOKENS}")));
        }
        Ok(CompletionBody {
            model: model.ok_or_else(|| A::Error::missing_field("model"))?,
            prompt: prompt.ok_or_else(|| A::Error::missing_field(missing))?,
            max_tokens,
            stream,
            usage,
            sampling: sampling.finish(),
        })
    }
}

enum Key {
    Model,
    Prompt,
    Messages,
    Tokens,
    Stream,
    Options,
    Count,
    Sampling(&'static str),
    Other,
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_identifier(KeyVisitor)
    }
}

struct KeyVisitor;

impl Visitor<'_> for KeyVisitor {
    type Value = Key;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a field name")
    }

    fn visit_str<E: Error>(self, s: &str) -> Result<Key, E> {
        Ok(match s {
            "model" => Key::Model,
            "prompt" => Key::Prompt,
            "messages" => Key::Messages,
            "max_tokens" | "max_completion_tokens" => Key::Tokens,
            "stream" => Key::Stream,
            "stream_options" => Key::Options,
            "n" | "best_of" => Key::Count,
            _ => sampling::parameter(s).map_or(Key::Other, Key::Sampling),
        })
    }
}

#[derive(Deserialize)]
struct Options {
    #[serde(default)]
    include_usage: bool,
}

// A string, or an array of one string.
struct Prompt(String);

impl<'de> Deserialize<'de> for Prompt {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(PromptVisitor)
    }
}

struct PromptVisitor;

impl<'de> Visitor<'de> for PromptVisitor {
    type Value = Prompt;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string or an array of one string")
    }

    fn visit_str<E: Error>(self, s: &str) -> Result<Prompt, E> {
        Ok(Prompt(s.to_owned()))
    }

    fn visit_string<E: Error>(self, s: String) -> Result<Prompt, E> {
        Ok(Prompt(s))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Prompt, A::Error> {
        let prompt = seq.next_element()?.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        match seq.next_element::<IgnoredAny>()? {
            None => Ok(Prompt(prompt)),
            Some(_) => Err(A::Error::invalid_length(2, &self)),
        }
    }
}

// Messages of a chat as a prompt: lines of `role: content`, then `assistant:`, which the
// engine continues.
struct Messages(String);

impl<'de> Deserialize<'de> for Messages {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_seq(MessagesVisitor)
    }
}

struct MessagesVisitor;

impl<'de> Visitor<'de> for MessagesVisitor {
    type Value = Messages;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Messages, A::Error> {
        let mut out = String::new();
        while let Some(m) = seq.next_element::<Message>()? {
            out.push_str(&m.role);
            out.push_str(": ");
            out.push_str(m.content.as_ref().map_or("", |c| &c.0));
            out.push('\n');
        }
        if out.is_empty() {
            return Err(A::Error::invalid_length(0, &self));
        }
        out.push_str("assistant:");
        Ok(Messages(out))
    }
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Option<Content>,
}

// A string, or an array of text parts.
struct Content(String);

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = Content;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string or an array of text parts")
    }

    fn visit_str<E: Error>(self, s: &str) -> Result<Content, E> {
        Ok(Content(s.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Content, A::Error> {
        let mut out = String::new();
        while let Some(TextPart { kind: TextKind::Text, text }) = seq.next_element()? {
            out.push_str(&text);
        }
        Ok(Content(out))
    }
}

#[derive(Deserialize)]
struct TextPart {
    #[serde(rename = "type")]
    kind: TextKind,
    text: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum TextKind {
    Text,
}
