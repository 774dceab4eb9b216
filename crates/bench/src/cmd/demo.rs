//! `yuccabench demo`: sends one request through a small fleet.

use std::time::Duration;

use argh::FromArgs;

use crate::{
    Error, Result,
    client::{CompletionRequest, Outcome},
    fleet::Fleet,
    plan::{FleetPlan, account_key},
};

/// Start stand-ins and hosts on this machine, send one streaming request, print its response and
/// stop everything.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Args {
    /// number of hosts, 3 to 7
    #[argh(option, default = "3")]
    hosts: u8,
    /// tokens of the completion
    #[argh(option, default = "16")]
    tokens: u64,
}

/// Starts the fleet, sends the request and prints the response.
///
/// # Errors
///
/// The fleet does not start, or the response is not the expected one.
pub async fn run(args: Args) -> Result<()> {
    let fleet = Fleet::start(FleetPlan::new(args.hosts)).await?;
    for h in fleet.hosts() {
        println!("host {} ordinal {} at http://{}", h.name, h.ordinal, h.http);
    }
    let ask = CompletionRequest {
        mark: "demo".into(),
        key: Some(account_key("press")),
        version: Some("1".into()),
        max_tokens: args.tokens,
        ..CompletionRequest::default()
    };
    let host = fleet.addrs()[0];
    let out = fleet.http.complete(host, &ask).await;
    print(&out);
    if out.text == ask.expected("1") && out.is_ok() {
        return Ok(());
    }
    Err(Error::Http(host.to_string(), format!("not the expected answer: {out:?}")))
}

fn print(out: &Outcome) {
    let ms = |us: u64| Duration::from_micros(us.saturating_sub(out.sent_us)).as_millis();
    println!("{}", out.text.trim_end());
    println!(
        "request {}: {} chunks, first after {} ms, end after {} ms",
        out.request_id.as_deref().unwrap_or("-"),
        out.chunks,
        out.first_us.map_or(0, ms),
        ms(out.end_us),
    );
}
