//! Decodes the events of an engine's token stream.
//!
//! This runs once per token, so the visitors are written by hand and borrow strings without
//! escapes.

#[cfg(test)]
mod tests;

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{Error, IgnoredAny, MapAccess, Visitor},
};
use yuccawing_core::stream::ChunkKind;

/// One event of an engine's token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk<'a> {
    /// Id of the request that it belongs to.
    pub id: Cow<'a, str>,
    /// Number of tokens before it.
    pub offset: u64,
    /// Text of the token; empty for the end of the stream.
    pub text: Cow<'a, str>,
    /// Whether it is a token or the end of the stream.
    pub kind: ChunkKind,
    /// Number of prompt tokens, which only the end of the stream states.
    pub prompt_tokens: Option<u64>,
}

impl<'de: 'a, 'a> Deserialize<'de> for Chunk<'a> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_map(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Chunk<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an event of a stream")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let (mut id, mut text, mut offset, mut total) = (None, None, None, None);
        let (mut done, mut prompt_tokens) = (false, None);
        while let Some(Text(key)) = map.next_key()? {
            match &*key {
                "id" => id = Some(map.next_value::<Text<'de>>()?.0),
                "offset" => offset = Some(map.next_value()?),
                "text" => text = Some(map.next_value::<Text<'de>>()?.0),
                "done" => done = map.next_value()?,
                "total" => total = Some(map.next_value()?),
                "prompt_tokens" => prompt_tokens = Some(map.next_value()?),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        let kind = if done {
            ChunkKind::End { total: total.ok_or_else(|| A::Error::missing_field("total"))? }
        } else {
            ChunkKind::Token
        };
        Ok(Chunk {
            id: id.ok_or_else(|| A::Error::missing_field("id"))?,
            offset: offset.ok_or_else(|| A::Error::missing_field("offset"))?,
            text: match (text, kind) {
                (Some(t), _) => t,
                (None, ChunkKind::End { .. }) => Cow::Borrowed(""),
                (None, ChunkKind::Token) => return Err(A::Error::missing_field("text")),
            },
            kind,
            prompt_tokens,
        })
    }
}

// serde deserializes a plain `Cow` to an owned string.
struct Text<'a>(Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Text<'a> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_str(TextVisitor).map(Self)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = Cow<'de, str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string")
    }

    fn visit_borrowed_str<E: Error>(self, s: &'de str) -> Result<Self::Value, E> {
        Ok(Cow::Borrowed(s))
    }

    fn visit_str<E: Error>(self, s: &str) -> Result<Self::Value, E> {
        Ok(Cow::Owned(s.to_owned()))
    }
}
