//! The table of settings: names, ranges and meanings.

use std::net;
use std::time;

use geraniumgauge::jsonc;
use geraniumgauge::rate;
use geraniumgauge::time as clock;

use crate::settings;

type Field = jsonc::Field<settings::Settings>;

/// Every setting, in the order of the help page.
pub(crate) static FIELDS: &[Field] = &[
    Field {
        path: "vm",
        required: true,
        doc: "This VM's name, unique among the VMs.",
        kind: jsonc::Kind::Text {
            form: "a name of letters, digits and . _ : -",
            get: |kept| Some(kept.vm.to_string()),
            set: |kept, text| jsonc::parse_into(&mut kept.vm, text),
        },
    },
    Field {
        path: "data_centre",
        required: true,
        doc: "The data centre it runs in, as the layouts name it.",
        kind: jsonc::Kind::Text {
            form: "a name of letters, digits and . _ : -",
            get: |kept| Some(kept.data_centre.to_string()),
            set: |kept, text| jsonc::parse_into(&mut kept.data_centre, text),
        },
    },
    Field {
        path: "callers",
        required: true,
        doc: "Where callers' HTTP requests are taken.",
        kind: jsonc::Kind::Text {
            form: "ip:port",
            get: |kept| Some(kept.callers.to_string()),
            set: |kept, text| keep(&mut kept.callers, address(text)),
        },
    },
    Field {
        path: "operators",
        required: true,
        doc: "Where /healthz, /readyz and /metrics are served.",
        kind: jsonc::Kind::Text {
            form: "ip:port",
            get: |kept| Some(kept.operators.to_string()),
            set: |kept, text| keep(&mut kept.operators, address(text)),
        },
    },
    Field {
        path: "mesh",
        required: true,
        doc: "Where other VMs reach this one: TCP and UDP on the same port.",
        kind: jsonc::Kind::Text {
            form: "ip:port",
            get: |kept| Some(kept.mesh.to_string()),
            set: |kept, text| keep(&mut kept.mesh, address(text)),
        },
    },
    Field {
        path: "store",
        required: true,
        doc: "The platform's object API.",
        kind: jsonc::Kind::Text {
            form: "http://ip:port",
            get: |kept| Some(kept.store.clone()),
            set: |kept, text| keep(&mut kept.store, url(text)),
        },
    },
    Field {
        path: "seeds",
        required: false,
        doc: "Mesh addresses to join by while the platform's list of VMs can't be had.",
        kind: jsonc::Kind::Texts {
            form: "ip:port",
            get: |kept| kept.seeds.iter().map(ToString::to_string).collect(),
            push: add_seed,
        },
    },
    Field {
        path: "log.level",
        required: false,
        doc: "The least severe level that is logged.",
        kind: jsonc::Kind::Text {
            form: "one of error, warn, info, debug, trace, off",
            get: |kept| Some(kept.log.level.to_string().to_lowercase()),
            set: |kept, text| {
                choose(
                    &mut kept.log.level,
                    text,
                    "error, warn, info, debug, trace, off",
                )
            },
        },
    },
    Field {
        path: "log.file",
        required: false,
        doc: "The file that JSON lines are added to; standard error where it is not set.",
        kind: jsonc::Kind::Text {
            form: "a path",
            get: |kept| {
                kept.log
                    .file
                    .as_ref()
                    .map(|file| file.display().to_string())
            },
            set: |kept, text| {
                kept.log.file = Some(text.into());
                Ok(())
            },
        },
    },
    Field {
        path: "stop.balancer_wait_ms",
        required: false,
        doc: "How long requests are still taken after readiness is turned off, for the balancer to notice.",
        kind: jsonc::Kind::Integer {
            min: 0,
            max: 60_000,
            unit: "ms",
            get: |kept| clock::millis(kept.stop.balancer_wait),
            set: |kept, value| kept.stop.balancer_wait = time::Duration::from_millis(value),
        },
    },
    Field {
        path: "stop.grace_ms",
        required: false,
        doc: "How long requests under way may still take after that; above the longest deadline.",
        kind: jsonc::Kind::Integer {
            min: 100,
            max: 600_000,
            unit: "ms",
            get: |kept| clock::millis(kept.stop.grace),
            set: |kept, value| kept.stop.grace = time::Duration::from_millis(value),
        },
    },
    Field {
        path: "limits.body_bytes",
        required: false,
        doc: "Largest body of a request.",
        kind: jsonc::Kind::Integer {
            min: 1 << 10,
            max: 16 << 20,
            unit: "bytes",
            get: |kept| kept.limits.body.0,
            set: |kept, value| kept.limits.body = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.query_bytes",
        required: false,
        doc: "Largest query within the body of a search.",
        kind: jsonc::Kind::Integer {
            min: 256,
            max: 16 << 20,
            unit: "bytes",
            get: |kept| kept.limits.query.0,
            set: |kept, value| kept.limits.query = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.header_bytes",
        required: false,
        doc: "Largest set of headers of a request.",
        kind: jsonc::Kind::Integer {
            min: 1 << 10,
            max: 1 << 20,
            unit: "bytes",
            get: |kept| kept.limits.header.0,
            set: |kept, value| kept.limits.header = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.frame_bytes",
        required: false,
        doc: "Largest frame between VMs; a body must fit in it.",
        kind: jsonc::Kind::Integer {
            min: 128 << 10,
            max: 64 << 20,
            unit: "bytes",
            get: |kept| kept.limits.frame.0,
            set: |kept, value| kept.limits.frame = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.requests",
        required: false,
        doc: "Requests that run at once, of all services together; more are refused with 429.",
        kind: jsonc::Kind::Integer {
            min: 1,
            max: 100_000,
            unit: "requests",
            get: |kept| u64::from(kept.limits.requests),
            set: |kept, value| kept.limits.requests = u32::try_from(value).unwrap_or(u32::MAX),
        },
    },
    Field {
        path: "policy",
        required: false,
        doc: "How fan-outs are run; all but full are baselines to measure against.",
        kind: jsonc::Kind::Text {
            form: "one of full, no-hedge, direct",
            get: |kept| Some(kept.policy.to_string()),
            set: |kept, text| choose(&mut kept.policy, text, "full, no-hedge, direct"),
        },
    },
];

fn keep<V>(kept: &mut V, value: Result<V, String>) -> Result<(), String> {
    *kept = value?;
    Ok(())
}

fn choose<V: std::str::FromStr>(kept: &mut V, text: &str, choices: &str) -> Result<(), String> {
    let value = text.parse();
    keep(
        kept,
        value.map_err(|_| format!("{text:?} is no choice; give one of {choices}")),
    )
}

fn address(text: &str) -> Result<net::SocketAddr, String> {
    let parsed = text.parse::<net::SocketAddr>();
    let remedy = "give an IP number and a port, such as 127.0.0.1:7100 (names aren't looked up)";
    let address = parsed.map_err(|_| format!("{text:?} is no ip:port; {remedy}"))?;
    if address.port() == 0 {
        return Err("port 0 stands for any port; give the port".to_owned());
    }
    Ok(address)
}

fn url(text: &str) -> Result<String, String> {
    let base = text.strip_suffix('/').unwrap_or(text);
    let remedy = "give http://, an IP number and a port, such as http://127.0.0.1:7000";
    let Some(host) = base.strip_prefix("http://") else {
        return Err(format!("{text:?} is no http URL; {remedy}"));
    };
    address(host).map_err(|_| format!("{text:?} is no http URL by IP number; {remedy}"))?;
    Ok(base.to_owned())
}

fn add_seed(kept: &mut settings::Settings, text: &str) -> Result<(), String> {
    let seed = address(text)?;
    if kept.seeds.contains(&seed) {
        return Err(format!("{seed} is listed twice; list it once"));
    }
    kept.seeds.push(seed);
    Ok(())
}
