package org.knapweedcleat.core.config;

import io.vavr.control.Option;
import java.util.Objects;
import java.util.function.Function;

/**
 * Says which texts are allowed as a value and what they mean.
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
   * Returns a rule.
   *
   * @param <T> the type of the value
   * @param allowed a phrase that says what is allowed
   * @param reader gives the value, or nothing for a text that is not allowed
   * @return the rule
   */
  public static <T> ValueRule<T> of(String allowed, Function<String, Option<T>> reader) {
    return new ValueRule<>(allowed, reader);
  }

  /**
   * Returns what is allowed.
   *
   * @return a phrase for operators
   */
  public String allowed() {
    return allowed;
  }

  /**
   * Reads a value.
   *
   * @param text the text
   * @return the value, or nothing if the text is not allowed
   */
  public Option<T> parse(String text) {
    return reader.apply(text);
  }

  /**
   * Returns a rule that allows the same texts and gives another type.
   *
   * @param <U> the other type
   * @param mapper turns a value into the other type
   * @return the rule
   */
  public <U> ValueRule<U> map(Function<T, U> mapper) {
    return new ValueRule<>(allowed, text -> parse(text).map(mapper));
  }
}
