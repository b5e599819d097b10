package org.knapweedcleat.core.config.diff;

import io.vavr.collection.HashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.collection.TreeSet;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.knapweedcleat.core.config.SectionKind;
import org.knapweedcleat.core.id.TeamId;

/** Compares the sections of one kind in two documents, matched by name. */
final class SectionComparison<T extends Record> {

  private final SectionKind kind;
  private final Function<T, String> nameOf;
  private final Function<T, TeamId> teamOf;
  private List<Danger> removalDangers = List.empty();
  private BiFunction<T, T, List<Danger>> changeRule = (before, after) -> List.empty();
  private Function<T, List<Danger>> additionRule = added -> List.empty();

  SectionComparison(SectionKind kind, Function<T, String> name, Function<T, TeamId> team) {
    this.kind = kind;
    this.nameOf = name;
    this.teamOf = team;
  }

  SectionComparison<T> onRemoval(Danger danger) {
    removalDangers = List.of(danger);
    return this;
  }

  SectionComparison<T> onChange(BiFunction<T, T, List<Danger>> rule) {
    changeRule = rule;
    return this;
  }

  SectionComparison<T> onAddition(Function<T, List<Danger>> rule) {
    additionRule = rule;
    return this;
  }

  List<SectionChange> compare(Collection<T> oldSections, Collection<T> newSections) {
    Map<String, T> before = List.ofAll(oldSections).toMap(nameOf, Function.identity());
    Map<String, T> after = List.ofAll(newSections).toMap(nameOf, Function.identity());
    return TreeSet.ofAll(before.keySet().addAll(after.keySet()))
        .toList()
        .flatMap(name -> compareSection(name, before.get(name), after.get(name)));
  }

  private Option<SectionChange> compareSection(String name, Option<T> before, Option<T> after) {
    if (before.equals(after)) {
      return Option.none();
    }
    return Option.some(
        new SectionChange(
            changeKind(before, after),
            kind.word() + " " + name,
            before.toList().appendAll(after).map(teamOf).distinct(),
            valueChanges(before, after),
            dangers(before, after)));
  }

  private static SectionChange.Kind changeKind(Option<?> before, Option<?> after) {
    if (before.isEmpty()) {
      return SectionChange.Kind.ADDED;
    }
    return after.isEmpty() ? SectionChange.Kind.REMOVED : SectionChange.Kind.CHANGED;
  }

  private List<Danger> dangers(Option<T> before, Option<T> after) {
    if (after.isEmpty()) {
      return removalDangers;
    }
    return before.isEmpty()
        ? additionRule.apply(after.get())
        : changeRule.apply(before.get(), after.get());
  }

  private List<ValueChange> valueChanges(Option<T> before, Option<T> after) {
    Map<String, String> oldValues = before.map(SpecFormatter::format).getOrElse(HashMap.empty());
    Map<String, String> newValues = after.map(SpecFormatter::format).getOrElse(HashMap.empty());
    return oldValues
        .keySet()
        .toList()
        .appendAll(newValues.keySet())
        .distinct()
        .map(key -> valueChange(key, oldValues.getOrElse(key, ""), newValues.getOrElse(key, "")))
        .reject(value -> value.before().equals(value.after()));
  }

  private static ValueChange valueChange(String key, String before, String after) {
    return new ValueChange(key, before, after);
  }
}
