//! HTTP interface of an engine: commands, completions, reports and faults.

use std::sync::Arc;

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Data, Json, Path, Query, ServiceConfig},
};
use awc::Client;
use bytes::Bytes;
use futures::stream;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;

use super::{
    Engine, FaultChange,
    state::{Phase, Stream},
};
use crate::common::{JournalQuery, error_response, header_names, header_values, lock};

#[derive(Deserialize)]
struct Load {
    lora_name: String,
    lora_path: String,
    #[serde(default)]
    fence: u64,
}

#[derive(Deserialize)]
struct Unload {
    lora_name: String,
    #[serde(default)]
    fence: u64,
}

#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    max_tokens: u64,
    request_id: String,
    #[serde(default)]
    priority: u8,
}

#[derive(Deserialize)]
struct Resume {
    #[serde(default)]
    from: u64,
}

/// Registers the routes of an engine.
pub fn routes(cfg: &mut ServiceConfig, state: Data<Engine>) {
    // The weight store answers within a few seconds in all tests.
    let client = Client::builder().timeout(std::time::Duration::from_secs(30)).finish();
    cfg.app_data(state)
        .app_data(Data::new(client))
        .route("/v1/load_lora_adapter", web::post().to(load))
        .route("/v1/unload_lora_adapter", web::post().to(unload))
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/streams/{id}", web::get().to(resume))
        .route("/v1/streams/{id}", web::delete().to(cancel))
        .route("/v1/report", web::get().to(report))
        .route("/control/faults", web::post().to(faults))
        .route("/control/restart", web::post().to(restart))
        .route("/control/journal", web::get().to(journal));
}

async fn load(e: Data<Engine>, client: Data<Client>, l: Json<Load>) -> HttpResponse {
    // As on real engines, a load continues after its caller has disconnected.
    let task = actix_web::rt::spawn(async move {
        let result = run_load(&e, &client, &l).await;
        lock(&e.state).record(json!({
            "kind": "load", "instance": l.lora_name, "path": l.lora_path, "fence": l.fence,
            "code": result.err().map(|r| r.1),
        }));
        result
    });
    match task.await {
        Ok(Ok(())) => HttpResponse::Ok().json(json!({})),
        Ok(Err((status, code))) => error_response(status, code),
        Err(_) => error_response(502, "load_failed"),
    }
}

async fn run_load(e: &Engine, client: &Client, l: &Load) -> Result<(), (u16, &'static str)> {
    let (boot, done, fail) = loop {
        let mut other = {
            let mut s = lock(&e.state);
            if s.is_fenced(&e.settings, l.fence) {
                return Err((409, "fenced"));
            }
            if s.resident.contains_key(&l.lora_name) {
                return Ok(());
            }
            if let Some(other) = s.loading.get(&l.lora_name) {
                other.clone()
            } else {
                if s.resident.len() + s.loading.len() >= e.settings.slots {
                    return Err((409, "no_slot"));
                }
                let (done, wait) = watch::channel(false);
                s.loading.insert(l.lora_name.clone(), wait);
                let ppm = s.faults.load_fail_ppm;
                let fail = s.random.chance(ppm);
                s.record(json!({
                    "kind": "load_begin", "instance": l.lora_name, "path": l.lora_path,
                    "fence": l.fence,
                }));
                break (s.boot, done, fail);
            }
        };
        // Another command is loading the same instance: wait for it and check again.
        let _ = other.changed().await;
    };
    let fetched = fetch(e, client, &l.lora_path).await && !fail;
    let mut s = lock(&e.state);
    if s.boot != boot {
        return Err((502, "load_failed"));
    }
    s.loading.remove(&l.lora_name);
    drop(done);
    if !fetched {
        return Err((502, "load_failed"));
    }
    s.resident.insert(l.lora_name.clone(), 0);
    s.record_report(&e.settings);
    Ok(())
}

async fn fetch(e: &Engine, client: &Client, path: &str) -> bool {
    let Some(store) = &e.settings.store else { return true };
    let (adapter, version) = path.rsplit_once('/').unwrap_or((path, ""));
    let body = json!({"adapter": adapter, "version": version});
    let response = client.post(format!("http://{store}/v1/fetch")).send_json(&body).await;
    response.is_ok_and(|r| r.status().is_success())
}

async fn unload(e: Data<Engine>, u: Json<Unload>) -> HttpResponse {
    let mut s = lock(&e.state);
    let fenced = s.is_fenced(&e.settings, u.fence);
    let running = s.resident.get(&u.lora_name).copied();
    s.record(json!({
        "kind": "unload", "instance": u.lora_name, "fence": u.fence,
        "resident": running.is_some(), "in_use": running.is_some_and(|n| n > 0),
        "code": fenced.then_some("fenced"),
    }));
    if fenced {
        return error_response(409, "fenced");
    }
    s.resident.remove(&u.lora_name);
    s.record_report(&e.settings);
    HttpResponse::Ok().json(json!({}))
}

async fn complete(e: Data<Engine>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let c: Completion = match serde_json::from_slice(&body) {
        Ok(c) => c,
        Err(x) => return HttpResponse::BadRequest().json(json!({"code": x.to_string()})),
    };
    let stream = {
        let mut s = lock(&e.state);
        let refusal = if !s.resident.contains_key(&c.model) {
            Some((404, "unknown_instance"))
        } else if s.streams.contains_key(&c.request_id) {
            Some((409, "duplicate_request"))
        } else if s.running >= e.settings.batch && s.waiting() >= e.settings.queue {
            Some((429, "overloaded"))
        } else {
            None
        };
        s.record(json!({
            "kind": "request", "request_id": c.request_id, "instance": c.model,
            "priority": c.priority, "max_tokens": c.max_tokens, "headers": header_names(&req),
            "header_values": header_values(&req), "body": String::from_utf8_lossy(&body),
            "prompt": c.prompt, "code": refusal.map(|r| r.1),
        }));
        if let Some((status, code)) = refusal {
            return error_response(status, code);
        }
        s.admit(&e.settings, &c.request_id, &c.model, &c.prompt, (c.priority, c.max_tokens))
    };
    let (engine, task) = (e.clone(), stream.clone());
    actix_web::rt::spawn(async move { engine.generate(task).await });
    stream_response(e, stream, 0)
}

async fn resume(e: Data<Engine>, id: Path<String>, q: Query<Resume>) -> HttpResponse {
    let stream = {
        let mut s = lock(&e.state);
        let stream = s.streams.get(&*id).cloned();
        s.record(json!({
            "kind": "resume", "request_id": &*id, "from": q.from, "known": stream.is_some(),
        }));
        stream
    };
    match stream {
        Some(stream) => stream_response(e, stream, q.from),
        None => error_response(404, "unknown_stream"),
    }
}

async fn cancel(e: Data<Engine>, id: Path<String>) -> HttpResponse {
    let mut s = lock(&e.state);
    match s.streams.get(&*id).cloned() {
        Some(stream) => {
            if stream.is_running() {
                s.finish(&stream, Phase::Cancelled);
            }
            HttpResponse::Ok().json(json!({}))
        }
        None => error_response(404, "unknown_stream"),
    }
}

async fn report(e: Data<Engine>) -> HttpResponse {
    let report = lock(&e.state).lagged_report(&e.settings);
    HttpResponse::Ok().json(report)
}

async fn faults(e: Data<Engine>, f: Json<FaultChange>) -> HttpResponse {
    let mut s = lock(&e.state);
    if f.silent == Some(true) && !s.faults.silent {
        s.silence_epoch += 1;
    }
    s.faults.change(&f);
    HttpResponse::Ok().json(json!({}))
}

async fn restart(e: Data<Engine>) -> HttpResponse {
    let mut s = lock(&e.state);
    s.restart(&e.settings);
    HttpResponse::Ok().json(json!({"boot": s.boot}))
}

async fn journal(e: Data<Engine>, q: Query<JournalQuery>) -> HttpResponse {
    lock(&e.state).journal.response(&q)
}

/// State of one response that sends the events of a stream.
struct StreamReader {
    engine: Data<Engine>,
    stream: Arc<Stream>,
    progress: watch::Receiver<super::state::Progress>,
    next: u64,
    sent: u64,
    silence_epoch: u64,
    ended: bool,
}

type Event = Result<Bytes, std::io::Error>;

impl StreamReader {
    /// Returns the next event, or `None` after the last one.
    async fn next_event(&mut self) -> Option<Event> {
        if self.ended {
            return None;
        }
        loop {
            let p = *self.progress.borrow_and_update();
            let (faults, silence_epoch) = {
                let s = lock(&self.engine.state);
                (s.faults, s.silence_epoch)
            };
            // The fault `silent` began after this response: send no more, but keep it open.
            if silence_epoch != self.silence_epoch {
                std::future::pending::<()>().await;
            }
            if faults.cut_after > 0 && self.sent >= faults.cut_after {
                return self.disconnect("cut").await;
            }
            if self.next < p.generated {
                let text = self.chunk(&faults);
                self.next += 1;
                self.sent += 1;
                return Some(Ok(text.into()));
            }
            match p.phase {
                Phase::Running => {
                    let _ = self.progress.changed().await;
                }
                Phase::Done => {
                    self.ended = true;
                    let s = &self.stream;
                    return Some(Ok(sse_event(&json!({
                        "id": s.id, "offset": s.total, "done": true, "total": s.total,
                        "prompt_tokens": s.prompt_tokens,
                    }))
                    .into()));
                }
                Phase::Cancelled | Phase::Lost => return self.disconnect("ended").await,
            }
        }
    }

    fn chunk(&self, faults: &super::Faults) -> String {
        let i = self.next;
        let chunk =
            sse_event(&json!({"id": self.stream.id, "offset": i, "text": self.stream.text(i)}));
        let mut text = String::new();
        if faults.cross && i % 2 == 1 {
            let id = format!("{}-other", self.stream.id);
            text.push_str(&sse_event(&json!({"id": id, "offset": i, "text": "crossed "})));
        }
        text.push_str(&chunk);
        if faults.duplicate {
            text.push_str(&chunk);
        }
        text
    }

    // Breaks the connection. The server drops events that it has not written yet, and it writes them
    // when the body is pending.
    async fn disconnect(&mut self, why: &str) -> Option<Event> {
        self.ended = true;
        tokio::task::yield_now().await;
        Some(Err(std::io::Error::other(why.to_owned())))
    }
}

fn stream_response(engine: Data<Engine>, stream: Arc<Stream>, next: u64) -> HttpResponse {
    let silence_epoch = lock(&engine.state).silence_epoch;
    let progress = stream.progress.subscribe();
    let reader =
        StreamReader { engine, stream, progress, next, sent: 0, silence_epoch, ended: false };
    let body = stream::unfold(reader, |mut r| async move { r.next_event().await.map(|e| (e, r)) });
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(body))
}

fn sse_event(v: &serde_json::Value) -> String {
    format!("data: {v}\n\n")
}
