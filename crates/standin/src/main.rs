//! `citron-standin`: fakes at the router's interfaces, and a load driver.

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use citron_standin::{
    engine::{self, Engine},
    platform::Platform,
    server,
    service::{self, Service},
};
use gumdrop::Options;

/// Fakes at the interfaces of the citronpond router, and a load driver.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a model engine")]
    Engine(EngineArgs),
    #[options(help = "run a plain service")]
    Service(ServiceArgs),
    #[options(help = "run a platform with an instance list")]
    Platform(PlatformArgs),
}

#[derive(Debug, Options)]
struct EngineArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "loopback address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(no_short, help = "requests in the batch at most", default = "8")]
    slots: u32,
    #[options(
        no_short,
        help = "microseconds between tokens when one request runs",
        default = "10000"
    )]
    token_interval_us: u64,
    #[options(
        no_short,
        help = "percent by which each further request slows all",
        default = "3"
    )]
    degrade_percent: u32,
    #[options(
        no_short,
        help = "microseconds of prefill for each prompt token",
        default = "200"
    )]
    prefill_us: u64,
    #[options(no_short, help = "prompt prefixes kept in the cache", default = "64")]
    prefixes: usize,
    #[options(no_short, help = "age of the reported load", default = "500")]
    load_lag_ms: u64,
    #[options(no_short, help = "mean tokens of an answer", default = "64")]
    mean_tokens: u32,
    #[options(no_short, help = "seed of the answers' lengths", default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
struct ServiceArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "loopback address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(no_short, help = "time that a call runs", default = "5")]
    run_ms: u64,
    #[options(
        no_short,
        help = "calls that it says it can run at once",
        default = "16"
    )]
    slots: u32,
}

#[derive(Debug, Options)]
struct PlatformArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "loopback address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(no_short, help = "age of the list that is shown", default = "0")]
    lag_ms: u64,
    #[options(no_short, help = "file with the first list, JSON")]
    list: Option<String>,
}

fn main() -> ExitCode {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let Some(command) = args.command else {
        eprintln!("name a command: engine, service or platform");
        return ExitCode::from(2);
    };
    match actix_rt::System::new().block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Engine(args) => run_engine(args).await,
        Command::Service(args) => run_service(args).await,
        Command::Platform(args) => run_platform(args).await,
    }
}

async fn run_engine(args: EngineArgs) -> io::Result<()> {
    let settings = engine::Settings {
        slots: args.slots,
        token_interval: Duration::from_micros(args.token_interval_us),
        degrade_percent: args.degrade_percent,
        prefill_per_token: Duration::from_micros(args.prefill_us),
        prefixes: args.prefixes,
        load_lag: Duration::from_millis(args.load_lag_ms),
        mean_tokens: args.mean_tokens,
        seed: args.seed,
    };
    let engine = Rc::new(Engine::new(Instant::now(), settings));
    let listener = server::open(address(&args.listen)?).await?;
    io::stdout().flush()?;
    actix_rt::spawn(Rc::clone(&engine).sample());
    server::serve(listener, engine).await;
    Ok(())
}

async fn run_service(args: ServiceArgs) -> io::Result<()> {
    let settings = service::Settings {
        run: Duration::from_millis(args.run_ms),
        slots: args.slots,
    };
    let listener = server::open(address(&args.listen)?).await?;
    io::stdout().flush()?;
    server::serve(listener, Rc::new(Service::new(settings))).await;
    Ok(())
}

async fn run_platform(args: PlatformArgs) -> io::Result<()> {
    let text = match &args.list {
        Some(path) => std::fs::read_to_string(path)?,
        None => r#"{"entries":[],"runners":[]}"#.to_owned(),
    };
    let list = serde_json::from_str(&text)?;
    let lag = Duration::from_millis(args.lag_ms);
    let platform = Platform::new(Instant::now(), list, lag);
    let listener = server::open(address(&args.listen)?).await?;
    io::stdout().flush()?;
    server::serve(listener, Rc::new(platform)).await;
    Ok(())
}

fn address(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(|error| {
        let text = format!("{text} is not an address ({error}): use IP:PORT");
        io::Error::new(io::ErrorKind::InvalidInput, text)
    })
}
