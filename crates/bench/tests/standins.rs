//! The stand-ins keep the contract of section 8.1 of the design page, on which tests of the daemon
//! rely.

mod support;

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use futures::future::join_all;
use serde_json::{Value, json};
use support::*;

/// Sends JSON and returns status and body. awc takes a broken connection for the end of the body,
/// so a broken stream is recognised by its missing end event.
async fn post(addr: SocketAddr, path: &str, body: Value) -> (u16, String) {
    let req = Client::default().post(format!("http://{addr}{path}")).timeout(LONG_TIMEOUT);
    let mut r = req.send_json(&body).await.unwrap();
    let body = r.body().await.unwrap_or_default();
    (r.status().as_u16(), String::from_utf8_lossy(&body).into_owned())
}

async fn load_adapter(e: SocketAddr, name: &str, fence: u64) -> (u16, String) {
    let path = name.replace(':', "/");
    let body = json!({"lora_name": name, "lora_path": path, "fence": fence});
    post(e, "/v1/load_lora_adapter", body).await
}

fn completion(model: &str, id: &str, tokens: u64, priority: u8) -> Value {
    json!({"model": model, "prompt": id, "max_tokens": tokens, "request_id": id,
        "priority": priority, "stream": true})
}

async fn one_engine(f: impl Fn(&mut yuccabench::plan::EnginePlan)) -> Result<(Fleet, SocketAddr)> {
    let plan = FleetPlan::new(3).no_engines().engine(f);
    let f = Fleet::start_standins(plan).await?;
    let e = f.standin_addr("e0")?;
    Ok((f, e))
}

cases! {
    // Guards against an engine that accepts commands of a replaced host, whose token is older.
    old_fencing_numbers_are_rejected: {
        let (_f, e) = one_engine(|e| e.fencing = true).await?;
        assert_eq!(load_adapter(e, "a0:1", 3).await.0, 200);
        assert_eq!(load_adapter(e, "a1:1", 2).await, (409, r#"{"code":"fenced"}"#.into()));
        let unload = json!({"lora_name": "a0:1", "fence": 2});
        assert_eq!(post(e, "/v1/unload_lora_adapter", unload).await.0, 409);
    }
    // Guards against an engine that evicts an adapter to load another.
    a_full_engine_refuses_to_load: {
        let (_f, e) = one_engine(|e| e.slots = 1).await?;
        assert_eq!(load_adapter(e, "a0:1", 1).await.0, 200);
        assert_eq!(load_adapter(e, "a1:1", 1).await, (409, r#"{"code":"no_slot"}"#.into()));
    }
    // Guards against a weight store that does not limit loads.
    the_store_limits_the_rate_of_loads: {
        let mut plan = FleetPlan::new(3).no_engines().engine(|e| e.slots = 50);
        plan.store = WeightStorePlan { rate: 2, flight: 8, load_ms: 1 };
        let f = Fleet::start_standins(plan).await?;
        let e = f.standin_addr("e0")?;
        let names: Vec<_> = (0..20).map(|i| format!("a{i}:1")).collect();
        let out = join_all(names.iter().map(|n| load_adapter(e, n, 1))).await;
        let failed = out.iter().filter(|o| o.0 == 502).count();
        assert!(failed >= 10, "{out:?}");
    }
    // Guards against streams that cannot be resumed at an offset.
    a_broken_stream_goes_on_from_an_offset: {
        let (f, e) = one_engine(|_| {}).await?;
        load_adapter(e, "a0:1", 1).await;
        f.set_faults("e0", json!({"cut_after": 3})).await?;
        let (_, broken) = post(e, "/v1/completions", completion("a0:1", "r1", 5, 0)).await;
        // The connection may lose the last token before the break.
        assert!(broken.contains("a0:1#1 ") && !broken.contains("a0:1#3 "), "{broken}");
        assert!(!broken.contains("done"), "{broken}");
        f.set_faults("e0", json!({"cut_after": 0})).await?;
        let mut r = Client::default()
            .get(format!("http://{e}/v1/streams/r1?from=3")).send().await.unwrap();
        let rest = String::from_utf8_lossy(&r.body().await.unwrap()).into_owned();
        let events: Vec<Value> = rest.split("\n\n").filter_map(|d| d.strip_prefix("data: "))
            .map(|d| serde_json::from_str(d).unwrap()).collect();
        assert_eq!(events, [
            json!({"id": "r1", "offset": 3, "text": "a0:1#3 "}),
            json!({"id": "r1", "offset": 4, "text": "a0:1#4 "}),
            json!({"id": "r1", "offset": 5, "done": true, "total": 5, "prompt_tokens": 1}),
        ]);
    }
    // Guards against priorities without effect on the order of service.
    a_lower_priority_number_is_served_first: {
        let (f, e) = one_engine(|e| (e.batch, e.token_ms) = (1, 20)).await?;
        load_adapter(e, "a0:1", 1).await;
        let send = |id: &'static str, priority| async move {
            post(e, "/v1/completions", completion("a0:1", id, 10, priority)).await
        };
        let later = |id, priority| async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            send(id, priority).await
        };
        tokio::join!(send("first", 2), later("slow", 2), later("urgent", 0));
        let begun: Vec<_> = f.journal("e0").await?.into_iter().filter(|e| e.kind == "begin")
            .filter_map(|e| e.request_id).collect();
        assert_eq!(begun, ["first", "urgent", "slow"]);
    }
    // Guards against a journal that does not record whether an unloaded instance was in use.
    the_journal_records_an_eviction_in_use: {
        let (f, e) = one_engine(|e| e.token_ms = 50).await?;
        load_adapter(e, "a0:1", 1).await;
        let unload = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            post(e, "/v1/unload_lora_adapter", json!({"lora_name": "a0:1", "fence": 1})).await
        };
        tokio::join!(post(e, "/v1/completions", completion("a0:1", "r1", 20, 0)), unload);
        let found = f.journal("e0").await?.into_iter().find(|e| e.kind == "unload").unwrap();
        assert!(found.in_use && found.code.is_none());
    }
    // Guards against adapters and streams that survive a cold restart.
    a_cold_restart_drops_adapters_and_streams: {
        let (f, e) = one_engine(|e| e.token_ms = 20).await?;
        load_adapter(e, "a0:1", 1).await;
        let restart = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            f.restart_engine("e0").await.unwrap();
        };
        let ((_, text), ()) =
            tokio::join!(post(e, "/v1/completions", completion("a0:1", "r1", 50, 0)), restart);
        assert!(text.contains("a0:1#0 ") && !text.contains("done"), "{text}");
        let o = post(e, "/v1/completions", completion("a0:1", "r2", 5, 0)).await;
        assert_eq!(o, (404, r#"{"code":"unknown_instance"}"#.into()));
        let report: Value = f.http.get(e, "/v1/report").await?;
        assert_eq!(report["boot"], "e0-2");
    }
    // Guards against a watch that misses a change, and a stale service that serves it.
    a_watch_answers_on_a_change_unless_the_service_is_stale: {
        let f = Fleet::start_standins(FleetPlan::new(3)).await?;
        let c = f.standin_addr("config")?;
        f.http.put(c, "/control/values/head", "one".into()).await?;
        let watch = f.http.status(c, "/v1/watch/head?after=1&wait_ms=20000");
        let write = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            f.http.put(c, "/control/values/head", "two".into()).await.unwrap();
        };
        let (status, ()) = tokio::join!(watch, write);
        assert_eq!(status, Some(200));
        f.set_faults("config", json!({"stale": true})).await?;
        f.http.put(c, "/control/values/head", "three".into()).await?;
        assert_eq!(f.http.status(c, "/v1/watch/head?after=2&wait_ms=200").await, Some(304));
        f.set_faults("config", json!({"down": true})).await?;
        assert_eq!(f.http.status(c, "/v1/values/head").await, Some(503));
        f.set_faults("config", json!({})).await?;
        assert_eq!(f.http.status(c, "/v1/watch/head?after=2&wait_ms=200").await, Some(200));
    }
}
