package org.knapweedcleat.core.directory.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;

/**
 * The differences between two versions of a configuration. Entries are compared by name; if a name
 * occurs more than once, by its occurrence.
 */
public final class ConfigDiff {

  private final List<ConfigChange> changes = new ArrayList<>();

  private ConfigDiff() {}

  /**
   * Compares two versions.
   *
   * @param before the old version
   * @param after the new version
   * @return the changes, by section
   */
  public static List<ConfigChange> between(RoutingContent before, RoutingContent after) {
    ConfigDiff diff = new ConfigDiff();
    diff.compare(ConfigEntry.CONFIGURATION, changes(FieldValues.of(before), FieldValues.of(after)));
    diff.compare(
        entries(ConfigSection.ROUTE, before.routes(), ForwardRoute::name),
        entries(ConfigSection.ROUTE, after.routes(), ForwardRoute::name),
        (one, other) -> changes(FieldValues.of(one), FieldValues.of(other)));
    diff.compare(
        entries(ConfigSection.SERVICE, before.services(), ConfigDiff::name),
        entries(ConfigSection.SERVICE, after.services(), ConfigDiff::name),
        (one, other) -> changes(FieldValues.of(one), FieldValues.of(other)));
    diff.compare(
        entries(ConfigSection.ACCOUNT, before.accounts(), ConfigDiff::name),
        entries(ConfigSection.ACCOUNT, after.accounts(), ConfigDiff::name),
        ConfigDiff::accountChanges);
    diff.compare(
        ConfigEntry.LIMITS,
        changes(FieldValues.of(before.requestLimits()), FieldValues.of(after.requestLimits())));
    return List.copyOf(diff.changes);
  }

  /** Returns the changed fields of two versions of an entry. */
  private interface Comparison<T> {
    List<FieldChange> changes(T before, T after);
  }

  private record Positioned<T>(ConfigEntry entry, T value) {}

  private static String name(ServiceProfile service) {
    return service.service().value();
  }

  private static String name(AccountQuota account) {
    return account.account().value();
  }

  private static <T> Map<List<Object>, Positioned<T>> entries(
      ConfigSection section, List<T> values, Function<T, String> name) {
    Map<String, Integer> occurrences = new HashMap<>();
    Map<List<Object>, Positioned<T>> entries = new LinkedHashMap<>();
    for (int i = 0; i < values.size(); i++) {
      String word = name.apply(values.get(i));
      int occurrence = occurrences.merge(word, 1, Integer::sum);
      ConfigEntry entry = new ConfigEntry(section, i, word);
      entries.put(List.of(word, occurrence), new Positioned<>(entry, values.get(i)));
    }
    return entries;
  }

  private <T> void compare(
      Map<List<Object>, Positioned<T>> before,
      Map<List<Object>, Positioned<T>> after,
      Comparison<T> comparison) {
    before.forEach(
        (key, one) -> {
          if (!after.containsKey(key)) {
            changes.add(new ConfigChange(ConfigChange.Kind.REMOVED, one.entry(), List.of()));
          }
        });
    after.forEach(
        (key, other) -> {
          Positioned<T> one = before.get(key);
          if (one == null) {
            changes.add(new ConfigChange(ConfigChange.Kind.ADDED, other.entry(), List.of()));
          } else {
            compare(other.entry(), comparison.changes(one.value(), other.value()));
          }
        });
  }

  private void compare(ConfigEntry entry, List<FieldChange> fields) {
    if (!fields.isEmpty()) {
      changes.add(new ConfigChange(ConfigChange.Kind.CHANGED, entry, fields));
    }
  }

  private static List<FieldChange> changes(
      Map<ConfigField, String> before, Map<ConfigField, String> after) {
    List<FieldChange> changes = new ArrayList<>();
    after.forEach(
        (field, value) -> {
          if (!value.equals(before.get(field))) {
            changes.add(new FieldChange(field, before.get(field), value));
          }
        });
    return changes;
  }

  private static List<FieldChange> accountChanges(AccountQuota before, AccountQuota after) {
    List<FieldChange> changes = changes(FieldValues.of(before), FieldValues.of(after));
    if (!before.keys().equals(after.keys())) {
      changes.add(
          new FieldChange(
              ConfigField.KEYS,
              before.keys().size() + " keys",
              after.keys().size()
                  + " keys ("
                  + countMissing(after.keys(), before.keys())
                  + " added, "
                  + countMissing(before.keys(), after.keys())
                  + " removed)"));
    }
    return changes;
  }

  private static long countMissing(Set<KeyDigest> keys, Set<KeyDigest> others) {
    return keys.stream().filter(key -> !others.contains(key)).count();
  }
}
