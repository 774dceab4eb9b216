//! Copies sampling parameters from the caller's request body to the engine's.
//!
//! Values are written while they are read, which keeps the order of the members of an object:
//! engines generate the properties of a JSON schema in the order of the schema.

use std::fmt;

use serde::{
    Deserializer, Serialize,
    de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor},
};

/// Fields that are passed to engines. Other fields could collide with those that this host sets.
const PARAMETERS: [&str; 9] = [
    "temperature",
    "top_p",
    "top_k",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "response_format",
];

/// Limit on all sampling parameters of a request. The largest is usually a JSON schema.
pub(super) const MAX_SAMPLING_BYTES: usize = 64 * 1024;

/// Returns the name of a sampling parameter; `None` for other fields.
pub(super) fn parameter(s: &str) -> Option<&'static str> {
    PARAMETERS.into_iter().find(|n| *n == s)
}

/// Collects the sampling parameters of a request.
#[derive(Default)]
pub(super) struct Sampling {
    text: String,
    seen: Vec<&'static str>,
}

impl Sampling {
    /// Returns a deserializer of the value of a parameter. It omits a parameter that is `null`.
    pub(super) fn member(&mut self, name: &'static str) -> Member<'_> {
        Member { to: self, name }
    }

    /// Returns the members of a JSON object without braces; empty without parameters.
    pub(super) fn finish(self) -> String {
        self.text
    }
}

/// Appends one parameter with the value that it reads.
pub(super) struct Member<'a> {
    to: &'a mut Sampling,
    name: &'static str,
}

impl<'de> DeserializeSeed<'de> for Member<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<(), D::Error> {
        let Sampling { text, seen } = self.to;
        if seen.contains(&self.name) {
            return Err(D::Error::duplicate_field(self.name));
        }
        seen.push(self.name);
        let before = text.len();
        if before > 0 {
            text.push(',');
        }
        write_json(text, self.name)?;
        text.push(':');
        let start = text.len();
        CopyJson(text).deserialize(d)?;
        if &text[start..] == "null" {
            text.truncate(before);
        }
        Ok(())
    }
}

// Appends the value that it reads as JSON.
struct CopyJson<'a>(&'a mut String);

fn write_json<E: Error>(text: &mut String, value: impl Serialize) -> Result<(), E> {
    text.push_str(&serde_json::to_string(&value).map_err(E::custom)?);
    if text.len() > MAX_SAMPLING_BYTES {
        return Err(E::custom(format!(
            "the sampling parameters exceed {MAX_SAMPLING_BYTES} bytes"
        )));
    }
    Ok(())
}

impl<'de> DeserializeSeed<'de> for CopyJson<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<(), D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for CopyJson<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        write_json(self.0, ())
    }

    fn visit_bool<E: Error>(self, b: bool) -> Result<(), E> {
        write_json(self.0, b)
    }

    fn visit_u64<E: Error>(self, n: u64) -> Result<(), E> {
        write_json(self.0, n)
    }

    fn visit_i64<E: Error>(self, n: i64) -> Result<(), E> {
        write_json(self.0, n)
    }

    fn visit_f64<E: Error>(self, n: f64) -> Result<(), E> {
        write_json(self.0, n)
    }

    fn visit_str<E: Error>(self, s: &str) -> Result<(), E> {
        write_json(self.0, s)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        self.0.push('[');
        let start = self.0.len();
        while seq.next_element_seed(CopyJson(self.0))?.is_some() {
            self.0.push(',');
        }
        close_bracket(self.0, start, ']');
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        self.0.push('{');
        let start = self.0.len();
        while map.next_key_seed(CopyJson(self.0))?.is_some() {
            self.0.push(':');
            map.next_value_seed(CopyJson(self.0))?;
            self.0.push(',');
        }
        close_bracket(self.0, start, '}');
        Ok(())
    }
}

fn close_bracket(text: &mut String, start: usize, end: char) {
    if text.len() > start {
        text.pop();
    }
    text.push(end);
}
