//! Table of the fields of a JSON format.

use std::fmt;
use std::str;

/// One field of a format whose values are stored in a `T`.
#[derive(Debug)]
pub struct Field<T> {
    /// Keys from the root to the field, joined by dots, such as `limits.body_bytes`.
    pub path: &'static str,
    /// Whether a text without the field is refused.
    pub required: bool,
    /// Description of the field in one or two sentences.
    pub doc: &'static str,
    /// Type, allowed values and accessors of the field.
    pub kind: Kind<T>,
}

/// Parses a string and stores the value. An error has the form `problem; remedy`.
type SetText<T> = fn(&mut T, &str) -> Result<(), String>;

/// Type, allowed values and accessors of a field.
#[derive(Debug)]
pub enum Kind<T> {
    /// An integer.
    Integer {
        /// Lowest value allowed.
        min: u64,
        /// Highest value allowed.
        max: u64,
        /// Unit, such as `ms`.
        unit: &'static str,
        /// Returns the value.
        get: fn(&T) -> u64,
        /// Stores the value.
        set: fn(&mut T, u64),
    },
    /// A number that may have a fraction.
    Number {
        /// Lowest value allowed.
        min: f64,
        /// Highest value allowed.
        max: f64,
        /// Returns the value.
        get: fn(&T) -> f64,
        /// Stores the value.
        set: fn(&mut T, f64),
    },
    /// `true` or `false`.
    Flag {
        /// Returns the value.
        get: fn(&T) -> bool,
        /// Stores the value.
        set: fn(&mut T, bool),
    },
    /// A string of a given form.
    Text {
        /// The form, such as `ip:port`.
        form: &'static str,
        /// Returns the value; `None` if it is not set.
        get: fn(&T) -> Option<String>,
        /// Parses and stores the value.
        set: SetText<T>,
    },
    /// A list of integers.
    Integers {
        /// Lowest value allowed.
        min: u64,
        /// Highest value allowed.
        max: u64,
        /// Returns the values.
        get: fn(&T) -> Vec<u64>,
        /// Checks and stores the values. An error has the form `problem; remedy`.
        set: fn(&mut T, &[u64]) -> Result<(), String>,
    },
    /// A list of strings of a given form.
    Texts {
        /// The form of each string.
        form: &'static str,
        /// Returns the values.
        get: fn(&T) -> Vec<String>,
        /// Parses one value and adds it.
        push: SetText<T>,
    },
}

impl<T> Kind<T> {
    /// Describes the type and the allowed values for help texts and findings.
    pub fn form(&self) -> String {
        match self {
            Self::Integer { min, max, unit, .. } => {
                format!("a whole number from {min} to {max} {unit}")
            }
            Self::Number { min, max, .. } => format!("a number from {min} to {max}"),
            Self::Flag { .. } => "true or false".to_owned(),
            Self::Text { form, .. } => (*form).to_owned(),
            Self::Integers { min, max, .. } => {
                format!("a list of whole numbers from {min} to {max}")
            }
            Self::Texts { form, .. } => format!("a list, each {form}"),
        }
    }

    /// Returns the field's value in `values` as JSON; `None` if it is not set.
    pub fn show(&self, values: &T) -> Option<String> {
        match self {
            Self::Integer { get, .. } => Some(get(values).to_string()),
            Self::Number { get, .. } => Some(get(values).to_string()),
            Self::Flag { get, .. } => Some(get(values).to_string()),
            Self::Text { get, .. } => get(values).map(|text| format!("{text:?}")),
            Self::Integers { get, .. } => Some(format!("{:?}", get(values))),
            Self::Texts { get, .. } => Some(format!("{:?}", get(values))),
        }
    }
}

/// Parses `text` into `value`, for use in setters of [`Kind::Text`]. Error texts
/// of the identifier and rate types have the form `problem; remedy`.
///
/// # Errors
/// The error text of the type when `text` is not a valid value.
pub fn parse_into<V: str::FromStr<Err: fmt::Display>>(
    value: &mut V,
    text: &str,
) -> Result<(), String> {
    *value = text.parse().map_err(|error: V::Err| error.to_string())?;
    Ok(())
}

/// Returns a help text that lists each field with its type, range, default and
/// description.
pub fn help<T>(fields: &[Field<T>], defaults: &T) -> String {
    fields
        .iter()
        .map(|field| help_entry(field, defaults))
        .collect()
}

fn help_entry<T>(field: &Field<T>, defaults: &T) -> String {
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
