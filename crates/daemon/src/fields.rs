//! Table of the settings: names, ranges and descriptions.

use std::net;
use std::time;

use geraniumgauge::jsonc;
use geraniumgauge::rate;
use geraniumgauge::time as clock;

use crate::settings;

type Field = jsonc::Field<settings::Settings>;

/// Every setting, in the order of the help text.
pub(crate) static FIELDS: &[Field] = &[
    Field {
        path: "vm",
        required: true,
        doc: "Name of this VM, unique among all VMs.",
        kind: jsonc::Kind::Text {
            form: "a name of letters, digits and . _ : -",
            get: |settings| Some(settings.vm.to_string()),
            set: |settings, text| jsonc::parse_into(&mut settings.vm, text),
        },
    },
    Field {
        path: "data_centre",
        required: true,
        doc: "Data centre that this VM runs in, as named in the layouts.",
        kind: jsonc::Kind::Text {
            form: "a name of letters, digits and . _ : -",
            get: |settings| Some(settings.data_centre.to_string()),
            set: |settings, text| jsonc::parse_into(&mut settings.data_centre, text),
        },
    },
    Field {
        path: "callers",
        required: true,
        doc: "Address of the HTTP listener for callers.",
        kind: jsonc::Kind::Text {
            form: "ip:port",
            get: |settings| Some(settings.callers_address.to_string()),
            set: |settings, text| assign(&mut settings.callers_address, parse_address(text)),
        },
    },
    Field {
        path: "operators",
        required: true,
        doc: "Address of the HTTP listener for /healthz, /readyz and /metrics.",
        kind: jsonc::Kind::Text {
            form: "ip:port",
            get: |settings| Some(settings.operators_address.to_string()),
            set: |settings, text| assign(&mut settings.operators_address, parse_address(text)),
        },
    },
    Field {
        path: "mesh",
        required: true,
        doc: "Address at which other VMs reach this one, TCP and UDP on the same port.",
        kind: jsonc::Kind::Text {
            form: "ip:port",
            get: |settings| Some(settings.mesh_address.to_string()),
            set: |settings, text| assign(&mut settings.mesh_address, parse_address(text)),
        },
    },
    Field {
        path: "store",
        required: true,
        doc: "Base URL of the platform's store.",
        kind: jsonc::Kind::Text {
            form: "http://ip:port",
            get: |settings| Some(settings.store.clone()),
            set: |settings, text| assign(&mut settings.store, parse_url(text)),
        },
    },
    Field {
        path: "seeds",
        required: false,
        doc: "Mesh addresses of VMs. If the platform's list of VMs is unavailable, this VM \
              contacts them to join the fleet.",
        kind: jsonc::Kind::Texts {
            form: "ip:port",
            get: |settings| settings.seeds.iter().map(ToString::to_string).collect(),
            push: add_seed,
        },
    },
    Field {
        path: "log.level",
        required: false,
        doc: "Least severe level that is logged.",
        kind: jsonc::Kind::Text {
            form: "one of error, warn, info, debug, trace, off",
            get: |settings| Some(settings.log.level.to_string().to_lowercase()),
            set: |settings, text| {
                parse_choice(
                    &mut settings.log.level,
                    text,
                    "error, warn, info, debug, trace, off",
                )
            },
        },
    },
    Field {
        path: "log.file",
        required: false,
        doc: "File to append JSON log lines to; standard error if not set.",
        kind: jsonc::Kind::Text {
            form: "a path",
            get: |settings| {
                settings
                    .log
                    .file
                    .as_ref()
                    .map(|file| file.display().to_string())
            },
            set: |settings, text| {
                settings.log.file = Some(text.into());
                Ok(())
            },
        },
    },
    Field {
        path: "stop.balancer_wait_ms",
        required: false,
        doc: "Time for which requests are still accepted after /readyz reports not ready, for the \
              load balancer to notice.",
        kind: jsonc::Kind::Integer {
            min: 0,
            max: 60_000,
            unit: "ms",
            get: |settings| clock::millis(settings.stop.balancer_wait),
            set: |settings, value| settings.stop.balancer_wait = time::Duration::from_millis(value),
        },
    },
    Field {
        path: "stop.grace_ms",
        required: false,
        doc: "Maximum time to wait for running requests after stop.balancer_wait_ms; then the \
              process exits. Set it above the longest deadline.",
        kind: jsonc::Kind::Integer {
            min: 100,
            max: 600_000,
            unit: "ms",
            get: |settings| clock::millis(settings.stop.grace),
            set: |settings, value| settings.stop.grace = time::Duration::from_millis(value),
        },
    },
    Field {
        path: "limits.body_bytes",
        required: false,
        doc: "Maximum size of a request body.",
        kind: jsonc::Kind::Integer {
            min: 1 << 10,
            max: 16 << 20,
            unit: "bytes",
            get: |settings| settings.limits.max_body.0,
            set: |settings, value| settings.limits.max_body = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.bodies_bytes",
        required: false,
        doc: "Maximum size of all request bodies together; more are refused with 429.",
        kind: jsonc::Kind::Integer {
            min: 2 << 10,
            max: 1 << 40,
            unit: "bytes",
            get: |settings| settings.limits.max_bodies.0,
            set: |settings, value| settings.limits.max_bodies = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.query_bytes",
        required: false,
        doc: "Maximum size of the query of a search, which is part of its body.",
        kind: jsonc::Kind::Integer {
            min: 256,
            max: 16 << 20,
            unit: "bytes",
            get: |settings| settings.limits.max_query.0,
            set: |settings, value| settings.limits.max_query = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.header_bytes",
        required: false,
        doc: "Maximum total size of the headers of a request.",
        kind: jsonc::Kind::Integer {
            min: 1 << 10,
            max: 1 << 20,
            unit: "bytes",
            get: |settings| settings.limits.max_headers.0,
            set: |settings, value| settings.limits.max_headers = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.frame_bytes",
        required: false,
        doc: "Maximum size of a frame between VMs; a request body must fit in one.",
        kind: jsonc::Kind::Integer {
            min: 128 << 10,
            max: 64 << 20,
            unit: "bytes",
            get: |settings| settings.limits.max_frame.0,
            set: |settings, value| settings.limits.max_frame = rate::Bytes(value),
        },
    },
    Field {
        path: "limits.requests",
        required: false,
        doc: "Maximum number of concurrent requests of all services; more are refused with 429.",
        kind: jsonc::Kind::Integer {
            min: 1,
            max: 100_000,
            unit: "requests",
            get: |settings| u64::from(settings.limits.max_concurrent_requests),
            set: |settings, value| {
                settings.limits.max_concurrent_requests = u32::try_from(value).unwrap_or(u32::MAX)
            },
        },
    },
    Field {
        path: "policy",
        required: false,
        doc: "How replicas are chosen, and whether and how calls are retried or hedged. full: by \
              load, with canaries, quarantine and budgeted retries and hedges; no-hedge: the same \
              without hedges; direct: round robin, with retries until the deadline but no hedges, \
              canaries, quarantine or budgets. The last two are for comparison in measurements.",
        kind: jsonc::Kind::Text {
            form: "one of full, no-hedge, direct",
            get: |settings| Some(settings.policy.to_string()),
            set: |settings, text| {
                parse_choice(&mut settings.policy, text, "full, no-hedge, direct")
            },
        },
    },
];

fn assign<V>(target: &mut V, value: Result<V, String>) -> Result<(), String> {
    *target = value?;
    Ok(())
}

fn parse_choice<V: std::str::FromStr>(
    target: &mut V,
    text: &str,
    choices: &str,
) -> Result<(), String> {
    let value = text.parse();
    assign(
        target,
        value.map_err(|_| format!("{text:?} is not a valid value; expected one of {choices}")),
    )
}

fn parse_address(text: &str) -> Result<net::SocketAddr, String> {
    let parsed = text.parse::<net::SocketAddr>();
    let remedy =
        "give an IP address and a port, such as 127.0.0.1:7100 (host names are not resolved)";
    let address =
        parsed.map_err(|_| format!("{text:?} is not an address of the form ip:port; {remedy}"))?;
    if address.port() == 0 {
        return Err("port 0 would bind an arbitrary port; give a fixed port".to_owned());
    }
    Ok(address)
}

fn parse_url(text: &str) -> Result<String, String> {
    let base = text.strip_suffix('/').unwrap_or(text);
    let remedy = "give http://, an IP address and a port, such as http://127.0.0.1:7000";
    let Some(host) = base.strip_prefix("http://") else {
        return Err(format!("{text:?} is not an http:// URL; {remedy}"));
    };
    parse_address(host)
        .map_err(|_| format!("{text:?} is not an http:// URL with an IP address; {remedy}"))?;
    Ok(base.to_owned())
}

fn add_seed(settings: &mut settings::Settings, text: &str) -> Result<(), String> {
    let seed = parse_address(text)?;
    if settings.seeds.contains(&seed) {
        return Err(format!("{seed} is listed twice; list it once"));
    }
    settings.seeds.push(seed);
    Ok(())
}
