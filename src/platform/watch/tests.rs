//! Tests of following a topic whose records are not all readable.

use std::time;

use bytes::Bytes;

use super::SERVERS_TOPIC;
use super::TopicReader;
use super::announcement;
use crate::core::fleet::peers;
use crate::platform::breaker;
use crate::platform::store;

/// Before the fix no later record was read any more.
#[test]
fn a_topic_is_listed_again_after_a_truncated_record() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let test = async {
        let any = ([127, 0, 0, 1], 0).into();
        let (stand_in, address) = soak::store::Store::start(any).await.expect("a port is free");
        let store = store::Store::new(address, breaker::Breaker::new());
        let mut reader = TopicReader::new(store, SERVERS_TOPIC);
        stand_in.put(SERVERS_TOPIC, "server-0", b"first");
        let mut batch = reader.read(time::Duration::ZERO).await.expect("it is listed");
        assert!(batch.is_complete);
        stand_in.put(SERVERS_TOPIC, "server-1", b"first");
        stand_in.put_truncated(SERVERS_TOPIC, "server-2", b"first");
        stand_in.put(SERVERS_TOPIC, "server-0", b"second");
        batch = reader.read(time::Duration::ZERO).await.expect("the records before it are whole");
        assert_eq!((batch.records.len(), batch.is_complete), (1, false));
        assert!(reader.read(time::Duration::ZERO).await.is_none(), "the record is truncated");
        batch = reader.read(time::Duration::ZERO).await.expect("it is listed");
        assert_eq!((batch.records.len(), batch.is_complete), (3, true));
        stand_in.put(SERVERS_TOPIC, "server-1", b"second");
        batch = reader.read(time::Duration::ZERO).await.expect("later records are read");
        assert_eq!((batch.records.len(), batch.is_complete), (1, false));
    };
    tokio::task::LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

/// Before the fix an announcement under another key took the place of the instance that it names, and
/// was never removed.
#[test]
fn an_instance_is_announced_only_under_its_own_name() {
    let member = peers::Member {
        name: "instance".to_string(),
        incarnation: 1,
        peer_address: ([127, 0, 0, 1], 7_500).into(),
        caller_address: ([127, 0, 0, 1], 8_360).into(),
        is_ready: true,
        capacity_cores: 1.0,
        started_unix_ms: 0,
    };
    let value = serde_json::to_vec(&member).expect("it is encoded");
    let announced = |key: &'static str, value: &[u8]| {
        let value = Some(Bytes::copy_from_slice(value));
        announcement(&store::Record { key: Bytes::from(key), value, position: 0 })
    };
    assert_eq!(announced("instance", &value), Some(member));
    assert_eq!(announced("&x", &value), None);
    assert_eq!(announced("instance", b"{}"), None);
}
