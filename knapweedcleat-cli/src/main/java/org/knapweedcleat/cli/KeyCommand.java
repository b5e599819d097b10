package org.knapweedcleat.cli;

import io.vertx.core.json.JsonObject;
import java.security.SecureRandom;
import java.util.Base64;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.config.ValueRules;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Makes a key, shows it once, and prints the section with its digest. */
final class KeyCommand extends Command {

  private static final int KEY_BYTES = 32;
  private static final String PREFIX = "kc_";

  @Argument(required = true, metaVar = "NAME", usage = "the key's name, which is not secret")
  private String name;

  @Option(
      name = "--account",
      required = true,
      metaVar = "A",
      usage = "the client account that the key stands for")
  private String account;

  @Option(
      name = "--team",
      metaVar = "T",
      usage = "the team that owns the section; operators if left out")
  private String team = "operators";

  @Option(name = "--json", usage = "answers in JSON")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    requireName(name);
    requireName(account);
    requireName(team);
    String key = newKey(new SecureRandom());
    String digest = KeyDigest.ofKey(key).hex();
    if (json) {
      console.json(
          new JsonObject()
              .put("key", key)
              .put("name", name)
              .put("account", account)
              .put("team", team)
              .put("digest", digest));
      return ExitCode.OK;
    }
    console.line("The key, for the caller; it is shown only now and kept nowhere:\n");
    console.line("    " + key + "\n");
    console.line("The section, for the document; check and publish it to give the key:\n");
    console.line("[key " + name + "]");
    console.line("team = " + team);
    console.line("account = " + account);
    console.line("digest = " + digest);
    return ExitCode.OK;
  }

  private static String newKey(SecureRandom random) {
    byte[] bytes = new byte[KEY_BYTES];
    random.nextBytes(bytes);
    return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private static void requireName(String text) throws CliException {
    if (ValueRules.name().parse(text).isEmpty()) {
      throw CliException.of(CliFault.NAME, "\"" + text + "\"");
    }
  }
}
