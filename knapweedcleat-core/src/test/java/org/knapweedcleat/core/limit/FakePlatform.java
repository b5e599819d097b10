package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.membership.ListedInstance;

/** The platform: a lagging list of instances, and documents that may be read late. */
final class FakePlatform {

  /** The most that the list lags. */
  static final long LIST_LAG_MILLIS = 3_000;

  /** A document's accounts. */
  record Document(Revision revision, List<AccountSpec> accounts) {}

  private final TreeMap<Long, List<ListedInstance>> lists = new TreeMap<>();
  private final TreeMap<Long, Document> documents = new TreeMap<>();
  private final Set<FailureDomainId> cutOff = new HashSet<>();
  private long staleSinceMillis = Long.MAX_VALUE;

  void list(long nowMillis, List<ListedInstance> instances) {
    lists.put(nowMillis, new ArrayList<>(instances));
  }

  void publish(long nowMillis, List<AccountSpec> accounts) {
    Revision revision = Revision.of(documents.size() + 1L);
    documents.put(nowMillis, new Document(revision, List.copyOf(accounts)));
  }

  void cutOff(FailureDomainId domain, boolean cut) {
    if (cut) {
      cutOff.add(domain);
    } else {
      cutOff.remove(domain);
    }
  }

  boolean isCutOff(FailureDomainId domain) {
    return cutOff.contains(domain);
  }

  /** Lets documents be read as of one time, until the staleness ends. */
  void stale(long sinceMillis) {
    staleSinceMillis = sinceMillis;
  }

  List<ListedInstance> listAt(long nowMillis, long lagMillis) {
    var entry = lists.floorEntry(nowMillis - lagMillis);
    return entry == null ? List.of() : entry.getValue();
  }

  Document documentAt(long nowMillis) {
    return documents.floorEntry(Math.min(nowMillis, staleSinceMillis)).getValue();
  }

  Document document(Revision revision) {
    return documents.values().stream()
        .filter(document -> document.revision().equals(revision))
        .findFirst()
        .orElseThrow();
  }
}
