use crate::schema;

#[test]
fn a_path_displays_keys_and_indices() {
    let path = schema::Path::default().key("servers").index(2).key("id");
    assert_eq!(path.to_string(), "servers[2].id");
}

#[test]
fn a_missing_field_is_located_at_its_enclosing_table() {
    let text = "[a]\nb = 1\n\n[[list]]\nc = 1\n\n[[list]]\nc = 2\n";
    let (table, _) = toml::de::DeTable::parse_recoverable(text);
    let line = |path: schema::Path| {
        path.locate(table.get_ref()).map(|byte| schema::fault::line_of(text, byte))
    };
    let root = schema::Path::default();
    assert_eq!(line(root.key("a").key("b")), Some(2));
    assert_eq!(line(root.key("list").index(1).key("c")), Some(8));
    assert_eq!(line(root.key("list").index(1).key("missing")), Some(7));
    assert_eq!(line(root.key("absent")), None);
}
