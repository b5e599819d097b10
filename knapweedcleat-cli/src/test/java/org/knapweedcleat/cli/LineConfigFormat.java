package org.knapweedcleat.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.directory.check.ConfigFormat;
import org.knapweedcleat.core.directory.check.ConfigLocator;
import org.knapweedcleat.core.directory.check.FindingKind;
import org.knapweedcleat.core.directory.check.LocatedFinding;
import org.knapweedcleat.core.directory.check.ParsedConfig;
import org.knapweedcleat.core.directory.check.SourceLocation;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * A made-up format: the version in the first line, and a route in each other line as {@code name
 * prefix region}. A line {@code wrong} is rejected.
 */
public final class LineConfigFormat implements ConfigFormat {

  /** Creates the format; called by {@link java.util.ServiceLoader}. */
  public LineConfigFormat() {}

  @Override
  public String adapter() {
    return "lines";
  }

  @Override
  public ParsedConfig parse(String text) {
    List<String> lines = text.lines().toList();
    ConfigLocator locator =
        (entry, field) ->
            new SourceLocation(entry.index() + 2, entry.toString(), "field-" + field.name());
    if (lines.contains("wrong")) {
      SourceLocation location = new SourceLocation(lines.indexOf("wrong") + 1, "", "");
      return new ParsedConfig(
          Optional.empty(),
          List.of(new LocatedFinding(FindingKind.REJECTED_VALUE, location, "is wrong")),
          locator);
    }
    return new ParsedConfig(Optional.of(content(lines)), List.of(), locator);
  }

  private static RoutingContent content(List<String> lines) {
    List<ForwardRoute> routes = new ArrayList<>();
    lines.subList(1, lines.size()).forEach(line -> routes.add(route(line.split(" "))));
    ServiceProfile desk = new ServiceProfile(ServiceId.of("desk"), 10, EngineProfile.NONE);
    return new RoutingContent(
        Long.parseLong(lines.get(0)),
        routes,
        List.of(desk),
        false,
        List.of(),
        RequestLimits.INITIAL);
  }

  private static ForwardRoute route(String[] words) {
    return new ForwardRoute(
        words[0],
        "h.example",
        words[1],
        CallKind.SAFE,
        false,
        true,
        5_000,
        900,
        0,
        1,
        0,
        List.of(new ServiceShare(ServiceId.of("desk"), 1)),
        words.length > 2 ? Set.of(RegionId.of(words[2])) : Set.of());
  }
}
