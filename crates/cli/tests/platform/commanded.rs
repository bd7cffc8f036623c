//! A node between servers that say what a test commands.

use super::{Running, Viewer, free_port, start};
use micadyke_standin::platform_commanded::{Commanded, Open};
use micadyke_standin::platform_net::{Bus, Scene};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A node between servers under command.
pub struct Site {
    pub scene: Scene,
    pub servers: Vec<Rc<Commanded>>,
    pub node: Running,
    pub bus: Rc<Bus>,
}

impl Site {
    pub async fn new(tag: &str, servers: usize) -> Self {
        let scene = Scene::default();
        let mut started = Vec::new();
        for n in 0..servers {
            started.push(Commanded::start(&format!("s-{n}"), &scene).await.expect("it listens"));
        }
        let at = started.iter().map(|s| s.addr).collect();
        Self::between(tag, scene, started, at).await
    }

    /// The node reaches the servers by these addresses.
    pub async fn between(tag: &str, scene: Scene, servers: Vec<Rc<Commanded>>, at: Vec<SocketAddr>) -> Self {
        let row = |(n, addr): (usize, &SocketAddr)| {
            format!(
                r#"{{"id":"s-{n}","addr":"{addr}","zone":"z","kind":"k","cell":0,"state":"up","weight":1,"started_ms":0}}"#
            )
        };
        let rows: Vec<String> = at.iter().enumerate().map(row).collect();
        let rows = rows.join(",");
        let bus = Bus::start(vec![(true, rows.clone())]).await.expect("a bus");
        let node = start(&format!("answers-{tag}"), free_port(), bus.addr, &rows);
        Site { scene, servers, node, bus }
    }

    /// A viewer at a node that passed its test.
    pub async fn viewer(&self) -> Viewer {
        let mut v = Viewer::connect(self.node.listen).await;
        assert_eq!(v.test().await, Some(1));
        v
    }

    /// All serve of their own from now on, or say nothing.
    pub fn serve(&self, yes: bool) {
        let life = 600_000 * super::MS;
        self.servers.iter().for_each(|s| if yes { s.serves(life) } else { s.listens() });
    }

    /// Waits until a set-up is open at a server.
    pub async fn reached(&self, id: u64) -> (Rc<Commanded>, Open) {
        loop {
            for s in &self.servers {
                if let Some(open) = s.open().into_iter().find(|o| o.id == id) {
                    return (s.clone(), open);
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

impl Viewer {
    /// Sends a set-up, noted as asked.
    pub async fn begin(&mut self, scene: &Scene, id: u64, class: &str) {
        self.asks(scene, id, class);
        self.wish(id, class).await;
    }

    /// Reads until so many final answers came, each noted.
    pub async fn finals(&mut self, scene: &Scene, mut owed: usize) -> Vec<micadyke_isup::Message> {
        let mut came = Vec::new();
        while owed > 0 {
            let m = self.next().await.expect("an answer");
            self.answered(scene, &m);
            came.push(m);
            owed -= 1;
        }
        came
    }
}
