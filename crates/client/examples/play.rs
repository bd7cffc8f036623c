//! Asks the demo for its title, plays for a second, and ends: `micadyke demo`, then this.

use micadyke_client::Question;
use micadyke_client::net::Client;
use std::time::Duration;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let front = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:8080".into());
    let client = Client::new(front.parse()?).route("recorded-play", "/whep");
    let question = Question {
        title: "demo".into(),
        class: "recorded-play".into(),
        ceiling: Some(5_000),
        patience_ms: 4_000,
        repeatable: true,
    };
    let offer = include_str!("../../../fixtures/offers/chromium-play.sdp");
    let (outcome, session) = client.ask(&question, offer, std::future::pending()).await;
    println!("{outcome:?}");
    if let Some(session) = session {
        tokio::time::sleep(Duration::from_secs(1)).await;
        println!("ended: {:?}", client.end(&session).await);
    }
    Ok(())
}
