package org.knapweedcleat.core.config;

import io.vavr.Tuple;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.function.Function;

/** A section whose keys and values have been validated one by one. */
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

  /** Returns the value of a key or its default. */
  <T> T get(SettingKey<T> key) {
    String text = section.entries().get(key.name()).map(IniEntry::text).getOrElse(defaultText(key));
    return key.rule().parse(text).get();
  }

  /** Returns the values of all keys with a prefix, keyed by the converted suffix. */
  <K, T> Map<K, T> getByPrefix(SettingKey<T> prefix, Function<String, K> suffixMapper) {
    return LinkedHashMap.ofEntries(
        section
            .entries()
            .filterKeys(prefix::matches)
            .map(
                entry ->
                    Tuple.of(
                        suffixMapper.apply(entry._1.substring(prefix.name().length())),
                        prefix.rule().parse(entry._2.text()).get())));
  }

  /** Creates a fault for a value that is valid by itself but not in combination with others. */
  ConfigFault fault(ConfigFaultKind kind, SettingKey<?> key, String allowed) {
    Option<IniEntry> entry = section.entries().get(key.name());
    int line = entry.map(IniEntry::line).getOrElse(section.line());
    String found = entry.map(IniEntry::text).getOrElse(() -> key.defaultText().getOrElse(""));
    String shown = kind() == SectionKind.KEY ? ConfigFault.REDACTED : found;
    return new ConfigFault(kind, fileName, line, section.header(), key.name(), shown, allowed);
  }

  private static String defaultText(SettingKey<?> key) {
    return key.defaultText().getOrElse("");
  }
}
