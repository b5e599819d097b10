package org.knapweedcleat.router.caller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.RequestId;

/** The requests that this incarnation owns. */
final class RunningCalls {

  private final Map<RequestId, RunningCall> calls = new LinkedHashMap<>();

  private RunningCalls() {}

  static RunningCalls create() {
    return new RunningCalls();
  }

  void add(RunningCall call) {
    calls.put(call.id(), call);
  }

  void remove(RunningCall call) {
    calls.remove(call.id());
  }

  int size() {
    return calls.size();
  }

  List<RunningCall> all() {
    return List.copyOf(calls.values());
  }
}
