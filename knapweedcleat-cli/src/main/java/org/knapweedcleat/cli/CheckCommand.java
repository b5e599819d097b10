package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Validation;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import org.knapweedcleat.core.config.ConfigFault;
import org.knapweedcleat.core.config.ConfigFaultKind;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetDocumentParser;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.config.ForwarderSettingsParser;
import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.config.InstanceSettingsParser;
import org.knapweedcleat.core.config.SettingsFileType;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Checks settings and names every fault with its place. */
final class CheckCommand extends Command {

  private static final int MAX_VALUE_BYTES = 1_000_000;

  @Argument(metaVar = "FILE", usage = "the files to check")
  private java.util.List<Path> files = new ArrayList<>();

  @Option(name = "--instance", usage = "the files are instances' own settings")
  private boolean instance;

  @Option(
      name = "--forwarder",
      usage = "the files are settings of instances that forward calls on a platform")
  private boolean forwarder;

  @Option(name = "--keys", usage = "shows every key with its range and default instead")
  private boolean keys;

  @Option(name = "--json", usage = "answers in JSON")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    if (keys) {
      console.line(SettingKeyTables.of(kind()));
      return ExitCode.OK;
    }
    if (files.isEmpty()) {
      throw CliException.of(CliFault.NO_FILE, "there is nothing");
    }
    List<Checked> results = List.empty();
    for (Path file : files) {
      results = results.append(check(file));
    }
    if (json) {
      console.json(json(results));
    } else {
      results.forEach(result -> result.print(console));
    }
    return ExitCode.foundIf(results.exists(result -> result.faults().nonEmpty()));
  }

  private SettingsFileType kind() {
    if (forwarder) {
      return SettingsFileType.FORWARDER;
    }
    return instance ? SettingsFileType.INSTANCE : SettingsFileType.DOCUMENT;
  }

  private Checked check(Path file) throws CliException {
    String text = DocumentReader.readText(file);
    String name = file.toString();
    if (forwarder) {
      return checked(
          name, ForwarderSettingsParser.parse(name, text).map(CheckCommand::summary), List.empty());
    }
    if (instance) {
      return checked(
          name, InstanceSettingsParser.parse(name, text).map(CheckCommand::summary), List.empty());
    }
    return checked(
        name, FleetDocumentParser.parse(name, text).map(CheckCommand::summary), notes(name, text));
  }

  private static Checked checked(
      String name, Validation<Seq<ConfigFault>, String> result, List<String> notes) {
    return result.fold(
        faults -> new Checked(name, faults, "", notes.appendAll(advice(faults))),
        summary -> new Checked(name, List.empty(), summary, notes));
  }

  private static List<String> notes(String name, String text) {
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    return bytes <= MAX_VALUE_BYTES
        ? List.empty()
        : List.of(
            name
                + ": over a megabyte; cut it before publishing with:"
                + " knapweedcleat parts "
                + name
                + " --out DIRECTORY");
  }

  private static List<String> advice(Seq<ConfigFault> faults) {
    boolean settings =
        faults.exists(
            fault ->
                fault.kind() == ConfigFaultKind.UNKNOWN_SECTION && fault.section().equals("instance"));
    return settings
        ? List.of("this looks like an instance's own settings; check it with --instance")
        : List.empty();
  }

  private static String summary(FleetDocument document) {
    return document.name()
        + ": "
        + document.services().size()
        + " services, "
        + document.routes().size()
        + " routes, "
        + document.accounts().size()
        + " client accounts, "
        + document.keys().size()
        + " keys, "
        + document.endpoints().size()
        + " endpoints in "
        + document.domains().size()
        + " failure domains";
  }

  private static String summary(ForwarderSettings settings) {
    return "forwarding instance " + settings.id() + " in failure domain " + settings.domain();
  }

  private static String summary(InstanceSettings settings) {
    return "instance " + settings.id() + " in failure domain " + settings.domain();
  }

  private static JsonObject json(List<Checked> results) {
    JsonArray files = new JsonArray();
    results.forEach(result -> files.add(result.json()));
    return new JsonObject().put("files", files);
  }

  /**
   * What was found in one file.
   *
   * @param name the file
   * @param faults its faults
   * @param summary what it holds, if it has no faults
   * @param notes what else an operator should know
   */
  private record Checked(String name, Seq<ConfigFault> faults, String summary, List<String> notes) {

    void print(Console console) {
      faults.forEach(fault -> console.line(fault.toString()));
      console.line(
          faults.isEmpty()
              ? name + ": no faults; " + summary
              : name + ": " + faults.size() + " faults");
      notes.forEach(console::line);
    }

    JsonObject json() {
      JsonArray array = new JsonArray();
      faults.forEach(fault -> array.add(json(fault)));
      return new JsonObject()
          .put("file", name)
          .put("ok", faults.isEmpty())
          .put("summary", summary)
          .put("faults", array)
          .put("notes", new JsonArray(notes.asJava()));
    }

    private static JsonObject json(ConfigFault fault) {
      return new JsonObject()
          .put("kind", fault.kind().name())
          .put("line", fault.line())
          .put("section", fault.section())
          .put("key", fault.key())
          .put("found", fault.found())
          .put("allowed", fault.allowed());
    }
  }
}
