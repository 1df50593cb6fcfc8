//! Cost of the data path: processor time and bytes of a search, a shard call and a
//! frame; memory of a link and a replica.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::layout;
use geraniumgauge::member;
use geraniumgauge::mesh;
use geraniumgauge::mesh::Sender as _;
use geraniumgauge::mesh::message;
use geraniumgauge::metrics;
use geraniumgauge::query;
use geraniumgauge::store;
use geraniumgauge::timer;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::measure::usage;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "calls",
    about: "processor time and bytes per search, shard call and frame; memory per link and replica",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "wide";
/// Numbers of shards that a search asks.
const SHARD_COUNTS: [usize; 3] = [20, 80, 240];
const SEARCHES_PER_S: f64 = 20.0;
/// Number of samples per figure.
const SAMPLE_COUNT: usize = 3;
/// Number of data centres that the peers are spread over.
const DATA_CENTRE_COUNT: usize = 4;
/// Longer than tokio keeps idle threads, which is 10 s.
const IDLE_THREAD_TIMEOUT: time::Duration = time::Duration::from_secs(11);
const LOAD_DURATION: time::Duration = time::Duration::from_secs(4);
const DEADLINE: time::Duration = time::Duration::from_millis(1000);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    let mut costs = Vec::new();
    for width in SHARD_COUNTS {
        let outcome = search_costs(context, width).await?;
        let cost = outcome.figures.get("search_processor_us").copied();
        costs.push((width as f64, cost.unwrap_or(0.0)));
        out.absorb(&format!("shards_{width}_"), outcome);
    }
    let (first, last) = (costs[0], costs[costs.len() - 1]);
    let slope = (last.1 - first.1) / (last.0 - first.0);
    out.set_figure("shard_call_processor_us", slope);
    out.set_figure("search_alone_processor_us", first.1 - slope * first.0);
    if context.policy == query::Policy::Full {
        // Idle threads of the sites end first: if they ended during a measurement, their
        // processor time would be missing from it.
        tokio::time::sleep(IDLE_THREAD_TIMEOUT).await;
        out.absorb("frame_", frame_costs().await?);
        out.absorb("", link_memory().await?);
        replica_memory(&mut out).await?;
    }
    Ok(out)
}

async fn search_costs(
    context: measure::Context,
    width: usize,
) -> Result<outcome::Outcome, measure::Error> {
    let site = context.site(site::Spec::small(SERVICE, width)).await?;
    searches::send_and_tally(
        &site,
        SERVICE,
        SEARCHES_PER_S,
        LOAD_DURATION,
        context.seed,
        DEADLINE,
    )
    .await?;
    let (mut processor, mut frames, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    let mut out = outcome::Outcome::default();
    for sample in 0..SAMPLE_COUNT as u64 {
        let processor_before = usage::processor_time("vm-");
        let frames_before = usage::metric_sum(&site.vms, "mesh_frames_sent").await;
        let bytes_before = usage::metric_sum(&site.vms, "mesh_bytes_sent").await;
        let seed = context.seed + 1 + sample;
        let tally = searches::send_and_tally(
            &site,
            SERVICE,
            SEARCHES_PER_S,
            LOAD_DURATION,
            seed,
            DEADLINE,
        )
        .await?;
        let count = tally.sent() as f64;
        out.violations.extend(tally.outcome(0).violations);
        processor
            .push(usage::processor_time_since("vm-", processor_before).as_secs_f64() * 1e6 / count);
        frames
            .push((usage::metric_sum(&site.vms, "mesh_frames_sent").await - frames_before) / count);
        bytes.push((usage::metric_sum(&site.vms, "mesh_bytes_sent").await - bytes_before) / count);
    }
    usage::Spread::of(processor).set_figure("search_processor_us", &mut out);
    usage::Spread::of(frames).set_figure("search_frames", &mut out);
    usage::Spread::of(bytes).set_figure("search_mesh_bytes", &mut out);
    Ok(out)
}

/// Counts the frames that are received.
#[derive(Default)]
struct FrameCounter(atomic::AtomicU64);

impl mesh::Receiver for FrameCounter {
    fn receive(&self, _: &ids::Vm, _: message::Body) {
        self.0.fetch_add(1, atomic::Ordering::Relaxed);
    }

    fn link_lost(&self, _: &ids::Vm) {}
}

/// One end of a link: a mesh without the rest of a VM.
struct Peer {
    mesh: sync::Arc<mesh::Mesh>,
    frames: sync::Arc<FrameCounter>,
    metrics: metrics::Metrics,
    member: member::Member,
    view: watch::Sender<member::SharedView>,
    stop: CancellationToken,
}

async fn start_peers(count: usize) -> Result<Vec<Peer>, measure::Error> {
    let mut peers = Vec::new();
    for number in 0..count {
        peers.push(start_peer(number).await?);
    }
    let members: Vec<_> = peers.iter().map(|peer| peer.member.clone()).collect();
    for peer in &peers {
        let view = member::View::new(peer.member.vm.clone(), members.clone());
        peer.view.send_replace(sync::Arc::new(view));
    }
    Ok(peers)
}

async fn start_peer(number: usize) -> Result<Peer, measure::Error> {
    let other = |what: String| measure::Error::Other { what };
    let loopback = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = tokio::net::TcpListener::bind(loopback).await;
    let listen = listen.map_err(|error| other(error.to_string()))?;
    let member = member::Member {
        vm: format!("vm-{number}")
            .parse()
            .map_err(|e: ids::Error| other(e.to_string()))?,
        incarnation: ids::Incarnation(1),
        data_centre: site::data_centre(number, DATA_CENTRE_COUNT),
        address: listen
            .local_addr()
            .map_err(|error| other(error.to_string()))?,
        state: member::State::Alive,
    };
    let empty = member::View::new(member.vm.clone(), Vec::new());
    let (view, view_receiver) = watch::channel(sync::Arc::new(empty));
    let (frames, stop) = (
        sync::Arc::new(FrameCounter::default()),
        CancellationToken::new(),
    );
    let metrics = metrics::Metrics::new().map_err(|error| other(error.to_string()))?;
    let config = mesh::Config::new(member.vm.clone(), member.incarnation, listen);
    let timer = timer::Service::new(stop.clone());
    let receive: sync::Arc<dyn mesh::Receiver> = sync::Arc::clone(&frames) as _;
    let mesh = mesh::Mesh::start(config, view_receiver, receive, timer, &metrics.meter());
    Ok(Peer {
        mesh,
        frames,
        metrics,
        member,
        view,
        stop,
    })
}

/// Returns a message of about the size of a reply with one shard's hits.
fn sample_reply() -> message::Body {
    let reply = message::Reply {
        attempt: 1_000_000,
        upstream: "wide-100-1".to_owned(),
        shard: "shard-100".to_owned(),
        outcome: message::Outcome::Hits as i32,
        index_version: 7,
        layout: 1,
        body: bytes::Bytes::from_static(&[b'x'; 400]),
        ..message::Reply::default()
    };
    message::Body::Replies(message::Replies {
        replies: vec![reply],
    })
}

/// Measures the processor time of a frame at both ends together: in bursts, whose
/// frames share writes, and one at a time.
async fn frame_costs() -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    let pair = start_peers(2).await?;
    for (name, burst, count) in [("in_bursts", 100, 100_000), ("alone", 1, 20_000)] {
        let mut processor = Vec::new();
        for _ in 0..SAMPLE_COUNT {
            let processor_before = usage::processor_time("");
            send(&pair, burst, count).await;
            processor.push(
                usage::processor_time_since("", processor_before).as_secs_f64() * 1e6
                    / count as f64,
            );
        }
        usage::Spread::of(processor).set_figure(&format!("{name}_processor_us"), &mut out);
    }
    let text = pair[0].metrics.text().unwrap_or_default();
    let bytes = text
        .lines()
        .find(|line| line.starts_with("mesh_bytes_sent"));
    let bytes = bytes.and_then(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    let sent = pair[1].frames.0.load(atomic::Ordering::Relaxed) as f64;
    out.set_figure("bytes", bytes.unwrap_or(0.0) / sent);
    pair.iter().for_each(|peer| peer.stop.cancel());
    Ok(out)
}

/// Sends at least `count` frames from the first peer to the second, `burst` at a time, and
/// waits after each burst until all of its frames were received.
async fn send(pair: &[Peer], burst: usize, count: usize) {
    let received = || pair[1].frames.0.load(atomic::Ordering::Relaxed);
    let start = received();
    let mut sent = 0;
    while sent < count {
        for _ in 0..burst {
            sent += usize::from(
                pair[0]
                    .mesh
                    .send(&pair[1].member.vm, sample_reply())
                    .is_ok(),
            );
        }
        while received() < start + sent as u64 {
            tokio::task::yield_now().await;
        }
    }
}

/// Measures the memory per link, including both ends, of a full mesh in this process.
async fn link_memory() -> Result<outcome::Outcome, measure::Error> {
    const PEERS: usize = 48;
    let mut out = outcome::Outcome::default();
    let all = start_peers(PEERS).await?;
    let memory_before = usage::resident_bytes();
    for (a, b) in all.iter().flat_map(|a| all.iter().map(move |b| (a, b))) {
        if a.member.vm != b.member.vm {
            let _ = a.mesh.send(&b.member.vm, sample_reply());
        }
    }
    let links = PEERS * (PEERS - 1);
    let arrived = || {
        all.iter()
            .map(|peer| peer.frames.0.load(atomic::Ordering::Relaxed))
    };
    while arrived().sum::<u64>() < links as u64 {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    out.set_figure(
        "link_memory_kib",
        (usage::resident_bytes() - memory_before) / 1024.0 / links as f64,
    );
    all.iter().for_each(|peer| peer.stop.cancel());
    Ok(out)
}

/// Measures the memory of a replica that a VM only knows of, and of one that it has a
/// role for. Three VMs have a role for each replica: with 3 VMs, every VM has one for
/// all replicas, with 12 VMs for a quarter of them.
async fn replica_memory(out: &mut outcome::Outcome) -> Result<(), measure::Error> {
    // The larger number first: memory that the first run frees is reused by the second, whose
    // measured growth may then be too small.
    let (with_12_vms, with_3_vms) = (memory_per_replica(12).await?, memory_per_replica(3).await?);
    let role = (with_3_vms - with_12_vms) / (1.0 - 3.0 / 12.0);
    out.set_figure("replica_with_3_vms_memory_kib", with_3_vms);
    out.set_figure("replica_with_12_vms_memory_kib", with_12_vms);
    out.set_figure("replica_role_memory_kib", role);
    out.set_figure("replica_known_memory_kib", with_3_vms - role);
    Ok(())
}

/// Returns the growth of memory in KiB per VM and replica, without traffic.
async fn memory_per_replica(vms: usize) -> Result<f64, measure::Error> {
    const SERVICES: usize = 50;
    const SHARDS: usize = 40;
    let mut config = site::Config::new(Vec::new());
    config.vms = vms;
    let site = site::Site::start(config).await?;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let memory_before = usage::resident_bytes();
    for number in 0..SERVICES {
        let id = format!("service-{number}");
        let layout = serde_json::to_vec(&layout_of(number, SHARDS)?).unwrap_or_default();
        let document = serde_json::to_vec(&document::Document::default()).unwrap_or_default();
        site.platform.state().objects(|objects| {
            let any = store::Condition::Any;
            let _ = objects.put(&format!("layouts/{id}"), layout.into(), any);
            let _ = objects.put(&format!("documents/{id}"), document.into(), any);
        });
    }
    tokio::time::sleep(time::Duration::from_secs(15)).await;
    let growth = (usage::resident_bytes() - memory_before) / 1024.0;
    Ok(growth / (vms * SERVICES * SHARDS * 2) as f64)
}

/// Returns a layout of upstreams that don't exist.
fn layout_of(number: usize, shards: usize) -> Result<layout::Layout, measure::Error> {
    let invalid_id = |error: ids::Error| measure::Error::Other {
        what: error.to_string(),
    };
    let mut layout = layout::Layout {
        version: ids::LayoutVersion(1),
        upstreams: Vec::new(),
        shards: Vec::new(),
    };
    for shard in 0..shards {
        let mut replicas = Vec::new();
        for replica in 0..2 {
            let id: ids::Upstream = format!("u-{number}-{shard}-{replica}")
                .parse()
                .map_err(invalid_id)?;
            replicas.push(id.clone());
            layout.upstreams.push(layout::Upstream {
                id,
                address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
                data_centre: site::data_centre(shard + replica, 3),
                slots: 2,
                connections: 25,
                connect_ms: 6,
            });
        }
        layout.shards.push(layout::Shard {
            id: format!("shard-{shard}").parse().map_err(invalid_id)?,
            replicas,
        });
    }
    Ok(layout)
}
