//! Rules for routes: their references to servers and workspaces, and the requests they match.

use bytes::Bytes;

use super::{check_repeated, escaped, list_path, parsed};
use crate::core::collections;
use crate::document::{self, constants, validation};
use crate::schema;

/// The ids of the document's servers and workspaces, which routes may refer to.
///
/// A server whose entry failed to parse has the value `None`.
struct KnownIds<'a> {
    servers: collections::Map<&'a [u8], Option<&'a document::Server>>,
    workspaces: collections::Set<&'a [u8]>,
}

impl<'a> KnownIds<'a> {
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

/// Checks the routes of a document, and adds a finding for each violation.
pub fn check(draft: &validation::Draft, findings: &mut schema::Findings) {
    let known = KnownIds::new(draft);
    for (index, route) in parsed(&draft.language_routes) {
        let place = list_path("language_routes").index(index);
        check_route_workspaces(&route.workspaces, &known, &place, findings);
        let kind = document::Kind::Engine;
        check_route_servers(&route.servers, kind, &known, &place, findings);
        check_route_engines(route, &known, &place, findings);
    }
    for (index, route) in parsed(&draft.plain_routes) {
        let place = list_path("plain_routes").index(index);
        check_route_workspaces(&route.workspaces, &known, &place, findings);
        check_route_servers(&route.servers, document::Kind::Plain, &known, &place, findings);
        check_plain_route(route, &place, findings);
    }
    check_route_ids(draft, findings);
    check_models(draft, findings);
    check_prefixes(draft, findings);
}

/// Checks that a route's workspaces exist and are listed once.
fn check_route_workspaces(
    workspaces: &[Bytes],
    known: &KnownIds<'_>,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    let place = place.key("workspaces");
    check_repeated(workspaces, &place, findings);
    for (index, workspace) in workspaces.iter().enumerate() {
        if !known.workspaces.contains(workspace.as_ref()) {
            let problem = format!("no workspace has the id `{}`", escaped(workspace));
            findings.add(place.index(index), problem, "add the workspace or correct the id");
        }
    }
}

/// Checks that a route has servers, and that they exist, are listed once and are of its kind.
fn check_route_servers(
    servers: &[Bytes],
    kind: document::Kind,
    known: &KnownIds<'_>,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    let place = place.key("servers");
    check_repeated(servers, &place, findings);
    if servers.is_empty() {
        findings.add(place.clone(), "a route without a server", "name at least one server");
    }
    for (index, id) in servers.iter().enumerate() {
        match known.servers.get(id.as_ref()) {
            None => {
                let problem = format!("no server has the id `{}`", escaped(id));
                findings.add(place.index(index), problem, "add the server or correct the id");
            }
            Some(Some(server)) if server.kind != kind => {
                let problem = format!("the server `{}` is of another kind", escaped(id));
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

/// Checks that every engine of a route lists its model, and that each phase has an engine that is
/// not leaving. Skipped if a server is unknown, failed to parse or is not an engine.
fn check_route_engines(
    route: &document::LanguageRoute,
    known: &KnownIds<'_>,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    let place = place.key("servers");
    let engines: Option<Vec<&document::Server>> =
        route.servers.iter().map(|id| known.servers.get(id.as_ref()).copied().flatten()).collect();
    let Some(engines) = engines else { return };
    if engines.is_empty() || engines.iter().any(|engine| engine.kind != document::Kind::Engine) {
        return;
    }
    for (index, engine) in engines.iter().enumerate() {
        if !engine.models.contains(&route.model) {
            let problem = format!(
                "the engine `{}` does not list the model `{}`",
                escaped(&engine.id),
                escaped(&route.model)
            );
            let remedy = "add the model to the engine or remove the engine from the route";
            findings.add(place.index(index), problem, remedy);
        }
    }
    let has_engine = |role| {
        engines.iter().any(|engine| {
            !engine.leaving && (engine.role == role || engine.role == document::Role::Both)
        })
    };
    for (role, name) in [(document::Role::Prefill, "prefill"), (document::Role::Decode, "decode")] {
        if !has_engine(role) {
            let problem = format!("no engine for {name} that is not leaving");
            findings.add(place.clone(), problem, "add one, or remove the route");
        }
    }
}

/// Checks a plain route's path prefix and methods, and that an open route lists no workspaces.
fn check_plain_route(
    route: &document::PlainRoute,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    check_prefix(&route.path_prefix, &place.key("path_prefix"), findings);
    check_repeated(&route.methods, &place.key("methods"), findings);
    for (index, method) in route.methods.iter().enumerate() {
        if !is_method(method) {
            let problem = format!("not a method that is routed: `{}`", escaped(method));
            let remedy = "use a method in upper case other than CONNECT and TRACE";
            findings.add(place.key("methods").index(index), problem, remedy);
        }
    }
    if route.open && !route.workspaces.is_empty() {
        let problem = "a route without keys that names workspaces";
        findings.add(place.key("open"), problem, "remove `open` or `workspaces`");
    }
}

/// Returns whether a method can be routed: upper case, and neither CONNECT nor TRACE.
fn is_method(method: &[u8]) -> bool {
    let upper_case = !method.is_empty() && method.iter().all(u8::is_ascii_uppercase);
    upper_case && method != b"CONNECT" && method != b"TRACE"
}

/// Checks that a path prefix is well-formed and neither equals a reserved path nor lies below one.
fn check_prefix(prefix: &[u8], place: &schema::Path, findings: &mut schema::Findings) {
    if !is_path_prefix(prefix) {
        let problem = format!("not a path prefix: `{}`", escaped(prefix));
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

fn is_path_prefix(prefix: &[u8]) -> bool {
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

/// Returns whether a path equals a prefix or continues it with further segments.
fn covers(prefix: &[u8], path: &[u8]) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with(b"/"))
}

/// Checks that no plain route has the id of a language route.
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
        findings.add(list_path("plain_routes").index(index).key("id"), problem, "use another id");
    }
}

/// The routes for one model or path prefix, by the workspaces or methods they are restricted to.
#[derive(Default)]
struct RouteIndex<'a> {
    first_route: Option<&'a [u8]>,
    unrestricted: Option<&'a [u8]>,
    by_name: collections::Map<&'a [u8], &'a [u8]>,
}

impl<'a> RouteIndex<'a> {
    /// Adds a route that is restricted to the names, or to none if there are no names.
    ///
    /// Returns an earlier route that overlaps with it, if any: one that shares a name, or any route
    /// if one of the two is unrestricted.
    fn add(&mut self, route: &'a [u8], names: &'a [Bytes]) -> Option<&'a [u8]> {
        let mut other = self.unrestricted;
        if names.is_empty() {
            other = other.or(self.first_route);
            self.unrestricted = Some(route);
        }
        for name in names {
            other = other.or(self.by_name.insert(name, route));
        }
        self.first_route = self.first_route.or(Some(route));
        other.filter(|other| *other != route)
    }
}

/// Checks that no two language routes serve the same model for the same workspace.
fn check_models(draft: &validation::Draft, findings: &mut schema::Findings) {
    let mut by_model: collections::Map<&[u8], RouteIndex<'_>> = collections::Map::default();
    for (index, route) in parsed(&draft.language_routes) {
        let routes = by_model.entry(route.model.as_ref()).or_default();
        let Some(other) = routes.add(&route.id, &route.workspaces) else { continue };
        let problem =
            format!("the route `{}` serves the same model for the same workspaces", escaped(other));
        let remedy = "join the two routes or give them different workspaces";
        findings.add(list_path("language_routes").index(index).key("model"), problem, remedy);
    }
}

/// Checks that no two plain routes match the same path prefix and method.
fn check_prefixes(draft: &validation::Draft, findings: &mut schema::Findings) {
    let mut by_prefix: collections::Map<&[u8], RouteIndex<'_>> = collections::Map::default();
    for (index, route) in parsed(&draft.plain_routes) {
        let routes = by_prefix.entry(route.path_prefix.as_ref()).or_default();
        let Some(other) = routes.add(&route.id, &route.methods) else { continue };
        let problem = format!("the route `{}` matches the same path and methods", escaped(other));
        let remedy = "join the two routes or give them different methods";
        findings.add(list_path("plain_routes").index(index).key("path_prefix"), problem, remedy);
    }
}
