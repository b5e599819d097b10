package org.knapweedcleat.router.caller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.RequestId;

/** Registry of the requests in progress that this incarnation owns. */
final class ActiveRequestRegistry {

  private final Map<RequestId, ActiveRequest> requests = new LinkedHashMap<>();

  private ActiveRequestRegistry() {}

  static ActiveRequestRegistry create() {
    return new ActiveRequestRegistry();
  }

  void add(ActiveRequest request) {
    requests.put(request.id(), request);
  }

  void remove(ActiveRequest request) {
    requests.remove(request.id());
  }

  int size() {
    return requests.size();
  }

  List<ActiveRequest> all() {
    return List.copyOf(requests.values());
  }
}
