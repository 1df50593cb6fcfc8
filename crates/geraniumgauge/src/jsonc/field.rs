//! The table of a format's fields.

use std::fmt;
use std::str;

/// One field of a format whose values are kept in a `T`.
#[derive(Debug)]
pub struct Field<T> {
    /// Its keys from the root, joined by dots, such as `limits.body_bytes`.
    pub path: &'static str,
    /// Whether a text without it is refused.
    pub required: bool,
    /// What it means, in one or two sentences.
    pub doc: &'static str,
    /// Its type, its range and where its value is kept.
    pub kind: Kind<T>,
}

/// Setter of a text; an error reads `problem; remedy`.
type SetText<T> = fn(&mut T, &str) -> Result<(), String>;

/// A field's type, its range and where its value is kept.
#[derive(Debug)]
pub enum Kind<T> {
    /// A whole number.
    Whole {
        /// Lowest value allowed.
        min: u64,
        /// Highest value allowed.
        max: u64,
        /// Unit, such as `ms`.
        unit: &'static str,
        /// Reads the value.
        get: fn(&T) -> u64,
        /// Keeps the value.
        set: fn(&mut T, u64),
    },
    /// A number that may have a fraction.
    Number {
        /// Lowest value allowed.
        min: f64,
        /// Highest value allowed.
        max: f64,
        /// Reads the value.
        get: fn(&T) -> f64,
        /// Keeps the value.
        set: fn(&mut T, f64),
    },
    /// `true` or `false`.
    Flag {
        /// Reads the value.
        get: fn(&T) -> bool,
        /// Keeps the value.
        set: fn(&mut T, bool),
    },
    /// A text of some form.
    Text {
        /// The form, such as `ip:port`.
        form: &'static str,
        /// Reads the value; `None` where it is not set.
        get: fn(&T) -> Option<String>,
        /// Checks and keeps the value.
        set: SetText<T>,
    },
    /// A list of whole numbers.
    Wholes {
        /// Lowest value allowed.
        min: u64,
        /// Highest value allowed.
        max: u64,
        /// Reads the values.
        get: fn(&T) -> Vec<u64>,
        /// Keeps the values; an error reads `problem; remedy`.
        set: fn(&mut T, &[u64]) -> Result<(), String>,
    },
    /// A list of texts of some form.
    Texts {
        /// The form of each.
        form: &'static str,
        /// Reads the values.
        get: fn(&T) -> Vec<String>,
        /// Checks one value and adds it.
        push: SetText<T>,
    },
}

impl<T> Kind<T> {
    /// The type and range, as a reader would say it.
    pub fn form(&self) -> String {
        match self {
            Self::Whole { min, max, unit, .. } => {
                format!("a whole number from {min} to {max} {unit}")
            }
            Self::Number { min, max, .. } => format!("a number from {min} to {max}"),
            Self::Flag { .. } => "true or false".to_owned(),
            Self::Text { form, .. } => (*form).to_owned(),
            Self::Wholes { min, max, .. } => format!("a list of whole numbers from {min} to {max}"),
            Self::Texts { form, .. } => format!("a list, each {form}"),
        }
    }

    /// The value kept in `values`, as JSON; `None` where it is not set.
    pub fn show(&self, values: &T) -> Option<String> {
        match self {
            Self::Whole { get, .. } => Some(get(values).to_string()),
            Self::Number { get, .. } => Some(get(values).to_string()),
            Self::Flag { get, .. } => Some(get(values).to_string()),
            Self::Text { get, .. } => get(values).map(|text| format!("{text:?}")),
            Self::Wholes { get, .. } => Some(format!("{:?}", get(values))),
            Self::Texts { get, .. } => Some(format!("{:?}", get(values))),
        }
    }
}

/// Reads `text` into `kept`, for setters of texts: errors of newtypes read
/// `problem; remedy` already.
///
/// # Errors
/// What the type says of a text that is no value.
pub fn parse_into<V: str::FromStr<Err: fmt::Display>>(
    kept: &mut V,
    text: &str,
) -> Result<(), String> {
    *kept = text.parse().map_err(|error: V::Err| error.to_string())?;
    Ok(())
}

/// A page that names each field with its type, range, default and meaning.
pub fn help<T>(fields: &[Field<T>], defaults: &T) -> String {
    fields.iter().map(|field| line(field, defaults)).collect()
}

fn line<T>(field: &Field<T>, defaults: &T) -> String {
    let default = if field.required {
        "required".to_owned()
    } else {
        let shown = field.kind.show(defaults);
        shown.map_or("optional".to_owned(), |value| format!("default {value}"))
    };
    let (path, form, doc) = (field.path, field.kind.form(), field.doc);
    format!("  {path}: {form}; {default}\n      {doc}\n")
}

impl<T> fmt::Display for Field<T> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.path)
    }
}
