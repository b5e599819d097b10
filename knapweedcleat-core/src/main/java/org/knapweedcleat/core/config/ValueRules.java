package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.InetAddress;
import java.util.regex.Pattern;
import org.knapweedcleat.core.account.KeyDigest;

/** Factory methods for {@link ValueRule}s. */
public final class ValueRules {

  private static final int MAX_PORT = 65_535;
  private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern MODEL_NAME = Pattern.compile("[A-Za-z0-9._/:-]{0,200}");
  private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~/-]{0,200}");
  private static final Pattern IP4 =
      Pattern.compile("((25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])(\\.(?!$)|$)){4}");
  private static final Pattern IP6 = Pattern.compile("[0-9a-fA-F]*:[0-9a-fA-F:.]+");
  private static final List<String> METHODS = List.of("GET", "POST", "PUT", "PATCH", "DELETE");

  private ValueRules() {}

  static ValueRule<Integer> intRange(int min, int max) {
    return longRange(min, max).map(Long::intValue);
  }

  static ValueRule<Long> longRange(long min, long max) {
    return ValueRule.of(
        "a whole number from " + min + " to " + max,
        text ->
            Option.of(text)
                .filter(digits -> DIGITS.matcher(digits).matches())
                .map(Long::parseLong)
                .filter(number -> number >= min && number <= max));
  }

  /**
   * Returns the rule for TCP ports.
   *
   * @return the rule
   */
  public static ValueRule<Integer> port() {
    return intRange(1, MAX_PORT);
  }

  /**
   * Returns the rule for names of sections, instances and teams.
   *
   * @return the rule
   */
  public static ValueRule<String> name() {
    return matching(
        "a name of at most 63 letters, digits and . _ -, beginning with a letter or digit", NAME);
  }

  static ValueRule<String> modelName() {
    return matching("at most 200 letters, digits and the signs . _ / : -", MODEL_NAME);
  }

  static ValueRule<String> urlPath() {
    return matching("a path that begins with a slash, without a query", PATH);
  }

  static ValueRule<String> httpMethod() {
    return ValueRule.of("one of " + METHODS.mkString(", "), text -> METHODS.find(text::equals));
  }

  /**
   * Returns the rule for IP addresses.
   *
   * @return the rule
   */
  public static ValueRule<String> ipAddress() {
    return ValueRule.of(
        "an IP number such as 127.0.0.1, no host name",
        text -> Option.of(text).filter(ValueRules::isIpNumber));
  }

  /**
   * Returns the rule for an IP address with a port.
   *
   * @return the rule
   */
  public static ValueRule<InetAddressPort> socketAddress() {
    return ValueRule.of(
        "an IP number and a port such as 127.0.0.1:8080",
        text -> {
          int colon = text.lastIndexOf(':');
          return Option.when(colon > 0, () -> text)
              .flatMap(
                  whole ->
                      ipAddress()
                          .parse(whole.substring(0, colon))
                          .flatMap(
                              host ->
                                  port()
                                      .parse(whole.substring(colon + 1))
                                      .map(port -> new InetAddressPort(host, port))));
        });
  }

  static ValueRule<List<InetAddressPort>> socketAddresses() {
    return ValueRule.of(
        "addresses such as 127.0.0.1:8080, separated by commas",
        text -> {
          List<String> parts = List.of(text.split(",")).map(String::trim).reject(String::isEmpty);
          List<Option<InetAddressPort>> read = parts.map(part -> socketAddress().parse(part));
          return Option.when(read.forAll(Option::isDefined), () -> read.map(Option::get));
        });
  }

  static ValueRule<Double> decimal(double min, double max) {
    return ValueRule.of(
        "a number from " + min + " to " + max,
        text ->
            Try.of(() -> Double.parseDouble(text))
                .toOption()
                .filter(number -> number >= min && number <= max));
  }

  static ValueRule<Boolean> yesNo() {
    return ValueRule.of(
        "yes or no",
        text ->
            switch (text) {
              case "yes" -> Option.some(true);
              case "no" -> Option.some(false);
              default -> Option.none();
            });
  }

  static <E extends Enum<E>> ValueRule<E> oneOf(Class<E> type) {
    List<E> values = List.of(type.getEnumConstants());
    return ValueRule.of(
        values.map(SettingFormatter::format).mkString(" or "),
        text -> values.find(value -> SettingFormatter.format(value).equals(text)));
  }

  static ValueRule<KeyDigest> digest() {
    return ValueRule.of(
        "the 64 hexadecimal digits that `knapweedcleat key` prints",
        text -> Try.of(() -> KeyDigest.of(text)).toOption());
  }

  private static ValueRule<String> matching(String allowed, Pattern pattern) {
    return ValueRule.of(
        allowed, text -> Option.of(text).filter(word -> pattern.matcher(word).matches()));
  }

  private static boolean isIpNumber(String text) {
    if (IP4.matcher(text).matches()) {
      return true;
    }
    // A text with a colon is never resolved as a host name.
    return IP6.matcher(text).matches() && Try.of(() -> InetAddress.getByName(text)).isSuccess();
  }
}
