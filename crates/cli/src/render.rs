//! Tables that a person reads, from JSON values.
//!
//! Whatever an entry answers is shown, also fields that a newer entry adds.

use std::time;

use comfy_table::Table;
use comfy_table::presets;
use serde_json::Map;
use serde_json::Value;

/// Fields that hold millionths of the currency unit.
const MONEY: [&str; 4] = ["cost", "price", "spend", "per_hour"];

/// Millionths in one currency unit.
const UNIT: i64 = 1_000_000;

/// Fields that hold seconds since the Unix epoch.
const INSTANTS: [&str; 1] = ["expires"];

/// Prints `value` in the form asked for.
pub(crate) fn print(value: &Value, json: bool) {
    if json {
        println!("{value:#}");
    } else {
        print!("{}", self::value(value));
    }
}

/// A value as text for people; it ends with a line end unless it is empty.
pub(crate) fn value(value: &Value) -> String {
    let mut text = String::new();
    write(&mut text, "", value);
    text
}

fn write(text: &mut String, title: &str, value: &Value) {
    match value {
        Value::Object(fields) => write_fields(text, title, fields),
        Value::Array(items) if !items.is_empty() && items.iter().all(Value::is_object) => {
            write_title(text, title);
            write_rows(text, items);
        }
        Value::Array(items) if items.is_empty() => write_line(text, title, "none"),
        Value::Array(items) => {
            let items: Vec<_> = items.iter().map(|item| cell(title, item)).collect();
            write_line(text, title, &items.join(", "));
        }
        scalar => write_line(text, title, &cell(title, scalar)),
    }
}

/// Single values first, one a line; then the tables.
fn write_fields(text: &mut String, title: &str, fields: &Map<String, Value>) {
    write_title(text, title);
    let mut table = table();
    let (nested, single): (Vec<_>, Vec<_>) = fields.iter().partition(|(_, value)| is_nested(value));
    for (name, value) in &single {
        table.add_row([(*name).clone(), cell(name, value)]);
    }
    if !single.is_empty() {
        push_table(text, &table);
    }
    for (name, value) in nested {
        write(text, name, value);
    }
}

/// One row for each object; what is nested in a row is left to the command that shows one.
fn write_rows(text: &mut String, rows: &[Value]) {
    let mut columns: Vec<&String> = Vec::new();
    for (name, value) in rows.iter().filter_map(Value::as_object).flatten() {
        if !columns.contains(&name) && !is_nested(value) {
            columns.push(name);
        }
    }
    let mut table = table();
    table.set_header(columns.iter().map(|name| name.as_str()));
    for row in rows {
        let cells =
            columns.iter().map(|name| row.get(name).map_or_else(String::new, |v| cell(name, v)));
        table.add_row(cells);
    }
    push_table(text, &table);
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(_) => true,
        Value::Array(items) => items.iter().any(Value::is_object),
        _ => false,
    }
}

fn cell(name: &str, value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) if MONEY.contains(&name) => {
            number.as_i64().map_or_else(|| number.to_string(), money)
        }
        Value::Number(number) if INSTANTS.contains(&name) => {
            number.as_u64().map_or_else(|| number.to_string(), instant)
        }
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) if !items.iter().any(Value::is_object) => {
            items.iter().map(|item| cell(name, item)).collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

/// Millionths of the currency unit as units with two digits, or all six where they matter.
fn money(micros: i64) -> String {
    let sign = if micros < 0 { "-" } else { "" };
    let (units, rest) = ((micros / UNIT).abs(), (micros % UNIT).abs());
    if rest % (UNIT / 100) == 0 {
        format!("{sign}{units}.{:02}", rest / (UNIT / 100))
    } else {
        format!("{sign}{units}.{rest:06}")
    }
}

/// Seconds since the Unix epoch as date and time in UTC.
fn instant(seconds: u64) -> String {
    let at = time::SystemTime::UNIX_EPOCH.checked_add(time::Duration::from_secs(seconds));
    at.map_or_else(|| seconds.to_string(), |at| humantime::format_rfc3339_seconds(at).to_string())
}

/// An empty table without lines.
pub(crate) fn table() -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table
}

/// Adds a table to a text.
pub(crate) fn push_table(text: &mut String, table: &Table) {
    for line in table.to_string().lines() {
        text.push_str(line.trim_end());
        text.push('\n');
    }
}

fn write_title(text: &mut String, title: &str) {
    if !title.is_empty() {
        text.push_str(&format!("\n{title}:\n"));
    }
}

fn write_line(text: &mut String, title: &str, value: &str) {
    if !title.is_empty() {
        text.push_str(&format!(" {title}: "));
    }
    text.push_str(value);
    text.push('\n');
}
