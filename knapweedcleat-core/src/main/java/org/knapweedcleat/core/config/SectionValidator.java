package org.knapweedcleat.core.config;

import io.vavr.collection.HashSet;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Either;
import io.vavr.control.Option;

/** Validates the keys and values of single sections against their {@link SettingKey}s. */
final class SectionValidator {

  private final String fileName;
  private final List<SettingKey<?>> keys;
  private final Map<SectionKind, Set<String>> namesByKind;

  private SectionValidator(String fileName, List<SettingKey<?>> keys, IniContent content) {
    this.fileName = fileName;
    this.keys = keys;
    this.namesByKind =
        content
            .sections()
            .filter(section -> section.names().size() == 1)
            .groupBy(IniSection::kind)
            .mapValues(sections -> sections.map(IniSection::name).toSet());
  }

  static SectionValidator of(String fileName, List<SettingKey<?>> keys, IniContent content) {
    return new SectionValidator(fileName, keys, content);
  }

  Either<List<ConfigFault>, ValidatedSection> validate(IniSection section) {
    List<SettingKey<?>> known = keys.filter(key -> key.section() == section.kind());
    List<ConfigFault> faults =
        section
            .entries()
            .toList()
            .flatMap(entry -> validateEntry(section, known, entry._1, entry._2))
            .appendAll(missingKeys(section, known))
            .appendAll(unresolvedHeaderNames(section));
    return faults.isEmpty()
        ? Either.right(ValidatedSection.of(fileName, section))
        : Either.left(faults);
  }

  private Option<ConfigFault> validateEntry(
      IniSection section, List<SettingKey<?>> known, String name, IniEntry entry) {
    Option<SettingKey<?>> match = known.find(key -> key.matches(name));
    if (match.isEmpty()) {
      return Option.some(unknownKey(section, known, name, entry));
    }
    SettingKey<?> key = match.get();
    if (key.rule().parse(entry.text()).isEmpty()) {
      return Option.some(badValue(section, key, name, entry));
    }
    return unresolvedReference(section, key, name, entry);
  }

  private ConfigFault unknownKey(
      IniSection section, List<SettingKey<?>> known, String name, IniEntry entry) {
    List<String> names = known.map(SettingKey::name);
    String shown = SettingKeyRedactor.redact(section.kind(), name, entry.text(), names);
    return fault(
        ConfigFaultKind.UNKNOWN_KEY,
        section,
        entry.line(),
        shown,
        shown,
        SettingKeyRedactor.hint(name, names) + "keys here are " + names.mkString(", "));
  }

  private ConfigFault badValue(IniSection section, SettingKey<?> key, String name, IniEntry entry) {
    // An API key that is entered in place of its digest must not appear in a log.
    String found = section.kind() == SectionKind.KEY ? ConfigFault.REDACTED : entry.text();
    return fault(ConfigFaultKind.BAD_VALUE, section, entry.line(), name, found, key.allowed());
  }

  private Option<ConfigFault> unresolvedReference(
      IniSection section, SettingKey<?> key, String name, IniEntry entry) {
    if (key.isPrefix()) {
      String suffix = name.substring(key.name().length());
      return undeclared(section, SectionKind.DOMAIN, suffix, entry.line(), name);
    }
    return key.referencedKind()
        .flatMap(target -> undeclared(section, target, entry.text(), entry.line(), name));
  }

  private List<ConfigFault> unresolvedHeaderNames(IniSection section) {
    if (section.kind() != SectionKind.LINK) {
      return List.empty();
    }
    return section
        .names()
        .flatMap(name -> undeclared(section, SectionKind.REGION, name, section.line(), ""));
  }

  private Option<ConfigFault> undeclared(
      IniSection section, SectionKind target, String found, int line, String key) {
    Set<String> names = namesByKind.getOrElse(target, HashSet.empty());
    if (names.contains(found)) {
      return Option.none();
    }
    String allowed =
        NameSuggester.hint(found, names.toList())
            + "the name of a section "
            + target.form()
            + " of this file";
    boolean mayBeSecret =
        section.kind() == SectionKind.KEY && NameSuggester.nearest(found, names.toList()).isEmpty();
    String shown = mayBeSecret ? ConfigFault.REDACTED : found;
    return Option.some(
        fault(ConfigFaultKind.UNRESOLVED_REFERENCE, section, line, key, shown, allowed));
  }

  private List<ConfigFault> missingKeys(IniSection section, List<SettingKey<?>> known) {
    return known
        .filter(key -> key.defaultText().isEmpty())
        .reject(key -> section.entries().containsKey(key.name()))
        .map(
            key ->
                fault(
                    ConfigFaultKind.MISSING_KEY,
                    section,
                    section.line(),
                    key.name(),
                    "",
                    key.allowed()));
  }

  private ConfigFault fault(
      ConfigFaultKind kind,
      IniSection section,
      int line,
      String key,
      String found,
      String allowed) {
    return new ConfigFault(kind, fileName, line, section.header(), key, found, allowed);
  }
}
