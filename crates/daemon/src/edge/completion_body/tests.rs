use super::{CompletionBody, CompletionKind, MAX_TOKENS};

fn text(body: &str) -> serde_json::Result<CompletionBody> {
    CompletionBody::read(CompletionKind::Text, body.as_bytes())
}

fn chat(body: &str) -> serde_json::Result<CompletionBody> {
    CompletionBody::read(CompletionKind::Chat, body.as_bytes())
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against rejecting fields that clients commonly send.
    a_usual_request_is_read: {
        let b = text(r#"{"model":"a@1","prompt":"hi","max_tokens":9,"temperature":0.2,"stop":["x"],
            "stream":true,"stream_options":{"include_usage":true},"n":1,"user":null}"#).unwrap();
        let want = CompletionBody {
            model: "a@1".into(), prompt: "hi".into(), max_tokens: 9, stream: true, usage: true,
            sampling: r#""temperature":0.2,"stop":["x"]"#.into(),
        };
        assert_eq!(b, want);
    }
    // Guards against rejecting `null`, which some clients send for unset fields.
    null_means_the_default: {
        let b = text(r#"{"model":"a","prompt":["hi"],"max_tokens":null,"stream":null,
            "stream_options":null,"n":null}"#).unwrap();
        assert_eq!((b.max_tokens, b.stream, b.usage), (256, false, false));
    }
    // Guards against chat messages that are missing in the prompt.
    messages_become_the_prompt: {
        let b = chat(r#"{"model":"a","max_completion_tokens":3,"messages":[
            {"role":"system","content":"be brief"},
            {"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},
            {"role":"assistant","content":null}]}"#).unwrap();
        assert_eq!(b.prompt, "system: be brief\nuser: ab\nassistant: \nassistant:");
        assert_eq!(b.max_tokens, 3);
    }
    // Guards against changed values, and a JSON schema whose members change their order.
    sampling_parameters_are_copied: {
        let fields = r#""temperature":0.7,"top_p":1,"top_k":-1,"stop":["\n\"","\u00fc"],"seed":18446744073709551615,"presence_penalty":-0.5,"frequency_penalty":1.5,"logit_bias":{"50256":-100,"11":0.25},"response_format":{"type":"json_schema","json_schema":{"z":{},"a":[true,null,[]]}}"#;
        let b = text(&format!(r#"{{"model":"a","prompt":"x",{fields}}}"#)).unwrap();
        assert_eq!(b.sampling, fields.replace("\\u00fc", "ü"));
        let b = text(r#"{"top_k":null,"model":"a","seed":null,"prompt":"x","stop":"e","top_p":null}"#).unwrap();
        assert_eq!(b.sampling, r#""stop":"e""#);
    }
    // Guards against fields of the caller that override those that the host sets, and against
    // passing the caller's user name to the engine.
    only_sampling_parameters_are_copied: {
        let b = text(r#"{"model":"a","prompt":"x","user":"u","request_id":"1","priority":0,
            "lora_path":"b/1","metadata":{"a":"b"},"top_p":0.5,"x":"\",\"priority\":0"}"#).unwrap();
        assert_eq!(b.sampling, r#""top_p":0.5"#);
        let b = text(r#"{"model":"a","prompt":"x","stop":"\",\"priority\":0"}"#).unwrap();
        assert_eq!(b.sampling, r#""stop":"\",\"priority\":0""#);
    }
    // Guards against sampling parameters that exhaust the memory or the stack, and against repeated
    // ones, of which different engines may use different values.
    sampling_parameters_have_bounds: {
        let body = |field: &str| format!(r#"{{"model":"a","prompt":"x",{field}}}"#);
        let string = |n| format!(r#""stop":"{}""#, "x".repeat(n));
        assert!(text(&body(&string(60_000))).is_ok());
        assert!(text(&body(&string(66_000))).is_err());
        let list = format!(r#""stop":[{}""]"#, r#""","#.repeat(40_000));
        assert!(text(&body(&list)).is_err());
        let deep = format!(r#""response_format":{}{}"#, "[".repeat(200_000), "]".repeat(200_000));
        assert!(text(&body(&deep)).is_err());
        assert!(text(&body(r#""top_p":1,"top_p":0"#)).is_err());
        assert!(text(&body(r#""top_p":1e999"#)).is_err());
    }
    // Guards against requests that are accepted although they cannot be answered as asked.
    unsupported_requests_are_refused: {
        for body in [
            r#"{"model":"a","prompt":"x","n":2}"#,
            r#"{"model":"a","prompt":["x","y"]}"#,
            r#"{"model":"a","prompt":[]}"#,
            r#"{"model":"a","prompt":7}"#,
            r#"{"model":"a"}"#,
            r#"{"prompt":"x"}"#,
            r#"{"model":"a","model":"b","prompt":"x"}"#,
            r#"{"model":"a","prompt":"x","prompt":"y"}"#,
            r#"{"model":"a","prompt":"x","max_tokens":0}"#,
            r#"{"model":"a","prompt":"x","max_tokens":-1}"#,
            r#"{"model":"a","prompt":"x"} {}"#,
            r#"{"model":"a","prompt":"x""#,
            "[]",
            "",
        ] {
            assert!(text(body).is_err(), "{body}");
        }
        assert!(text(&format!(r#"{{"model":"a","prompt":"x","max_tokens":{}}}"#, MAX_TOKENS + 1)).is_err());
        assert!(chat(r#"{"model":"a","messages":[]}"#).is_err());
        assert!(chat(r#"{"model":"a","prompt":"x"}"#).is_err());
        let image = r#"{"model":"a","messages":[{"role":"user","content":[{"type":"image_url","text":""}]}]}"#;
        assert!(chat(image).is_err());
    }
    // Guards against a stack overflow by a deeply nested body. An unused value is skipped without
    // recursion; in a field that is used, it is refused.
    deep_nesting_does_not_overflow_the_stack: {
        let deep = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
        assert!(text(&format!(r#"{{"model":"a","prompt":"x","y":{deep}}}"#)).is_ok());
        assert!(text(&format!(r#"{{"model":"a","prompt":{deep}}}"#)).is_err());
        assert!(chat(&format!(r#"{{"model":"a","messages":{deep}}}"#)).is_err());
    }
}
