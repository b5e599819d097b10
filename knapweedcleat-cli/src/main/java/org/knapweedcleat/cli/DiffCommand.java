package org.knapweedcleat.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import org.knapweedcleat.core.config.SettingFormatter;
import org.knapweedcleat.core.config.diff.Danger;
import org.knapweedcleat.core.config.diff.DocumentDiff;
import org.knapweedcleat.core.config.diff.SectionChange;
import org.knapweedcleat.core.config.diff.ValueChange;
import org.knapweedcleat.core.id.TeamId;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the changes between two documents, the owning teams and the dangers. */
final class DiffCommand extends Command {

  @Argument(index = 0, required = true, metaVar = "OLD", usage = "the active document")
  private Path oldDocument;

  @Argument(index = 1, required = true, metaVar = "NEW", usage = "the document to publish")
  private Path newDocument;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    DocumentDiff diff =
        DocumentDiff.between(
            DocumentReader.readDocument(oldDocument), DocumentReader.readDocument(newDocument));
    if (json) {
      console.json(json(diff));
    } else {
      print(console, diff);
    }
    return ExitCode.foundIf(diff.dangerous().nonEmpty());
  }

  private static void print(Console console, DocumentDiff diff) {
    if (diff.changes().isEmpty()) {
      console.line("no sections differ");
      return;
    }
    diff.changes().forEach(change -> print(console, change));
    console.line(
        diff.changes().size()
            + " sections differ, of "
            + diff.teams().map(team -> "team " + team).mkString(", ")
            + "; "
            + diff.dangerous().size()
            + " dangerous");
  }

  private static void print(Console console, SectionChange change) {
    console.line(
        SettingFormatter.format(change.kind())
            + " ["
            + change.section()
            + "] of "
            + change.teams().map(team -> "team " + team).mkString(", before of "));
    if (change.kind() == SectionChange.Kind.CHANGED) {
      change.values().forEach(value -> console.line("    " + text(value)));
    }
    change
        .dangers()
        .forEach(danger -> console.line("  ! " + danger.name() + ": " + danger.consequence()));
  }

  private static String text(ValueChange value) {
    String before = value.before().isEmpty() ? "(nothing)" : value.before();
    String after = value.after().isEmpty() ? "(nothing)" : value.after();
    return value.key() + ": " + before + " -> " + after;
  }

  private static JsonObject json(DocumentDiff diff) {
    JsonArray changes = new JsonArray();
    diff.changes().forEach(change -> changes.add(json(change)));
    return new JsonObject()
        .put("teams", new JsonArray(diff.teams().map(TeamId::value).asJava()))
        .put("dangerous", diff.dangerous().size())
        .put("changes", changes);
  }

  private static JsonObject json(SectionChange change) {
    JsonArray values = new JsonArray();
    change
        .values()
        .forEach(
            value ->
                values.add(
                    new JsonObject()
                        .put("key", value.key())
                        .put("before", value.before())
                        .put("after", value.after())));
    return new JsonObject()
        .put("kind", change.kind().name())
        .put("section", change.section())
        .put("teams", new JsonArray(change.teams().map(TeamId::value).asJava()))
        .put("values", values)
        .put("dangers", new JsonArray(change.dangers().map(Danger::name).asJava()));
  }
}
