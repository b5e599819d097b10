package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Validation;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;

/** Reads and checks the settings of a forwarding instance. */
public final class ForwarderSettingsParser {

  private ForwarderSettingsParser() {}

  /**
   * Reads settings and reports everything that is wrong with them.
   *
   * @param fileName the name to show in faults
   * @param text the settings in INI
   * @return the settings, or all faults in the order of their lines; never throws for any text
   * @throws NullPointerException if an argument is null
   */
  public static Validation<Seq<ConfigFault>, ForwarderSettings> parse(
      String fileName, String text) {
    Objects.requireNonNull(fileName, "fileName");
    Objects.requireNonNull(text, "text");
    IniContent content = IniReader.read(SettingsFile.FORWARDER, fileName, text);
    SectionChecker checker = SectionChecker.of(fileName, ForwarderKeys.all(), content);
    List<Either<List<ConfigFault>, CheckedSection>> checked = sections(content).map(checker::check);
    List<CheckedSection> clean = checked.flatMap(Either::toOption);
    List<ConfigFault> faults =
        content
            .faults()
            .appendAll(checked.flatMap(result -> result.swap().getOrElse(List.empty())))
            .appendAll(unknownDomain(clean));
    return faults.isEmpty()
        ? Validation.valid(assemble(clean))
        : Validation.invalid(faults.sortBy(ConfigFault::line));
  }

  /** Lists the sections of the text and, for those that it lacks, empty ones. */
  private static List<IniSection> sections(IniContent content) {
    return SectionKind.in(SettingsFile.FORWARDER)
        .flatMap(
            kind ->
                kind.names() > 0 || !content.of(kind).isEmpty()
                    ? content.of(kind)
                    : List.of(IniSection.empty(kind)));
  }

  private static Option<ConfigFault> unknownDomain(List<CheckedSection> sections) {
    Map<FailureDomainId, RegionId> regions = regions(sections);
    return sections
        .find(section -> section.kind() == SectionKind.FORWARDER)
        .filter(section -> !regions.containsKey(section.get(ForwarderKeys.DOMAIN)))
        .map(
            section ->
                section.fault(
                    FaultKind.UNRESOLVED_REFERENCE,
                    ForwarderKeys.DOMAIN,
                    "the name of a section [domain NAME] of this file"));
  }

  private static Map<FailureDomainId, RegionId> regions(List<CheckedSection> sections) {
    return sections
        .filter(section -> section.kind() == SectionKind.FORWARDER_DOMAIN)
        .toJavaStream()
        .collect(
            Collectors.toMap(
                section -> FailureDomainId.of(section.name()),
                section -> section.get(ForwarderKeys.REGION),
                (one, other) -> other));
  }

  private static ForwarderSettings assemble(List<CheckedSection> sections) {
    CheckedSection instance = only(sections, SectionKind.FORWARDER);
    return new ForwarderSettings(
        instance.get(ForwarderKeys.ID),
        instance.get(ForwarderKeys.DOMAIN),
        instance.get(ForwarderKeys.CALLERS),
        instance.get(ForwarderKeys.READINESS),
        instance.get(ForwarderKeys.PEERS),
        instance.get(ForwarderKeys.METRICS),
        regions(sections),
        discovery(only(sections, SectionKind.DISCOVERY)),
        bounds(only(sections, SectionKind.BOUNDS)));
  }

  private static CheckedSection only(List<CheckedSection> sections, SectionKind kind) {
    return sections.find(section -> section.kind() == kind).get();
  }

  private static ForwarderSettings.Discovery discovery(CheckedSection section) {
    return new ForwarderSettings.Discovery(
        section.get(ForwarderKeys.SEEDS).asJava(),
        section.get(ForwarderKeys.STORE),
        section.get(ForwarderKeys.GOSSIP));
  }

  private static ForwarderSettings.Bounds bounds(CheckedSection section) {
    return new ForwarderSettings.Bounds(
        section.get(ForwarderKeys.STOP),
        section.get(ForwarderKeys.REPEAT_RATIO),
        section.get(ForwarderKeys.REPEAT_WINDOW),
        section.get(ForwarderKeys.REPEAT_SLACK),
        section.get(ForwarderKeys.QUOTA_OVERAGE),
        section.get(ForwarderKeys.QUOTA_SLACK),
        section.get(ForwarderKeys.PREFILL_PART));
  }
}
