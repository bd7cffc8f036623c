//! The command `micadyke`: the front, its stand-ins, the check of settings.

mod commands;
mod desk;
mod error;
mod ground;
mod members;

use clap::{Args, Parser, Subcommand, ValueEnum};
use micadyke_rehearse::run::Post;
use micadyke_standin::platform_process::Role;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// A session front: places video sessions on streaming servers and shapes their quality, over WHIP, WHEP and HTTP with
/// CMCD.
#[derive(Debug, Parser)]
#[command(version, propagate_version = true)]
struct Cli {
    #[command(flatten)]
    log: Log,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Args)]
struct Log {
    /// Form of the log on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Text)]
    log: LogForm,
    /// What is logged: error, warn, info, debug, trace, or directives such as micadyke_front=debug; by default warn
    /// for demo and rehearse, else info.
    #[arg(long, global = true)]
    log_level: Option<String>,
}

#[derive(Debug, Args)]
struct Standin {
    /// Stand-in boxes; the settings that name their list.
    #[arg(long, required_unless_present_any = ["platform_server", "platform_bus"])]
    config: Option<PathBuf>,
    /// A media server of this id.
    #[arg(long, value_name = "ID", requires = "seen", conflicts_with = "config")]
    platform_server: Option<String>,
    /// The event bus; its events, a line each: full or part, then servers as JSON objects between commas. Lines that are
    /// added are told.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["config", "platform_server"])]
    platform_bus: Option<PathBuf>,
    /// Where the server or bus listens; port 0: any free one.
    #[arg(long, default_value = "127.0.0.1:0", conflicts_with = "config")]
    listen: SocketAddr,
    /// What the server sees is added to this file, a JSON line each.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["config", "platform_bus"])]
    seen: Option<PathBuf>,
    /// From a set-up to the server's answer.
    #[arg(long, value_name = "TIME", default_value = "5ms", conflicts_with_all = ["config", "platform_bus"])]
    delay: String,
    /// How long a session plays there.
    #[arg(long, value_name = "TIME", default_value = "1h", conflicts_with_all = ["config", "platform_bus"])]
    life: String,
    /// The server or bus ends by itself after this.
    #[arg(long, value_name = "TIME", default_value = "10min", conflicts_with = "config")]
    lifetime: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Over {
    /// By the Rust client.
    Whep,
    /// By the program that `--client` names.
    Cmcd,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum About {
    /// Where a title plays.
    Title,
    /// Whether a viewer plays, and where.
    Viewer,
    /// What a server carries.
    Server,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a front by its settings, until SIGTERM or SIGINT.
    Front {
        /// The settings.
        #[arg(long)]
        config: PathBuf,
        /// Listen here instead of where the settings say; port 0: any free one.
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Write down the questions that are taken, for `replay`.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
        /// Keep a view of the other fronts, by these settings.
        #[arg(long, value_name = "FILE")]
        membership: Option<PathBuf>,
        /// Keep in this file the book of sessions, and seats if there are any, and come back by it; without it each start
        /// is the first.
        #[arg(long, value_name = "FILE")]
        store: Option<PathBuf>,
    },
    /// Run a front node on the platform by the configuration that EDGE_CONFIG names, until SIGTERM.
    Node {
        /// Keep a view of the other nodes, by these settings; without it nothing is opened for that.
        #[arg(long, value_name = "FILE")]
        membership: Option<PathBuf>,
        /// Keep in this file what the next start needs, and come back by it; without it each start is the first.
        #[arg(long, value_name = "FILE")]
        store: Option<PathBuf>,
        /// The clock stands so many seconds beside the machine's: for tests.
        #[arg(long, value_name = "SECONDS", hide = true, allow_negative_numbers = true)]
        clock_offset: Option<i64>,
    },
    /// Show a member's view of its fleet.
    Members {
        /// The member, by its address for datagrams.
        #[arg(long, value_name = "ADDR")]
        at: SocketAddr,
        /// Any member's settings: they name the fleet and its key.
        #[arg(long, value_name = "FILE")]
        membership: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// Again every second, until interrupted.
        #[arg(long)]
        watch: bool,
        /// How long to wait for an answer.
        #[arg(long, value_name = "TIME", default_value = "3s")]
        wait: String,
    },
    /// Ask the directory of sessions that the nodes keep among themselves; exit 3 where the answer is partial, or a
    /// withdrawal has not ended everywhere.
    Ask {
        /// What is asked about.
        #[arg(value_enum)]
        kind: About,
        /// The title, the viewer, the server's id; the member for `--accounted`.
        text: String,
        /// A node's desk, as its settings of the directory say.
        #[arg(long, value_name = "ADDR")]
        at: SocketAddr,
        /// Any member's settings: they name the fleet and its key.
        #[arg(long, value_name = "FILE")]
        membership: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// How long to wait for an answer.
        #[arg(long, value_name = "TIME", default_value = "5s")]
        wait: String,
        /// End all its sessions, everywhere, those that start within this time as well; said again, tells how far it is.
        #[arg(long, value_name = "TIME")]
        withdraw: Option<String>,
        /// Lift a withdrawal.
        #[arg(long, conflicts_with = "withdraw")]
        lift: bool,
        /// No server holds a session of this start of the member any more.
        #[arg(long, value_name = "START", conflicts_with_all = ["withdraw", "lift"])]
        accounted: Option<u64>,
    },
    /// Run a front and stand-in boxes in one process on loopback, until interrupted.
    Demo {
        /// Where the front listens; port 0: any free one.
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
    },
    /// Run stand-in boxes at the addresses of a list of boxes, until interrupted; or one stand-in of the platform of
    /// `micadyke node`: a media server or the event bus, until interrupted or its time is over.
    Standin(Standin),
    /// Run a stand-in issuer of seats, until interrupted.
    Issuer {
        /// Where it listens; port 0: any free one.
        #[arg(long, default_value = "127.0.0.1:9100")]
        listen: SocketAddr,
        /// Seats for each title of a class, as CLASS=SEATS.
        #[arg(long, required = true)]
        seats: Vec<String>,
        /// How long a lease holds, with its unit.
        #[arg(long, default_value = "30s")]
        ttl: String,
        /// Keep its books in this file, and go on by them; without it they are lost with the process.
        #[arg(long, value_name = "FILE")]
        store: Option<PathBuf>,
    },
    /// Play scenarios through real fronts and judge the six rules from the traffic: exit 0 kept, 1 broken, 2 could
    /// not run.
    Rehearse {
        /// The scenarios.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// With fronts that are broken on purpose: answers, overlap, twice, drains, cold, floors, seats, bound,
        /// budget.
        #[arg(long = "break", value_name = "HOW")]
        how: Option<String>,
        /// Rules that must be put to the test, by number: one that nothing tried counts as broken.
        #[arg(long, value_name = "RULES", value_delimiter = ',', value_parser = clap::value_parser!(u8).range(1..=6))]
        require: Vec<u8>,
    },
    /// Ask a list of questions through the clients: of a front that runs, or of one of its own with both clients, whose
    /// outcomes must be the same (exit 1 where they are not).
    Replay {
        /// The list: JSON lines of questions and troubles.
        #[arg(required_unless_present = "make")]
        list: Option<PathBuf>,
        /// Print a list of so many questions instead, with troubles.
        #[arg(long, value_name = "QUESTIONS", conflicts_with_all = ["list", "front", "client"])]
        make: Option<usize>,
        /// Ask the front that runs here, with the token of MICADYKE_BEARER if there is one, and print the outcomes;
        /// troubles in the list are passed over.
        #[arg(long)]
        front: Option<SocketAddr>,
        /// Over which protocol that front is asked.
        #[arg(long, value_enum, default_value_t = Over::Whep, requires = "front")]
        via: Over,
        /// Routes of that front, as CLASS=PATH.
        #[arg(long, value_name = "CLASS=PATH", requires = "front")]
        route: Vec<String>,
        /// The program that asks over CMCD, with its arguments; it is told the front and its routes.
        #[arg(long, value_name = "COMMAND", default_value = "node clients/typescript/dist/replay.js")]
        client: String,
        /// Settings of the front of its own, where they are not the usual ones.
        #[arg(long)]
        config: Option<PathBuf>,
        /// Seed of the list that is made, and of the front.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The front that is asked over CMCD is broken on purpose; see `rehearse`.
        #[arg(long = "break", value_name = "HOW")]
        how: Option<String>,
    },
    /// One front of a rehearsal, in a process of its own; started by `rehearse`.
    #[command(hide = true)]
    RehearsedFront {
        /// The scenario.
        #[arg(long)]
        scenario: PathBuf,
        /// Its number.
        #[arg(long)]
        front: u32,
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
        /// The rehearsal's folder.
        #[arg(long)]
        dir: PathBuf,
        /// The issuer of seats.
        #[arg(long)]
        issuer: Option<SocketAddr>,
        /// How it is broken.
        #[arg(long = "break")]
        how: Option<String>,
    },
    /// Check settings, and the list of boxes that they name; exit 1 where they are refused.
    Check {
        /// The settings.
        file: PathBuf,
        /// The list of boxes, where it is not the one that the settings name.
        #[arg(long)]
        boxes: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let quiet =
        matches!(cli.command, Command::Demo { .. } | Command::Rehearse { .. } | Command::Replay { .. });
    let level = cli.log.log_level.as_deref().unwrap_or(if quiet { "warn" } else { "info" });
    let Ok(filter) = tracing_subscriber::EnvFilter::try_new(level) else {
        return ends(&error::Error::LogLevel(level.into()));
    };
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let builder = builder.with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()));
    match cli.log.log {
        LogForm::Text => builder.init(),
        LogForm::Json => builder.json().init(),
    }
    let result = match cli.command {
        Command::Front { config, listen, record, membership, store } => {
            commands::front(&config, listen, record.as_deref(), membership.as_deref(), store.as_deref())
        }
        Command::Node { membership, store, clock_offset } => {
            clock_offset.into_iter().for_each(micadyke_membership::clock::shift);
            commands::node(membership.as_deref(), store.as_deref())
        }
        Command::Members { at, membership, json, watch, wait } => {
            members::members(at, &membership, json, watch, &wait)
        }
        Command::Ask { kind, text, at, membership, json, wait, withdraw, lift, accounted } => {
            let kind = match kind {
                About::Title => "title",
                About::Viewer => "viewer",
                About::Server => "server",
            };
            let act = members::Act { withdraw, lift, accounted };
            members::ask((kind, text), at, &membership, json, &wait, act)
        }
        Command::Demo { listen } => commands::demo(listen),
        Command::Standin(s) => match (&s.config, &s.platform_bus) {
            (Some(config), _) => commands::standin(config),
            (None, Some(events)) => {
                commands::platform(Role::Bus { events: events.clone() }, s.listen, &s.lifetime)
            }
            (None, None) => {
                commands::server(&s).and_then(|role| commands::platform(role, s.listen, &s.lifetime))
            }
        },
        Command::Issuer { listen, seats, ttl, store } => {
            commands::issuer(listen, &seats, &ttl, store.as_deref())
        }
        Command::Rehearse { scenarios, how, require } => {
            let required: Vec<usize> = require.into_iter().map(usize::from).collect();
            commands::rehearse(&scenarios, how.as_deref(), &required)
        }
        Command::Replay { list, make, front, via, route, client, config, seed, how } => {
            match (make, list, front) {
                (Some(questions), ..) => commands::make_list(questions, seed),
                (None, Some(list), Some(front)) if via == Over::Cmcd => {
                    commands::replay_by(&list, front, &route, &client)
                }
                (None, Some(list), Some(front)) => commands::replay_at(&list, front, &route),
                (None, Some(list), None) => {
                    commands::replay_both(&list, &client, config.as_deref(), seed, how.as_deref())
                }
                (None, None, _) => Err(error::Error::NoList.into()),
            }
        }
        Command::RehearsedFront { scenario, front, listen, dir, issuer, how } => {
            let post = Post { front, listen, issuer, dir, how: None };
            commands::rehearsed_front(&scenario, post, how.as_deref())
        }
        Command::Check { file, boxes } => commands::check(&file, boxes.as_deref()),
    };
    match result {
        Ok(code) => code,
        Err(e) => ends(&*e),
    }
}

/// Says why a command ends, and beneath it what can be done.
fn ends(why: &(dyn std::error::Error + 'static)) -> ExitCode {
    eprintln!("micadyke: {why}");
    if let Some(advice) = ground::advice(why) {
        eprintln!("{advice}");
    }
    ExitCode::from(2)
}
