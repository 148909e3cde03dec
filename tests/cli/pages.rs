//! The reference pages name every field, default, command and exit code.

use galenayard::cli::{Exit, help};
use galenayard::document::shape::DOCUMENT;
use galenayard::schema::{Kind, Shape};
use galenayard::settings::Settings;
use galenayard::settings::shape::SETTINGS;

const SETTINGS_PAGE: &str = include_str!("../../docs/SETTINGS.md");
const DOCUMENT_PAGE: &str = include_str!("../../docs/DOCUMENT.md");
const CLI_PAGE: &str = include_str!("../../docs/CLI.md");
const SAMPLE: &str = include_str!("../../samples/settings.toml");

/// Returns the part of a page from a heading to the next one.
fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let start = page.find(heading).unwrap_or_else(|| panic!("no heading {heading}"));
    let rest = &page[start + heading.len()..];
    rest.split("\n#").next().unwrap_or(rest)
}

fn check_fields(page: &str, heading: &str, shape: &Shape) {
    let text = section(page, heading);
    let rows = text.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(rows, shape.fields.len(), "{heading}");
    for field in shape.fields {
        assert!(text.contains(&format!("\n| `{}` |", field.name)), "{heading} {}", field.name);
    }
}

#[test]
fn every_field_of_the_settings_is_described() {
    for field in SETTINGS.fields {
        let Kind::Table(shape) = field.kind else { panic!("{} is no table", field.name) };
        check_fields(SETTINGS_PAGE, &format!("\n## `[{}]`", field.name), shape);
    }
}

#[test]
fn every_field_of_the_document_is_described() {
    for field in DOCUMENT.fields {
        let Kind::Tables { shape, .. } = field.kind else { panic!("{} is no list", field.name) };
        check_fields(DOCUMENT_PAGE, &format!("\n## `[[{}]]`", field.name), shape);
        for inner in shape.fields {
            if let Kind::Tables { shape, .. } = inner.kind {
                let heading = format!("\n### `[[{}.{}]]`", field.name, inner.name);
                check_fields(DOCUMENT_PAGE, &heading, shape);
            }
        }
    }
}

#[test]
fn defaults_of_the_settings_are_those_of_the_page() {
    let required: Vec<&str> = ["instance", "listen", "platform", "fleet"].to_vec();
    let bare: String = SAMPLE.split("[log]").next().unwrap_or_default().to_string();
    let bare = bare.replace("log_retention_ms = 86_400_000\n", "").replace("weight = 1\n", "");
    let settings = serde_json::to_value(Settings::parse(&bare).unwrap()).unwrap();
    for field in SETTINGS.fields {
        let Kind::Table(shape) = field.kind else { continue };
        let text = section(SETTINGS_PAGE, &format!("\n## `[{}]`", field.name));
        for inner in shape.fields.iter().filter(|inner| !inner.required) {
            let value = &settings[field.name][inner.name];
            let shown = match value {
                serde_json::Value::String(text) => format!("`{text}`"),
                serde_json::Value::Null => continue,
                value => value.to_string(),
            };
            let row = format!("\n| `{}` | {shown} |", inner.name);
            assert!(text.contains(&row), "{}: {row}", field.name);
        }
        assert!(field.required == required.contains(&field.name));
    }
}

#[test]
fn every_command_and_exit_code_is_described() {
    for topic in help::topics() {
        assert!(CLI_PAGE.contains(&format!("`{}", topic.name)), "{}", topic.name);
    }
    let codes = [
        Exit::Done,
        Exit::Refused,
        Exit::Usage,
        Exit::Unreachable,
        Exit::Unknown,
        Exit::Unauthorized,
        Exit::Local,
    ];
    for (index, exit) in codes.into_iter().enumerate() {
        assert_eq!(usize::from(exit.code()), index);
        assert!(CLI_PAGE.contains(&format!("\n| {index} |")));
        assert!(help::OVERVIEW.text.contains(&format!("\n  {index}  ")));
    }
}
