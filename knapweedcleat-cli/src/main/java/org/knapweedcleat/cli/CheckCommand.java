package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Validation;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Optional;
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

/** Validates documents and settings files and prints every fault with its location. */
final class CheckCommand extends Command {

  private static final int MAX_PUBLISHED_VALUE_BYTES = 1_000_000;

  @Argument(metaVar = "FILE", usage = "the files to check")
  private java.util.List<Path> files = new ArrayList<>();

  @Option(name = "--instance", usage = "the files are settings of instances")
  private boolean instance;

  @Option(
      name = "--forwarder",
      usage = "the files are settings of instances that forward calls on a platform")
  private boolean forwarder;

  @Option(
      name = "--keys",
      usage = "print all setting keys with their allowed values and defaults instead")
  private boolean keys;

  @Option(
      name = "--adapter",
      metaVar = "NAME",
      forbids = {"--instance", "--forwarder", "--keys"},
      usage = "the files are configurations published on the platform of this adapter")
  private String adapter;

  @Option(
      name = "--against",
      metaVar = "FILE",
      depends = "--adapter",
      usage = "with --adapter: the configuration in force, to show the differences")
  private Path against;

  @Option(
      name = "--settings",
      metaVar = "FILE",
      depends = "--adapter",
      usage = "with --adapter: settings of an instance, to check regions by its failure domains")
  private Path settings;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    if (keys) {
      console.line(SettingKeyTables.of(fileType()));
      return ExitCode.OK;
    }
    if (files.isEmpty()) {
      throw CliException.of(CliFault.NO_FILE, "there is nothing");
    }
    if (adapter != null) {
      return AdapterCheck.of(adapter)
          .run(console, files, Optional.ofNullable(settings), Optional.ofNullable(against), json);
    }
    List<FileResult> results = List.empty();
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

  private SettingsFileType fileType() {
    if (forwarder) {
      return SettingsFileType.FORWARDER;
    }
    return instance ? SettingsFileType.INSTANCE : SettingsFileType.DOCUMENT;
  }

  private FileResult check(Path file) throws CliException {
    String text = DocumentReader.readText(file);
    String name = file.toString();
    if (forwarder) {
      return result(
          name, ForwarderSettingsParser.parse(name, text).map(CheckCommand::summary), List.empty());
    }
    if (instance) {
      return result(
          name, InstanceSettingsParser.parse(name, text).map(CheckCommand::summary), List.empty());
    }
    return result(
        name, FleetDocumentParser.parse(name, text).map(CheckCommand::summary), notes(name, text));
  }

  private static FileResult result(
      String name, Validation<Seq<ConfigFault>, String> validation, List<String> notes) {
    return validation.fold(
        faults -> new FileResult(name, faults, "", notes.appendAll(advice(faults))),
        summary -> new FileResult(name, List.empty(), summary, notes));
  }

  private static List<String> notes(String name, String text) {
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    return bytes <= MAX_PUBLISHED_VALUE_BYTES
        ? List.empty()
        : List.of(
            name
                + ": over a megabyte; split it before publishing with:"
                + " knapweedcleat parts "
                + name
                + " --out DIRECTORY");
  }

  private static List<String> advice(Seq<ConfigFault> faults) {
    boolean looksLikeInstanceSettings =
        faults.exists(
            fault ->
                fault.kind() == ConfigFaultKind.UNKNOWN_SECTION
                    && fault.section().equals("instance"));
    return looksLikeInstanceSettings
        ? List.of("this looks like the settings of an instance; check it with --instance")
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

  private static JsonObject json(List<FileResult> results) {
    JsonArray files = new JsonArray();
    results.forEach(result -> files.add(result.json()));
    return new JsonObject().put("files", files);
  }

  /**
   * The result for one file.
   *
   * @param name the file name
   * @param faults its faults
   * @param summary a summary of its content, if it has no faults
   * @param notes further advice for the operator
   */
  private record FileResult(
      String name, Seq<ConfigFault> faults, String summary, List<String> notes) {

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
