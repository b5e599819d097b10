package org.knapweedcleat.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.config.ForwarderSettingsParser;
import org.knapweedcleat.core.directory.check.ConfigFormat;
import org.knapweedcleat.core.directory.check.ParsedConfig;
import org.knapweedcleat.core.id.RegionId;

/** Reads the files of {@code check --adapter} and prints the reports. */
final class AdapterCheck {

  private final ConfigFormat format;

  private AdapterCheck(ConfigFormat format) {
    this.format = format;
  }

  static AdapterCheck of(String adapter) throws CliException {
    return ServiceLoader.load(ConfigFormat.class).stream()
        .map(ServiceLoader.Provider::get)
        .filter(format -> format.adapter().equals(adapter))
        .findFirst()
        .map(AdapterCheck::new)
        .orElseThrow(() -> CliException.of(CliFault.NO_ADAPTER, adapter));
  }

  ExitCode run(
      Console console,
      List<Path> files,
      Optional<Path> settings,
      Optional<Path> against,
      boolean json)
      throws CliException {
    Set<RegionId> regions = settings.isPresent() ? regions(settings.get()) : Set.of();
    Optional<ParsedConfig> inForce =
        against.isPresent() ? Optional.of(inForce(against.get())) : Optional.empty();
    ConfigCheck check = ConfigCheck.of(regions, inForce);
    List<ConfigReport> reports = new ArrayList<>();
    for (Path file : files) {
      reports.add(check.check(file.toString(), format.parse(DocumentReader.readText(file))));
    }
    if (json) {
      JsonArray array = new JsonArray();
      reports.forEach(report -> array.add(ConfigReportJson.of(report)));
      console.json(new JsonObject().put("files", array));
    } else {
      reports.forEach(report -> ConfigReportText.print(console, report));
    }
    return ExitCode.foundIf(reports.stream().anyMatch(ConfigReport::hasErrors));
  }

  private ParsedConfig inForce(Path file) throws CliException {
    ParsedConfig config = format.parse(DocumentReader.readText(file));
    if (config.content().isEmpty()) {
      throw CliException.of(CliFault.FAULTY_IN_FORCE, file.toString());
    }
    return config;
  }

  private static Set<RegionId> regions(Path file) throws CliException {
    ForwarderSettings settings =
        ForwarderSettingsParser.parse(file.toString(), DocumentReader.readText(file))
            .toEither()
            .getOrElseThrow(faults -> CliException.faulty(file, faults));
    return Set.copyOf(settings.regions().values());
  }
}
