//! Tests of reading the platform's configuration, entries and settings.

use std::time;

use bytes::Bytes;
use hyper::http;
use proptest::prelude::*;

use crate::core::fleet;
use crate::core::fleet::call;
use crate::core::fleet::evacuation;
use crate::core::fleet::notices;
use crate::core::fleet::server_limits;
use crate::core::fleet::server_load;
use crate::core::fleet::servers;
use crate::platform::configuration;
use crate::platform::entries;
use crate::platform::headers;
use crate::platform::settings;
use crate::platform::store;
use crate::platform::watch;
use crate::router::dialect::Dialect as _;

const ENTRY: &str = r#"{"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"colombo",
    "Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Stage":"decode",
    "Models":[{"Name":"m","Version":1,"Adapters":[]}],"Sequence":4,"born":1700000000000}"#;

const CONFIGURATION: &str = r#"{"Version":7,"RouteTable":[
    {"Name":"r-1","Host":"Ficu.example","PathPrefix":"/a/","RouteType":"streaming",
     "TimeoutMs":14000,"TargetLatencyMs":900,"Priority":1,"Service":"huvo11a","Attempts":2,
     "Anonymous":false,"Sticky":true,"Resumable":true,"GapAimMs":300},
    {"Name":"r-2","Host":"ficu.example","PathPrefix":"/a/b/","RouteType":"non_idempotent",
     "TimeoutMs":1000,"TargetLatencyMs":150,"Priority":2,"Attempts":1,
     "TrafficSplit":[{"Service":"x","Weight":90},{"Service":"y","Weight":10}]}],
    "Services":[{"Name":"huvo11a","HealthPath":"/healthz","MaxConnections":360,
     "Engine":{"Slots":64,"KvCapacity":96426,"KvBytes":18432}},
     {"Name":"x","HealthPath":"/healthz","ColdStartS":8,"ColdPerS":12.5},{"Name":"y","HealthPath":"/healthz"}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
     "IdleTimeoutMs":15000},
    "Tenants":[{"Name":"huka270","ApiKeys":["k"],"Priority":1,"Unit":"token_stream",
     "PlainTokens":200,"RatePerS":93877,"Burst":93877},{"Name":"free","ApiKeys":[],"RatePerS":0}]}"#;

const SETTINGS: &str = r#"
NodeName = "edge-colombo-1"
Ip = "10.1.0.3"
Zone = "colombo"
InternalPorts = [7500, 7515]
SeedNodes = ["10.1.0.3:8367", "not an address"]
Bootstrap = true
SomethingNew = 4
[ListenAddrs]
Frontend = "10.1.0.3:8360"
Ready = "10.1.0.3:8365"
ControlPlane = "10.1.0.3:8367"
DirectoryAddr = "10.1.0.3:8364"
[Limits]
CpuFraction = 0.25
CpuCores = 1
[Bounds]
GraceS = 8
QuotaWindowS = 8
RetryBudgetRatio = 0.2
RetryWindowS = 10
BudgetSlack = 52
[Platform]
Address = "10.200.1.7:8361"
"#;

#[test]
fn a_configuration_is_read_into_the_products_types() {
    let content = configuration::read(CONFIGURATION.as_bytes()).expect("it is valid");
    insta::assert_debug_snapshot!(content);
}

#[test]
fn a_servers_entry_is_read_and_a_forged_one_names_no_server() {
    let listing = entries::listing(Bytes::from("i-1"), Some(ENTRY.as_bytes()), 3);
    insta::assert_debug_snapshot!(listing);
    let forged = [
        ENTRY.replace("\"ready\"", "\"resting\""),
        ENTRY.replace("10.128.0.9:8080", "nowhere"),
        ENTRY.replace("64", "\"64\""),
        ENTRY.replace("\"Zone\":\"colombo\",", ""),
        ENTRY.replace("\"Version\":\"v1\",", ""),
        ENTRY[..40].to_string(),
    ];
    for value in forged {
        assert_eq!(
            entries::listing(Bytes::from("i-1"), Some(value.as_bytes()), 3),
            None,
            "{value}"
        );
    }
    let removed = servers::EntryChange::Removed { id: Bytes::from("i-1"), offset: 4 };
    assert_eq!(entries::listing(Bytes::from("i-1"), None, 4), Some(removed));
}

/// Before the fix requests to such a server did not name it, so whichever server has its address by
/// then ran them.
#[test]
fn an_entry_whose_id_no_header_can_carry_names_no_server() {
    let listing = |id: &'static [u8]| {
        entries::listing(Bytes::from_static(id), Some(ENTRY.as_bytes()), 3).is_some()
    };
    let invalid: [&[u8]; 9] = [
        b"",
        b" ",
        b" i-1",
        b"i-1 ",
        b"i 1",
        b"i-1\t",
        b"i-1\r\nTenant: a",
        "i-\u{e9}".as_bytes(),
        b"i-\xff",
    ];
    for id in invalid {
        assert!(!listing(id), "{}", String::from_utf8_lossy(id));
    }
    assert!([b"i-7f3a91c2".as_slice(), b"&x", b"a%20b", b"+"].into_iter().all(listing));
}

fn operators_record(
    key: &'static [u8],
    value: Option<&'static str>,
    position: u64,
) -> store::Record {
    store::Record { key: Bytes::from_static(key), value: value.map(Bytes::from), position }
}

#[test]
fn evacuations_are_read_beside_the_configuration_and_keys_without_a_domain_are_ignored() {
    let records = [
        operators_record(b"config", Some(CONFIGURATION), 3),
        operators_record(b"evacuate/colombo", Some("{}"), 4),
        operators_record(b"evacuate/a/b", Some("anything"), 5),
        operators_record(b"evacuate/colombo", None, 6),
        operators_record(b"evacuate/", Some("{}"), 7),
        operators_record(b"evacuate/\xff", Some("{}"), 8),
        operators_record(b"evacuated", Some("{}"), 9),
    ];
    let change = |domain: &str, position, is_in_force| {
        let domain = domain.to_string();
        evacuation::Change { domain, position, is_in_force }
    };
    let expected =
        vec![change("colombo", 4, true), change("a/b", 5, true), change("colombo", 6, false)];
    let Some(fleet::Event::EvacuationsRead { changes, complete, source }) =
        watch::evacuations(&records, Some(10), true)
    else {
        panic!("there are evacuations");
    };
    assert_eq!((changes, complete), (expected, Some(10)));
    assert_eq!(source, servers::Source::Restored);
}

#[test]
fn a_complete_listing_without_evacuations_is_told_and_a_later_read_without_any_is_not() {
    let records = [operators_record(b"config", Some(CONFIGURATION), 3)];
    let event = watch::evacuations(&records, Some(4), false);
    // It lifts the evacuations that are not listed any more.
    assert!(
        matches!(event, Some(fleet::Event::EvacuationsRead { changes, .. }) if changes.is_empty())
    );
    assert!(watch::evacuations(&records, None, false).is_none());
}

fn read_call(prefix: Option<&str>) -> call::Call {
    let request = http::Request::builder().uri("/a/").header("host", "ficu.example");
    let request = request.header("attempt-id", "9c41").header("token-count", "1460,80");
    let request = match prefix {
        Some(prefix) => request.header("prefix-hash", prefix),
        None => request,
    };
    let (head, ()) = request.body(()).expect("the request is valid").into_parts();
    headers::PlatformDialect.read_call(&head).expect("the head is valid")
}

#[test]
fn a_caller_names_the_stream_that_it_resumes() {
    let read = |headers: &[(&str, &str)]| {
        let request = http::Request::builder().uri("/a/").header("host", "ficu.example");
        let request = request.header("attempt-id", "9c41");
        let request =
            headers.iter().fold(request, |request, (name, value)| request.header(*name, *value));
        let (head, ()) = request.body(()).expect("the request is valid").into_parts();
        headers::PlatformDialect.read_call(&head).expect("the head is valid").resumes
    };
    let named = [("last-event-id", "12"), ("resumes", "8b30")];
    assert_eq!(read(&named), Some(Bytes::from("8b30")));
    assert_eq!(read(&named[..1]), Some(Bytes::new()), "the caller does not name the stream");
    assert_eq!(read(&named[1..]), None, "the caller has no event of it");
}

fn read_load(values: &[&[u8]]) -> server_load::Reading {
    let response = http::Response::builder();
    let response =
        values.iter().fold(response, |response, value| response.header("server-load", *value));
    let (head, ()) = response.body(()).expect("the response is valid").into_parts();
    headers::PlatformDialect.read_response_head(&head, &read_call(None)).load
}

#[test]
fn a_load_that_a_server_states_is_read() {
    let stated = |work_percent| {
        let statement = server_load::Statement { running: 5, waiting: 2, slots: 6, work_percent };
        server_load::Reading::Stated(statement)
    };
    assert_eq!(read_load(&[]), server_load::Reading::Absent);
    assert_eq!(read_load(&[b"5,2,6"]), stated(None));
    assert_eq!(read_load(&[b"5,2,6,180"]), stated(Some(180.0)));
    assert_eq!(read_load(&[b" 5, 2 ,6 , 62.5 "]), stated(Some(62.5)));
    assert_eq!(read_load(&[b"5,2,6,10000"]), stated(Some(10_000.0)));
}

#[test]
fn a_load_that_is_not_valid_is_ignored() {
    let invalid: [&[u8]; 20] = [
        b"",
        b"5",
        b"5,2",
        b"5,2,",
        b"5,2,0",
        b"5,2,0,100",
        b"-1,2,6",
        b"5,-2,6",
        b"5,2,-6",
        b"5.5,2,6",
        b"five,2,6",
        b"5,2,6,",
        b"5,2,6,0",
        b"5,2,6,-100",
        b"5,2,6,10000.1",
        b"5,2,6,NaN",
        b"5,2,6,inf",
        b"5,2,6,100,1",
        b"4294967296,2,6",
        b"5,2,6,\xff",
    ];
    for value in invalid {
        let text = String::from_utf8_lossy(value);
        assert_eq!(read_load(&[value]), server_load::Reading::Invalid, "{text}");
    }
    let several: [&[u8]; 2] = [b"5,2,6", b"5,2,6"];
    assert_eq!(read_load(&several), server_load::Reading::Invalid, "several headers");
}

#[test]
fn the_last_part_of_a_prompt_is_its_id() {
    let prompt = |prefix| read_call(Some(prefix)).prompt;
    assert_eq!(prompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), Some(0xe440_2b7d));
    assert_eq!(prompt("e4402b7d:250"), Some(0xe440_2b7d));
    for forged in ["", "e4402b7d", "5c1e07a2:800,", "lima:3", "e4402b7d00000000f:250"] {
        assert_eq!(prompt(forged), None, "{forged}");
    }
    assert_eq!(read_call(None).prompt, None);
}

#[test]
fn the_list_of_a_servers_prompts_is_read_and_a_forged_one_is_an_error() {
    let list = r#"{"epoch":4,"NextToken":9,"held":[["","5c1e07a2",800,"m"],["","lima",3,"m"],
        [1],null,["",7,3,"m"],["","e4402b7d",250,"m"]]}"#;
    let prompts = headers::PlatformDialect.read_prompt_list(list.as_bytes());
    let prompts = prompts.expect("it is valid");
    assert_eq!(prompts, [0x5c1e_07a2, 0xe440_2b7d], "a part without an id is left out");
    for forged in [&list[..40], "{}", r#"{"held":4}"#, ""] {
        let read = headers::PlatformDialect.read_prompt_list(forged.as_bytes());
        assert!(read.is_err(), "{forged}");
    }
}

#[test]
fn settings_are_read_and_a_missing_field_is_named_with_a_remedy() {
    let folder = std::env::temp_dir().join(format!("galenayard-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    let path = folder.join("node.toml");
    std::fs::write(&path, SETTINGS).expect("the file can be written");
    let node = settings::read(&path).expect("they are valid");
    let options = node.router_options(&path, Some(9_464)).expect("the addresses are valid");
    assert_eq!(options.fleet.seeds, ["10.1.0.3:7500".parse().expect("an address")]);
    assert_eq!(options.peers, "10.1.0.3:7500".parse().expect("an address"));
    assert!(options.fleet.is_first_start);
    std::fs::write(&path, SETTINGS.replace("Zone", "Zoon")).expect("the file can be written");
    let failure = settings::read(&path).expect_err("a field is missing").to_string();
    assert!(failure.contains("Zone") && failure.contains("correct the settings file"), "{failure}");
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
}

#[test]
fn a_reading_that_a_silent_store_holds_ends_within_the_time_for_a_configuration() {
    // The time in which a new configuration must be in force, as in the settings of all known
    // deployments.
    let bound = std::time::Duration::from_millis(2_000);
    let longest_read = watch::CONFIGURATION_WAIT + store::TIMEOUT + watch::RETRY_PAUSE;
    assert!(longest_read < bound, "a read may last {longest_read:?}");
}

proptest! {
    /// Truncated and forged records are errors and never cause a panic.
    #[test]
    fn no_record_causes_a_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..100),
        cut in 0_usize..ENTRY.len(),
        at in 0_usize..CONFIGURATION.len(),
        byte in any::<u8>(),
    ) {
        let _ = configuration::read(&bytes);
        let _ = entries::listing(Bytes::from("i"), Some(&bytes), 1);
        let _ = entries::listing(Bytes::from("i"), Some(&ENTRY.as_bytes()[..cut]), 1);
        let mut changed = CONFIGURATION.as_bytes().to_vec();
        changed[at] = byte;
        let _ = configuration::read(&changed);
    }
}

fn notice(status: u16, headers: &[(&str, &str)]) -> notices::Notice {
    let mut response = http::Response::new(());
    *response.status_mut() = http::StatusCode::from_u16(status).expect("it is a status");
    for (name, value) in headers {
        let name = http::HeaderName::try_from(*name).expect("it is a name");
        let value = http::HeaderValue::from_str(value).expect("it is a valid header");
        response.headers_mut().append(name, value);
    }
    let (head, ()) = response.into_parts();
    headers::PlatformDialect.read_response_head(&head, &call::Call::default()).notice
}

#[test]
fn a_server_that_leaves_is_noticed_in_any_answer() {
    let is_leaving = |status, value| notice(status, &[("server-leaving", value)]).is_leaving;
    assert!([200, 421, 500, 503].into_iter().all(|status| is_leaving(status, "1")));
    for other in ["0", "", "true", "1 1", "-1", "\u{e9}"] {
        assert!(!is_leaving(200, other), "{other}");
    }
    assert!(notice(200, &[("server-leaving", "0"), ("server-leaving", "1")]).is_leaving);
}

#[test]
fn a_pause_that_a_server_asks_for_is_read_and_bad_ones_are_ignored() {
    let pause = |status, value| notice(status, &[("retry-after", value)]).pause;
    let ms = time::Duration::from_millis;
    for (value, expected_ms) in [("3", 3_000), (" 0.25 ", 250), ("0", 0), ("1e30", 86_400_000)] {
        assert_eq!(pause(503, value), Some(ms(expected_ms)), "{value}");
        assert_eq!(pause(200, value), None, "only rejections with 503 ask for a pause");
    }
    for value in ["", "-1", "inf", "nan", "3 s", "Fri, 04 Dec 2026 11:00:00 GMT", "\u{e9}"] {
        assert_eq!(pause(503, value), None, "{value}");
    }
    let twice = notice(503, &[("retry-after", "1"), ("retry-after", "2")]).pause;
    assert_eq!(twice, Some(ms(2_000)), "the longer one");
}

#[test]
fn a_cold_time_that_a_server_states_is_read_and_bad_ones_are_ignored() {
    let cold = |values: &[&str]| {
        let headers: Vec<_> = values.iter().map(|value| ("cold-ms", *value)).collect();
        notice(200, &headers).cold
    };
    assert_eq!(cold(&[]), None);
    assert_eq!(cold(&["2500"]), Some(time::Duration::from_millis(2_500)));
    assert_eq!(
        cold(&["10", "2500", "x"]),
        Some(time::Duration::from_millis(2_500)),
        "the longest one"
    );
    for value in ["", "-1", "inf", "nan", "3 s", "\u{e9}"] {
        assert_eq!(cold(&[value]), None, "{value}");
    }
}

fn stated_limit(values: &[&str]) -> server_limits::Statement {
    let mut response = http::Response::new(());
    for value in values {
        let value = http::HeaderValue::from_str(value).expect("it is a valid header");
        response.headers_mut().append("server-limit", value);
    }
    let (head, ()) = response.into_parts();
    headers::PlatformDialect.read_response_head(&head, &call::Call::default()).limit
}

#[test]
fn a_limit_that_a_server_names_is_read_and_bad_ones_are_marked() {
    assert_eq!(stated_limit(&[]), server_limits::Statement::Unlimited);
    for (text, rate_per_s) in
        [("3.6", 3.6), (" 12 ", 12.0), ("0", 0.0), ("-0", 0.0), ("0.2", 0.2), ("1e30", 1e30)]
    {
        assert_eq!(
            stated_limit(&[text]),
            server_limits::Statement::PerSecond(rate_per_s),
            "{text}"
        );
    }
    for text in ["", "-1", "inf", "nan", "1e999", "4 a second", "4,5", "\u{e9}"] {
        assert_eq!(stated_limit(&[text]), server_limits::Statement::Invalid, "{text}");
    }
    assert_eq!(stated_limit(&["4", "5"]), server_limits::Statement::Invalid);
}
