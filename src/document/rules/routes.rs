//! Rules of routes: what they refer to and which requests they match.

use bytes::Bytes;

use super::{check_repeated, list, readable, shown};
use crate::core::collections;
use crate::document::{self, constants, validation};
use crate::schema;

/// What routes may refer to.
struct Names<'a> {
    servers: collections::Map<&'a [u8], Option<&'a document::Server>>,
    workspaces: collections::Set<&'a [u8]>,
}

impl<'a> Names<'a> {
    fn new(draft: &'a validation::Draft) -> Self {
        let servers = draft
            .servers
            .iter()
            .filter_map(|item| Some((item.id.as_deref()?.as_bytes(), item.value.as_ref())))
            .collect();
        let workspaces =
            draft.workspaces.iter().filter_map(|item| Some(item.id.as_deref()?.as_bytes()));
        Self { servers, workspaces: workspaces.collect() }
    }
}

/// Checks the routes of a document.
pub fn check(draft: &validation::Draft, findings: &mut schema::Findings) {
    let names = Names::new(draft);
    for (index, route) in readable(&draft.language_routes) {
        let place = list("language_routes").index(index);
        check_workspaces(&route.workspaces, &names, &place, findings);
        let kind = document::Kind::Engine;
        check_references(&route.servers, kind, &names, &place, findings);
        check_engines(route, &names, &place, findings);
    }
    for (index, route) in readable(&draft.plain_routes) {
        let place = list("plain_routes").index(index);
        check_workspaces(&route.workspaces, &names, &place, findings);
        check_references(&route.servers, document::Kind::Plain, &names, &place, findings);
        check_plain(route, &place, findings);
    }
    check_route_ids(draft, findings);
    check_models(draft, findings);
    check_prefixes(draft, findings);
}

fn check_workspaces(
    workspaces: &[Bytes],
    names: &Names<'_>,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    let place = place.key("workspaces");
    check_repeated(workspaces, &place, findings);
    for (index, workspace) in workspaces.iter().enumerate() {
        if !names.workspaces.contains(workspace.as_ref()) {
            let problem = format!("no workspace has the id `{}`", shown(workspace));
            findings.add(place.index(index), problem, "add the workspace or correct the id");
        }
    }
}

fn check_references(
    servers: &[Bytes],
    kind: document::Kind,
    names: &Names<'_>,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    let place = place.key("servers");
    check_repeated(servers, &place, findings);
    if servers.is_empty() {
        findings.add(place.clone(), "a route without a server", "name at least one server");
    }
    for (index, id) in servers.iter().enumerate() {
        match names.servers.get(id.as_ref()) {
            None => {
                let problem = format!("no server has the id `{}`", shown(id));
                findings.add(place.index(index), problem, "add the server or correct the id");
            }
            Some(Some(server)) if server.kind != kind => {
                let problem = format!("the server `{}` is of another kind", shown(id));
                let remedy = match kind {
                    document::Kind::Engine => "name an engine, or use a plain route",
                    document::Kind::Plain => "name a plain server, or use a language route",
                };
                findings.add(place.index(index), problem, remedy);
            }
            Some(_) => {}
        }
    }
}

fn check_engines(
    route: &document::LanguageRoute,
    names: &Names<'_>,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    let place = place.key("servers");
    let engines: Option<Vec<&document::Server>> =
        route.servers.iter().map(|id| names.servers.get(id.as_ref()).copied().flatten()).collect();
    let Some(engines) = engines else { return };
    if engines.is_empty() || engines.iter().any(|engine| engine.kind != document::Kind::Engine) {
        return;
    }
    for (index, engine) in engines.iter().enumerate() {
        if !engine.models.contains(&route.model) {
            let problem = format!(
                "the engine `{}` does not list the model `{}`",
                shown(&engine.id),
                shown(&route.model)
            );
            let remedy = "add the model to the engine or remove the engine from the route";
            findings.add(place.index(index), problem, remedy);
        }
    }
    let staying = |role| {
        engines.iter().any(|engine| {
            !engine.leaving && (engine.role == role || engine.role == document::Role::Both)
        })
    };
    for (role, name) in [(document::Role::Prefill, "prefill"), (document::Role::Decode, "decode")] {
        if !staying(role) {
            let problem = format!("no engine for {name} that is not leaving");
            findings.add(place.clone(), problem, "add one, or remove the route");
        }
    }
}

fn check_plain(
    route: &document::PlainRoute,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    check_prefix(&route.path_prefix, &place.key("path_prefix"), findings);
    check_repeated(&route.methods, &place.key("methods"), findings);
    for (index, method) in route.methods.iter().enumerate() {
        if !is_method(method) {
            let problem = format!("not a method that is routed: `{}`", shown(method));
            let remedy = "use a method in upper case other than CONNECT and TRACE";
            findings.add(place.key("methods").index(index), problem, remedy);
        }
    }
    if route.open && !route.workspaces.is_empty() {
        let problem = "a route without keys that names workspaces";
        findings.add(place.key("open"), problem, "remove `open` or `workspaces`");
    }
}

fn is_method(method: &[u8]) -> bool {
    let upper_case = !method.is_empty() && method.iter().all(u8::is_ascii_uppercase);
    upper_case && method != b"CONNECT" && method != b"TRACE"
}

fn check_prefix(prefix: &[u8], place: &schema::Path, findings: &mut schema::Findings) {
    if !is_path(prefix) {
        let problem = format!("not a path prefix: `{}`", shown(prefix));
        let remedy = "write whole segments from the root, such as /orders, without a final slash, \
                      an empty or dot segment, a query or an escape";
        findings.add(place.clone(), problem, remedy);
        return;
    }
    let reserved = constants::RESERVED_PATHS.iter().find(|path| covers(path.as_bytes(), prefix));
    if let Some(path) = reserved {
        let problem = format!("a path that the instances answer themselves: {path}");
        findings.add(place.clone(), problem, "use another path");
    }
}

fn is_path(prefix: &[u8]) -> bool {
    if prefix == b"/" {
        return true;
    }
    let Some(rest) = prefix.strip_prefix(b"/") else { return false };
    rest.split(|byte| *byte == b'/').all(is_segment)
}

fn is_segment(segment: &[u8]) -> bool {
    // The unreserved characters, sub-delimiters, ":" and "@" of RFC 3986, section 3.3.
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(byte);
    !segment.is_empty() && segment != b"." && segment != b".." && segment.iter().all(allowed)
}

/// Returns whether a path equals a prefix or stands below it.
fn covers(prefix: &[u8], path: &[u8]) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with(b"/"))
}

fn check_route_ids(draft: &validation::Draft, findings: &mut schema::Findings) {
    let language: collections::Map<&str, usize> = draft
        .language_routes
        .iter()
        .enumerate()
        .filter_map(|(index, item)| Some((item.id.as_deref()?, index)))
        .collect();
    for (index, item) in draft.plain_routes.iter().enumerate() {
        let Some(other) = item.id.as_deref().and_then(|id| language.get(id)) else { continue };
        let problem = format!("the same id as language_routes[{other}]");
        findings.add(list("plain_routes").index(index).key("id"), problem, "use another id");
    }
}

/// The routes that match the same thing, by who may use them.
#[derive(Default)]
struct Takers<'a> {
    first: Option<&'a [u8]>,
    all: Option<&'a [u8]>,
    some: collections::Map<&'a [u8], &'a [u8]>,
}

impl<'a> Takers<'a> {
    /// Adds a route; returns an earlier one that shares one of the names. No name means all.
    fn add(&mut self, route: &'a [u8], names: &'a [Bytes]) -> Option<&'a [u8]> {
        let mut rival = self.all;
        if names.is_empty() {
            rival = rival.or(self.first);
            self.all = Some(route);
        }
        for name in names {
            rival = rival.or(self.some.insert(name, route));
        }
        self.first = self.first.or(Some(route));
        rival.filter(|rival| *rival != route)
    }
}

fn check_models(draft: &validation::Draft, findings: &mut schema::Findings) {
    let mut by_model: collections::Map<&[u8], Takers<'_>> = collections::Map::default();
    for (index, route) in readable(&draft.language_routes) {
        let takers = by_model.entry(route.model.as_ref()).or_default();
        let Some(rival) = takers.add(&route.id, &route.workspaces) else { continue };
        let problem =
            format!("the route `{}` serves the same model for the same workspaces", shown(rival));
        let remedy = "join the two routes or give them different workspaces";
        findings.add(list("language_routes").index(index).key("model"), problem, remedy);
    }
}

fn check_prefixes(draft: &validation::Draft, findings: &mut schema::Findings) {
    let mut by_prefix: collections::Map<&[u8], Takers<'_>> = collections::Map::default();
    for (index, route) in readable(&draft.plain_routes) {
        let takers = by_prefix.entry(route.path_prefix.as_ref()).or_default();
        let Some(rival) = takers.add(&route.id, &route.methods) else { continue };
        let problem = format!("the route `{}` matches the same path and methods", shown(rival));
        let remedy = "join the two routes or give them different methods";
        findings.add(list("plain_routes").index(index).key("path_prefix"), problem, remedy);
    }
}
