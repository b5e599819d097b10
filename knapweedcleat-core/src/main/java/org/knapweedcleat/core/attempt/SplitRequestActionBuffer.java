package org.knapweedcleat.core.attempt;

import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementStage;

/** Collects the actions that result from one event. */
final class SplitRequestActionBuffer {

  private final RequestId request;
  private final List<SplitRequestAction> actions = new ArrayList<>();

  private SplitRequestActionBuffer(RequestId request) {
    this.request = request;
  }

  static SplitRequestActionBuffer of(RequestId request) {
    return new SplitRequestActionBuffer(request);
  }

  void add(SplitRequestAction action) {
    actions.add(action);
  }

  void report(int attempt, PlacementStage reached, int tokens) {
    actions.add(
        new SplitRequestAction.Report(new PlacementProgress(request, attempt, reached, tokens)));
  }

  List<SplitRequestAction> takeAll() {
    List<SplitRequestAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
