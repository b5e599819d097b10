package org.knapweedcleat.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Validation;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;

class FleetDocumentParserTest {

  private static final String FILE = "fleet.ini";
  private static final String TEXT = SampleDocument.TEXT;

  @Test
  void parsesEverySectionAndAppliesDefaults() {
    FleetDocument document = FleetDocumentParser.parse(FILE, TEXT).get();

    assertThat(document.name(), is("sample"));
    AccountSpec account = document.accounts().get(AccountId.of("families"));
    assertThat(account.rateTokensPerSecond(), is(500L));
    assertThat(account.weight(), is(1));
    assertThat(account.domainWeights(), is(Map.of(FailureDomainId.of("west-a"), 3)));
    assertThat(document.keys().get(0).digest(), is(KeyDigest.ofKey("example")));
    EndpointSpec endpoint = document.endpoints().get(EndpointId.of("desk-1"));
    assertThat(endpoint.state(), is(EndpointState.ACTIVE));
    assertThat(endpoint.checksFencing(), is(false));
    assertThat(document.routes().get(1).safety(), is(CallSafety.AT_MOST_ONCE));
    assertThat(document.links().get(0).delayMillis(), is(30));
  }

  @Test
  void reportsAllFaultsTogether() {
    String text =
        TEXT.replace("rateTokensPerSecond = 500", "rateTokensPerSecnd = 500")
            .replace("port = 9102", "port = 99102")
            .replace("service = bookings", "service = booking")
            .replace("role = plain", "role = decode")
            .replace("[region east]", "[regoin east]");

    List<String> faults = faults(text).map(ConfigFault::toString).toList();

    assertThat(
        faults.map(fault -> fault.replaceAll("(found|;).*", "")).asJava(),
        contains(
            "fleet.ini:" + line("[region east]") + ": [regoin east] ",
            "fleet.ini:" + line("[link west east]") + ": [link west east] ",
            "fleet.ini:" + line("service = bookings") + ": [route book] service: ",
            "fleet.ini:"
                + line("[account families]")
                + ": [account families] rateTokensPerSecond: ",
            "fleet.ini:"
                + line("rateTokensPerSecond = 500")
                + ": [account families] rateTokensPerSecnd: ",
            "fleet.ini:" + line("port = 9102") + ": [endpoint horn-d1] port: ",
            "fleet.ini:" + line("role = plain") + ": [endpoint desk-1] role: "));
    assertThat(
        faults.find(fault -> fault.contains("99102")).get(),
        is(
            "fleet.ini:"
                + line("port = 9102")
                + ": [endpoint horn-d1] port: found \"99102\" (bad value);"
                + " allowed: a whole number from 1 to 65535"));
    assertThat(
        faults.find(fault -> fault.contains("Secnd")).get(),
        containsString("did you mean rateTokensPerSecond?"));
    assertThat(
        faults.find(fault -> fault.contains("regoin")).get(),
        containsString("did you mean region?"));
  }

  @Test
  void reportsFaultsAcrossSections() {
    String text =
        TEXT.replace("path = /bookings", "path = /notes")
                .replace("port = 9201", "port = 9102")
                .replace("kvBytesPerToken = 131072", "kvBytesPerToken = 0")
                .replace("domainWeight.west-a = 3", "domainWeight.west-a = 0")
            + "\n[key copy]\nteam = office\naccount = families\ndigest = "
            + KeyDigest.ofKey("example")
            + "\n[link east west]\nteam = office\nrateKilobitsPerSecond = 1\ndelayMillis = 1\n"
            + "[deployment other]\nteam = office\n";

    assertThat(
        faults(text).map(ConfigFault::kind).toJavaList(),
        contains(
            ConfigFaultKind.UNSUITABLE_VALUE,
            ConfigFaultKind.ROUTE_CLASH,
            ConfigFaultKind.UNSUITABLE_VALUE,
            ConfigFaultKind.REPEATED_ADDRESS,
            ConfigFaultKind.REPEATED_DIGEST,
            ConfigFaultKind.REPEATED_LINK,
            ConfigFaultKind.REPEATED_SECTION));
  }

  @Test
  void reportsDuplicatesAndKeysOutsideSections() {
    String text = "stray = 1\n" + TEXT + "\n[pool  desk]\nteam = office\nkind = plain\n";

    List<ConfigFault> faults = faults(text).toList();

    assertThat(faults.head().toString(), startsWith("fleet.ini:1: (not shown): found (not shown)"));
    assertThat(
        faults.tail().map(ConfigFault::kind).asJava(),
        contains(
            ConfigFaultKind.REPEATED_SECTION,
            ConfigFaultKind.REPEATED_KEY,
            ConfigFaultKind.REPEATED_KEY));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "[key families-1]\nteam = office\naccount = plain-secret\ndigest = plain-secret",
        "[key families-1]\nteam = office\naccount = families\nplain-secret\nplain-secret",
        "[key families-1]\nteam = office\naccount = families\ndigest: plain-secret",
        "[key families-1\nteam = office\naccount = families\ndigest = plain-secret",
        "[key families-1\nteam = office\naccount = families\nplain-secret\ndigest plain-secret",
        "[key families-1]\nplain-secret = plain-secret\nplain-secret = plain-secret"
      })
  void neverShowsPossibleApiKeys(String section) {
    String shown = faults(TEXT + section).mkString("\n");
    String shownWithoutSections = faults(section.replaceAll("^.*\n", "") + "\n").mkString("\n");

    assertThat(shown, containsString("found"));
    assertThat(shown, not(containsString("plain-secret")));
    assertThat(shownWithoutSections, not(containsString("plain-secret")));
  }

  @Property(seed = "7", tries = 400)
  void neverThrowsForMangledText(
      @ForAll @IntRange(max = 2_000) int at,
      @ForAll @IntRange(max = 60) int cut,
      @ForAll @StringLength(max = 12) String inserted) {
    int start = at % TEXT.length();
    int end = Math.min(TEXT.length(), start + cut);
    String mangled = TEXT.substring(0, start) + inserted + TEXT.substring(end);

    Validation<Seq<ConfigFault>, FleetDocument> result = FleetDocumentParser.parse(FILE, mangled);

    assertThat(result.isValid() || result.getError().nonEmpty(), is(true));
    assertThat(InstanceSettingsParser.parse(FILE, mangled).isInvalid(), is(true));
  }

  private static Seq<ConfigFault> faults(String text) {
    return FleetDocumentParser.parse(FILE, text).getError();
  }

  private static int line(String text) {
    return TEXT.lines().toList().indexOf(text) + 1;
  }
}
