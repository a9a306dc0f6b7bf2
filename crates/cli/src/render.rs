//! Tables that a person reads, from JSON values.
//!
//! Whatever an entry answers is shown, also fields that a newer entry adds.

use comfy_table::Table;
use comfy_table::presets;
use serde_json::Map;
use serde_json::Value;

/// Fields that hold millionths of the currency unit.
const MONEY: [&str; 4] = ["cost", "price", "spend", "per_hour"];

/// Millionths in one currency unit.
const UNIT: u64 = 1_000_000;

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

fn write_rows(text: &mut String, rows: &[Value]) {
    let mut columns: Vec<&String> = Vec::new();
    for name in rows.iter().filter_map(Value::as_object).flat_map(Map::keys) {
        if !columns.contains(&name) {
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
            number.as_u64().map_or_else(|| number.to_string(), money)
        }
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) if !items.iter().any(Value::is_object) => {
            items.iter().map(|item| cell(name, item)).collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

/// Millionths of the currency unit as units with two digits, or all six where they matter.
fn money(micros: u64) -> String {
    let (units, rest) = (micros / UNIT, micros % UNIT);
    if rest.is_multiple_of(UNIT / 100) {
        format!("{units}.{:02}", rest / (UNIT / 100))
    } else {
        format!("{units}.{rest:06}")
    }
}

fn table() -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table
}

fn push_table(text: &mut String, table: &Table) {
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
