package org.knapweedcleat.standins.platform;

import io.vertx.core.json.Json;
import java.util.List;

/**
 * The list of instances at one revision.
 *
 * @param revision the revision at which the list was published
 * @param instances the listed instances
 */
record InstanceList(long revision, List<Entry> instances) {

  static String encode(List<Entry> entries) {
    return Json.encode(new InstanceList(0, entries));
  }

  static InstanceList decode(ValueHistory.Value value) {
    InstanceList list = Json.decodeValue(value.text(), InstanceList.class);
    return new InstanceList(value.revision(), list.instances());
  }

  record Entry(String id, String domain, String host, int peerPort, String state) {}
}
