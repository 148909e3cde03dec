//! Formats events and effects for traces.

use galenayard::core::escrow;

pub fn kind(message: &escrow::Message) -> String {
    let text = format!("{message:?}");
    text.split([' ', '{', '(']).next().unwrap_or_default().to_owned()
}

pub fn describe(event: &escrow::Event) -> String {
    match event {
        escrow::Event::Received { from, message, .. } => {
            format!("<- {} {message:?}", String::from_utf8_lossy(from))
        }
        escrow::Event::Viewed(view) => {
            let members = view.members.iter().map(|one| {
                let leaving = if one.leaving { "(leaving)" } else { "" };
                format!("{}@{}{leaving}", String::from_utf8_lossy(&one.id), one.joined)
            });
            format!("Viewed {} {}", view.version, members.collect::<Vec<_>>().join(" "))
        }
        escrow::Event::Reserve { request, tokens, .. } => {
            format!("Reserve r{} {tokens}", *request as u64)
        }
        other => format!("{other:?}"),
    }
}

pub fn describe_effect(effect: &escrow::Effect) -> String {
    match effect {
        escrow::Effect::Send { to, message } => {
            format!("{} {message:?}", String::from_utf8_lossy(to))
        }
        escrow::Effect::Admitted { request } => format!("Admitted r{}", *request as u64),
        escrow::Effect::Refused { request, retry_after_ms, reason } => {
            format!("Refused r{} {reason:?} retry after {retry_after_ms} ms", *request as u64)
        }
        escrow::Effect::HandedOver => "HandedOver".to_owned(),
    }
}
