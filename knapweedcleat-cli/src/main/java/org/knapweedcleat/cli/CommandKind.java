package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.control.Option;
import java.util.Locale;
import java.util.function.Supplier;

/** The commands. */
enum CommandKind {
  /** Checks settings. */
  CHECK(
      "FILE...",
      "checks documents, or instances' settings, and names every fault with its place",
      "knapweedcleat check examples/kayseri/fleet.ini",
      "faults were found",
      CheckCommand::new),
  /** Compares documents. */
  DIFF(
      "OLD NEW",
      "shows what a new document changes, whose sections, and what is dangerous about it",
      "knapweedcleat diff fleet.ini fleet-new.ini",
      "a change is dangerous",
      DiffCommand::new),
  /** Explains a request. */
  EXPLAIN(
      "DOCUMENT --method M --path P",
      "shows where a request would go, under which limits, and when it is refused",
      "knapweedcleat explain examples/kayseri/fleet.ini --method POST --path /v1/notes"
          + " --account families",
      "the request would be refused",
      ExplainCommand::new),
  /** Shows instances. */
  STATUS(
      "HOST:PORT...",
      "asks instances how they are and what is wrong between them",
      "knapweedcleat status 127.1.1.1:8081 127.1.1.2:8081",
      "an instance is not ready, does not answer, differs from others or counted violations",
      StatusCommand::new),
  /** Shows the audit trail. */
  AUDIT(
      "HOST:PORT",
      "shows the changes that an instance has seen since it started",
      "knapweedcleat audit 127.1.1.1:8081 --after 120",
      "events after the number asked for are no longer kept",
      AuditCommand::new),
  /** Stops an instance. */
  DRAIN(
      "HOST:PORT",
      "begins a planned stop: the instance takes nothing new and cuts nothing",
      "knapweedcleat drain 127.1.1.1:8081 --wait",
      "the instance has not stopped in time",
      DrainCommand::new),
  /** Makes a key. */
  KEY(
      "NAME --account A",
      "makes a key, shows it once, and prints the section with its digest",
      "knapweedcleat key families-2 --account families --team coordination",
      "not used",
      KeyCommand::new),
  /** Cuts a long document into parts. */
  PARTS(
      "DOCUMENT --out DIRECTORY",
      "cuts a document over a megabyte into parts under a manifest, one file a value",
      "knapweedcleat parts fleet.ini --out parts",
      "not used",
      PartsCommand::new),
  /** Explains a request from logs. */
  TRACE(
      "ID FILE...",
      "shows what instances decided about a request and what they believed then",
      "knapweedcleat trace 2fbcabeedbe5f252 front-a-1.log front-a-2.log",
      "no line is about the request",
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

  /** Returns what the exit code 1 says. */
  String foundDescription() {
    return foundDescription;
  }

  Command create() {
    return factory.get();
  }
}
