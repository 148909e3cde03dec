//! Tests that a write that the store carries out late never takes the place of a newer value.

use std::cell;
use std::net;
use std::rc;

use base64::Engine as _;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::Keeper;
use crate::platform::breaker;
use crate::platform::store;

/// A record to be appended, and the condition of the append.
type Append = (Option<usize>, Vec<u8>);

/// A store that may leave appends without an answer and carry them out on demand.
#[derive(Default)]
struct LateStore {
    records: cell::RefCell<Vec<Vec<u8>>>,
    is_late: cell::Cell<bool>,
    late: cell::RefCell<Vec<Append>>,
}

impl LateStore {
    async fn start() -> (net::SocketAddr, rc::Rc<Self>) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("an address");
        let store = rc::Rc::new(Self::default());
        let serving = rc::Rc::clone(&store);
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let store = rc::Rc::clone(&serving);
                tokio::task::spawn_local(async move {
                    let mut bytes = [0; 4_096];
                    while let Ok(length @ 1..) = stream.read(&mut bytes).await {
                        let Some(response) = store.answer(&bytes[..length]) else { return };
                        // The client may have closed the connection.
                        let _ = stream.write_all(&response).await;
                    }
                });
            }
        });
        (address, store)
    }

    /// Returns the response to a request; `None` if its connection is closed without one.
    fn answer(&self, request: &[u8]) -> Option<Vec<u8>> {
        let head_end = request.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&request[..head_end]).into_owned();
        let (status, body) = if head.starts_with("GET /-/log-newest") {
            ("200 OK", self.newest())
        } else {
            let at = head.split("At=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
            // The length of the record, the length of its key and the key precede the value.
            let value = request[head_end + 4 + 1 + "key".len()..].to_vec();
            if self.is_late.get() {
                self.late.borrow_mut().push((at, value));
                return None;
            }
            let status = if self.append((at, value)) { "200 OK" } else { "412 Precondition" };
            (status, format!(r#"{{"EndOffset":{}}}"#, self.records.borrow().len()))
        };
        Some(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into())
    }

    fn newest(&self) -> String {
        let records = self.records.borrow();
        let items = records.last().map_or(String::new(), |value| {
            let value = base64::prelude::BASE64_STANDARD.encode(value);
            format!(r#"{{"Key":"key","Value":"{value}","Offset":{}}}"#, records.len() - 1)
        });
        let end = records.len();
        format!(r#"{{"items":[{items}],"HasMore":false,"EndOffset":{end}}}"#)
    }

    fn append(&self, (at, value): Append) -> bool {
        let mut records = self.records.borrow_mut();
        let is_met = at.is_none_or(|at| at == records.len());
        if is_met {
            records.push(value);
        }
        is_met
    }

    fn carry_out_late(&self) {
        let late = self.late.take();
        late.into_iter().for_each(|append| {
            self.append(append);
        });
    }
}

fn run<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

fn keeper(address: net::SocketAddr) -> Keeper {
    Keeper::new(store::Store::new(address, breaker::Breaker::new()), "keyed.topic", "key")
}

/// Before the fix the late value replaced the newer one, and what was spent since was forgotten.
#[test]
fn a_write_that_is_carried_out_late_does_not_replace_a_newer_one() {
    run(async {
        let (address, store) = LateStore::start().await;
        let mut keeper = keeper(address);
        keeper.write(b"1").await.expect("it is written");
        store.is_late.set(true);
        assert!(keeper.write(b"2").await.is_err(), "its answer is lost");
        store.is_late.set(false);
        keeper.replace(b"3").await.expect("it is written");
        store.carry_out_late();
        assert_eq!(keeper.read().await.expect("it is read").as_deref(), Some(&b"3"[..]));
    });
}

#[test]
fn a_write_that_is_carried_out_before_the_next_one_is_replaced_by_it() {
    run(async {
        let (address, store) = LateStore::start().await;
        let mut keeper = keeper(address);
        keeper.read().await.expect("the topic is empty");
        store.is_late.set(true);
        assert!(keeper.write(b"1").await.is_err());
        store.is_late.set(false);
        store.carry_out_late();
        keeper.replace(b"2").await.expect("it follows the late one");
        assert_eq!(*store.records.borrow(), [b"1".to_vec(), b"2".to_vec()]);
    });
}

#[test]
fn of_two_writers_the_one_that_has_not_seen_the_other_fails_and_may_read_again() {
    run(async {
        let (address, store) = LateStore::start().await;
        let (mut one, mut other) = (keeper(address), keeper(address));
        one.read().await.expect("the topic is empty");
        other.write(b"other").await.expect("it is written");
        assert!(one.write(b"one").await.is_err(), "it would replace what it has not read");
        one.write(b"one").await.expect("it has read the other");
        assert_eq!(store.records.borrow().last().map(Vec::as_slice), Some(&b"one"[..]));
    });
}

/// Before the fix the first value of any key was taken for that of the keeper.
#[test]
fn a_value_under_another_key_is_not_read() {
    run(async {
        let any = ([127, 0, 0, 1], 0).into();
        let (stand_in, address) = soak::store::Store::start(any).await.expect("a port is free");
        stand_in.put("keyed.topic", "&x", b"foreign");
        let mut keeper = keeper(address);
        assert_eq!(keeper.read().await.expect("the topic is read"), None);
        keeper.replace(b"value").await.expect("it is written");
        stand_in.put("keyed.topic", "a", b"foreign");
        let value = keeper.read().await.expect("the topic is read");
        assert_eq!(value.as_deref(), Some(&b"value"[..]));
    });
}

/// Guards against spending that counts as none because its listing is incomplete.
#[test]
fn a_value_that_a_listing_may_lack_is_not_taken_for_missing() {
    run(async {
        let any = ([127, 0, 0, 1], 0).into();
        let (stand_in, address) = soak::store::Store::start(any).await.expect("a port is free");
        stand_in.set_page_records(1);
        let foreign: [&[u8]; 2] = [b"a\xff", b"a\xff-last"];
        foreign.iter().for_each(|key| stand_in.put("keyed.topic", key, b"foreign"));
        stand_in.put("keyed.topic", "key", b"value");
        stand_in.expire("keyed.topic");
        let mut keeper = keeper(address);
        let read = keeper.read().await;
        assert!(matches!(read, Err(store::StoreError::Incomplete)), "{read:?}");
        stand_in.put("keyed.topic", "key", b"newer");
        let read = keeper.read().await.expect("it is among the stored records");
        assert_eq!(read.as_deref(), Some(&b"newer"[..]));
    });
}
