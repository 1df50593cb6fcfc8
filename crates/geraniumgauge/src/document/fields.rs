//! Table of a document's fields with their names, ranges, units and meanings.

use std::time;

use crate::document;
use crate::finding;
use crate::jsonc;
use crate::rate;
use crate::time as clock;

type Field = jsonc::Field<document::Document>;

/// Parses and checks the text of a document. `file` names it in the findings.
///
/// # Errors
/// Returns all findings in the order of the text.
pub fn parse(file: &str, text: &str) -> Result<document::Document, Vec<finding::Finding>> {
    let mut document = document::Document::default();
    let mut reading = jsonc::read(file, text, FIELDS, &mut document);
    check(&document, &mut reading);
    if reading.findings.is_empty() {
        return Ok(document);
    }
    reading.findings.sort_by(|a, b| a.place.cmp(&b.place));
    Err(reading.findings)
}

/// Returns a help page that lists each field's type, range, default and meaning.
pub fn help() -> String {
    jsonc::help(FIELDS, &document::Document::default())
}

/// A field whose value differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display("{path}: {first} -> {second}")]
pub struct Difference {
    /// Path of the field.
    pub path: &'static str,
    /// Its value in the first document, as JSON.
    pub first: String,
    /// Its value in the second one, as JSON.
    pub second: String,
}

/// Returns the fields whose values differ.
pub fn differences(first: &document::Document, second: &document::Document) -> Vec<Difference> {
    let show = |field: &Field, of| field.kind.show(of).unwrap_or_else(|| "none".to_owned());
    let all = FIELDS.iter().map(|field| Difference {
        path: field.path,
        first: show(field, first),
        second: show(field, second),
    });
    all.filter(|field| field.first != field.second).collect()
}

/// Checks the rules that relate several fields.
fn check(document: &document::Document, reading: &mut jsonc::Reading) {
    if document.deadline > document.max_deadline {
        let problem = format!(
            "{} ms exceed max_deadline_ms, {} ms",
            clock::millis(document.deadline),
            clock::millis(document.max_deadline)
        );
        reading.add("deadline_ms", problem, "lower it or raise max_deadline_ms");
    }
    let target_applies =
        document.objective == document::Objective::Latency || reading.has("latency_target_ms");
    if target_applies && document.latency_target > document.deadline {
        let problem = format!(
            "{} ms exceed deadline_ms, {} ms",
            clock::millis(document.latency_target),
            clock::millis(document.deadline)
        );
        reading.add(
            "latency_target_ms",
            problem,
            "lower it or raise deadline_ms",
        );
    }
    if document.ledger_window < document.max_deadline {
        let problem = "shorter than max_deadline_ms: a claim would expire while its request runs";
        reading.add("ledger_window_s", problem, "raise it");
    }
}

static FIELDS: &[Field] = &[
    Field {
        path: "team",
        required: true,
        doc: "The team that owns the service.",
        kind: jsonc::Kind::Text {
            form: "a name of letters, digits and . _ : -",
            get: |kept| Some(kept.team.to_string()),
            set: |kept, text| {
                let team = text.parse::<crate::ids::Team>();
                kept.team = team.map_err(|error| error.to_string())?;
                Ok(())
            },
        },
    },
    Field {
        path: "objective",
        required: false,
        doc: "Whether coverage or latency has priority: coverage waits for missing shards until the deadline; latency answers at latency_target_ms once min_coverage is reached.",
        kind: jsonc::Kind::Text {
            form: "one of coverage, latency",
            get: |kept| Some(kept.objective.to_string()),
            set: |kept, text| {
                let choice = text.parse::<document::Objective>();
                let wrong =
                    |_| format!("{text:?} is not an objective; expected coverage or latency");
                kept.objective = choice.map_err(wrong)?;
                Ok(())
            },
        },
    },
    Field {
        path: "deadline_ms",
        required: false,
        doc: "Deadline of a request that doesn't set one.",
        kind: jsonc::Kind::Integer {
            min: 1,
            max: 60_000,
            unit: "ms",
            get: |kept| clock::millis(kept.deadline),
            set: |kept, value| kept.deadline = time::Duration::from_millis(value),
        },
    },
    Field {
        path: "max_deadline_ms",
        required: false,
        doc: "Longest deadline a caller may ask for.",
        kind: jsonc::Kind::Integer {
            min: 1,
            max: 60_000,
            unit: "ms",
            get: |kept| clock::millis(kept.max_deadline),
            set: |kept, value| kept.max_deadline = time::Duration::from_millis(value),
        },
    },
    Field {
        path: "latency_target_ms",
        required: false,
        doc: "Time after which the latency objective answers with the shards received so far.",
        kind: jsonc::Kind::Integer {
            min: 1,
            max: 60_000,
            unit: "ms",
            get: |kept| clock::millis(kept.latency_target),
            set: |kept, value| kept.latency_target = time::Duration::from_millis(value),
        },
    },
    Field {
        path: "min_coverage",
        required: false,
        doc: "Minimum share of covered shards for an answer at the latency target.",
        kind: jsonc::Kind::Number {
            min: 0.0,
            max: 1.0,
            get: |kept| kept.min_coverage.get(),
            set: |kept, value| kept.min_coverage = share(value),
        },
    },
    Field {
        path: "budgets.hedge",
        required: false,
        doc: "Maximum hedges per first attempt: extra load on upstreams for a shorter latency tail.",
        kind: jsonc::Kind::Number {
            min: 0.0,
            max: 0.5,
            get: |kept| kept.budgets.hedge.get(),
            set: |kept, value| kept.budgets.hedge = share(value),
        },
    },
    Field {
        path: "budgets.retry",
        required: false,
        doc: "Maximum retries per first attempt.",
        kind: jsonc::Kind::Number {
            min: 0.0,
            max: 0.5,
            get: |kept| kept.budgets.retry.get(),
            set: |kept, value| kept.budgets.retry = share(value),
        },
    },
    Field {
        path: "budgets.hedge_quantile",
        required: false,
        doc: "Quantile of shard call times after which a call is hedged.",
        kind: jsonc::Kind::Number {
            min: 0.5,
            max: 0.999,
            get: |kept| kept.budgets.hedge_quantile.get(),
            set: |kept, value| kept.budgets.hedge_quantile = share(value),
        },
    },
    Field {
        path: "limits.searches",
        required: false,
        doc: "Maximum concurrent searches at one VM; more are refused with 429.",
        kind: jsonc::Kind::Integer {
            min: 1,
            max: 100_000,
            unit: "searches",
            get: |kept| u64::from(kept.limits.searches),
            set: |kept, value| kept.limits.searches = count(value),
        },
    },
    Field {
        path: "limits.registrations",
        required: false,
        doc: "Maximum concurrent registrations at one VM; more are refused with 429.",
        kind: jsonc::Kind::Integer {
            min: 1,
            max: 100_000,
            unit: "registrations",
            get: |kept| u64::from(kept.limits.registrations),
            set: |kept, value| kept.limits.registrations = count(value),
        },
    },
    Field {
        path: "limits.canary_width",
        required: false,
        doc: "Fan-outs of at least this many shards start with one shard alone, so that a query that crashes upstreams takes down one and not all.",
        kind: jsonc::Kind::Integer {
            min: 2,
            max: 100_000,
            unit: "shards",
            get: |kept| u64::from(kept.limits.canary_width),
            set: |kept, value| kept.limits.canary_width = count(value),
        },
    },
    Field {
        path: "slo.in_time",
        required: false,
        doc: "Objective of the burn report: share of requests answered within their deadline.",
        kind: jsonc::Kind::Number {
            min: 0.5,
            max: 0.99999,
            get: |kept| kept.slo.in_time.get(),
            set: |kept, value| kept.slo.in_time = share(value),
        },
    },
    Field {
        path: "slo.complete",
        required: false,
        doc: "Objective: share of answers that cover every shard.",
        kind: jsonc::Kind::Number {
            min: 0.5,
            max: 0.99999,
            get: |kept| kept.slo.complete.get(),
            set: |kept, value| kept.slo.complete = share(value),
        },
    },
    Field {
        path: "slo.accepted",
        required: false,
        doc: "Objective: share of requests that are not refused.",
        kind: jsonc::Kind::Number {
            min: 0.5,
            max: 0.99999,
            get: |kept| kept.slo.accepted.get(),
            set: |kept, value| kept.slo.accepted = share(value),
        },
    },
    Field {
        path: "slo.first_attempts",
        required: false,
        doc: "Objective: share of shard calls that are first attempts; the rest is extra load.",
        kind: jsonc::Kind::Number {
            min: 0.5,
            max: 0.99999,
            get: |kept| kept.slo.first_attempts.get(),
            set: |kept, value| kept.slo.first_attempts = share(value),
        },
    },
    Field {
        path: "ledger_window_s",
        required: false,
        doc: "How long a registration's claim and outcome are kept, and so how long a repeat is recognised.",
        kind: jsonc::Kind::Integer {
            min: 60,
            max: 7 * 24 * 3600,
            unit: "s",
            get: |kept| kept.ledger_window.as_secs(),
            set: |kept, value| kept.ledger_window = time::Duration::from_secs(value),
        },
    },
    Field {
        path: "retired",
        required: false,
        doc: "true ends the service: requests are refused with 404. Deleting the document doesn't end it.",
        kind: jsonc::Kind::Flag {
            get: |kept| kept.retired,
            set: |kept, value| kept.retired = value,
        },
    },
];

/// Converts a value that was checked against a field's range, which lies within
/// 0 to 1.
fn share(value: f64) -> rate::Share {
    rate::Share::new(value).unwrap_or_default()
}

fn count(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
