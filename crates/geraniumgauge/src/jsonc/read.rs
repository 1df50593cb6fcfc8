//! Reads a text with a table of fields.

use std::collections;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

use crate::finding;
use crate::jsonc;

/// Result of reading a text: its findings and the positions of its fields.
#[derive(Debug)]
pub struct Reading {
    /// All findings, in the order of the text; missing fields come last.
    pub findings: Vec<finding::Finding>,
    root: finding::Place,
    places: collections::BTreeMap<String, finding::Place>,
}

impl Reading {
    /// Returns the position of the field at `path`, or the start of the text if the
    /// text doesn't contain the field.
    pub fn place(&self, path: &str) -> finding::Place {
        self.places.get(path).unwrap_or(&self.root).clone()
    }

    /// Returns whether the text contains the field at `path`.
    pub fn has(&self, path: &str) -> bool {
        self.places.contains_key(path)
    }

    /// Adds a finding at the position of `path`. Callers use it for rules that concern
    /// several fields.
    pub fn add(&mut self, path: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.findings.push(finding::Finding {
            place: self.place(path),
            path: path.to_owned(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }
}

/// Splits an error text of the form `problem; remedy`, which the identifier and rate
/// types return.
pub fn split(message: &str) -> (String, String) {
    let (problem, remedy) = message
        .split_once("; ")
        .unwrap_or((message, "correct the value"));
    (problem.to_owned(), remedy.to_owned())
}

/// Handling of keys that are not in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// Reports a finding, as the key is probably misspelled.
    Finding,
    /// Skips the key, which may belong to a later version of the format.
    Ignored,
}

/// Reads `text` into `values`, which must contain the defaults. `file` is the name of
/// the text in the findings.
pub fn read<T>(
    file: &str,
    text: &str,
    fields: &[jsonc::Field<T>],
    values: &mut T,
) -> jsonc::Reading {
    read_with(file, text, fields, values, Unknown::Finding)
}

/// Like [`read`], with a given handling of unknown keys.
pub fn read_with<T>(
    file: &str,
    text: &str,
    fields: &[jsonc::Field<T>],
    values: &mut T,
    unknown: Unknown,
) -> jsonc::Reading {
    let root = finding::Place::of(file, text, 0);
    let reading = Reading {
        findings: Vec::new(),
        root,
        places: collections::BTreeMap::new(),
    };
    let mut reader = Reader {
        file,
        text,
        fields,
        values,
        reading,
        unknown,
    };
    reader.read_text();
    reader.report_missing();
    reader.reading
}

struct Reader<'t, T> {
    file: &'t str,
    text: &'t str,
    fields: &'t [jsonc::Field<T>],
    values: &'t mut T,
    reading: Reading,
    unknown: Unknown,
}

/// Allows comments and trailing commas. Other extensions of the syntax could let a
/// typing error pass as a value.
const OPTIONS: jsonc_parser::ParseOptions = jsonc_parser::ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

impl<T> Reader<'_, T> {
    fn read_text(&mut self) {
        let collect = jsonc_parser::CollectOptions::default();
        match jsonc_parser::parse_to_ast(self.text, &collect, &OPTIONS) {
            Err(error) => {
                let problem = error.kind().to_string();
                let remedy = "correct the JSON here; the text after it was not read";
                self.report(error.range().start, "", problem, remedy);
            }
            Ok(parsed) => match parsed.value {
                Some(ast::Value::Object(object)) => self.object("", &object),
                Some(other) => self.report_type(&other, "", "an object in { }"),
                None => self.report(0, "", "the text is empty", "write an object in { }"),
            },
        }
    }

    /// Reports required fields that are missing, unless the text could not be parsed:
    /// it may contain them.
    fn report_missing(&mut self) {
        if self
            .reading
            .findings
            .iter()
            .any(|found| found.path.is_empty())
        {
            return;
        }
        for field in self.fields {
            if field.required && !self.reading.places.contains_key(field.path) {
                let remedy = format!("add it: {}; {}", field.kind.form(), field.doc);
                self.report(0, field.path, "missing", remedy);
            }
        }
    }

    fn object(&mut self, prefix: &str, object: &ast::Object<'_>) {
        let mut seen = collections::BTreeMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join(prefix, name);
            let at = property.range.start;
            if let Some(first) = seen.insert(name.to_owned(), at) {
                let place = finding::Place::of(self.file, self.text, first);
                let problem = format!("written twice, first at line {}", place.line);
                self.report(at, &path, problem, "keep one of them");
                continue;
            }
            self.property(&path, prefix, at, &property.value);
        }
    }

    fn property(&mut self, path: &str, prefix: &str, at: usize, value: &ast::Value<'_>) {
        let fields = self.fields;
        if let Some(field) = fields.iter().find(|field| field.path == path) {
            let place = finding::Place::of(self.file, self.text, value.start());
            self.reading.places.insert(path.to_owned(), place);
            return self.field(field, value);
        }
        let below = format!("{path}.");
        if fields.iter().any(|field| field.path.starts_with(&below)) {
            return match value {
                ast::Value::Object(object) => self.object(path, object),
                other => self.report_type(other, path, "an object in { }"),
            };
        }
        if self.unknown == Unknown::Ignored {
            return;
        }
        let remedy = self.unknown_key_remedy(path, prefix);
        self.report(at, path, "unknown key", remedy);
    }

    fn field(&mut self, field: &jsonc::Field<T>, value: &ast::Value<'_>) {
        use jsonc::Kind;
        let form = field.kind.form();
        match (&field.kind, value) {
            (Kind::Integer { min, max, set, .. }, ast::Value::NumberLit(number)) => {
                match number.value.parse() {
                    Ok(integer) if (*min..=*max).contains(&integer) => set(self.values, integer),
                    _ => self.report_range(value, field.path, number.value, &form),
                }
            }
            (Kind::Number { min, max, set, .. }, ast::Value::NumberLit(number)) => {
                match number.value.parse() {
                    Ok(real) if (*min..=*max).contains(&real) => set(self.values, real),
                    _ => self.report_range(value, field.path, number.value, &form),
                }
            }
            (Kind::Flag { set, .. }, ast::Value::BooleanLit(flag)) => set(self.values, flag.value),
            (Kind::Text { set, .. }, ast::Value::StringLit(text)) => {
                let result = set(self.values, &text.value);
                self.report_error(value, field.path, result);
            }
            (Kind::Integers { min, max, set, .. }, ast::Value::Array(list)) => {
                if let Some(integers) = self.integers(field.path, &form, (*min, *max), list) {
                    let result = set(self.values, &integers);
                    self.report_error(value, field.path, result);
                }
            }
            (Kind::Texts { push, form, .. }, ast::Value::Array(list)) => {
                self.list(field.path, form, *push, list);
            }
            _ => self.report_type(value, field.path, &form),
        }
    }

    /// Returns the numbers of a list; `None` if one of them caused a finding.
    fn integers(
        &mut self,
        path: &str,
        form: &str,
        (min, max): (u64, u64),
        list: &ast::Array<'_>,
    ) -> Option<Vec<u64>> {
        let mut integers = Vec::new();
        for (index, element) in list.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let ast::Value::NumberLit(number) = element else {
                self.report_type(element, &path, form);
                continue;
            };
            match number.value.parse() {
                Ok(integer) if (min..=max).contains(&integer) => integers.push(integer),
                _ => self.report_range(element, &path, number.value, form),
            }
        }
        (integers.len() == list.elements.len()).then_some(integers)
    }

    fn list(
        &mut self,
        path: &str,
        form: &str,
        push: fn(&mut T, &str) -> Result<(), String>,
        list: &ast::Array<'_>,
    ) {
        for (index, element) in list.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let ast::Value::StringLit(text) = element else {
                self.report_type(element, &path, form);
                continue;
            };
            let result = push(self.values, &text.value);
            self.report_error(element, &path, result);
        }
    }

    fn report_error(&mut self, value: &ast::Value<'_>, path: &str, result: Result<(), String>) {
        if let Err(message) = result {
            let (problem, remedy) = split(&message);
            self.report(value.start(), path, problem, remedy);
        }
    }

    fn report_range(&mut self, value: &ast::Value<'_>, path: &str, text: &str, form: &str) {
        let problem = format!("{text} is out of range");
        self.report(value.start(), path, problem, format!("give {form}"));
    }

    fn report_type(&mut self, value: &ast::Value<'_>, path: &str, form: &str) {
        let found = match value {
            ast::Value::StringLit(_) => "a string",
            ast::Value::NumberLit(_) => "a number",
            ast::Value::BooleanLit(_) => "true or false",
            ast::Value::Object(_) => "an object",
            ast::Value::Array(_) => "a list",
            ast::Value::NullKeyword(_) => "null",
        };
        let problem = format!("found {found}");
        self.report(value.start(), path, problem, format!("give {form}"));
    }

    fn report(
        &mut self,
        at: usize,
        path: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.reading.findings.push(finding::Finding {
            place: finding::Place::of(self.file, self.text, at),
            path: path.to_owned(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    fn unknown_key_remedy(&self, path: &str, prefix: &str) -> String {
        let siblings: collections::BTreeSet<_> = self
            .fields
            .iter()
            .filter_map(|field| sibling(field.path, prefix))
            .collect();
        let candidates = siblings.iter().map(|known| (distance(path, known), known));
        match candidates.min() {
            Some((edits, known)) if edits <= 1 + path.len() / 4 => {
                format!("did you mean {known:?}? Otherwise remove it")
            }
            _ => {
                let names: Vec<_> = siblings.iter().map(String::as_str).collect();
                format!("remove it; known keys here: {}", names.join(", "))
            }
        }
    }
}

fn join(prefix: &str, name: &str) -> String {
    if prefix.is_empty() {
        name.to_owned()
    } else {
        format!("{prefix}.{name}")
    }
}

/// Returns `prefix` and the next key of `path` after it; `None` if `path` doesn't
/// start with `prefix`.
fn sibling(path: &str, prefix: &str) -> Option<String> {
    let rest = if prefix.is_empty() {
        path
    } else {
        path.strip_prefix(prefix)?.strip_prefix('.')?
    };
    let name = rest.split('.').next()?;
    Some(join(prefix, name))
}

/// Returns the Levenshtein distance in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<_> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
