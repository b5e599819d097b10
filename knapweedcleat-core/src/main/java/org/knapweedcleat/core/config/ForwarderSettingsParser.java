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
import org.knapweedcleat.core.intake.CallerLimits;

/** Parses and validates the settings of a forwarding instance. */
public final class ForwarderSettingsParser {

  private static final long BYTES_PER_KILOBYTE = 1_024;

  private ForwarderSettingsParser() {}

  /**
   * Parses settings and reports all of their faults.
   *
   * @param fileName the file name to show in faults
   * @param text the settings in INI format
   * @return the settings, or all faults ordered by line, whatever the text is
   * @throws NullPointerException if an argument is null
   */
  public static Validation<Seq<ConfigFault>, ForwarderSettings> parse(
      String fileName, String text) {
    Objects.requireNonNull(fileName, "fileName");
    Objects.requireNonNull(text, "text");
    IniContent content = IniReader.read(SettingsFileType.FORWARDER, fileName, text);
    SectionValidator validator = SectionValidator.of(fileName, ForwarderSettingKeys.all(), content);
    List<Either<List<ConfigFault>, ValidatedSection>> results =
        sections(content).map(validator::validate);
    List<ValidatedSection> valid = results.flatMap(Either::toOption);
    List<ConfigFault> faults =
        content
            .faults()
            .appendAll(results.flatMap(result -> result.swap().getOrElse(List.empty())))
            .appendAll(unknownDomain(valid));
    return faults.isEmpty()
        ? Validation.valid(assemble(valid))
        : Validation.invalid(faults.sortBy(ConfigFault::line));
  }

  /** Lists the sections of the text and adds empty ones for unnamed kinds that are absent. */
  private static List<IniSection> sections(IniContent content) {
    return SectionKind.in(SettingsFileType.FORWARDER)
        .flatMap(
            kind ->
                kind.nameCount() > 0 || !content.of(kind).isEmpty()
                    ? content.of(kind)
                    : List.of(IniSection.empty(kind)));
  }

  private static Option<ConfigFault> unknownDomain(List<ValidatedSection> sections) {
    Map<FailureDomainId, RegionId> regions = regions(sections);
    return sections
        .find(section -> section.kind() == SectionKind.FORWARDER)
        .filter(section -> !regions.containsKey(section.get(ForwarderSettingKeys.DOMAIN)))
        .map(
            section ->
                section.fault(
                    ConfigFaultKind.UNRESOLVED_REFERENCE,
                    ForwarderSettingKeys.DOMAIN,
                    "the name of a section [domain NAME] of this file"));
  }

  private static Map<FailureDomainId, RegionId> regions(List<ValidatedSection> sections) {
    return sections
        .filter(section -> section.kind() == SectionKind.FORWARDER_DOMAIN)
        .toJavaStream()
        .collect(
            Collectors.toMap(
                section -> FailureDomainId.of(section.name()),
                section -> section.get(ForwarderSettingKeys.REGION),
                (first, second) -> second));
  }

  private static ForwarderSettings assemble(List<ValidatedSection> sections) {
    ValidatedSection instance = only(sections, SectionKind.FORWARDER);
    return new ForwarderSettings(
        instance.get(ForwarderSettingKeys.ID),
        instance.get(ForwarderSettingKeys.DOMAIN),
        instance.get(ForwarderSettingKeys.CALLERS),
        instance.get(ForwarderSettingKeys.READINESS),
        instance.get(ForwarderSettingKeys.PEERS),
        instance.get(ForwarderSettingKeys.METRICS),
        regions(sections),
        discovery(only(sections, SectionKind.DISCOVERY)),
        bounds(only(sections, SectionKind.BOUNDS)),
        locality(only(sections, SectionKind.LOCALITY)),
        callers(only(sections, SectionKind.CALLERS)),
        listeners(only(sections, SectionKind.FORWARDER_LISTENERS)));
  }

  private static ValidatedSection only(List<ValidatedSection> sections, SectionKind kind) {
    return sections.find(section -> section.kind() == kind).get();
  }

  private static ForwarderSettings.Discovery discovery(ValidatedSection section) {
    return new ForwarderSettings.Discovery(
        section.get(ForwarderSettingKeys.SEEDS).asJava(),
        section.get(ForwarderSettingKeys.STORE),
        section.get(ForwarderSettingKeys.GOSSIP));
  }

  private static ForwarderSettings.Locality locality(ValidatedSection section) {
    return new ForwarderSettings.Locality(
        section.get(ForwarderSettingKeys.INTER_DOMAIN_COST),
        section.get(ForwarderSettingKeys.INTER_REGION_RATE));
  }

  private static ForwarderSettings.Bounds bounds(ValidatedSection section) {
    return new ForwarderSettings.Bounds(
        section.get(ForwarderSettingKeys.STOP),
        section.get(ForwarderSettingKeys.REPEAT_RATIO),
        section.get(ForwarderSettingKeys.REPEAT_WINDOW),
        section.get(ForwarderSettingKeys.REPEAT_SLACK),
        section.get(ForwarderSettingKeys.QUOTA_OVERAGE),
        section.get(ForwarderSettingKeys.QUOTA_SLACK),
        section.get(ForwarderSettingKeys.PREFILL_PART),
        section.get(ForwarderSettingKeys.CONFIG_APPLY),
        section.get(ForwarderSettingKeys.COLD_OVERAGE),
        section.get(ForwarderSettingKeys.COLD_SLACK));
  }

  private static CallerLimits callers(ValidatedSection section) {
    return new CallerLimits(
        BYTES_PER_KILOBYTE * section.get(CallerSettingKeys.MEMORY),
        section.get(CallerSettingKeys.CONNECTIONS),
        section.get(CallerSettingKeys.PARTIAL_REQUESTS),
        section.get(CallerSettingKeys.HEADER_LINES),
        section.get(CallerSettingKeys.CHUNKS),
        section.get(CallerSettingKeys.CHUNK_OVERHEAD),
        section.get(CallerSettingKeys.TRAILER_LINES),
        section.get(CallerSettingKeys.MIN_BODY),
        section.get(CallerSettingKeys.DISCARDED));
  }

  private static ListenerSettings listeners(ValidatedSection section) {
    return new ListenerSettings(
        section.get(ForwarderSettingKeys.CHECK_CONNECTIONS),
        section.get(ForwarderSettingKeys.PEER_CONNECTIONS),
        section.get(ForwarderSettingKeys.HEADER_LINES),
        section.get(ForwarderSettingKeys.LISTENER_MEMORY),
        section.get(ForwarderSettingKeys.REQUEST_TIME));
  }
}
