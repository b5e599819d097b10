package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.control.Option;

/** The kinds of sections in settings files. */
public enum SectionKind {
  /** The deployment. */
  DEPLOYMENT(SettingsFileType.DOCUMENT, "deployment", 1, "names the deployment; exactly one"),
  /** A region. */
  REGION(SettingsFileType.DOCUMENT, "region", 1, "a region, which holds failure domains"),
  /** A failure domain. */
  DOMAIN(SettingsFileType.DOCUMENT, "domain", 1, "a failure domain"),
  /** A link between two regions. */
  LINK(SettingsFileType.DOCUMENT, "link", 2, "the link between two regions, the same each way"),
  /** A pool of endpoints. */
  POOL(SettingsFileType.DOCUMENT, "pool", 1, "endpoints that do the same work"),
  /** A service. */
  SERVICE(SettingsFileType.DOCUMENT, "service", 1, "a service with its latency targets"),
  /** A route from callers to a service. */
  ROUTE(SettingsFileType.DOCUMENT, "route", 1, "an HTTP method and path that lead to a service"),
  /** A client account. */
  ACCOUNT(SettingsFileType.DOCUMENT, "account", 1, "a client account with its rate and burst"),
  /** An API key of a client account. */
  KEY(SettingsFileType.DOCUMENT, "key", 1, "a key, by its digest; the name is not secret"),
  /** An endpoint. */
  ENDPOINT(SettingsFileType.DOCUMENT, "endpoint", 1, "a model engine or a plain service"),
  /** The instance itself. */
  INSTANCE(SettingsFileType.INSTANCE, "instance", 0, "the instance's name and addresses"),
  /** The platform's configuration service. */
  PLATFORM(SettingsFileType.INSTANCE, "platform", 0, "where the published document is read"),
  /** Limits on requests and shutdown. */
  LIMITS(SettingsFileType.INSTANCE, "limits", 0, "how much the instance accepts"),
  /** Timing between instances. */
  PEERS(SettingsFileType.INSTANCE, "peers", 0, "timing between instances"),
  /** Limits of an instance's listeners. */
  INSTANCE_LISTENERS(
      SettingsFileType.INSTANCE, "listeners", 0, "what clients of the listeners may hold"),
  /** The forwarding instance itself. */
  FORWARDER(SettingsFileType.FORWARDER, "instance", 0, "the instance's name and addresses"),
  /** How a forwarding instance finds other instances and the configuration. */
  DISCOVERY(
      SettingsFileType.FORWARDER, "discovery", 0, "where others and the configuration are found"),
  /** Fleet-wide time limits and budgets. */
  BOUNDS(SettingsFileType.FORWARDER, "bounds", 0, "times and budgets of the whole fleet"),
  /** When calls leave their failure domain. */
  LOCALITY(SettingsFileType.FORWARDER, "locality", 0, "when calls may leave their failure domain"),
  /** Limits on the connections of callers of a forwarding instance. */
  CALLERS(SettingsFileType.FORWARDER, "callers", 0, "limits on the connections of callers"),
  /** Limits of a forwarding instance's listeners other than that for callers. */
  FORWARDER_LISTENERS(
      SettingsFileType.FORWARDER,
      "listeners",
      0,
      "what clients of the listeners for checks, metrics and other instances may hold"),
  /** A failure domain and its region, as known to a forwarding instance. */
  FORWARDER_DOMAIN(SettingsFileType.FORWARDER, "domain", 1, "a failure domain");

  private final SettingsFileType file;
  private final String word;
  private final int nameCount;
  private final String description;

  SectionKind(SettingsFileType file, String word, int nameCount, String description) {
    this.file = file;
    this.word = word;
    this.nameCount = nameCount;
    this.description = description;
  }

  /**
   * Finds a kind by the first word of its header.
   *
   * @param file the type of settings file
   * @param word the first word of the header
   * @return the kind, if files of that type have one with that word
   */
  public static Option<SectionKind> find(SettingsFileType file, String word) {
    return in(file).find(kind -> kind.word.equals(word));
  }

  /**
   * Lists the kinds that a settings file may contain.
   *
   * @param file the file
   * @return the kinds in declaration order
   */
  public static List<SectionKind> in(SettingsFileType file) {
    return List.of(values()).filter(kind -> kind.file == file);
  }

  /**
   * Returns the first word of the header.
   *
   * @return the word
   */
  public String word() {
    return word;
  }

  /**
   * Returns the number of names that follow the first word.
   *
   * @return 0 to 2
   */
  public int nameCount() {
    return nameCount;
  }

  /**
   * Returns a description of the section.
   *
   * @return a phrase for operators
   */
  public String description() {
    return description;
  }

  /**
   * Returns the syntax of the header.
   *
   * @return for example {@code [pool NAME]}
   */
  public String form() {
    return switch (nameCount) {
      case 0 -> "[" + word + "]";
      case 1 -> "[" + word + " NAME]";
      default -> "[" + word + " REGION REGION]";
    };
  }
}
