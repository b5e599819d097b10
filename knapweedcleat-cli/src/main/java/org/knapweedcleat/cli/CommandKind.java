package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.control.Option;
import java.util.Locale;
import java.util.function.Supplier;

/** The commands and their help texts. */
enum CommandKind {
  /** Validates documents and settings files. */
  CHECK(
      "FILE...",
      "checks documents, instance settings or, with --adapter, configurations of a platform, and"
          + " prints every fault with its location",
      "knapweedcleat check examples/kayseri/fleet.ini",
      "faults were found; with --adapter errors, but not warnings",
      CheckCommand::new),
  /** Compares documents. */
  DIFF(
      "OLD NEW",
      "shows what a new document changes, who owns the sections, and which changes are dangerous",
      "knapweedcleat diff fleet.ini fleet-new.ini",
      "a change is dangerous",
      DiffCommand::new),
  /** Explains the routing of a request. */
  EXPLAIN(
      "DOCUMENT --method M --path P",
      "shows how a request would be routed, which limits apply, and when it is refused",
      "knapweedcleat explain examples/kayseri/fleet.ini --method POST --path /v1/notes"
          + " --account families",
      "the request would be refused",
      ExplainCommand::new),
  /** Shows the status of instances. */
  STATUS(
      "HOST:PORT...",
      "shows the status of instances and problems within and between them",
      "knapweedcleat status 127.1.1.1:8081 127.1.1.2:8081",
      "an instance is not ready, does not answer, differs from others or counted violations",
      StatusCommand::new),
  /** Shows the audit trail. */
  AUDIT(
      "HOST:PORT",
      "shows the changes that an instance has recorded since it started",
      "knapweedcleat audit 127.1.1.1:8081 --after 120",
      "some of the requested events are no longer kept",
      AuditCommand::new),
  /** Starts a planned stop of an instance. */
  DRAIN(
      "HOST:PORT",
      "starts a planned stop: the instance accepts no new requests and finishes running ones",
      "knapweedcleat drain 127.1.1.1:8081 --wait",
      "the instance did not stop in time",
      DrainCommand::new),
  /** Generates an API key. */
  KEY(
      "NAME --account A",
      "generates an API key and prints it once, with the section that holds its digest",
      "knapweedcleat key families-2 --account families --team coordination",
      "not used",
      KeyCommand::new),
  /** Splits a large document into parts. */
  PARTS(
      "DOCUMENT --out DIRECTORY",
      "splits a document over a megabyte into parts and a manifest, one file per value",
      "knapweedcleat parts fleet.ini --out parts",
      "not used",
      PartsCommand::new),
  /** Traces a request through logs. */
  TRACE(
      "ID FILE...",
      "shows the log lines of a request and the instance events that preceded them",
      "knapweedcleat trace 2fbcabeedbe5f252 front-a-1.log front-a-2.log",
      "no log line belongs to the request",
      TraceCommand::new);

  private final String arguments;
  private final String summary;
  private final String example;
  private final String foundDescription;
  private final Supplier<Command> factory;

  CommandKind(
      String arguments,
      String summary,
      String example,
      String foundMeaning,
      Supplier<Command> maker) {
    this.arguments = arguments;
    this.summary = summary;
    this.example = example;
    this.foundDescription = foundMeaning;
    this.factory = maker;
  }

  static Option<CommandKind> find(String word) {
    return List.of(values()).find(kind -> kind.word().equals(word));
  }

  String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  String arguments() {
    return arguments;
  }

  String summary() {
    return summary;
  }

  String example() {
    return example;
  }

  /** Returns the meaning of exit code 1 for this command. */
  String foundDescription() {
    return foundDescription;
  }

  Command create() {
    return factory.get();
  }
}
