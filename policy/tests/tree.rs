//! Limits on the size of the balancing module's source files, which `deploy/balancer.toml` lists.

use std::path::Path;

/// Files of `policy/src/balance/` that the deploy file does not list.
const UNLISTED: [&str; 1] = ["restore.rs"];

#[test]
fn the_source_stays_within_its_size_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let read = |path: &Path| std::fs::read_to_string(path).expect("a readable source file");
    let deploy = read(&root.join("deploy/balancer.toml"));
    let listed =
        deploy.split("policy = [").nth(1).and_then(|rest| rest.split(']').next()).expect("a list of files");
    let listed: Vec<&str> = listed.split('"').skip(1).step_by(2).collect();
    for entry in std::fs::read_dir(root.join("policy/src/balance")).expect("the directory of the module") {
        let name = entry.expect("a directory entry").file_name().into_string().expect("a UTF-8 file name");
        let path = format!("policy/src/balance/{name}");
        assert!(listed.contains(&path.as_str()) != UNLISTED.contains(&name.as_str()), "{path}");
    }
    let files: Vec<String> = listed.iter().map(|file| read(&root.join(file))).collect();
    for (name, text) in listed.iter().zip(&files) {
        assert!(text.lines().count() <= 250, "{name} has too many lines");
    }
    let text = files.concat();
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1_200, "{lines} lines that are not blank, more than 1200");
    let wide: Vec<&str> = text.lines().filter(|l| l.chars().count() > 110).collect();
    assert!(wide.is_empty(), "{wide:#?}");
    assert!(
        files[0].lines().next().is_some_and(|l| l.contains("src/api.rs")),
        "the first line must name the interface"
    );
}
