package org.knapweedcleat.core.config;

import io.vavr.control.Option;
import java.util.Objects;
import java.util.function.Function;

/**
 * Defines the allowed texts of a value and parses them.
 *
 * @param <T> the type of the value
 */
public final class ValueRule<T> {

  private final String allowed;
  private final Function<String, Option<T>> reader;

  private ValueRule(String allowed, Function<String, Option<T>> reader) {
    this.allowed = Objects.requireNonNull(allowed, "allowed");
    this.reader = Objects.requireNonNull(reader, "reader");
  }

  /**
   * Creates a rule.
   *
   * @param <T> the type of the value
   * @param allowed a description of the allowed texts
   * @param reader returns the value, or none if the text is not allowed
   * @return the rule
   */
  public static <T> ValueRule<T> of(String allowed, Function<String, Option<T>> reader) {
    return new ValueRule<>(allowed, reader);
  }

  /**
   * Describes the allowed texts.
   *
   * @return a phrase for operators
   */
  public String allowed() {
    return allowed;
  }

  /**
   * Parses a value.
   *
   * @param text the text
   * @return the value, or none if the text is not allowed
   */
  public Option<T> parse(String text) {
    return reader.apply(text);
  }

  /**
   * Returns a rule that allows the same texts and converts the value.
   *
   * @param <U> the target type
   * @param mapper converts a value to the target type
   * @return the rule
   */
  public <U> ValueRule<U> map(Function<T, U> mapper) {
    return new ValueRule<>(allowed, text -> parse(text).map(mapper));
  }
}
