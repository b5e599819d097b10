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
    IniContent content = IniReader.read(SettingsFile.INSTANCE, fileName, text);
    SectionChecker checker = SectionChecker.of(fileName, InstanceKeys.all(), content);
    List<Either<List<ConfigFault>, CheckedSection>> checked =
        SectionKind.in(SettingsFile.INSTANCE).map(kind -> checker.check(section(content, kind)));
    Map<SectionKind, CheckedSection> clean =
        checked.flatMap(Either::toOption).toMap(CheckedSection::kind, Function.identity());
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

  private static List<ConfigFault> ports(CheckedSection section) {
    List<SettingKey<Integer>> ports =
        List.of(InstanceKeys.CALLER_PORT, InstanceKeys.OPERATOR_PORT, InstanceKeys.PEER_PORT);
    return ports
        .groupBy(section::get)
        .values()
        .toList()
        .flatMap(List::tail)
        .map(key -> section.fault(FaultKind.UNSUITABLE_VALUE, key, "a port of its own"));
  }

  private static Option<ConfigFault> heartbeats(CheckedSection section) {
    boolean late =
        section.get(InstanceKeys.HEARTBEAT_TIMEOUT) <= section.get(InstanceKeys.HEARTBEAT);
    return Option.when(
        late,
        () ->
            section.fault(
                FaultKind.UNSUITABLE_VALUE,
                InstanceKeys.HEARTBEAT_TIMEOUT,
                "more than heartbeatMillis"));
  }

  private static InstanceSettings assemble(Map<SectionKind, CheckedSection> sections) {
    CheckedSection instance = sections.get(SectionKind.INSTANCE).get();
    return new InstanceSettings(
        instance.get(InstanceKeys.ID),
        instance.get(InstanceKeys.DOMAIN),
        instance.get(InstanceKeys.HOST),
        instance.get(InstanceKeys.CALLER_PORT),
        instance.get(InstanceKeys.OPERATOR_PORT),
        instance.get(InstanceKeys.PEER_PORT),
        listedPeerPort(instance),
        platform(sections.get(SectionKind.PLATFORM).get()),
        limits(sections.get(SectionKind.LIMITS).get()),
        peers(sections.get(SectionKind.PEERS).get()));
  }

  private static int listedPeerPort(CheckedSection instance) {
    int listed = instance.get(InstanceKeys.LISTED_PEER_PORT);
    return listed == 0 ? instance.get(InstanceKeys.PEER_PORT) : listed;
  }

  private static InstanceSettings.Platform platform(CheckedSection section) {
    return new InstanceSettings.Platform(
        section.get(InstanceKeys.PLATFORM_HOST),
        section.get(InstanceKeys.PLATFORM_PORT),
        section.get(InstanceKeys.PLATFORM_DOCUMENT),
        section.get(InstanceKeys.PLATFORM_WAIT));
  }

  private static InstanceSettings.Limits limits(CheckedSection section) {
    return new InstanceSettings.Limits(
        section.get(InstanceKeys.MAX_BODY),
        section.get(InstanceKeys.MAX_HEADER),
        section.get(InstanceKeys.MAX_IN_FLIGHT),
        section.get(InstanceKeys.DRAIN_TIMEOUT));
  }

  private static InstanceSettings.Peers peers(CheckedSection section) {
    return new InstanceSettings.Peers(
        section.get(InstanceKeys.HEARTBEAT),
        section.get(InstanceKeys.HEARTBEAT_TIMEOUT),
        section.get(InstanceKeys.LEASE),
        section.get(InstanceKeys.LIST_LAG));
  }
}
