use std::borrow::Cow;

use yuccawing_core::stream::ChunkKind;

use super::Chunk;

fn read(text: &str) -> serde_json::Result<Chunk<'_>> {
    serde_json::from_str(text)
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against copying the text of each token.
    text_without_escapes_is_borrowed: {
        let c = read(r#"{"id":"a","offset":3,"text":"deck "}"#).unwrap();
        assert!(matches!(c.text, Cow::Borrowed("deck ")));
        assert_eq!((c.offset, c.kind), (3, ChunkKind::Token));
    }
    // Guards against escape sequences that reach the caller undecoded.
    escapes_are_decoded: {
        assert_eq!(read(r#"{"id":"a","offset":3,"text":"\u00e9\n"}"#).unwrap().text, "é\n");
    }
    // Guards against an end of stream without the number of tokens, which shows whether the answer
    // is complete.
    an_end_needs_its_total: {
        assert!(read(r#"{"id":"a","offset":3,"done":true}"#).is_err());
        let c = read(r#"{"id":"a","offset":3,"done":true,"total":3,"prompt_tokens":2}"#).unwrap();
        assert_eq!((c.kind, c.prompt_tokens), (ChunkKind::End { total: 3 }, Some(2)));
    }
    // Guards against chunks that cannot be assigned to a request or ordered.
    id_offset_and_text_are_needed: {
        assert!(read(r#"{"offset":3,"text":"a"}"#).is_err());
        assert!(read(r#"{"id":"a","text":"a"}"#).is_err());
        assert!(read(r#"{"id":"a","offset":3}"#).is_err());
        assert!(read(r#"{"id":"a","offset":-1,"text":"a"}"#).is_err());
    }
    // Guards against failures with engines of a later version that adds fields.
    unknown_fields_are_ignored: {
        assert!(read(r#"{"id":"a","offset":3,"text":"a","logprob":{"x":[1]}}"#).is_ok());
    }
}
