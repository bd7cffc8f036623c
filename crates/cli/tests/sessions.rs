//! Console sessions that end by themselves are run as they stand: those of the operator's pages, and those of `cmd`.

use std::path::Path;
use std::time::Duration;

#[test]
fn sessions_go_as_the_pages_say() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    // Paths on the pages are those of the repository; this program has no other test that this could disturb.
    std::env::set_current_dir(&root).expect("the repository");
    let cases = trycmd::TestCases::new();
    cases.default_bin_name("micadyke").timeout(Duration::from_secs(60));
    for page in ["node", "front", "membership", "directory"] {
        let page = format!("docs/operate/{page}.md");
        let text = std::fs::read_to_string(&page).expect("a page");
        assert!(text.contains("```console\n$ micadyke"), "{page} has a session");
        cases.case(page);
    }
    cases.case("crates/cli/tests/cmd/*.trycmd");
}
