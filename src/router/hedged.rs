//! An exchange with a server, and a second one beside it once the first one takes long.

use std::pin;
use std::time;

use bytes::Bytes;
use hyper::http;

use crate::core::fleet;
use crate::core::fleet::call;
use crate::core::fleet::hedging;
use crate::router::context;
use crate::router::exchange;

/// The result of the exchange that counts, with the number under which its outcome is reported;
/// `None` if the request's deadline passed first.
pub type Answered = (call::RequestNumber, Option<exchange::Attempt>);

/// Sends a request to a server and, if there is no answer `after` that time and the fleet state
/// says so, to a second one. Returns the first answer, or the last failure. The other exchange is
/// dropped, which closes its connection.
pub async fn attempt(
    exchange: exchange::Exchange<'_>,
    dispatch: &fleet::Dispatch,
    after: time::Duration,
    mailbox: &mut context::Mailbox,
    failed_response: &mut Option<http::Response<Bytes>>,
) -> Answered {
    let request = exchange.number;
    let mut first = pin::pin!(exchange.attempt(dispatch));
    tokio::select! {
        biased;
        result = first.as_mut() => return (request, result),
        () = tokio::time::sleep(after) => {}
    }
    exchange.context.apply(fleet::Event::HedgeDue { request });
    let command = tokio::select! {
        biased;
        result = first.as_mut() => {
            if !is_failure(&result) {
                // The command to send the second one may have come at the same time.
                while mailbox.try_recv().is_ok() {}
            }
            return (request, result);
        }
        command = mailbox.recv() => command,
    };
    let Some(context::Command::SendSecond(second_dispatch)) = command else {
        log::error!("a request at a server got a command other than a second send: {command:?}");
        return (request, first.await);
    };
    let number = hedging::second_leg(request);
    let second_exchange = exchange::Exchange { number, ..exchange };
    let mut second = pin::pin!(second_exchange.attempt(&second_dispatch));
    tokio::select! {
        biased;
        result = first.as_mut() => {
            if !is_failure(&result) {
                return (request, result);
            }
            report_failure(exchange, result, failed_response);
            (number, second.await)
        }
        result = second.as_mut() => {
            if !is_failure(&result) {
                return (number, result);
            }
            report_failure(second_exchange, result, failed_response);
            (request, first.await)
        }
    }
}

/// Returns whether an exchange has ended without an answer before the deadline.
fn is_failure(result: &Option<exchange::Attempt>) -> bool {
    matches!(result, Some(exchange::Attempt::Outcome(_) | exchange::Attempt::Failure(_)))
}

/// Reports the failure of one exchange while the other one goes on, and keeps its answer.
fn report_failure(
    exchange: exchange::Exchange<'_>,
    result: Option<exchange::Attempt>,
    failed_response: &mut Option<http::Response<Bytes>>,
) {
    let outcome = match result {
        Some(exchange::Attempt::Outcome(outcome)) => outcome,
        Some(exchange::Attempt::Failure(response)) => {
            let status = response.status().as_u16();
            *failed_response = Some(response);
            fleet::Outcome::Failed { status }
        }
        _ => return,
    };
    let request = exchange.number;
    exchange.context.apply(fleet::Event::RequestProgressed { request, outcome });
}
