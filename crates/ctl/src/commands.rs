//! Carries out the commands.

use std::ffi::OsString;
use std::io::Write;
use std::path::Path;

use clap::CommandFactory as _;
use clap::Parser as _;
use serde_json::json;

use crate::apply;
use crate::args::Args;
use crate::args::Command;
use crate::args::MemberCommand;
use crate::args::NodeArgs;
use crate::console::Console;
use crate::exit::Exit;
use crate::exit::Fault;
use crate::generate;
use crate::questionnaire;
use crate::session::Session;
use crate::session::unexpected;
use crate::settings::Settings;
use crate::status;
use sassafras_util::Digest;
use sassafras_util::Name;
use sassafras_util::random_u64;
use sassafras_wire::Body;
use sassafras_wire::proto::MemberChange;
use sassafras_wire::proto::NodeCommand;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::member_change::Kind;

/// Runs the program with the given arguments, the first of which is its name.
pub fn run<A>(args: A, out: &mut dyn Write, err: &mut dyn Write) -> Exit
where
    A: IntoIterator,
    A::Item: Into<OsString> + Clone,
{
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(e) => return usage(&e, out, err),
    };
    let mut console = Console {
        out,
        err,
        json: args.json,
    };
    let done = match local(&mut console, &args.command) {
        Some(done) => done,
        None => remote(&mut console, &args),
    };
    done.unwrap_or_else(|fault| {
        // Nothing is left to do when standard error is closed.
        let _ = console.note(format!("error: {fault}"));
        fault.exit
    })
}

/// Prints a usage error, or the help or version that was asked for.
fn usage(e: &clap::Error, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let text = e.render();
    // Nothing is left to do when the stream is closed.
    if e.use_stderr() {
        let _ = write!(err, "{text}");
        Exit::Usage
    } else {
        let _ = write!(out, "{text}");
        Exit::Done
    }
}

/// Carries out a command that needs no cluster; `None` for the others.
fn local(console: &mut Console<'_>, command: &Command) -> Option<Result<Exit, Fault>> {
    Some(match command {
        Command::Questionnaire { answers, out } => {
            questionnaire::run(console, answers.as_deref(), out.as_deref())
        }
        Command::Generate { answers, out } => generate::run(console, answers, out),
        Command::Token => token(console),
        Command::Completions { shell } => {
            clap_complete::generate(
                *shell,
                &mut Args::command(),
                "sassafrasctl",
                &mut console.out,
            );
            Ok(Exit::Done)
        }
        _ => return None,
    })
}

fn token(console: &mut Console<'_>) -> Result<Exit, Fault> {
    let parts = [(); 4].map(|()| format!("{:016x}", random_u64()));
    let token = parts.concat();
    let digest = Digest::of(token.as_bytes());
    let json = json!({"token": token, "sha256": digest.to_string()});
    console.result(format!("token {token}\nsha256 {digest}\n"), &json)?;
    Ok(Exit::Done)
}

fn remote(console: &mut Console<'_>, args: &Args) -> Result<Exit, Fault> {
    // Faults of the folder are shown before a connection is needed.
    let folder = match &args.command {
        Command::Plan { dir } => apply::read_folder(console, dir)?,
        Command::Apply(apply) => apply::read_folder(console, &apply.dir)?,
        _ => crate::Folder::default(),
    };
    let settings = settings(args.settings.as_deref())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut session = Session::open(settings, args.timeout_ms);
        let session = &mut session;
        match &args.command {
            Command::Plan { .. } => apply::plan(console, session, &folder).await,
            Command::Apply(args) => apply::run(console, session, &folder, args).await,
            Command::Audit { after, limit } => {
                status::audit(console, session, *after, *limit).await
            }
            Command::Drain(node) => order(console, session, node, NodeState::Leaving).await,
            Command::Pause(node) => order(console, session, node, NodeState::Paused).await,
            Command::Resume(node) => order(console, session, node, NodeState::Active).await,
            Command::Member { change } => member(console, session, change).await,
            _ => status::show(console, session).await,
        }
    })
}

fn settings(path: Option<&Path>) -> Result<Settings, Fault> {
    let path = path.ok_or_else(|| {
        Fault::new(
            Exit::Usage,
            "this command needs --settings FILE or SASSAFRASCTL_SETTINGS",
        )
    })?;
    Settings::read(path).map_err(|e| Fault::new(Exit::Usage, e))
}

/// Returns a request id that nobody else uses.
pub(crate) fn new_request_id() -> Name {
    Name::from(format!("{:016x}", random_u64()))
}

async fn order(
    console: &mut Console<'_>,
    session: &mut Session,
    args: &NodeArgs,
    state: NodeState,
) -> Result<Exit, Fault> {
    let id = args.request_id.clone().unwrap_or_else(new_request_id);
    let command = NodeCommand {
        node: args.node.to_string(),
        state: state.into(),
        operator: session.settings.name.to_string(),
        request_id: id.to_string(),
        credential: session.settings.token.clone(),
    };
    let reply = match session.ask(Body::NodeCommand(command)).await? {
        Body::NodeCommandReply(reply) => reply,
        other => return Err(unexpected(&other)),
    };
    let state = state.as_str_name().to_lowercase();
    answer(
        console,
        reply.accepted,
        &reply.detail,
        &format!("{}: {state}", args.node),
    )
}

async fn member(
    console: &mut Console<'_>,
    session: &mut Session,
    change: &MemberCommand,
) -> Result<Exit, Fault> {
    let (kind, name, address) = match change {
        MemberCommand::Add { name, address } => (Kind::AddLearner, name, address.to_string()),
        MemberCommand::Promote { name } => (Kind::Promote, name, String::new()),
        MemberCommand::Remove { name } => (Kind::Remove, name, String::new()),
    };
    let body = MemberChange {
        kind: kind.into(),
        member: name.to_string(),
        address,
        operator: session.settings.name.to_string(),
        credential: session.settings.token.clone(),
    };
    let reply = match session.ask(Body::MemberChange(body)).await? {
        Body::MemberChangeReply(reply) => reply,
        other => return Err(unexpected(&other)),
    };
    let done = match kind {
        Kind::AddLearner => "added as a learner",
        Kind::Promote => "has a vote",
        _ => "removed",
    };
    answer(
        console,
        reply.accepted,
        &reply.detail,
        &format!("{name}: {done}"),
    )
}

fn answer(
    console: &mut Console<'_>,
    accepted: bool,
    detail: &str,
    done: &str,
) -> Result<Exit, Fault> {
    if !accepted {
        return Err(Fault::failed(format!("refused: {detail}")));
    }
    console.result(
        format!("{done}\n"),
        &json!({"accepted": true, "detail": detail}),
    )?;
    Ok(Exit::Done)
}
