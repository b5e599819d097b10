package org.knapweedcleat.core.config;

import io.vavr.Tuple;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.function.Function;

/** A section whose keys and values are all allowed. */
final class ValidatedSection {

  private final String fileName;
  private final IniSection section;

  private ValidatedSection(String fileName, IniSection section) {
    this.fileName = fileName;
    this.section = section;
  }

  static ValidatedSection of(String fileName, IniSection section) {
    return new ValidatedSection(fileName, section);
  }

  SectionKind kind() {
    return section.kind();
  }

  IniSection section() {
    return section;
  }

  String name() {
    return section.name();
  }

  /** Returns a value; the section was checked, so it can be read. */
  <T> T get(SettingKey<T> key) {
    String text = section.entries().get(key.name()).map(IniEntry::text).getOrElse(fallback(key));
    return key.rule().parse(text).get();
  }

  /** Returns the values of a family of keys by the name that follows the family's. */
  <K, T> Map<K, T> getByPrefix(SettingKey<T> family, Function<String, K> key) {
    return LinkedHashMap.ofEntries(
        section
            .entries()
            .filterKeys(family::matches)
            .map(
                entry ->
                    Tuple.of(
                        key.apply(entry._1.substring(family.name().length())),
                        family.rule().parse(entry._2.text()).get())));
  }

  /** Returns a fault of a value of this section that only shows together with others. */
  ConfigFault fault(ConfigFaultKind kind, SettingKey<?> key, String allowed) {
    Option<IniEntry> entry = section.entries().get(key.name());
    int line = entry.map(IniEntry::line).getOrElse(section.line());
    String found = entry.map(IniEntry::text).getOrElse(() -> key.defaultText().getOrElse(""));
    String shown = kind() == SectionKind.KEY ? ConfigFault.REDACTED : found;
    return new ConfigFault(kind, fileName, line, section.header(), key.name(), shown, allowed);
  }

  private static String fallback(SettingKey<?> key) {
    return key.defaultText().getOrElse("");
  }
}
