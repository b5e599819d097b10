package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.control.Option;

/**
 * Describes one key of a section: what it takes, its default and what it is for.
 *
 * @param <T> the type of its value
 * @param section the kind of section it stands in
 * @param name its name; a name that ends in a dot is followed by the name of a failure domain
 * @param rule what is allowed
 * @param unit the unit, empty for none
 * @param defaultText the text that stands for a missing key; none if the key has to be there
 * @param referencedKind the kind of section that the value names, if it names one
 * @param description what the key is for
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
   * Returns a key that has to be there.
   *
   * @param <T> the type of its value
   * @param section the kind of section it stands in
   * @param name its name
   * @param rule what is allowed
   * @param unit the unit, empty for none
   * @param meaning what the key is for
   * @return the key
   */
  public static <T> SettingKey<T> required(
      SectionKind section, String name, ValueRule<T> rule, String unit, String meaning) {
    return new SettingKey<>(section, name, rule, unit, Option.none(), Option.none(), meaning);
  }

  /**
   * Returns a key that may be missing.
   *
   * @param <T> the type of its value
   * @param section the kind of section it stands in
   * @param name its name
   * @param rule what is allowed
   * @param unit the unit, empty for none
   * @param fallback the text that stands for a missing key
   * @param meaning what the key is for
   * @return the key
   */
  public static <T> SettingKey<T> optional(
      SectionKind section,
      String name,
      ValueRule<T> rule,
      String unit,
      String fallback,
      String meaning) {
    Option<String> text = Option.some(fallback);
    return new SettingKey<>(section, name, rule, unit, text, Option.none(), meaning);
  }

  /**
   * Returns a key that has to be there and names another section.
   *
   * @param <T> the type of its value
   * @param section the kind of section it stands in
   * @param name its name
   * @param rule what is allowed
   * @param refersTo the kind of section that it names
   * @param meaning what the key is for
   * @return the key
   */
  public static <T> SettingKey<T> reference(
      SectionKind section, String name, ValueRule<T> rule, SectionKind refersTo, String meaning) {
    Option<SectionKind> target = Option.some(refersTo);
    return new SettingKey<>(section, name, rule, "", Option.none(), target, meaning);
  }

  /**
   * Lists every key of a kind of settings.
   *
   * @param file the kind of settings
   * @return the keys, those of a section together
   */
  public static List<SettingKey<?>> in(SettingsFileType file) {
    return switch (file) {
      case DOCUMENT -> DocumentSettingKeys.all();
      case INSTANCE -> InstanceSettingKeys.all();
      case FORWARDER -> ForwarderSettingKeys.all();
    };
  }

  /**
   * Tells whether the name is followed by the name of a failure domain.
   *
   * @return true for such a family of keys
   */
  public boolean isPrefix() {
    return name.endsWith(".");
  }

  /**
   * Tells whether this describes a key of the given name.
   *
   * @param text the key as written
   * @return true if it does
   */
  public boolean matches(String text) {
    return isPrefix() ? text.startsWith(name) && text.length() > name.length() : text.equals(name);
  }

  /**
   * Returns what is allowed, with the unit.
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
