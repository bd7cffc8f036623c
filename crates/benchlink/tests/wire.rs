//! Tests of the adapter with hand-written protocol text.

use benchlink::wire::serve;

const SETTINGS: &str = r#"{"classes":[{"name":"c","effect":"idempotent","promise_ns":1000000000,"deadline_ns":4000000000,"worth":1.0}],"dcs":["z"],"models":["k"],"family_info":{"cells":2,"racks":1,"rung_kb":[100.0,200.0],"worth_by_rung":[0.4,1.0],"scale_by_class":[1.0],"floor_by_class":[0],"highest_rung":[1],"licence_cap":[0],"class_live":[false],"places_by_kind":[10],"kb_per_weight":1000.0,"uplink_kb":2000.0,"see_ns":500000000,"tell_ns":2000000000,"new":1},"group_size":1,"me":0,"zone":"z","weights":"nominal","permissions":{"max_attempts":3,"retry_after":true,"max_retry_after_ns":2000000000},"rules":{"cold_ns":1000000000,"start_capacity":0.5,"fall_multiple":2.0,"fall_ns":1000000000},"registry_mode":"automatic"}"#;

fn run(input: &str) -> (Result<(), String>, String) {
    let mut out = Vec::new();
    let result = serve(input.as_bytes(), &mut out).map_err(|e| e.to_string());
    (result, String::from_utf8(out).expect("text"))
}

fn spawn() -> String {
    format!(
        "begin_batch time_ns=5000000000\nspawn i=3 seed=9 settings={SETTINGS}\nledger list=0 records=1\n\
         row type=k nominal=1 server=77 cell=1 state=1 locality=z odd=1\npeers_known i=3 kind=3 revision=4 list=0\n"
    )
}

#[test]
fn a_request_is_sent_plays_and_ends() {
    let input = spawn()
        + "submit i=3 tid=00000000000000ff tier_class=c affinity=p:x item=c:y not_after_ns=9000000000 base=0 \
           spread=2 best_rung=1 unknown=1\nyour_turn\n\
           begin_batch time_ns=5100000000\nbegun i=3 tid=00000000000000ff copy=0 time_taken_ns=100000000 server=77\n\
           hint_update i=3 tid=00000000000000ff copy=0 server=77 sort=3 amount=0.4\nyour_turn\n\
           begin_batch time_ns=6100000000\nreturned i=3 tid=00000000000000ff copy=0 status=GOOD server=77 \
           time_taken_ns=1 terminal=1 feedback=0.4\nyour_turn\nbegin_batch time_ns=6200000000\nexit i=3\nyour_turn\n";
    let (result, out) = run(&input);
    assert_eq!(result, Ok(()));
    assert_eq!(
        out,
        "set_timer i=3 offset_ns=200000000 tag=0\npitch i=3 tid=00000000000000ff step=1\n\
         issue i=3 tid=00000000000000ff cap_ns=500000000 server=77\ndone\ndone\ndone\ndone\n"
    );
}

#[test]
fn empty_batches_and_the_end_of_input_are_clean() {
    assert_eq!(run(""), (Ok(()), String::new()));
    assert_eq!(run("begin_batch time_ns=1\nyour_turn\n\n"), (Ok(()), "done\n".into()));
}

#[test]
fn class_lists_of_unequal_length_are_refused_by_name() {
    let settings = SETTINGS.replace("\"floor_by_class\":[0]", "\"floor_by_class\":[0,1]");
    let (result, _) = run(&format!("begin_batch time_ns=1\nspawn i=1 seed=1 settings={settings}\n"));
    let message = result.expect_err("unequal lists");
    assert!(message.contains("family_info.floor_by_class holds 2 values for 1 classes"), "{message}");
}

#[test]
fn malformed_input_names_its_line_and_what_is_wrong() {
    let start = "begin_batch time_ns=1\n";
    let cases = [
        ("hello\n".to_owned(), "line 1: 'hello' outside a batch"),
        (format!("{start}bogus i=1\n"), "line 2: no instance 1 runs"),
        (format!("{}bogus i=3\n", spawn()), "line 6: unknown message 'bogus'"),
        (format!("{start}spawn i=1 seed=1 settings={{\n"), "line 2: settings can't be read"),
        (
            format!("{start}spawn i=1 seed=1 settings={{}}\n"),
            "line 2: settings.family_info.rung_kb is missing",
        ),
        (format!("{start}spawn i=1 seed=x settings={{}}\n"), "line 2:"),
        (format!("{start}begin_batch time_ns=2\n"), "line 2: begin_batch inside a batch"),
        ("begin_batch time_ns=-5\n".to_owned(), "line 1: begin_batch: field time_ns holds '-5'"),
        (format!("{start}ledger list=0 records=1\nbegun i=1\n"), "line 3: 'begun' where a row"),
        (format!("{}wakeup i=3\n", spawn()), "line 6: wakeup lacks the field tag"),
        (format!("{}lapsed i=3 tid=00zz\n", spawn()), "line 6: lapsed: field tid holds '00zz'"),
        (format!("{}lapsed i=3 tid=00000000000000FF\n", spawn()), "line 6: lapsed: field tid"),
        (format!("{}lapsed i=3 tid\n", spawn()), "line 6: 'tid' is no name=value"),
        (
            format!("{}peers_known i=3 kind=2 revision=1 list=9\n", spawn()),
            "line 6: peers_known: there is no list 9",
        ),
        (
            format!("{}returned i=3 tid=00000000000000ff status=WHAT server=1\n", spawn()),
            "line 6: returned: field status holds 'WHAT'",
        ),
        (start.to_owned(), "the input ended inside a batch"),
    ];
    for (input, want) in cases {
        let (result, _) = run(&input);
        let message = result.expect_err(&input);
        assert!(message.starts_with(want), "{input:?}: {message}");
    }
}
