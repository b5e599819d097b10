package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Validation;
import java.util.Objects;
import java.util.function.Function;

/** Reads and checks an instance's own settings. */
public final class InstanceSettingsParser {

  private InstanceSettingsParser() {}

  /**
   * Reads settings and reports everything that is wrong with them.
   *
   * @param fileName the name to show in faults
   * @param text the settings in INI
   * @return the settings, or all faults in the order of their lines; never throws for any text
   * @throws NullPointerException if an argument is null
   */
  public static Validation<Seq<ConfigFault>, InstanceSettings> parse(String fileName, String text) {
    Objects.requireNonNull(fileName, "fileName");
    Objects.requireNonNull(text, "text");
    IniContent content = IniReader.read(SettingsFileType.INSTANCE, fileName, text);
    SectionValidator checker = SectionValidator.of(fileName, InstanceSettingKeys.all(), content);
    List<Either<List<ConfigFault>, ValidatedSection>> checked =
        SectionKind.in(SettingsFileType.INSTANCE).map(kind -> checker.validate(section(content, kind)));
    Map<SectionKind, ValidatedSection> clean =
        checked.flatMap(Either::toOption).toMap(ValidatedSection::kind, Function.identity());
    List<ConfigFault> faults =
        content
            .faults()
            .appendAll(checked.flatMap(result -> result.swap().getOrElse(List.empty())))
            .appendAll(
                clean.get(SectionKind.INSTANCE).toList().flatMap(InstanceSettingsParser::ports))
            .appendAll(clean.get(SectionKind.PEERS).flatMap(InstanceSettingsParser::heartbeats));
    return faults.isEmpty()
        ? Validation.valid(assemble(clean))
        : Validation.invalid(faults.sortBy(ConfigFault::line));
  }

  /** Returns the section, without keys if the text does not have it. */
  private static IniSection section(IniContent content, SectionKind kind) {
    return content.of(kind).headOption().getOrElse(() -> IniSection.empty(kind));
  }

  private static List<ConfigFault> ports(ValidatedSection section) {
    List<SettingKey<Integer>> ports =
        List.of(InstanceSettingKeys.CALLER_PORT, InstanceSettingKeys.OPERATOR_PORT, InstanceSettingKeys.PEER_PORT);
    return ports
        .groupBy(section::get)
        .values()
        .toList()
        .flatMap(List::tail)
        .map(key -> section.fault(ConfigFaultKind.UNSUITABLE_VALUE, key, "a port of its own"));
  }

  private static Option<ConfigFault> heartbeats(ValidatedSection section) {
    boolean late =
        section.get(InstanceSettingKeys.HEARTBEAT_TIMEOUT) <= section.get(InstanceSettingKeys.HEARTBEAT);
    return Option.when(
        late,
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
        peers(sections.get(SectionKind.PEERS).get()));
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
}
