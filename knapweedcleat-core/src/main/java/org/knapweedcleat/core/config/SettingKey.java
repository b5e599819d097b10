package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.control.Option;

/**
 * Definition of a key in a settings section: its allowed values, default and description.
 *
 * @param <T> the type of its value
 * @param section the kind of section it belongs to
 * @param name its name, or a prefix that ends in a dot and precedes a failure domain's name
 * @param rule the rule for its value
 * @param unit the unit, or empty if there is none
 * @param defaultText the text used if the key is absent; none for a required key
 * @param referencedKind the kind of section that the value refers to, if any
 * @param description the purpose of the key
 */
public record SettingKey<T>(
    SectionKind section,
    String name,
    ValueRule<T> rule,
    String unit,
    Option<String> defaultText,
    Option<SectionKind> referencedKind,
    String description) {

  /**
   * Returns a required key.
   *
   * @param <T> the type of its value
   * @param section the kind of section it belongs to
   * @param name its name
   * @param rule the rule for its value
   * @param unit the unit, or empty if there is none
   * @param description the purpose of the key
   * @return the key
   */
  public static <T> SettingKey<T> required(
      SectionKind section, String name, ValueRule<T> rule, String unit, String description) {
    return new SettingKey<>(section, name, rule, unit, Option.none(), Option.none(), description);
  }

  /**
   * Returns an optional key.
   *
   * @param <T> the type of its value
   * @param section the kind of section it belongs to
   * @param name its name
   * @param rule the rule for its value
   * @param unit the unit, or empty if there is none
   * @param defaultText the text used if the key is absent
   * @param description the purpose of the key
   * @return the key
   */
  public static <T> SettingKey<T> optional(
      SectionKind section,
      String name,
      ValueRule<T> rule,
      String unit,
      String defaultText,
      String description) {
    Option<String> text = Option.some(defaultText);
    return new SettingKey<>(section, name, rule, unit, text, Option.none(), description);
  }

  /**
   * Returns a required key whose value refers to another section.
   *
   * @param <T> the type of its value
   * @param section the kind of section it belongs to
   * @param name its name
   * @param rule the rule for its value
   * @param referencedKind the kind of section it refers to
   * @param description the purpose of the key
   * @return the key
   */
  public static <T> SettingKey<T> reference(
      SectionKind section,
      String name,
      ValueRule<T> rule,
      SectionKind referencedKind,
      String description) {
    Option<SectionKind> target = Option.some(referencedKind);
    return new SettingKey<>(section, name, rule, "", Option.none(), target, description);
  }

  /**
   * Lists all keys of a type of settings file.
   *
   * @param file the type of settings file
   * @return the keys, grouped by section
   */
  public static List<SettingKey<?>> in(SettingsFileType file) {
    return switch (file) {
      case DOCUMENT -> DocumentSettingKeys.all();
      case INSTANCE -> InstanceSettingKeys.all();
      case FORWARDER -> ForwarderSettingKeys.all();
    };
  }

  /**
   * Returns whether the name is a prefix that precedes the name of a failure domain.
   *
   * @return true for a prefix
   */
  public boolean isPrefix() {
    return name.endsWith(".");
  }

  /**
   * Returns whether a key in a settings file is an occurrence of this key.
   *
   * @param text the key in the file
   * @return true if it matches the name or the prefix
   */
  public boolean matches(String text) {
    return isPrefix() ? text.startsWith(name) && text.length() > name.length() : text.equals(name);
  }

  /**
   * Describes the allowed values and their unit.
   *
   * @return a phrase for operators
   */
  public String allowed() {
    if (referencedKind.isDefined()) {
      return "the name of a section " + referencedKind.get().form();
    }
    return unit.isEmpty() ? rule.allowed() : rule.allowed() + " (" + unit + ")";
  }
}
