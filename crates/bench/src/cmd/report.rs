//! `yuccabench report`: plots (SVG) and a summary page (Markdown) of a result.

use std::{
    fmt::Write as _,
    fs,
    path::{Path, PathBuf},
};

use argh::FromArgs;
use plotters::prelude::*;

use crate::{
    Error, Result,
    results::{Latency, Results, Second},
};

/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (800, 360);

/// Draw plots (SVG) and write a summary page (Markdown) next to a result.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Args {
    /// result of `yuccabench run` (JSON)
    #[argh(positional)]
    result: PathBuf,
}

/// Data series of a plot, drawn as a line.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Writes the plots and the page, and prints the path of the page.
///
/// # Errors
///
/// The result cannot be read or a file cannot be written.
pub fn run(args: &Args) -> Result<()> {
    let file = |e| Error::File(args.result.clone(), e);
    let r: Results = serde_json::from_str(&fs::read_to_string(&args.result).map_err(file)?)?;
    let plot = |kind: &str| args.result.with_extension(format!("{kind}.svg"));
    draw(
        &plot("latency"),
        "time to first token",
        ("percentile", "ms"),
        &latency(&r, |l| &l.first),
    )?;
    draw(&plot("total"), "time to end", ("percentile", "ms"), &latency(&r, |l| &l.total))?;
    draw(&plot("requests"), "requests per second", ("s", "requests"), &requests(&r))?;
    let tokens = vec![series("tokens", &r, |s| s.tokens)];
    draw(&plot("tokens"), "tokens per second", ("s", "tokens"), &tokens)?;
    let page = args.result.with_extension("md");
    fs::write(&page, markdown(&r, &args.result)).map_err(|e| Error::File(page.clone(), e))?;
    println!("{}", page.display());
    Ok(())
}

fn latency(r: &Results, f: impl Fn(&Latency) -> &Vec<(f64, f64)>) -> Vec<Series> {
    r.latency.iter().map(|(n, l)| Series { name: n.clone(), points: f(l).clone() }).collect()
}

fn requests(r: &Results) -> Vec<Series> {
    vec![
        series("sent", r, |s| s.sent),
        series("served", r, |s| s.served),
        series("limited", r, |s| s.limited),
        series("wrongful", r, |s| s.wrongful),
        series("refused", r, |s| s.refused),
        series("failed", r, |s| s.failed),
    ]
}

fn series(name: &str, r: &Results, f: impl Fn(&Second) -> u64) -> Series {
    let points = r.timeline.iter().enumerate().map(|(i, s)| (i as f64, f(s) as f64));
    Series { name: name.into(), points: points.collect() }
}

fn draw(path: &Path, title: &str, axes: (&str, &str), lines: &[Series]) -> Result<()> {
    plot(path, title, axes, lines).map_err(|e| Error::Plot(e.to_string()))
}

fn plot(
    path: &Path,
    title: &str,
    (x, y): (&str, &str),
    lines: &[Series],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let max =
        |f: fn(&(f64, f64)) -> f64| lines.iter().flat_map(|l| &l.points).map(f).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..max(|p| p.0), 0.0..max(|p| p.1) * 1.05)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (i, l) in lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(l.points.iter().copied(), colour.stroke_width(2)))?
            .label(&l.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}

fn markdown(r: &Results, result: &Path) -> String {
    let (q, m) = (&r.requests, &r.metrics);
    let mut t = format!("# {}\n\n{}\n\n", r.scenario, r.note);
    let build = if r.debug_build { "without" } else { "with" };
    let _ =
        writeln!(t, "Seed {}, {} s measured, built {build} optimisation.\n", r.seed, r.duration_s);
    let _ = writeln!(t, "| measure | value |\n| --- | --- |");
    let mut row = |name: &str, value: String| {
        let _ = writeln!(t, "| {name} | {value} |");
    };
    row(
        "requests sent, served, refused, failed, dropped",
        format!("{}, {}, {}, {}, {}", q.sent, q.served, q.refused, q.failed, q.dropped),
    );
    row(
        "load stalls",
        format!(
            "{} (p50 {:.0} ms, p99 {:.0} ms)",
            m.stalls.count, m.stalls.p50_ms, m.stalls.p99_ms
        ),
    );
    row("seconds of load stalls per 1,000 requests", format!("{:.1}", m.stalls.seconds_per_1000));
    row("stalls of least-loaded with LRU", r.baselines.lru.count.to_string());
    row(
        "loads, and those of a clairvoyant placement",
        format!("{}, {}", m.stalls.loads, r.baselines.clairvoyant_loads),
    );
    if let Some(b) = m.batch {
        row("batch efficiency", format!("{:.3} over {:.1} s", b.efficiency, b.waiting_s));
    }
    if let Some(w) = &m.worst {
        row(
            "worst-served account",
            format!("{} at {:.3}, p99 x {:.2}", w.account, w.served, w.first_p99),
        );
    }
    row(
        "wrongful refusals",
        format!("{} of {} requests", m.refusals.wrongful, m.refusals.requests),
    );
    row("wrongful refusals of an equal split", r.baselines.equal_split.wrongful.to_string());
    row("violations", format!("{:?}", r.violations));
    let _ = writeln!(
        t,
        "\n| account | sent | served | offered | allowed | received | ratio | first p99 ms | wrongful |"
    );
    let _ = writeln!(t, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (n, a) in &r.accounts {
        let _ = writeln!(
            t,
            "| {n} | {} | {} | {} | {} | {} | {:.3} | {:.1} | {} |",
            a.sent,
            a.served,
            a.offered,
            a.allowed,
            a.received,
            a.ratio,
            a.first_p99_ms,
            a.refusals.wrongful
        );
    }
    let _ = writeln!(
        t,
        "\n| host | CPU (cores) | memory KB | peers B/s | platform B/s | upstreams B/s |"
    );
    let _ = writeln!(t, "| --- | --- | --- | --- | --- | --- |");
    for (n, u) in &r.usage {
        let _ = writeln!(
            t,
            "| {n} | {:.3} | {} | {:.0} | {:.0} | {:.0} |",
            u.cpu, u.rss_kb, u.peer_bytes, u.platform_bytes, u.upstream_bytes
        );
    }
    if !r.faults.is_empty() {
        t.push_str("\nFaults:\n\n");
        for (at, what) in &r.faults {
            let _ = writeln!(t, "- {at:.1} s: {what}");
        }
    }
    if !r.examples.is_empty() {
        t.push_str("\nViolations:\n\n");
        for e in &r.examples {
            let _ = writeln!(t, "- {e}");
        }
    }
    t.push('\n');
    for kind in ["latency", "total", "requests", "tokens"] {
        let file = result.with_extension(format!("{kind}.svg"));
        let name = file.file_name().map_or_else(String::new, |n| n.display().to_string());
        let _ = writeln!(t, "![{kind}]({name})");
    }
    t
}
