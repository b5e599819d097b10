package org.knapweedcleat.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.check.ConfigChange;
import org.knapweedcleat.core.directory.check.ConfigDiff;
import org.knapweedcleat.core.directory.check.ContradictionFinder;
import org.knapweedcleat.core.directory.check.Finding;
import org.knapweedcleat.core.directory.check.LocatedFinding;
import org.knapweedcleat.core.directory.check.ParsedConfig;
import org.knapweedcleat.core.directory.check.UnusedEntryFinder;
import org.knapweedcleat.core.directory.check.VersionRule;
import org.knapweedcleat.core.id.RegionId;

/** Applies all checks to a published configuration in a platform's form. */
final class ConfigCheck {

  private final Set<RegionId> regions;
  private final Optional<ParsedConfig> inForce;

  private ConfigCheck(Set<RegionId> regions, Optional<ParsedConfig> inForce) {
    this.regions = regions;
    this.inForce = inForce;
  }

  /**
   * Returns a check.
   *
   * @param regions the regions of the failure domains; empty if they are not known
   * @param inForce the version in force, which has content; empty to compare with none
   */
  static ConfigCheck of(Set<RegionId> regions, Optional<ParsedConfig> inForce) {
    return new ConfigCheck(regions, inForce);
  }

  ConfigReport check(String file, ParsedConfig config) {
    List<LocatedFinding> findings = new ArrayList<>(config.findings());
    List<ConfigReport.LocatedChange> changes = new ArrayList<>();
    List<String> notes = new ArrayList<>();
    if (config.content().isEmpty()) {
      notes.add("further checks need a file without errors");
    } else {
      RoutingContent content = config.content().get();
      find(content).stream().map(config::locate).forEach(findings::add);
      compare(content).stream().map(change -> located(change, config)).forEach(changes::add);
      if (regions.isEmpty() && restrictsRegions(content)) {
        notes.add("regions are only checked with --settings");
      }
    }
    return new ConfigReport(
        file, findings, changes, inForce.isPresent(), notes, summary(config.content()));
  }

  private List<Finding> find(RoutingContent content) {
    List<Finding> findings = new ArrayList<>();
    contentInForce().flatMap(old -> VersionRule.check(old, content)).ifPresent(findings::add);
    findings.addAll(UnusedEntryFinder.find(content));
    findings.addAll(ContradictionFinder.find(content, regions));
    return findings;
  }

  private List<ConfigChange> compare(RoutingContent content) {
    return contentInForce().map(old -> ConfigDiff.between(old, content)).orElse(List.of());
  }

  private Optional<RoutingContent> contentInForce() {
    return inForce.flatMap(ParsedConfig::content);
  }

  private ConfigReport.LocatedChange located(ConfigChange change, ParsedConfig config) {
    boolean removed = change.kind() == ConfigChange.Kind.REMOVED;
    return ConfigReport.LocatedChange.of(change, removed ? inForce.orElseThrow() : config);
  }

  private static boolean restrictsRegions(RoutingContent content) {
    return content.routes().stream().anyMatch(route -> !route.allowedRegions().isEmpty())
        || content.accounts().stream().anyMatch(account -> !account.allowedRegions().isEmpty());
  }

  private static String summary(Optional<RoutingContent> content) {
    return content
        .map(
            one ->
                "version "
                    + one.version()
                    + ", "
                    + one.routes().size()
                    + " routes, "
                    + one.services().size()
                    + " services, "
                    + one.accounts().size()
                    + " client accounts")
        .orElse("");
  }
}
