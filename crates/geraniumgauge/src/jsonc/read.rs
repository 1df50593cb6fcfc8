//! Reads a text by a table of fields.

use std::collections;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

use crate::finding;
use crate::jsonc;

/// What was found in a text.
#[derive(Debug)]
pub struct Reading {
    /// Everything wrong, in the order of the text.
    pub findings: Vec<finding::Finding>,
    root: finding::Place,
    places: collections::BTreeMap<String, finding::Place>,
}

impl Reading {
    /// Where the field at `path` stands; the start of the text where it doesn't.
    pub fn place(&self, path: &str) -> finding::Place {
        self.places.get(path).unwrap_or(&self.root).clone()
    }

    /// Whether the text holds the field at `path`.
    pub fn has(&self, path: &str) -> bool {
        self.places.contains_key(path)
    }

    /// Adds a finding at the place of `path`, for rules between fields.
    pub fn add(&mut self, path: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.findings.push(finding::Finding {
            place: self.place(path),
            path: path.to_owned(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }
}

/// Parts `problem; remedy` as the errors of newtypes read.
pub fn split(message: &str) -> (String, String) {
    let (problem, remedy) = message
        .split_once("; ")
        .unwrap_or((message, "correct the value"));
    (problem.to_owned(), remedy.to_owned())
}

/// What a key that no field names means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// A slip of the pen: a finding.
    Finding,
    /// A field of a later version of the format, which isn't ours to judge.
    Ignored,
}

/// Reads `text` into `values`, which hold the defaults before. `file` names the
/// text in the findings.
pub fn read<T>(
    file: &str,
    text: &str,
    fields: &[jsonc::Field<T>],
    values: &mut T,
) -> jsonc::Reading {
    read_with(file, text, fields, values, Unknown::Finding)
}

/// As [`read`], with a choice of what unknown keys mean.
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
    reader.text();
    reader.missing();
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

/// Comments and trailing commas are allowed; other liberties would let a slip
/// of the pen pass for a value.
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
    fn text(&mut self) {
        let collect = jsonc_parser::CollectOptions::default();
        match jsonc_parser::parse_to_ast(self.text, &collect, &OPTIONS) {
            Err(error) => {
                let problem = error.kind().to_string();
                let remedy = "mend the JSON here; what follows was not read";
                self.find(error.range().start, "", problem, remedy);
            }
            Ok(parsed) => match parsed.value {
                Some(ast::Value::Object(object)) => self.object("", &object),
                Some(other) => self.wrong(&other, "", "an object in { }"),
                None => self.find(0, "", "the text is empty", "write an object in { }"),
            },
        }
    }

    /// A text that can't be parsed has its own finding; fields it may hold
    /// aren't called missing then.
    fn missing(&mut self) {
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
                self.find(0, field.path, "missing", remedy);
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
                self.find(at, &path, problem, "keep one of them");
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
                other => self.wrong(other, path, "an object in { }"),
            };
        }
        if self.unknown == Unknown::Ignored {
            return;
        }
        let remedy = self.nearest(path, prefix);
        self.find(at, path, "unknown key", remedy);
    }

    fn field(&mut self, field: &jsonc::Field<T>, value: &ast::Value<'_>) {
        use jsonc::Kind;
        let form = field.kind.form();
        match (&field.kind, value) {
            (Kind::Whole { min, max, set, .. }, ast::Value::NumberLit(number)) => {
                match number.value.parse() {
                    Ok(whole) if (*min..=*max).contains(&whole) => set(self.values, whole),
                    _ => self.range(value, field.path, number.value, &form),
                }
            }
            (Kind::Number { min, max, set, .. }, ast::Value::NumberLit(number)) => {
                match number.value.parse() {
                    Ok(real) if (*min..=*max).contains(&real) => set(self.values, real),
                    _ => self.range(value, field.path, number.value, &form),
                }
            }
            (Kind::Flag { set, .. }, ast::Value::BooleanLit(flag)) => set(self.values, flag.value),
            (Kind::Text { set, .. }, ast::Value::StringLit(text)) => {
                let kept = set(self.values, &text.value);
                self.kept(value, field.path, kept);
            }
            (Kind::Wholes { min, max, set, .. }, ast::Value::Array(list)) => {
                if let Some(wholes) = self.wholes(field.path, &form, (*min, *max), list) {
                    let kept = set(self.values, &wholes);
                    self.kept(value, field.path, kept);
                }
            }
            (Kind::Texts { push, form, .. }, ast::Value::Array(list)) => {
                self.list(field.path, form, *push, list);
            }
            _ => self.wrong(value, field.path, &form),
        }
    }

    /// The numbers of a list; `None` where one of them is a finding.
    fn wholes(
        &mut self,
        path: &str,
        form: &str,
        (min, max): (u64, u64),
        list: &ast::Array<'_>,
    ) -> Option<Vec<u64>> {
        let mut wholes = Vec::new();
        for (index, element) in list.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let ast::Value::NumberLit(number) = element else {
                self.wrong(element, &path, form);
                continue;
            };
            match number.value.parse() {
                Ok(whole) if (min..=max).contains(&whole) => wholes.push(whole),
                _ => self.range(element, &path, number.value, form),
            }
        }
        (wholes.len() == list.elements.len()).then_some(wholes)
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
                self.wrong(element, &path, form);
                continue;
            };
            let kept = push(self.values, &text.value);
            self.kept(element, &path, kept);
        }
    }

    fn kept(&mut self, value: &ast::Value<'_>, path: &str, kept: Result<(), String>) {
        if let Err(message) = kept {
            let (problem, remedy) = split(&message);
            self.find(value.start(), path, problem, remedy);
        }
    }

    fn range(&mut self, value: &ast::Value<'_>, path: &str, text: &str, form: &str) {
        let problem = format!("{text} is out of range");
        self.find(value.start(), path, problem, format!("give {form}"));
    }

    fn wrong(&mut self, value: &ast::Value<'_>, path: &str, form: &str) {
        let found = match value {
            ast::Value::StringLit(_) => "a text",
            ast::Value::NumberLit(_) => "a number",
            ast::Value::BooleanLit(_) => "true or false",
            ast::Value::Object(_) => "an object",
            ast::Value::Array(_) => "a list",
            ast::Value::NullKeyword(_) => "null",
        };
        let problem = format!("{found} stands here");
        self.find(value.start(), path, problem, format!("give {form}"));
    }

    fn find(
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

    fn nearest(&self, path: &str, prefix: &str) -> String {
        let siblings: collections::BTreeSet<_> = self
            .fields
            .iter()
            .filter_map(|field| sibling(field.path, prefix))
            .collect();
        let close = siblings.iter().map(|known| (distance(path, known), known));
        match close.min() {
            Some((edits, known)) if edits <= 1 + path.len() / 4 => {
                format!("did you mean {known:?}? Otherwise remove it")
            }
            _ => {
                let names: Vec<_> = siblings.iter().map(String::as_str).collect();
                format!("remove it; known here: {}", names.join(", "))
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

/// The part of `path` that stands directly below `prefix`.
fn sibling(path: &str, prefix: &str) -> Option<String> {
    let rest = if prefix.is_empty() {
        path
    } else {
        path.strip_prefix(prefix)?.strip_prefix('.')?
    };
    let name = rest.split('.').next()?;
    Some(join(prefix, name))
}

/// Levenshtein distance, in characters.
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
