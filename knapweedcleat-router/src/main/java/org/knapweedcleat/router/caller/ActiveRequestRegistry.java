package org.knapweedcleat.router.caller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.RequestId;

/** The requests that this incarnation owns. */
final class ActiveRequestRegistry {

  private final Map<RequestId, ActiveRequest> requests = new LinkedHashMap<>();

  private ActiveRequestRegistry() {}

  static ActiveRequestRegistry create() {
    return new ActiveRequestRegistry();
  }

  void add(ActiveRequest call) {
    requests.put(call.id(), call);
  }

  void remove(ActiveRequest call) {
    requests.remove(call.id());
  }

  int size() {
    return requests.size();
  }

  List<ActiveRequest> all() {
    return List.copyOf(requests.values());
  }
}
