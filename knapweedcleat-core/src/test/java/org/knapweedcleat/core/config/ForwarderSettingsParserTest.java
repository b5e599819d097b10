package org.knapweedcleat.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.intake.CallerLimits;

class ForwarderSettingsParserTest {

  private static final String TEXT =
      """
      [instance]
      id = west-a-1
      domain = west-a
      callerAddress = 127.0.0.1:8080
      readinessAddress = 127.0.0.1:8081
      peerAddress = 127.0.0.1:8082
      metricsAddress = 127.0.0.1:8083
      [discovery]
      seeds = 127.0.0.2:8082, 127.0.0.3:8082
      storeAddress = 127.0.0.9:9000
      [bounds]
      repeatRatio = 0.3
      [domain west-a]
      region = west
      """;

  @Test
  void parsesAddressesAndAppliesDefaults() {
    ForwarderSettings settings = ForwarderSettingsParser.parse("i.ini", TEXT).get();

    assertThat(settings.callerAddress(), is(new InetAddressPort("127.0.0.1", 8080)));
    assertThat(
        settings.discovery().seeds(),
        is(
            List.of(
                new InetAddressPort("127.0.0.2", 8082), new InetAddressPort("127.0.0.3", 8082))));
    assertThat(settings.regions().get(FailureDomainId.of("west-a")), is(RegionId.of("west")));
    assertThat(settings.bounds().repeatRatio(), is(0.3));
    assertThat(settings.bounds().stopMillis(), is(8_000));
  }

  @Test
  void parsesLimitsOnCallersAndAppliesDefaults() {
    String text = TEXT + "[callers]\nmemoryKilobytes = 2000\nmaxConnections = 300\n";

    assertThat(
        ForwarderSettingsParser.parse("i.ini", TEXT).get().callers(), is(CallerLimits.DEFAULT));
    assertThat(
        ForwarderSettingsParser.parse("i.ini", text).get().callers(),
        is(new CallerLimits(2_048_000, 300, 0, 0, 0, 0, 0, 64, 8_388_608)));
  }

  @Test
  void allowsEmptySeeds() {
    String text = TEXT.replace("seeds = 127.0.0.2:8082, 127.0.0.3:8082", "seeds =");

    assertThat(
        ForwarderSettingsParser.parse("i.ini", text).get().discovery().seeds(), is(List.of()));
  }

  /** Guards against a changed selection of endpoints in deployments without the section. */
  @Test
  void localityIsOffWithoutItsSection() {
    assertThat(
        ForwarderSettingsParser.parse("i.ini", TEXT).get().locality(),
        is(ForwarderSettings.Locality.NONE));
    assertThat(ForwarderSettings.Locality.NONE.isEnabled(), is(false));
  }

  @Test
  void parsesLocality() {
    String text =
        TEXT + "[locality]\ninterDomainCostMillis = 80\ninterRegionKilobitsPerSecond = 42000\n";

    assertThat(
        ForwarderSettingsParser.parse("i.ini", text).get().locality(),
        is(new ForwarderSettings.Locality(80, 42_000)));
  }

  /** Guards against an instance that does not start where a bound of the fleet is a fraction. */
  @Test
  void roundsFractionalBoundsDown() {
    String text =
        TEXT.replace(
            "repeatRatio = 0.3", "repeatSlack = 37.241379310344826\nquotaSlackUnits = 1400.9");

    ForwarderSettings.Bounds bounds = ForwarderSettingsParser.parse("i.ini", text).get().bounds();

    assertThat(bounds.repeatSlack(), is(37));
    assertThat(bounds.quotaSlackUnits(), is(1_400));
  }

  @Test
  void reportsSectionKeyAndLineOfEachFault() {
    String text =
        TEXT.replace("127.0.0.9:9000", "store:9000")
            .replace("[domain west-a]", "[domain west-b]")
            .replace("repeatRatio = 0.3", "repeatRatio = many");

    assertThat(
        ForwarderSettingsParser.parse("i.ini", text).getError().map(ConfigFault::toString).asJava(),
        contains(
            "i.ini:3: [instance] domain: found \"west-a\" (unresolved reference);"
                + " allowed: the name of a section [domain NAME] of this file",
            "i.ini:10: [discovery] storeAddress: found \"store:9000\" (bad value);"
                + " allowed: an IP number and a port such as 127.0.0.1:8080",
            "i.ini:12: [bounds] repeatRatio: found \"many\" (bad value);"
                + " allowed: a number from 0.0 to 10.0 (repeats a call)"));
  }
}
