package org.knapweedcleat.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;

class InstanceSettingsParserTest {

  private static final String TEXT =
      """
      [instance]
      id = west-a-1
      domain = west-a
      host = 127.0.1.9
      [platform]
      host = 127.0.0.1
      port = 9000
      """;

  @Test
  void appliesDefaults() {
    InstanceSettings settings = InstanceSettingsParser.parse("i.ini", TEXT).get();

    assertThat(settings.domain(), is(FailureDomainId.of("west-a")));
    assertThat(settings.operatorPort(), is(8081));
    assertThat(settings.platform().document(), is("fleet"));
    assertThat(settings.limits().maxBodyBytes(), is(1_048_576));
    assertThat(settings.peers().leaseMillis(), is(2_000));
  }

  @Test
  void reportsAllFaults() {
    String text =
        TEXT.replace("host = 127.0.0.1", "host = localhost")
            + "[peers]\nheartbeatMillis = 1000\n[instance ]\n[limit]\n";

    assertThat(
        InstanceSettingsParser.parse("i.ini", text).getError().map(ConfigFault::toString).asJava(),
        contains(
            "i.ini:6: [platform] host: found \"localhost\" (bad value);"
                + " allowed: an IP number such as 127.0.0.1, no host name",
            "i.ini:8: [peers] heartbeatTimeoutMillis: found \"1000\" (unsuitable value);"
                + " allowed: more than heartbeatMillis",
            "i.ini:10: [instance] found \"instance\" (repeated section);"
                + " allowed: once; the first is on line 1",
            "i.ini:11: [limit] found \"limit\" (unknown section);"
                + " allowed: did you mean limits? [instance], [platform], [limits], [peers],"
                + " [listeners]"));
  }

  @Test
  void reportsEveryRequiredKeyMissingFromEmptyText() {
    assertThat(
        InstanceSettingsParser.parse("i.ini", "").getError().map(ConfigFault::key).asJava(),
        contains("id", "domain", "host", "host", "port"));
  }
}
