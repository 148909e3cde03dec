//! Settings are read from arguments and groups of engines are made of them.

#![allow(clippy::unwrap_used)]

use standins::engine::config;
use standins::settings;

fn table(line: &str) -> Result<toml::Table, settings::Fault> {
    settings::from_arguments(line.split(' ').map(ToOwned::to_owned).collect())
}

#[test]
fn a_group_counts_ports_up_and_varies_speeds() {
    let line = "--listen 127.0.0.1:7000 --count 3 --decode-speeds 1,0.5 --latency-ms 1.5 \
                --early-stop --role decode";
    let group = config::group(table(line).unwrap()).unwrap();
    let ports: Vec<_> = group.iter().map(|config| config.listen.port()).collect();
    let speeds: Vec<_> = group.iter().map(|config| config.decode_speed).collect();
    assert_eq!((ports, speeds), (vec![7000, 7001, 7002], vec![1.0, 0.5, 1.0]));
    let first = &group[0];
    assert_eq!((first.latency.as_micros(), first.early_stop), (1_500, true));
    assert_eq!(first.role, config::Role::Decode);
}

#[test]
fn what_is_not_understood_is_refused() {
    assert!(table("stray").is_err());
    assert!(config::group(table("--slot 3").unwrap()).is_err());
    assert!(config::group(table("--slots many").unwrap()).is_err());
    assert!(config::group(table("--latency-ms -1").unwrap()).is_err());
}
