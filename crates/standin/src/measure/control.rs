//! Cost of the control plane per VM as the number of VMs grows. Members that run only the
//! membership protocol are tasks of this process, so many can be measured. A complete VM
//! needs threads of its own, so only a few can run here; their store calls are counted too.

use std::net;
use std::sync;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::member;
use geraniumgauge::metrics;
use geraniumgauge::store;
use geraniumgauge::time::Clock;
use geraniumgauge::timer;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;

use crate::measure;
use crate::measure::outcome;
use crate::measure::usage;
use crate::measure::vm_loss;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "control",
    about: "processor time, memory, bytes and store calls of the control plane per VM, by number of VMs",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

/// Promise that every member sees all members.
const JOINED: &str = "every VM becomes a member";
/// Promise that an update reaches every member.
const UPDATE_RECEIVED: &str = "news reaches every VM";

/// Numbers of members to measure.
const MEMBER_COUNTS: [usize; 4] = [8, 32, 128, 512];
/// Numbers of complete VMs to measure, the largest first: memory that one run frees is
/// reused by the next, so the growth measured for a later run is too small and only the
/// first run's `memory_kib` is reliable.
const VM_COUNTS: [usize; 3] = [32, 16, 8];
/// Time over which each sample is taken.
const SAMPLE_DURATION: time::Duration = time::Duration::from_secs(3);
/// Number of samples per figure.
const SAMPLE_COUNT: usize = 3;
/// Number of data centres that the members are spread over.
const DATA_CENTRE_COUNT: usize = 4;
/// Time limit for a change to reach all members; exceeding it is a violation. It is so
/// long that only a lost change exceeds it.
const CONVERGENCE_TIMEOUT: time::Duration = time::Duration::from_secs(90);

async fn run(_: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    for count in VM_COUNTS {
        out.absorb(&format!("vms_{count}_"), measure_complete_vms(count).await?);
    }
    for count in MEMBER_COUNTS {
        out.absorb(&format!("members_{count}_"), measure_members(count).await?);
    }
    Ok(out)
}

/// A member that runs the membership protocol and nothing else.
struct Member {
    service: member::Service,
    metrics: metrics::Metrics,
    updates: broadcast::Receiver<member::Update>,
    address: net::SocketAddr,
    stop: CancellationToken,
}

async fn measure_members(count: usize) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    let memory_before = usage::resident_bytes();
    let mut all = Vec::new();
    let start = tokio::time::Instant::now();
    for number in 0..count {
        let seed_address = all.first().map(|first: &Member| first.address);
        all.push(start_member(number, seed_address).await?);
    }
    if !wait_until_views_hold(&all, count).await {
        out.add_violation(
            JOINED,
            "-",
            format!("{count} members, after {CONVERGENCE_TIMEOUT:?}"),
        );
    }
    out.set_figure("joined_ms", start.elapsed().as_secs_f64() * 1e3);
    out.set_figure(
        "settled_ms",
        wait_until_settled(&all).await.as_secs_f64() * 1e3,
    );
    measure_idle(&all, &mut out).await;
    out.set_figure(
        "memory_kib",
        (usage::resident_bytes() - memory_before) / 1024.0 / count as f64,
    );
    measure_update(&mut all, &mut out).await;
    measure_loss(&mut all, &mut out).await;
    for member in all {
        member.stop.cancel();
    }
    // Lets the tasks of the stopped members end before the next measurement.
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    Ok(out)
}

async fn start_member(
    number: usize,
    seed_address: Option<net::SocketAddr>,
) -> Result<Member, measure::Error> {
    let other = |what: String| measure::Error::Other { what };
    let parse = |text: String| text.parse().map_err(|e: ids::Error| other(e.to_string()));
    let loopback = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = tokio::net::UdpSocket::bind(loopback).await;
    let socket = socket.map_err(|error| other(error.to_string()))?;
    let address = socket
        .local_addr()
        .map_err(|error| other(error.to_string()))?;
    let data_centre = site::data_centre(number, DATA_CENTRE_COUNT);
    let vm = parse(format!("vm-{number}"))?;
    let mut config = member::Config::new(vm, ids::Incarnation(1), data_centre, address, socket);
    config.seeds.extend(seed_address);
    let stop = CancellationToken::new();
    let metrics = metrics::Metrics::new().map_err(|error| other(error.to_string()))?;
    let service = member::Service::start(
        config,
        sync::Arc::new(store::Fake::new()),
        Clock::start(),
        timer::Service::new(stop.clone()),
        &metrics.meter(),
    );
    Ok(Member {
        updates: service.updates(),
        service,
        metrics,
        address,
        stop,
    })
}

/// Waits until the view of every member holds exactly `count` members. Returns whether
/// that happened within `CONVERGENCE_TIMEOUT`.
async fn wait_until_views_hold(all: &[Member], count: usize) -> bool {
    let waiting = all.iter().map(|member| {
        let mut view = member.service.view();
        async move {
            view.wait_for(|view| view.members.len() == count)
                .await
                .is_ok()
        }
    });
    let waiting = futures_util::future::join_all(waiting);
    let reached = tokio::time::timeout(CONVERGENCE_TIMEOUT, waiting).await;
    reached.is_ok_and(|reached| reached.iter().all(|reached| *reached))
}

/// Waits until no updates about the joining members are queued for sending, at most
/// `CONVERGENCE_TIMEOUT`. Returns how long that took.
async fn wait_until_settled(all: &[Member]) -> time::Duration {
    let start = tokio::time::Instant::now();
    while metric_sum(all, "member_news_queued") > 0.0 && start.elapsed() < CONVERGENCE_TIMEOUT {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
    start.elapsed()
}

fn bytes_sent(all: &[Member]) -> f64 {
    metric_sum(all, "member_bytes_sent")
}

fn metric_sum(all: &[Member], name: &str) -> f64 {
    let texts = all.iter().filter_map(|member| member.metrics.text().ok());
    let figures = texts.filter_map(|text| {
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit_once(' ')?.1.parse::<f64>().ok()
    });
    figures.sum()
}

/// Measures members while nothing changes, when they only probe and compare views.
async fn measure_idle(all: &[Member], out: &mut outcome::Outcome) {
    let (mut processor, mut bytes) = (Vec::new(), Vec::new());
    for _ in 0..SAMPLE_COUNT {
        let (processor_before, sent_before) = (usage::processor_time(""), bytes_sent(all));
        tokio::time::sleep(SAMPLE_DURATION).await;
        let member_seconds = all.len() as f64 * SAMPLE_DURATION.as_secs_f64();
        processor.push(
            usage::processor_time_since("", processor_before).as_secs_f64() * 100.0
                / member_seconds,
        );
        bytes.push((bytes_sent(all) - sent_before) / member_seconds);
    }
    usage::Spread::of(processor).set_figure("quiet_core_percent", out);
    usage::Spread::of(bytes).set_figure("quiet_sent_bytes_per_s", out);
}

/// Measures an update that is published by one member and received by all, as when a
/// document is accepted.
async fn measure_update(all: &mut [Member], out: &mut outcome::Outcome) {
    let (mut took, mut bytes, mut processor) = (Vec::new(), Vec::new(), Vec::new());
    for version in 1..=SAMPLE_COUNT as u64 {
        let (processor_before, sent_before) = (usage::processor_time(""), bytes_sent(all));
        let start = tokio::time::Instant::now();
        all[0]
            .service
            .publish(new_update(member::Topic::Catalog, "wide", version));
        let waiting = all
            .iter_mut()
            .map(|member| wait_for_update(member, version));
        let waiting = futures_util::future::join_all(waiting);
        if tokio::time::timeout(CONVERGENCE_TIMEOUT, waiting)
            .await
            .is_err()
        {
            out.add_violation(
                UPDATE_RECEIVED,
                "-",
                format!("version {version} after {CONVERGENCE_TIMEOUT:?}"),
            );
        }
        took.push(start.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(SAMPLE_DURATION).await;
        let member_count = all.len() as f64;
        bytes.push((bytes_sent(all) - sent_before) / member_count);
        processor.push(
            usage::processor_time_since("", processor_before).as_secs_f64() * 1e3 / member_count,
        );
    }
    usage::Spread::of(took).set_figure("change_heard_ms", out);
    // Includes what an idle member sends in the same time.
    usage::Spread::of(bytes).set_figure("change_sent_bytes", out);
    usage::Spread::of(processor).set_figure("change_processor_ms", out);
}

/// Returns an update whose body is 16 zero bytes.
fn new_update(topic: member::Topic, key: &str, version: u64) -> member::Update {
    member::Update {
        topic,
        key: key.to_owned(),
        version,
        body: bytes::Bytes::from_static(&[0; 16]),
    }
}

/// Waits until the member has received version `version` of the catalog update, or its
/// updates end.
async fn wait_for_update(member: &mut Member, version: u64) {
    loop {
        match member.updates.recv().await {
            Ok(update) if update.topic == member::Topic::Catalog && update.version == version => {
                break;
            }
            Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}

/// Measures the loss of a quarter of the members at once, as when a data centre fails.
async fn measure_loss(all: &mut Vec<Member>, out: &mut outcome::Outcome) {
    for dead in all.split_off(all.len() * 3 / 4) {
        dead.stop.cancel();
    }
    let sent_before = bytes_sent(all);
    let start = tokio::time::Instant::now();
    if !wait_until_views_hold(all, all.len()).await {
        out.add_violation(
            vm_loss::REMOVED,
            "-",
            format!("after {CONVERGENCE_TIMEOUT:?}"),
        );
    }
    let took = start.elapsed().as_secs_f64();
    out.set_figure("quarter_lost_ms", took * 1e3);
    let bytes_per_s_per_member = (bytes_sent(all) - sent_before) / all.len() as f64 / took;
    out.set_figure("quarter_lost_sent_bytes_per_s", bytes_per_s_per_member);
}

/// Measures complete VMs without load: processor time, memory and store calls.
async fn measure_complete_vms(count: usize) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    let memory_before = usage::resident_bytes();
    let mut config = site::Config::new(vec![site::Spec::small("wide", 8)]);
    config.vms = count;
    let site = site::Site::start(config).await?;
    tokio::time::sleep(SAMPLE_DURATION).await;
    out.set_figure(
        "memory_kib",
        (usage::resident_bytes() - memory_before) / 1024.0 / count as f64,
    );
    let (mut processor, mut rates_by_kind) = (Vec::new(), vec![Vec::new(); 5]);
    for _ in 0..SAMPLE_COUNT {
        let (processor_before, counts_before) =
            (usage::processor_time("vm-"), site.platform.state().counts());
        tokio::time::sleep(SAMPLE_DURATION).await;
        let vm_seconds = count as f64 * SAMPLE_DURATION.as_secs_f64();
        processor.push(
            usage::processor_time_since("vm-", processor_before).as_secs_f64() * 100.0 / vm_seconds,
        );
        let counts_after = site.platform.state().counts();
        let counts_by_kind = [
            counts_after.get - counts_before.get,
            counts_after.put - counts_before.put,
            counts_after.list - counts_before.list,
            counts_after.watch - counts_before.watch,
            counts_after.vms - counts_before.vms,
        ];
        for (rates, number) in rates_by_kind.iter_mut().zip(counts_by_kind) {
            rates.push(number as f64 / vm_seconds);
        }
    }
    usage::Spread::of(processor).set_figure("quiet_core_percent", &mut out);
    let names = ["get", "put", "list", "watch", "vms"];
    for (name, rates) in names.iter().zip(rates_by_kind) {
        usage::Spread::of(rates).set_figure(&format!("store_{name}_per_s"), &mut out);
    }
    Ok(out)
}
