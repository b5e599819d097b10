package org.knapweedcleat.core.attempt;

import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementStage;

/** Gathers the actions that follow from one event. */
final class SplitActions {

  private final RequestId request;
  private final List<SplitAction> actions = new ArrayList<>();

  private SplitActions(RequestId request) {
    this.request = request;
  }

  static SplitActions of(RequestId request) {
    return new SplitActions(request);
  }

  void add(SplitAction action) {
    actions.add(action);
  }

  void report(int attempt, PlacementStage reached, int tokens) {
    actions.add(new SplitAction.Report(new PlacementProgress(request, attempt, reached, tokens)));
  }

  List<SplitAction> drain() {
    List<SplitAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
