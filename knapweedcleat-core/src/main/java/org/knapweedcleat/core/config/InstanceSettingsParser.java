package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Validation;
import java.util.Objects;
import java.util.function.Function;

/** Parses and validates the settings of an instance. */
public final class InstanceSettingsParser {

  private InstanceSettingsParser() {}

  /**
   * Parses settings and reports all of their faults.
   *
   * @param fileName the file name to show in faults
   * @param text the settings in INI format
   * @return the settings, or all faults ordered by line, whatever the text is
   * @throws NullPointerException if an argument is null
   */
  public static Validation<Seq<ConfigFault>, InstanceSettings> parse(String fileName, String text) {
    Objects.requireNonNull(fileName, "fileName");
    Objects.requireNonNull(text, "text");
    IniContent content = IniReader.read(SettingsFileType.INSTANCE, fileName, text);
    SectionValidator validator = SectionValidator.of(fileName, InstanceSettingKeys.all(), content);
    List<Either<List<ConfigFault>, ValidatedSection>> results =
        SectionKind.in(SettingsFileType.INSTANCE)
            .map(kind -> validator.validate(section(content, kind)));
    Map<SectionKind, ValidatedSection> valid =
        results.flatMap(Either::toOption).toMap(ValidatedSection::kind, Function.identity());
    List<ConfigFault> faults =
        content
            .faults()
            .appendAll(results.flatMap(result -> result.swap().getOrElse(List.empty())))
            .appendAll(
                valid
                    .get(SectionKind.INSTANCE)
                    .toList()
                    .flatMap(InstanceSettingsParser::duplicatePorts))
            .appendAll(valid.get(SectionKind.PEERS).flatMap(InstanceSettingsParser::shortTimeout));
    return faults.isEmpty()
        ? Validation.valid(assemble(valid))
        : Validation.invalid(faults.sortBy(ConfigFault::line));
  }

  /** Returns the section, or an empty one if the text does not contain it. */
  private static IniSection section(IniContent content, SectionKind kind) {
    return content.of(kind).headOption().getOrElse(() -> IniSection.empty(kind));
  }

  private static List<ConfigFault> duplicatePorts(ValidatedSection section) {
    List<SettingKey<Integer>> ports =
        List.of(
            InstanceSettingKeys.CALLER_PORT,
            InstanceSettingKeys.OPERATOR_PORT,
            InstanceSettingKeys.PEER_PORT);
    return ports
        .groupBy(section::get)
        .values()
        .toList()
        .flatMap(List::tail)
        .map(
            key ->
                section.fault(
                    ConfigFaultKind.UNSUITABLE_VALUE, key, "a port that no other key has"));
  }

  private static Option<ConfigFault> shortTimeout(ValidatedSection section) {
    boolean tooShort =
        section.get(InstanceSettingKeys.HEARTBEAT_TIMEOUT)
            <= section.get(InstanceSettingKeys.HEARTBEAT);
    return Option.when(
        tooShort,
        () ->
            section.fault(
                ConfigFaultKind.UNSUITABLE_VALUE,
                InstanceSettingKeys.HEARTBEAT_TIMEOUT,
                "more than heartbeatMillis"));
  }

  private static InstanceSettings assemble(Map<SectionKind, ValidatedSection> sections) {
    ValidatedSection instance = sections.get(SectionKind.INSTANCE).get();
    return new InstanceSettings(
        instance.get(InstanceSettingKeys.ID),
        instance.get(InstanceSettingKeys.DOMAIN),
        instance.get(InstanceSettingKeys.HOST),
        instance.get(InstanceSettingKeys.CALLER_PORT),
        instance.get(InstanceSettingKeys.OPERATOR_PORT),
        instance.get(InstanceSettingKeys.PEER_PORT),
        listedPeerPort(instance),
        platform(sections.get(SectionKind.PLATFORM).get()),
        limits(sections.get(SectionKind.LIMITS).get()),
        peers(sections.get(SectionKind.PEERS).get()),
        sections
            .get(SectionKind.INSTANCE_LISTENERS)
            .get()
            .get(InstanceSettingKeys.CALLER_CONNECTIONS),
        listeners(sections.get(SectionKind.INSTANCE_LISTENERS).get()));
  }

  private static int listedPeerPort(ValidatedSection instance) {
    int listed = instance.get(InstanceSettingKeys.LISTED_PEER_PORT);
    return listed == 0 ? instance.get(InstanceSettingKeys.PEER_PORT) : listed;
  }

  private static InstanceSettings.Platform platform(ValidatedSection section) {
    return new InstanceSettings.Platform(
        section.get(InstanceSettingKeys.PLATFORM_HOST),
        section.get(InstanceSettingKeys.PLATFORM_PORT),
        section.get(InstanceSettingKeys.PLATFORM_DOCUMENT),
        section.get(InstanceSettingKeys.PLATFORM_WAIT));
  }

  private static InstanceSettings.Limits limits(ValidatedSection section) {
    return new InstanceSettings.Limits(
        section.get(InstanceSettingKeys.MAX_BODY),
        section.get(InstanceSettingKeys.MAX_HEADER),
        section.get(InstanceSettingKeys.MAX_IN_FLIGHT),
        section.get(InstanceSettingKeys.DRAIN_TIMEOUT));
  }

  private static InstanceSettings.Peers peers(ValidatedSection section) {
    return new InstanceSettings.Peers(
        section.get(InstanceSettingKeys.HEARTBEAT),
        section.get(InstanceSettingKeys.HEARTBEAT_TIMEOUT),
        section.get(InstanceSettingKeys.LEASE),
        section.get(InstanceSettingKeys.LIST_LAG));
  }

  private static ListenerSettings listeners(ValidatedSection section) {
    return new ListenerSettings(
        section.get(InstanceSettingKeys.CHECK_CONNECTIONS),
        section.get(InstanceSettingKeys.PEER_CONNECTIONS),
        section.get(InstanceSettingKeys.HEADER_LINES),
        section.get(InstanceSettingKeys.LISTENER_MEMORY),
        section.get(InstanceSettingKeys.REQUEST_TIME));
  }
}
